//! One entry's part in membership: it renews its lease, reads others' rows, gossips, and answers callers.
//!
//! A state machine without I/O: the embedder passes [`Event`]s to [`Membership::step`], executes the
//! [`Effect`]s and passes [`Event::Wake`] at the time that [`Membership::next_wake`] returns.

mod gossip;
mod instances;

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use clock::Span;
use clock::Time;
use lease::holder;
use lease::holding::Holding;
use lease::stall::Detector;
use lease::view;
use lease::view::View;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use smol_str::SmolStr;
use smol_str::format_smolstr;
use store::backoff::Backoff;
use store::call;
use store::call::Call;
use store::call::Outcome;

use crate::addresses;
use crate::addresses::Endpoint;
use crate::budget::Budget;
use crate::configs::membership::Settings;
use crate::digest::Beat;
use crate::digest::Item;
use crate::digest::Record;
use crate::digest::Topic;
use crate::directory::Directory;
use crate::directory::Member;
use crate::directory::REFUTATION_LEAD;
use crate::event::Effect;
use crate::event::Event;
use crate::items::Items;
use crate::registration::Registration;
use crate::rendezvous;
use crate::roster::Roster;
use crate::row;
use crate::row::Row;
use crate::row::State;
use crate::rumors::Rumors;
use crate::rumors::Subject;

/// Most rows deleted after one read.
const MAX_DELETIONS: usize = 8;

/// One entry's membership.
#[derive(Clone, Debug)]
pub struct Membership {
    me: holder::Id,
    settings: Settings,
    registration: Registration,
    roster: Roster,
    directory: Directory,
    items: Items,
    rumors: Rumors,
    stalls: Detector,
    beat: Beat,
    calls: BTreeMap<call::Id, Purpose>,
    next_call: u64,
    next_zone_read: Time,
    next_full_read: Time,
    next_gossip: Time,
    /// Next round with heartbeats, which urgent ones don't replace.
    next_regular_gossip: Time,
    last_gossip: Time,
    round: u64,
    /// Urgent rounds that are still to be sent.
    urgent_rounds: u32,
    budget: Budget,
    /// The member whose heartbeat was last sent; the next digest continues after it.
    beat_cursor: holder::Id,
    known_gone: BTreeSet<holder::Id>,
    /// When each lapsed member was first missing from the instance list.
    unlisted_since: BTreeMap<holder::Id, Time>,
    seeds: Vec<SmolStr>,
    holding: Holding,
    left: bool,
    /// Whether all members were read at least once.
    has_read_all: bool,
    backoff: Backoff,
    random: Pcg64Mcg,
}

/// The purpose of a store call.
#[derive(Clone, Copy, Debug)]
enum Purpose {
    Renewal,
    Read,
    Delete,
}

impl Membership {
    /// Creates a member that isn't registered yet. `seeds` are peer addresses to try while no members are
    /// known.
    pub fn new(row: Row, seeds: Vec<SmolStr>, settings: Settings, seed: u64) -> Membership {
        Membership {
            me: row.id,
            registration: Registration::new(row.clone()),
            roster: Roster::new(settings.margin),
            directory: Directory::default(),
            items: Items::default(),
            rumors: Rumors::default(),
            stalls: Detector::new(settings.max_step_gap),
            beat: Beat {
                id: row.id,
                ..Beat::default()
            },
            calls: BTreeMap::new(),
            next_call: 0,
            next_zone_read: Time::ZERO,
            next_full_read: Time::ZERO,
            next_gossip: Time::ZERO,
            next_regular_gossip: Time::ZERO,
            last_gossip: Time::ZERO,
            round: 0,
            urgent_rounds: 0,
            budget: Budget::default(),
            beat_cursor: holder::Id::default(),
            known_gone: BTreeSet::new(),
            unlisted_since: BTreeMap::new(),
            seeds,
            holding: Holding::default(),
            left: false,
            has_read_all: false,
            backoff: Backoff::new(settings.retry_delay, settings.max_retry_delay, seed),
            random: Pcg64Mcg::seed_from_u64(seed),
            settings,
        }
    }

    /// Handles an event and appends the effects to execute.
    pub fn step(&mut self, now: Time, event: Event, effects: &mut Vec<Effect>) {
        let before = self.directory.presence_changes();
        if self.stalls.record_step(now) {
            self.registration.invalidate(now);
        }
        match event {
            Event::Wake => {}
            Event::Store { id, outcome } => self.handle_outcome(now, id, outcome, effects),
            Event::Digest(digest) => self.receive(now, digest, effects),
            Event::Applied(version) => self.set_applied_version(now, version),
            Event::Load(load) => self.beat.load = load,
            Event::StoreLost(lost) => self.beat.store_lost = lost,
            Event::ServersLost(lost) => self.beat.servers_lost = lost,
            Event::Drain => self.change_state(now, State::Draining, None),
            Event::Leave { heir } => self.leave(now, heir),
            Event::ReadAll => self.next_full_read = now,
            Event::InstanceGone(id) => {
                self.known_gone.insert(id);
            }
            Event::InstancesListed(addresses) => self.note_listed_instances(now, &addresses),
            Event::Publish(item) if item.topic == Topic::Count => self.announce(item, effects),
            Event::Publish(item) => {
                if self.merge_item(now, &item) && item.topic == Topic::Quarantine {
                    self.announce(item, effects);
                }
            }
        }
        self.renew(now, effects);
        self.read(now, effects);
        self.gossip(now, effects);
        self.emit_changes(before, effects);
    }

    /// Replaces the seed addresses.
    pub fn set_seeds(&mut self, seeds: Vec<SmolStr>) {
        self.seeds = seeds;
    }

    /// Returns our lease, which must be checked again before an effect leaves the process.
    pub fn holding(&self) -> Holding {
        self.holding
    }

    /// Returns entries for a caller, a key's owner first.
    pub fn addresses(&mut self, now: Time, key: Option<u64>) -> Vec<Endpoint> {
        let timeout = self.heartbeat_timeout();
        let limit = self.settings.addresses;
        addresses::choose(&self.directory, now, timeout, key, limit, &mut self.random)
    }

    /// Returns the owner of a key if a request should be forwarded there: if it is another entry and the
    /// request wasn't forwarded before. With one forward at most, entries that know different members
    /// never forward in a loop.
    pub fn forward_target(&self, now: Time, key: u64, forwarded: bool) -> Option<holder::Id> {
        if forwarded {
            return None;
        }
        let timeout = self.heartbeat_timeout();
        let usable = self
            .directory
            .iter()
            .filter(|(_, member)| member.is_usable(now, timeout))
            .map(|(id, _)| id);
        rendezvous::owner(key, usable).filter(|owner| *owner != self.me)
    }

    /// Returns the entry that holds the ledger of an entry that left.
    pub fn heir(&self, now: Time, member: holder::Id) -> Option<holder::Id> {
        let from_items = self
            .items
            .get(now, Topic::Heir, &format_smolstr!("{member}"))
            .and_then(|item| holder::Id::parse(std::str::from_utf8(&item.payload).ok()?));
        from_items.or_else(|| self.directory.get(member)?.record.row.heir)
    }

    /// Returns the `host:port` at which other entries connect to a member.
    pub fn peer_address(&self, id: holder::Id) -> Option<&SmolStr> {
        Some(&self.directory.get(id)?.record.row.peer_address)
    }

    /// Returns the latest item on a subject.
    pub fn item(&self, now: Time, topic: Topic, key: &SmolStr) -> Option<Item> {
        self.items.get(now, topic, key)
    }

    /// Returns whether a backend server incarnation is known to be leaving. Never reverts.
    pub fn is_leaving(&self, incarnation: &str) -> bool {
        self.items.contains(Topic::Leaving, incarnation)
    }

    /// Returns whether all members were read from the table service at least once.
    pub fn has_read_all(&self) -> bool {
        self.has_read_all
    }

    /// Returns the configuration version that this entry has applied.
    pub fn applied_version(&self) -> u64 {
        self.beat.applied
    }

    /// Returns the members to send messages to: the latest life at each address except our own.
    ///
    /// Guards against earlier lives, which remain members until they are known to be gone: after a
    /// restart of all entries of a large system, each broadcast was sent three times and filled the
    /// senders' links for eight seconds.
    pub fn peers(&self) -> impl Iterator<Item = (holder::Id, &Member)> {
        let address = &self.registration.row().peer_address;
        let latest = self.directory.latest_by_address();
        latest.filter(move |(id, member)| {
            *id != self.me && member.record.row.peer_address != *address
        })
    }

    /// Returns our heartbeat, for messages outside the rounds.
    pub fn beat(&self) -> Beat {
        self.beat
    }

    /// Advances our heartbeat, for a message outside the rounds.
    pub fn advance_beat(&mut self, now: Time) {
        self.beat.count += 1;
        let beat = self.beat;
        self.directory.record_beat(now, &beat);
    }

    /// Suspects a member by the count of its last heartbeat; returns whether that is new. Refutes
    /// suspicion of ourselves.
    pub fn suspect(&mut self, now: Time, id: holder::Id, count: u64) -> bool {
        if id == self.me {
            self.beat.count = self.beat.count.max(count + REFUTATION_LEAD);
            self.advance_beat(now);
            self.schedule_urgent_rounds(now);
            return false;
        }
        self.directory.suspect(id, count)
    }

    /// Returns all known members.
    pub fn directory(&self) -> &Directory {
        &self.directory
    }

    /// Returns when [`Event::Wake`] is next needed.
    pub fn next_wake(&self) -> Time {
        let mut wake = self.next_gossip;
        if let Some(renewal) = self.registration.next_wake() {
            wake = wake.min(renewal);
        }
        if !self.roster.is_busy() {
            wake = wake.min(self.next_zone_read).min(self.next_full_read);
        }
        wake
    }

    fn handle_outcome(
        &mut self,
        now: Time,
        id: call::Id,
        outcome: Outcome,
        effects: &mut Vec<Effect>,
    ) {
        let failed = matches!(outcome, Outcome::Unavailable | Outcome::Unknown);
        let wait = if failed {
            self.backoff.next_delay()
        } else {
            self.backoff.reset();
            Span::ZERO
        };
        match self.calls.remove(&id) {
            Some(Purpose::Renewal) => self.registration.handle_outcome(now, outcome, wait),
            Some(Purpose::Read) => self.handle_page(now, outcome, wait, effects),
            Some(Purpose::Delete) | None => {}
        }
    }

    /// Handles a page or the failure of a read.
    fn handle_page(&mut self, now: Time, outcome: Outcome, wait: Span, effects: &mut Vec<Effect>) {
        let (page, finished) = self.roster.handle_outcome(now, outcome);
        if let Some(call) = page {
            return self.call(Purpose::Read, call, effects);
        }
        let Some(finished) = finished else {
            self.next_zone_read = now + wait;
            self.next_full_read = self.next_full_read.min(now + wait);
            return;
        };
        for record in &finished.records {
            self.merge_record(now, record);
        }
        self.conclude_unrefuted_lapses(now);
        self.has_read_all |= finished.is_full;
        if finished.is_full {
            let members = self.roster.members().map(|(row, lapsed)| view::Member {
                id: row.id,
                applied: row.applied,
                lapsed,
            });
            let view = View {
                requested_at: finished.requested_at,
                members: members.collect(),
            };
            effects.push(Effect::View(view));
        }
        self.delete_rows(now, effects);
    }

    /// Takes silent members for gone whose rows have lapsed. Their last renewals may have failed; these refuted the lapse with
    /// counts that are higher than the rows'.
    fn conclude_unrefuted_lapses(&mut self, now: Time) {
        let timeout = self.heartbeat_timeout();
        let lapsed = self.roster.members().filter(|(_, lapsed)| *lapsed);
        let gone = lapsed.filter_map(|(row, _)| {
            let member = self.directory.get(row.id)?;
            let is_silent = now.since(member.last_seen) > timeout;
            (member.is_present() && is_silent).then(|| Record {
                row: member.record.row.clone(),
                gone: true,
            })
        });
        let gone: Vec<Record> = gone.collect();
        for record in &gone {
            self.merge_record(now, record);
        }
    }

    /// Deletes rows that aren't needed any more. One member is responsible for each, to avoid duplicate
    /// calls.
    fn delete_rows(&mut self, now: Time, effects: &mut Vec<Effect>) {
        let deletable = self.roster.deletable(
            now,
            self.settings.left_retention,
            self.settings.lapsed_retention,
            |id| self.known_gone.contains(&id),
        );
        let mine = deletable.into_iter().filter(|(id, _)| {
            let present = self.directory.present().map(|(id, _)| id);
            rendezvous::owner(id.0, present) == Some(self.me)
        });
        let calls: Vec<Call> = mine.map(|(_, call)| call).take(MAX_DELETIONS).collect();
        for call in calls {
            self.call(Purpose::Delete, call, effects);
        }
    }

    fn set_applied_version(&mut self, now: Time, version: u64) {
        if version <= self.beat.applied {
            return;
        }
        self.beat.applied = version;
        let min_interval = self
            .settings
            .min_renewal_interval_for(self.directory.present_count());
        self.registration
            .change(min_interval, |row| row.applied = version);
        self.schedule_urgent_rounds(now);
    }

    fn leave(&mut self, now: Time, heir: Option<holder::Id>) {
        self.change_state(now, State::Left, heir);
        if let Some(heir) = heir {
            let item = Item {
                topic: Topic::Heir,
                key: format_smolstr!("{}", self.me),
                version: 1,
                age_ms: 0,
                payload: format!("{heir}").into_bytes(),
            };
            self.merge_item(now, &item);
        }
    }

    fn change_state(&mut self, now: Time, state: State, heir: Option<holder::Id>) {
        self.registration.change(Span::ZERO, |row| {
            row.state = state;
            row.heir = heir;
        });
        self.merge_own_record(now);
        self.rumors.add(Subject::Member(self.me));
        self.schedule_urgent_rounds(now);
    }

    /// Renews our row if that is due.
    fn renew(&mut self, now: Time, effects: &mut Vec<Effect>) {
        let members = self.directory.present_count();
        let interval = self.settings.renewal_interval_for(members);
        let interval = self.backoff.jitter(interval).min(interval);
        let term = self.settings.term_for(members);
        if let Some(call) = self.registration.take_due(now, interval, term) {
            self.merge_own_record(now);
            self.call(Purpose::Renewal, call, effects);
        }
    }

    /// Merges our own row into the directory.
    fn merge_own_record(&mut self, now: Time) {
        let record = Record {
            row: self.registration.row().clone(),
            gone: false,
        };
        self.merge_record(now, &record);
    }

    /// Reads the rows of our zone often and all rows rarely.
    fn read(&mut self, now: Time, effects: &mut Vec<Effect>) {
        if self.roster.is_busy() || now < self.next_zone_read.min(self.next_full_read) {
            return;
        }
        let zone = row::zone_prefix(&self.registration.row().zone);
        let zone_interval = self.settings.scan_interval_for(self.roster.count(&zone));
        self.next_zone_read = now + self.backoff.jitter(zone_interval);
        let prefix = if now >= self.next_full_read {
            let full_interval = self
                .settings
                .scan_interval_for(self.directory.present_count());
            self.next_full_read = now + self.backoff.jitter(full_interval);
            SmolStr::default()
        } else {
            zone
        };
        let call = self.roster.start(now, prefix);
        self.call(Purpose::Read, call, effects);
    }

    /// Emits effects for our lease, the present members and our leaving if they have changed.
    fn emit_changes(&mut self, before: u64, effects: &mut Vec<Effect>) {
        let holding = self.registration.holding();
        if holding != self.holding {
            self.holding = holding;
            effects.push(Effect::Lease(holding));
        }
        if self.directory.presence_changes() != before {
            let peers = self.directory.present().map(|(id, _)| id);
            effects.push(Effect::Peers(peers.filter(|id| *id != self.me).collect()));
        }
        if self.registration.has_left() && !self.left {
            self.left = true;
            effects.push(Effect::Left);
        }
    }

    fn heartbeat_timeout(&self) -> Span {
        self.settings
            .heartbeat_timeout_for(self.directory.present_count())
    }

    fn call(&mut self, purpose: Purpose, call: Call, effects: &mut Vec<Effect>) {
        let id = call::Id(self.next_call);
        self.next_call += 1;
        self.calls.insert(id, purpose);
        effects.push(Effect::Store { id, call });
    }
}
