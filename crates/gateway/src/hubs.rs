//! Exchange of counts among many entries.
//!
//! Up to [`MAX_DIRECT_ENTRIES`] entries send their counts to all others. With more, that would be thousands
//! of messages a second, so each sends them to two hubs, and each hub sends every entry the sum of all
//! others' counts. Any entry can be a hub, by [`role::roster`]. Both hubs send sums; an entry follows one of
//! them.
//!
//! The switch to hubs is never undone: replaced entries remain members until their failure is detected, and
//! if the exchange alternated meanwhile, their counts would be charged twice.

use std::collections::BTreeMap;

use clock::Span;
use clock::Time;
use lease::holder;
use line::Line;
use member::digest::Digest;
use member::digest::Item;
use member::digest::Topic;
use policy::quota::Counts;
use smol_str::SmolStr;
use smol_str::format_smolstr;
use watch::report::Echo;
use watch::report::Report;

use crate::bulletin::Bulletin;
use crate::effect::Effect;
use crate::effect::Lane;
use crate::failure_detector::Monitor;
use crate::gateway::Gateway;
use crate::usage;
use crate::work;
use crate::work::Work;

/// Most entries that exchange counts directly: 16 messages four times a second take about one percent of a
/// core.
const MAX_DIRECT_ENTRIES: usize = 16;
/// Time between two hand-overs. While entries are replaced, they may disagree on who the hubs are, and each
/// hub receives only part of the counts.
const HAND_OVER_INTERVAL: Span = Span::from_millis(2_000);
/// Time after which a new hub has received counts from all entries: three rounds.
const COLLECTION_TIME: Span = Span::from_millis(1_500);
/// Separates the two ids in the key of a bulletin that a former hub forwards for another entry.
pub(crate) const PAST_SEPARATOR: char = '/';
/// Entries per hand-over message, which is then about 10 KB.
const ENTRIES_PER_MESSAGE: usize = 32;
/// Id under which sums are stored; no entry draws this number.
pub(crate) const SUM_SENDER: holder::Id = holder::Id(u64::MAX);

/// State of the exchange by hubs, and the counts that a hub receives.
#[derive(Debug, Default)]
pub(crate) struct Hub {
    /// Whether counts are exchanged by hubs.
    enabled: bool,
    /// Latest counts by entry. Those of ended entries are kept, since they still belong to the sum.
    contributions: BTreeMap<holder::Id, Contribution>,
    /// The last message of each entry with counts.
    last_messages: BTreeMap<holder::Id, LastMessage>,
    /// Tracks gaps in the heartbeats that this entry receives.
    pub(crate) monitor: Monitor,
    /// The hub whose sums are applied, and when the last one arrived.
    pub(crate) followed_hub: Option<(holder::Id, Time)>,
    /// Number of other entries whose counts the last sum of that hub held, without those of silent ones.
    summed: u32,
    /// The hubs as of the last round.
    current_hubs: Vec<holder::Id>,
    /// When this entry last became a hub, or, while it is none, when the hubs last changed.
    since: Time,
    /// When received counts are next forwarded to the other hubs.
    next_hand_over: Time,
}

/// The last message of another entry.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LastMessage {
    /// When it was sent, by that entry's clock, in milliseconds since its start.
    pub sent_at_ms: u64,
    /// When it arrived.
    pub received_at: Time,
}

impl LastMessage {
    /// Returns what proves to its sender that something written now is newer than it.
    pub fn echo(self, now: Time, to: holder::Id) -> Echo {
        Echo {
            to: to.0,
            sent_at_ms: self.sent_at_ms,
            held_ms: now.since(self.received_at).as_millis(),
        }
    }
}

/// One entry's part of a hub's sum.
#[derive(Debug)]
struct Contribution {
    received_at: Time,
    /// Counts in the first message received from the entry. A new hub starts from scratch: without a baseline
    /// its sum would rise by everything ever counted, so that accounts would be charged again for the past,
    /// and replicas ordered for it. None if the counts were forwarded by another hub.
    baseline: Option<Baseline>,
    /// The latest counts, with charges and work since the baseline.
    counts: Bulletin,
}

/// Counts of an entry that a hub subtracts from all later ones.
#[derive(Debug)]
struct Baseline {
    charged: Counts,
    work: BTreeMap<SmolStr, Work>,
}

impl Baseline {
    /// Reduces a bulletin to what was counted since the baseline.
    fn subtract_from(&self, bulletin: &mut Bulletin) {
        for (account, count) in &mut bulletin.charged {
            *count = count.saturating_sub(self.charged.get(account).copied().unwrap_or(0));
        }
        for (service, work) in &mut bulletin.work {
            *work = work.since(&self.work.get(service).copied().unwrap_or_default());
        }
    }
}

impl Hub {
    /// Whether an entry was a hub as of the last round.
    pub(crate) fn is_hub(&self, entry: holder::Id) -> bool {
        self.current_hubs.contains(&entry)
    }

    /// Records the number of other entries that a sum of the followed hub covers.
    pub(crate) fn record_sum(&mut self, entries: u32) {
        self.summed = entries;
    }

    /// Returns how many other entries the last sum covers; none if it is older than `timeout`.
    pub(crate) fn summed_entries(&self, now: Time, timeout: Span) -> usize {
        let followed = self.followed_hub;
        let is_recent = followed.is_some_and(|(_, at)| now.since(at) <= timeout);
        if is_recent { self.summed as usize } else { 0 }
    }

    /// Records another entry's message, which is the last one.
    pub(crate) fn record_message(&mut self, from: holder::Id, message: LastMessage) {
        self.last_messages.insert(from, message);
    }

    /// Forgets what others than `peers` have sent.
    pub(crate) fn retain_messages(&mut self, peers: &[holder::Id]) {
        self.last_messages.retain(|id, _| peers.contains(id));
    }

    /// Returns what proves to an entry that something written to it now is newer than its last message.
    pub(crate) fn echo(&self, now: Time, to: holder::Id) -> Option<Echo> {
        self.last_messages
            .get(&to)
            .map(|message| message.echo(now, to))
    }
}

impl Gateway {
    /// Whether counts are exchanged by hubs.
    pub(crate) fn uses_hubs(&self) -> bool {
        self.hub.enabled
    }

    /// Whether this entry has had time to receive the counts of all others.
    pub(crate) fn has_collected_counts(&self, now: Time) -> bool {
        now >= self.hub.since + COLLECTION_TIME
    }

    /// Switches to hubs when there are too many entries for direct exchange.
    pub(crate) fn use_hubs_if_many(&mut self, now: Time, effects: &mut Vec<Effect>) {
        if !self.hub.enabled && self.membership.directory().address_count() > MAX_DIRECT_ENTRIES {
            self.use_hubs(now, effects);
        }
    }

    /// Switches to hubs and drops what single entries reported, since sums replace it.
    pub(crate) fn use_hubs(&mut self, now: Time, effects: &mut Vec<Effect>) {
        if self.hub.enabled {
            return;
        }
        self.hub.enabled = true;
        self.hub.since = now;
        for peer in std::mem::take(&mut self.peer_work).into_keys() {
            self.quotas.remove_peer(now, peer.0);
        }
        self.peer_loads.clear();
        self.plans.forget_peers();
        self.rollouts.peer_tallies.clear();
        self.usage.forget_peers();
        effects.push(Effect::Log(Line::info("hubs_used")));
    }

    /// Sends this entry's counts to the hubs, and as a hub the sums to all entries.
    pub(crate) fn send_via_hubs(&mut self, now: Time, own: Bulletin, effects: &mut Vec<Effect>) {
        let me = self.identity.incarnation;
        let hubs = self.roster.hubs().to_vec();
        if hubs != self.hub.current_hubs {
            let names: Vec<String> = hubs.iter().map(|hub| hub.to_string()).collect();
            let line = Line::info("hubs").with("ids", names.join(","));
            effects.push(Effect::Log(line));
            let before = std::mem::replace(&mut self.hub.current_hubs, hubs.clone());
            if before.contains(&me) {
                self.hub.next_hand_over = now;
            } else {
                self.hub.since = now;
            }
        }
        let list = self.periodic_list_report(now, hubs.contains(&me));
        for hub in hubs.iter().filter(|hub| **hub != me) {
            self.send_bulletin(now, *hub, &own, list.as_ref(), effects);
        }
        if now >= self.hub.next_hand_over {
            self.hub.next_hand_over = now + HAND_OVER_INTERVAL;
            let oldest = self.usage.oldest(now);
            for contribution in self.hub.contributions.values_mut() {
                contribution
                    .counts
                    .begun
                    .retain(|window, _| *window >= oldest);
            }
            self.hand_over(now, &hubs, effects);
        }
        if !hubs.contains(&me) {
            return;
        }
        self.handle_counts(now, me, own);
        let total = Bulletin {
            speeds: self.due_speeds(now),
            ..self.total_counts(now)
        };
        self.handle_sum(now, me, self.sum_without(&total, me));
        let others: Vec<holder::Id> = self.membership.peers().map(|(id, _)| id).collect();
        let mut bytes = 0;
        for to in &others {
            let share = self.sum_without(&total, *to);
            bytes += self.send_bulletin(now, *to, &share, list.as_ref(), effects);
        }
        let line = Line::info("sums_sent")
            .with("to", others.len())
            .with("bytes", bytes);
        effects.push(Effect::Log(line));
    }

    /// Forwards the usage counts of all entries to the other hubs, including those of ended entries.
    ///
    /// Guards against counts that are lost with a hub: a new hub receives counts from live entries only, and
    /// while a quarter of a large system was restarted in turn, usage reports missed up to a third. Ended
    /// entries aren't detected at once, so all are forwarded; newer counts from a live entry replace them
    /// soon.
    fn hand_over(&mut self, now: Time, hubs: &[holder::Id], effects: &mut Vec<Effect>) {
        let me = self.identity.incarnation;
        let forwarded: Vec<(holder::Id, Bulletin)> = self
            .hub
            .contributions
            .iter()
            .filter(|(_, contribution)| !contribution.counts.begun.is_empty())
            .map(|(id, contribution)| (*id, contribution.counts.past()))
            .collect();
        for hub in hubs.iter().filter(|hub| **hub != me) {
            for chunk in forwarded.chunks(ENTRIES_PER_MESSAGE) {
                self.send_bulletins(now, *hub, chunk, None, effects);
            }
        }
    }

    /// Merges the usage counts of an entry that a former hub forwards.
    fn handle_past_counts(&mut self, entry: holder::Id, bulletin: Bulletin) {
        let contribution = self
            .hub
            .contributions
            .entry(entry)
            .or_insert_with(|| Contribution {
                received_at: Time::ZERO,
                baseline: None,
                counts: Bulletin::default(),
            });
        usage::merge_max(&mut contribution.counts.begun, &bulletin.begun);
    }

    /// Returns the sum without the counts of `entry`, for sending to it.
    fn sum_without(&self, total: &Bulletin, entry: holder::Id) -> Bulletin {
        let rest = match self.hub.contributions.get(&entry) {
            Some(theirs) => total.without(&theirs.counts),
            None => total.clone(),
        };
        Bulletin {
            without: Some(entry.0),
            ..rest
        }
    }

    /// Records the counts that an entry sends to this one as a hub.
    pub(crate) fn handle_counts(&mut self, now: Time, from: holder::Id, mut bulletin: Bulletin) {
        if bulletin.past {
            return self.handle_past_counts(from, bulletin);
        }
        if from != self.identity.incarnation {
            self.usage.record_clock(now, from, bulletin.unix_ms);
        }
        let known = self.hub.contributions.remove(&from);
        let baseline = known.and_then(|known| known.baseline);
        let baseline = baseline.unwrap_or_else(|| Baseline {
            charged: bulletin.charged.clone(),
            work: bulletin.work.clone(),
        });
        baseline.subtract_from(&mut bulletin);
        let contribution = Contribution {
            received_at: now,
            baseline: Some(baseline),
            counts: bulletin,
        };
        self.hub.contributions.insert(from, contribution);
    }

    /// Returns the sum of all contributions; running requests count only if the contribution is recent.
    fn total_counts(&self, now: Time) -> Bulletin {
        let timeout = self.failure_timeout();
        let mut total = Bulletin {
            unix_ms: self.usage.unix_ms(now),
            sent_at_ms: now.as_millis(),
            ..Bulletin::default()
        };
        for contribution in self.hub.contributions.values() {
            let held = now.since(contribution.received_at);
            total.add(&contribution.counts, held, held <= timeout);
        }
        for (service, work) in &mut total.work {
            let contributions = self.hub.contributions.values();
            let speeds = contributions
                .filter_map(|contribution| Some(contribution.counts.work.get(service)?.speed));
            work.speed = work::median_speed(speeds);
        }
        total
    }

    /// Sends this entry's counts, or a sum, to `to` and returns the approximate size in bytes.
    fn send_bulletin(
        &mut self,
        now: Time,
        to: holder::Id,
        bulletin: &Bulletin,
        list: Option<&Report>,
        effects: &mut Vec<Effect>,
    ) -> usize {
        let own = [(self.identity.incarnation, bulletin.clone())];
        self.send_bulletins(now, to, &own, list, effects)
    }

    /// Sends bulletins and a report on the server list in one message; returns the approximate size in bytes.
    fn send_bulletins(
        &mut self,
        now: Time,
        to: holder::Id,
        bulletins: &[(holder::Id, Bulletin)],
        list: Option<&Report>,
        effects: &mut Vec<Effect>,
    ) -> usize {
        let Some(address) = self.membership.peer_address(to).cloned() else {
            return 0;
        };
        let list = list.and_then(|report| self.list_item(now, to, report));
        let mut items = Vec::from_iter(list);
        for (entry, bulletin) in bulletins {
            match serde_json::to_vec(bulletin) {
                Ok(payload) => items.push(self.count_item(*entry, payload, bulletin.past)),
                Err(error) => {
                    let line = Line::warn("bulletin_lost").with("error", error);
                    effects.push(Effect::Log(line));
                }
            }
        }
        let digest = Digest {
            // Tells the receiver which incarnation now has this address, so that it replies to the right one.
            own: self.membership.beat(),
            items,
            ..Digest::default()
        };
        let bytes = digest.size();
        let past = bulletins.iter().any(|(_, bulletin)| bulletin.past);
        let lane = match past {
            true => Lane::Immediate,
            false => Lane::Coalesced,
        };
        effects.push(Effect::SendDigest {
            address,
            digest,
            lane,
        });
        bytes
    }

    fn count_item(&mut self, entry: holder::Id, payload: Vec<u8>, past: bool) -> Item {
        self.item_version += 1;
        // Forwarded counts need a key of their own: versions of one key are ordered by its entry.
        let key = match past {
            true => format_smolstr!("{entry}{PAST_SEPARATOR}{}", self.identity.incarnation),
            false => format_smolstr!("{entry}"),
        };
        Item {
            topic: Topic::Count,
            key,
            version: self.item_version,
            age_ms: 0,
            payload,
        }
    }
}
