//! How counts travel among many entries.
//!
//! Up to [`MAX_DIRECT_ENTRIES`] entries each tells all others. Beyond, that would be thousands of messages a second, so
//! each tells two hubs, and these tell everyone the sum of all others' counts. Any entry can be a hub, by
//! [`role::roster`]. Both send, and one is followed_hub to.
//!
//! There is no way back to telling all others: entries that were replaced stand among the members until they
//! are known gone, and while the way changed to and fro their counts would be charged twice.

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

use crate::bulletin::Bulletin;
use crate::effect::Effect;
use crate::effect::Lane;
use crate::failure_detector::Monitor;
use crate::gateway::Gateway;
use crate::usage;
use crate::work;
use crate::work::Work;

/// Most entries that tell each other directly: 16 messages four times a second, about one percent of a core.
const MAX_DIRECT_ENTRIES: usize = 16;
/// Time between two hand-overs. While entries are replaced, not all agree on who the hubs are, and each of several
/// hears a part.
const HAND_OVER_INTERVAL: Span = Span::from_millis(2_000);
/// A hub has heard all entries once it has been one for so long: three tellings.
const COLLECTION_TIME: Span = Span::from_millis(1_500);
/// Stands in the key of what a hub tells of another entry's past, between the two names.
pub(crate) const PAST_SEPARATOR: char = '/';
/// Entries told of in one message as a hub hands over: about 10 KB.
const ENTRIES_PER_MESSAGE: usize = 32;
/// In whose name a sum is taken in; no entry draws this number.
pub(crate) const SUM_SENDER: holder::Id = holder::Id(u64::MAX);

/// What a hub has heard.
#[derive(Debug, Default)]
pub(crate) struct Hub {
    /// Whether counts travel by hubs.
    enabled: bool,
    /// By entry; that of ended ones stays, since their counts still hold.
    contributions: BTreeMap<holder::Id, Contribution>,
    /// For how long heartbeats were received here without a gap.
    pub(crate) monitor: Monitor,
    /// Whose sums are taken in, and when the last one came.
    pub(crate) followed_hub: Option<(holder::Id, Time)>,
    /// The hubs as they were last.
    hubs: Vec<holder::Id>,
    /// When this entry last became one, or, while it is none, when others did.
    since: Time,
    /// When it tells the others next what it was told.
    next_hand_over: Time,
}

/// What a hub knows of one entry.
#[derive(Debug)]
struct Contribution {
    received_at: Time,
    /// What it had counted when it was heard first. A new hub hears all entries anew; were its sum to rise by
    /// all they ever counted, accounts would be charged for their past a second time, and replicas ordered for it.
    /// None if others told of it.
    baseline: Option<Baseline>,
    /// What it told last, with the charges since then.
    counts: Bulletin,
}

/// What an entry had counted when it was heard first.
#[derive(Debug)]
struct Baseline {
    charged: Counts,
    work: BTreeMap<SmolStr, Work>,
}

impl Baseline {
    /// Leaves what came since then.
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
    /// Whether that entry was a hub when the hubs were looked up last.
    pub(crate) fn is_hub(&self, entry: holder::Id) -> bool {
        self.hubs.contains(&entry)
    }
}

impl Gateway {
    /// Whether counts travel by hubs.
    pub(crate) fn uses_hubs(&self) -> bool {
        self.hub.enabled
    }

    /// Whether this entry has had time to hear what all others count.
    pub(crate) fn has_collected_counts(&self, now: Time) -> bool {
        now >= self.hub.since + COLLECTION_TIME
    }

    /// Goes over to hubs once there are too many entries.
    pub(crate) fn use_hubs_if_many(&mut self, now: Time, effects: &mut Vec<Effect>) {
        if !self.hub.enabled && self.membership.directory().address_count() > MAX_DIRECT_ENTRIES {
            self.use_hubs(now, effects);
        }
    }

    /// From here on sums count in place of what single entries told.
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
        self.rollouts.peer_tallies.clear();
        self.usage.forget_peers();
        effects.push(Effect::Log(Line::info("hubs_used")));
    }

    /// Tells the hubs what is counted here; a hub tells all others.
    pub(crate) fn send_via_hubs(&mut self, now: Time, own: Bulletin, effects: &mut Vec<Effect>) {
        let me = self.identity.incarnation;
        let hubs = self.roster.hubs().to_vec();
        if hubs != self.hub.hubs {
            let names: Vec<String> = hubs.iter().map(|hub| hub.to_string()).collect();
            let line = Line::info("hubs").with("ids", names.join(","));
            effects.push(Effect::Log(line));
            let before = std::mem::replace(&mut self.hub.hubs, hubs.clone());
            if before.contains(&me) {
                self.hub.next_hand_over = now;
            } else {
                self.hub.since = now;
            }
        }
        let list = self.periodic_list_report(now, hubs.contains(&me));
        for hub in hubs.iter().filter(|hub| **hub != me) {
            self.send_bulletin(*hub, &own, list.as_ref(), effects);
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
            self.hand_over(&hubs, effects);
        }
        if !hubs.contains(&me) {
            return;
        }
        self.counts_received(now, me, own);
        let total = self.total_counts(now);
        self.sum_received(now, me, self.sum_without(&total, me));
        let others: Vec<holder::Id> = self.membership.peers().map(|(id, _)| id).collect();
        let mut bytes = 0;
        for to in &others {
            let share = self.sum_without(&total, *to);
            bytes += self.send_bulletin(*to, &share, list.as_ref(), effects);
        }
        let line = Line::info("sums_sent")
            .with("to", others.len())
            .with("bytes", bytes);
        effects.push(Effect::Log(line));
    }

    /// Tells the hubs what all entries had told this one, also those that have ended.
    ///
    /// Guards against counts that go with a hub: a new one hears the live entries alone, and while a quarter of a
    /// large system was stopped and started in turn, reports of usage missed up to a third. Which have ended isn't
    /// known at once, so nobody is left out; whoever lives speaks for itself soon.
    fn hand_over(&mut self, hubs: &[holder::Id], effects: &mut Vec<Effect>) {
        let me = self.identity.incarnation;
        let told: Vec<(holder::Id, Bulletin)> = self
            .hub
            .contributions
            .iter()
            .filter(|(_, contribution)| !contribution.counts.begun.is_empty())
            .map(|(id, contribution)| (*id, contribution.counts.past()))
            .collect();
        for hub in hubs.iter().filter(|hub| **hub != me) {
            for some in told.chunks(ENTRIES_PER_MESSAGE) {
                self.send_bulletins(*hub, some, None, effects);
            }
        }
    }

    /// Notes what another entry had counted, by the word of a former hub.
    fn past_counts_received(&mut self, entry: holder::Id, bulletin: Bulletin) {
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

    /// The sum without what that entry told itself.
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

    /// Notes what an entry tells this one as a hub.
    pub(crate) fn counts_received(&mut self, now: Time, from: holder::Id, mut bulletin: Bulletin) {
        if bulletin.past {
            return self.past_counts_received(from, bulletin);
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

    /// The sum of all that was heard; what entries run counts only while they are heard.
    fn total_counts(&self, now: Time) -> Bulletin {
        let quiet = self.failure_timeout();
        let mut total = Bulletin {
            unix_ms: self.usage.unix_ms(now),
            ..Bulletin::default()
        };
        for contribution in self.hub.contributions.values() {
            let fresh = now.since(contribution.received_at) <= quiet;
            total.add(&contribution.counts, fresh);
        }
        for (service, work) in &mut total.work {
            let contributions = self.hub.contributions.values();
            let speeds = contributions.filter_map(|one| Some(one.counts.work.get(service)?.speed));
            work.speed = work::median_speed(speeds);
        }
        total
    }

    fn send_bulletin(
        &mut self,
        to: holder::Id,
        bulletin: &Bulletin,
        list: Option<&Item>,
        effects: &mut Vec<Effect>,
    ) -> usize {
        let own = [(self.identity.incarnation, bulletin.clone())];
        self.send_bulletins(to, &own, list, effects)
    }

    /// Sends the counts of some entries and a report on the list in one message; about how many bytes.
    fn send_bulletins(
        &mut self,
        to: holder::Id,
        bulletins: &[(holder::Id, Bulletin)],
        list: Option<&Item>,
        effects: &mut Vec<Effect>,
    ) -> usize {
        let Some(address) = self.membership.peer_address(to).cloned() else {
            return 0;
        };
        let mut items: Vec<Item> = list.cloned().into_iter().collect();
        for (of, bulletin) in bulletins {
            match serde_json::to_vec(bulletin) {
                Ok(payload) => items.push(self.count_item(*of, payload, bulletin.past)),
                Err(error) => {
                    let line = Line::warn("bulletin_lost").with("error", error);
                    effects.push(Effect::Log(line));
                }
            }
        }
        let digest = Digest {
            // By it the receiver knows the present life at our address, to which its answers go.
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

    fn count_item(&mut self, of: holder::Id, payload: Vec<u8>, past: bool) -> Item {
        self.item_version += 1;
        // Under a key of its own: versions of one key are its entry's.
        let key = match past {
            true => format_smolstr!("{of}{PAST_SEPARATOR}{}", self.identity.incarnation),
            false => format_smolstr!("{of}"),
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
