//! Gossip: rounds of digests to a few peers, and merging of received digests.

use clock::Time;
use lease::holder;
use rand::RngExt;

use crate::digest::BEAT_BYTES;
use crate::digest::Digest;
use crate::digest::Item;
use crate::digest::Record;
use crate::event::Effect;
use crate::membership::Membership;
use crate::rumors::Kind;
use crate::rumors::Subject;

/// Rounds between two digests to a member that seems to be silent, so that a healed partition is detected.
const SILENT_PEER_ROUNDS: u64 = 8;
/// Rounds between two removals of expired items and members.
const EXPIRE_ROUNDS: u64 = 64;
/// Share of a digest for items. They go before records: a wave that takes many members creates many
/// records, which must not delay a leaving backend server.
const ITEMS_SHARE: f64 = 0.5;
/// Share of a digest for items and records.
const ITEMS_AND_RECORDS_SHARE: f64 = 0.5;
/// Share of a digest for heartbeats, whatever else waits: the records of many entries that start together take half a
/// minute to go round, and entries without heartbeats are taken for failed. The rest is for round-robin subjects.
const BEATS_SHARE: f64 = 0.4;
/// Most bytes of a snapshot, the answer to a greeting from a starting entry.
const MAX_SNAPSHOT_BYTES: usize = 128 << 10;
/// Urgent rounds after something new was learned. With two peers per round and a third of them frozen,
/// one round reaches too few for the item to spread; after three, the next regular rounds reach the rest.
const URGENT_ROUNDS: u32 = 3;
/// Least size of a subject in a digest, bytes.
const MIN_SUBJECT_BYTES: usize = 32;

impl Membership {
    /// Sends a round of digests when one is due.
    pub(super) fn gossip(&mut self, now: Time, effects: &mut Vec<Effect>) {
        if now < self.next_gossip {
            return;
        }
        let is_regular = now >= self.next_regular_gossip;
        self.last_gossip = now;
        if is_regular {
            self.next_regular_gossip = now + self.backoff.jitter(self.settings.gossip_interval);
        }
        self.next_gossip = self.next_regular_gossip;
        self.round += 1;
        self.beat.count += 1;
        let beat = self.beat;
        self.directory.record_beat(now, &beat);
        if self.round.is_multiple_of(EXPIRE_ROUNDS) {
            self.expire(now);
        }
        let targets = self.choose_targets(now);
        if targets.is_empty() {
            return self.greet(effects);
        }
        for to in targets {
            let digest = self.create_digest(now, self.settings.digest_bytes, is_regular);
            self.budget.spend(digest.size());
            effects.push(Effect::Send { to, digest });
        }
        self.urgent_rounds = self.urgent_rounds.saturating_sub(1);
        self.schedule_urgent(now);
    }

    /// Sends an item of our own to peers at once, outside the rounds.
    ///
    /// A request that crashes backend servers is retried within milliseconds through another entry. With
    /// rounds the quarantine would arrive tenths of a second later and each entry would lose servers of
    /// its own; besides, the item of a crash exceeds a round's size.
    pub(super) fn announce(&mut self, item: Item, effects: &mut Vec<Effect>) {
        let digest = Digest {
            own: self.beat,
            items: vec![item],
            ..Digest::default()
        };
        let peers: Vec<holder::Id> = self.peers().map(|(id, _)| id).collect();
        for to in peers.into_iter().take(self.settings.announce_fanout) {
            self.budget.spend(digest.size());
            effects.push(Effect::Send {
                to,
                digest: digest.clone(),
            });
        }
    }

    /// Merges a peer's digest.
    ///
    /// Guards against our own digests, which others may send to an earlier life's address: our counts
    /// would also be taken for a peer's, and be charged and reported twice.
    pub(super) fn receive(&mut self, now: Time, digest: Digest, effects: &mut Vec<Effect>) {
        if digest.own.id == self.me {
            return;
        }
        for record in &digest.records {
            self.merge_record(now, record);
        }
        for beat in digest.beats.iter().chain([&digest.own]) {
            if beat.id != self.me && self.directory.record_beat(now, beat) {
                effects.push(Effect::Applied {
                    member: beat.id,
                    version: beat.applied,
                });
            }
        }
        for item in &digest.items {
            let new = match item.topic.is_passed_on() {
                true => self.merge_item(now, item),
                false => self.items.insert(now, item),
            };
            if new {
                effects.push(Effect::Item(item.clone()));
            }
        }
        if digest.greeting {
            let snapshot = self.create_snapshot(now);
            effects.push(Effect::Send {
                to: digest.own.id,
                digest: snapshot,
            });
        }
    }

    /// Merges a record and passes it on if others should receive it.
    pub(super) fn merge_record(&mut self, now: Time, record: &Record) {
        let id = record.row.id;
        // Our next renewal, even a failed one, has a higher count and refutes it.
        if id == self.me && record.gone {
            return;
        }
        if self.directory.merge(now, record) {
            self.rumors.add(Subject::Member(id));
            self.schedule_urgent_rounds(now);
        } else if self.directory.get(id).is_some() {
            self.rumors.add_cold(Subject::Member(id));
        }
    }

    /// Merges an item and passes it on if it is new.
    pub(super) fn merge_item(&mut self, now: Time, item: &Item) -> bool {
        if !self.items.insert(now, item) {
            return false;
        }
        self.rumors.add(Subject::Item(item.topic, item.key.clone()));
        if item.topic.is_urgent() {
            self.schedule_urgent_rounds(now);
        }
        true
    }

    /// Schedules urgent rounds because something new was learned.
    pub(super) fn schedule_urgent_rounds(&mut self, now: Time) {
        self.urgent_rounds = URGENT_ROUNDS;
        self.schedule_urgent(now);
    }

    /// Brings the next round forward while urgent rounds are left and the byte budget allows it.
    fn schedule_urgent(&mut self, now: Time) {
        if self.urgent_rounds == 0 || !self.budget.can_spend(now, &self.settings) {
            return;
        }
        let next_urgent = (self.last_gossip + self.settings.urgent_interval).max(now);
        self.next_gossip = self.next_gossip.min(next_urgent);
    }

    /// Chooses the peers of this round: random reachable ones, and sometimes a silent one.
    fn choose_targets(&mut self, now: Time) -> Vec<holder::Id> {
        let timeout = self.heartbeat_timeout();
        let (mut reachable, silent): (Vec<_>, Vec<_>) = self
            .peers()
            .map(|(id, member)| (id, now.since(member.last_seen) <= timeout))
            .partition(|(_, reachable)| *reachable);
        let mut targets = Vec::new();
        if !silent.is_empty()
            && (reachable.is_empty() || self.round.is_multiple_of(SILENT_PEER_ROUNDS))
        {
            targets.push(silent[self.random.random_range(0..silent.len())].0);
        }
        while targets.len() < self.settings.fanout && !reachable.is_empty() {
            let index = self.random.random_range(0..reachable.len());
            targets.push(reachable.swap_remove(index).0);
        }
        targets
    }

    /// Sends a greeting to a random seed address.
    fn greet(&mut self, effects: &mut Vec<Effect>) {
        if self.seeds.is_empty() {
            return;
        }
        let index = self.random.random_range(0..self.seeds.len());
        let digest = Digest {
            own: self.beat,
            records: vec![Record {
                row: self.registration.row().clone(),
                gone: false,
            }],
            greeting: true,
            ..Digest::default()
        };
        let address = self.seeds[index].clone();
        effects.push(Effect::Greet { address, digest });
    }

    /// Creates a digest within `limit` bytes: hot subjects, then heartbeats, then subjects in round-robin
    /// order.
    fn create_digest(&mut self, now: Time, limit: usize, is_regular: bool) -> Digest {
        let mut digest = Digest {
            own: self.beat,
            ..Digest::default()
        };
        let members = self.directory.present_count();
        let share_bytes = |share: f64| (limit as f64 * share) as usize;
        let max_extra = self.settings.burst_digest_bytes.saturating_sub(limit);
        let extra =
            (self.budget.spare_bytes(&self.settings) / self.settings.fanout.max(1)).min(max_extra);
        for (kind, share) in [
            (Kind::Item, ITEMS_SHARE),
            (Kind::Member, ITEMS_AND_RECORDS_SHARE),
        ] {
            let limit = share_bytes(share) + extra;
            for subject in self.rumors.hottest(kind, limit / MIN_SUBJECT_BYTES) {
                if self.add(now, &subject, limit, &mut digest) {
                    self.rumors.record_sent(&subject, members);
                }
            }
        }
        if !is_regular {
            return digest;
        }
        let used = digest.size().max(share_bytes(ITEMS_AND_RECORDS_SHARE));
        self.add_beats(now, used + share_bytes(BEATS_SHARE), &mut digest);
        for _ in 0..self.rumors.len() {
            let Some(subject) = self.rumors.next_round_robin() else {
                break;
            };
            if !self.add(now, &subject, limit, &mut digest) {
                break;
            }
        }
        digest
    }

    /// Creates a digest of everything that a starting entry should know.
    fn create_snapshot(&mut self, now: Time) -> Digest {
        let mut digest = Digest {
            own: self.beat,
            ..Digest::default()
        };
        for _ in 0..self.rumors.len() {
            if let Some(subject) = self.rumors.next_round_robin() {
                self.add(now, &subject, MAX_SNAPSHOT_BYTES, &mut digest);
            }
        }
        digest
    }

    /// Adds a subject; returns false if it doesn't fit or is already included.
    fn add(&mut self, now: Time, subject: &Subject, limit: usize, digest: &mut Digest) -> bool {
        match subject {
            Subject::Member(id) => {
                let Some(member) = self.directory.get(*id) else {
                    self.rumors.remove(subject);
                    return true;
                };
                let record = &member.record;
                let is_included = digest.records.iter().any(|other| other.row.id == *id);
                if is_included || digest.size() + record.size() > limit {
                    return false;
                }
                digest.records.push(record.clone());
            }
            Subject::Item(topic, key) => {
                let Some(item) = self.items.get(now, *topic, key) else {
                    self.rumors.remove(subject);
                    return true;
                };
                let is_included = digest
                    .items
                    .iter()
                    .any(|other| other.topic == *topic && other.key == *key);
                if is_included || digest.size() + item.size() > limit {
                    return false;
                }
                digest.items.push(item);
            }
        }
        true
    }

    /// Adds heartbeats of other members, in round-robin order.
    fn add_beats(&mut self, now: Time, limit: usize, digest: &mut Digest) {
        let timeout = self.heartbeat_timeout();
        let fresh: Vec<_> = self
            .directory
            .present()
            .filter(|(id, member)| {
                *id != self.me && member.beat.count > 0 && now.since(member.last_seen) <= timeout
            })
            .map(|(_, member)| member.beat)
            .collect();
        let start = fresh.partition_point(|beat| beat.id <= self.beat_cursor);
        for beat in fresh[start..].iter().chain(&fresh[..start]) {
            if digest.size() + BEAT_BYTES > limit {
                break;
            }
            digest.beats.push(*beat);
            self.beat_cursor = beat.id;
        }
    }

    fn expire(&mut self, now: Time) {
        for (topic, key) in self.items.expire(now) {
            self.rumors.remove(&Subject::Item(topic, key));
        }
        for id in self.directory.expire(now, self.settings.left_retention) {
            self.rumors.remove(&Subject::Member(id));
        }
    }
}
