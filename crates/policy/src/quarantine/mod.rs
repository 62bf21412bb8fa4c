//! Keeps a request that crashes its replica from taking down one replica after another.
//!
//! Guards against a killer request ("query of death") that its caller resends through every entry:
//! each attempt, by retry or by the caller, costs one replica and everything that ran there; 8
//! entries with one retry each lose 16. A crash makes every fingerprint that ran there a suspect. A
//! suspect is held until digests from peers must have arrived, then runs apart from all other
//! suspects, on the one replica that every entry would choose for it. A second crash quarantines
//! it: it is refused for good without another attempt, here and, through [`Digest`], at every
//! entry. A run to the end acquits it.
//!
//! Usage: call [`Quarantine::standing`] before a start. For a [`Standing::Trial`], call
//! [`Quarantine::reserve`] with the replica from [`Quarantine::choose_replica`], unless another
//! suspect is there, and start the job if [`Quarantine::holds_claim`] after `claim_delay`. Keep
//! other work off replicas that are [`Quarantine::is_reserved`] while there is room elsewhere, and
//! stop running copies of what [`Quarantine::take_suspects`] returns. Report only crashes of
//! replicas that were not announced as leaving. Crashes are counted by incarnation, so that entries
//! that report the same one don't count it twice.
//!
//! The loss of a zone would make everything that ran there suspect, to run alone just when capacity
//! is short. It shows as several replicas of one zone lost together, and such crashes are forgiven.
//! That is safe because nothing is judged before `settle` has passed.
//!
//! Parts that several prompts share are judged apart from whole requests, see [`parts`].

mod claims;
mod crashes;
mod digest;
pub mod parts;
mod record;
mod records;

use std::collections::VecDeque;
use std::rc::Rc;

use clock::Span;
use clock::Time;

use crate::configs::quarantine::Config;
use crate::rendezvous;

use self::claims::Claims;
use self::crashes::Crashes;
pub use self::digest::Claim;
pub use self::digest::Crash;
pub use self::digest::Digest;
pub use self::digest::Item;
pub use self::digest::PartItem;
use self::parts::Parts;
use self::record::Record;
use self::records::Records;

/// How a request may be run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// Like any other request.
    Clear,
    /// Not before this time; ask again then.
    Held(Time),
    /// Now, alone on its replica.
    Trial,
    /// Not within this span.
    Quarantined(Span),
}

/// Evidence of killer requests at one entry.
#[derive(Debug)]
pub struct Quarantine {
    config: Config,
    seed: u64,
    records: Records,
    crashes: Crashes,
    claims: Claims,
    urgent: bool,
    /// Fingerprints with new evidence against them; bounded by what one event names.
    new_suspects: Vec<u64>,
    /// Copies of suspects that were cancelled within `settle`.
    cancelled: VecDeque<Cancelled>,
    parts: Parts,
}

/// A suspect's copy that was cancelled on a replica.
#[derive(Clone, Copy, Debug)]
struct Cancelled {
    at: Time,
    fingerprint: u64,
    replica: u64,
    zone: u64,
}

impl Quarantine {
    /// Creates a quarantine without evidence; `seed` differs between entries.
    pub fn new(config: Config, seed: u64) -> Quarantine {
        Quarantine {
            parts: Parts::new(config.parts),
            config,
            seed,
            records: Records::default(),
            crashes: Crashes::default(),
            claims: Claims::default(),
            urgent: false,
            new_suspects: Vec::new(),
            cancelled: VecDeque::new(),
        }
    }

    /// Returns how the request of that fingerprint may be run now.
    pub fn standing(&self, now: Time, fingerprint: u64) -> Standing {
        let Some(record) = self.records.get(fingerprint) else {
            return Standing::Clear;
        };
        if record.blame() == 0 {
            return Standing::Clear;
        }
        if now < record.settled {
            return Standing::Held(record.settled);
        }
        if self.has_enough_evidence(now, record) {
            return Standing::Quarantined(record.expires.since(now));
        }
        match self.claims.claimed_until(now, fingerprint) {
            Some(expires) => Standing::Held(expires),
            None => Standing::Trial,
        }
    }

    /// Returns the replica for a suspect among those without another one. Every entry with the same
    /// evidence returns the same replica.
    pub fn choose_replica<T: Copy>(
        &self,
        fingerprint: u64,
        replicas: impl Iterator<Item = (T, u64)>,
    ) -> Option<T> {
        rendezvous::top_two(fingerprint, replicas).0
    }

    /// Returns whether a suspect runs alone on that replica, here or at a peer.
    pub fn is_reserved(&self, now: Time, replica: u64) -> bool {
        self.claims.is_claimed(now, replica)
    }

    /// Returns how many replicas are reserved for suspects, here and at peers.
    pub fn reserved_count(&self, now: Time) -> usize {
        self.claims.count(now)
    }

    /// Claims the replica for a suspect, which may start once the claim has been held for
    /// `claim_delay`.
    pub fn reserve(&mut self, fingerprint: u64, replica: u64) {
        self.claims.reserve(fingerprint, replica);
        self.urgent = true;
    }

    /// Returns whether the claim is still held. It is lost if another entry claimed the replica at
    /// the same time for another suspect: both on one replica would be blamed for its crash.
    pub fn holds_claim(&self, fingerprint: u64, replica: u64) -> bool {
        self.claims.holds(fingerprint, replica)
    }

    /// Records that a suspect starts on the replica that was claimed for it.
    pub fn start_trial(&mut self, replica: u64) {
        self.claims.start(replica);
    }

    /// Records that the attempt of a suspect ended, whatever its outcome.
    pub fn end_trial(&mut self, fingerprint: u64) {
        self.claims.end_own(fingerprint);
    }

    /// Records the crash of a replica while these fingerprints ran there.
    pub fn record_crash(&mut self, now: Time, replica: u64, zone: u64, running: &[u64]) {
        self.add_crash(now, replica, zone);
        for fingerprint in running {
            let settled = self.settle_time(now, *fingerprint);
            self.accuse(now, *fingerprint, &[replica], self.config.duration, settled);
        }
        self.forgive_losses(zone);
        self.urgent = true;
    }

    /// Records that a suspect's unfinished copy was cancelled on that replica.
    ///
    /// A crash of the replica within `settle` is held against it. Guards against a killer whose
    /// second crash comes while its cancellation is in transit: otherwise nothing is blamed for it,
    /// and the killer's trial costs a third replica.
    pub fn record_cancellation(&mut self, now: Time, fingerprint: u64, replica: u64, zone: u64) {
        self.drop_old_cancelled(now);
        self.cancelled.push_back(Cancelled {
            at: now,
            fingerprint,
            replica,
            zone,
        });
    }

    /// Records that a cancelled copy crashed its replica after all; the replica may be unknown by
    /// now.
    pub fn record_crash_after_cancel(&mut self, now: Time, fingerprint: u64) {
        let matches = |copy: &&Cancelled| copy.fingerprint == fingerprint;
        let Some(copy) = self.cancelled.iter().rfind(matches).copied() else {
            return;
        };
        self.record_crash(now, copy.replica, copy.zone, &[fingerprint]);
    }

    /// Records that a request ran to its end, which acquits it unless it was quarantined before.
    pub fn record_completion(&mut self, now: Time, fingerprint: u64) {
        self.claims.end_own(fingerprint);
        let Some(record) = self.records.get(fingerprint) else {
            return;
        };
        let judged = now >= record.settled && self.has_enough_evidence(now, record);
        if judged || record.blame() == 0 {
            return;
        }
        let crashes = record.crashes.clone();
        self.acquit(fingerprint, &crashes);
        self.urgent = true;
    }

    /// Returns whether there is evidence to send to peers immediately, and resets the flag.
    pub fn take_urgent(&mut self) -> bool {
        std::mem::take(&mut self.urgent) | self.parts.take_urgent()
    }

    /// Sets the entries that share the evidence on parts of prompts, by their identities.
    pub fn set_members(&mut self, own: u64, members: Vec<u64>) {
        self.parts.set_members(own, members);
    }

    /// Returns how a prompt with these shared parts may be run.
    pub fn prompt_standing(&self, now: Time, parts: &[u64]) -> parts::Standing {
        self.parts.standing(now, parts)
    }

    /// Returns whether a request with these shared parts is to be refused.
    pub fn blocks(&self, parts: &[u64], request: u64) -> bool {
        self.parts.blocks(parts, request)
    }

    /// Records that a request is tried with a blocked part.
    pub fn begin_probe(&mut self, now: Time, part: u64, request: u64) {
        self.parts.begin_probe(now, part, request);
    }

    /// Records that a request has its final answer.
    pub fn end_probe(&mut self, request: u64) {
        self.parts.end_probe(request);
    }

    /// Records the crash of a replica that was to answer the prompt of a request with these shared parts.
    pub fn accuse_parts(
        &mut self,
        now: Time,
        replica: u64,
        zone: u64,
        request: u64,
        parts: &[u64],
    ) {
        self.add_crash(now, replica, zone);
        self.forgive_losses(zone);
        self.parts.accuse(now, replica, request, parts);
    }

    /// Records that a replica has written an answer to a prompt with these shared parts.
    pub fn record_answer(&mut self, now: Time, replica: u64, parts: &Rc<[u64]>) {
        self.parts.record_answer(now, replica, parts);
    }

    /// Judges the shared parts of prompts by the answers and crashes that are old enough to count.
    pub fn judge_parts(&mut self, now: Time) {
        self.parts.confirm_answers(now, &self.crashes);
        self.parts.poll(now, &self.crashes);
    }

    /// Returns the changes of what is blocked since the last call.
    pub fn take_changes(&mut self) -> Vec<parts::Change> {
        self.parts.take_changes()
    }

    /// Returns the fingerprints that became suspect since the last call. Their running copies are
    /// to be stopped, where that is safe, before they crash one replica each.
    pub fn take_suspects(&mut self) -> Vec<u64> {
        std::mem::take(&mut self.new_suspects)
    }

    /// Returns the digest for peers: the latest changes, and the rest in rotation.
    pub fn digest(&mut self, now: Time) -> Digest {
        self.crashes.drop_old(now, self.config.settle);
        self.parts.tick(now, &self.crashes);
        let selected = self.records.select_for_digest(now, &self.config);
        Digest {
            items: selected
                .iter()
                .filter_map(|key| self.item(now, *key))
                .collect(),
            crashes: self.crashes.recent(now),
            claims: self.claims.own(),
            parts: self.parts.digest(now),
        }
    }

    /// Merges a peer's digest.
    pub fn merge(&mut self, now: Time, digest: &Digest) {
        let settle = self.config.settle;
        for crash in digest.crashes.iter().filter(|crash| crash.age <= settle) {
            self.add_crash(now, crash.replica, crash.zone);
        }
        for item in &digest.items {
            let settled = match item.judged {
                true => now,
                false => self.settle_time(now, item.fingerprint),
            };
            self.accuse(
                now,
                item.fingerprint,
                &item.crashes,
                item.remaining,
                settled,
            );
            self.acquit(item.fingerprint, &item.acquitted);
        }
        for crash in &digest.crashes {
            self.forgive_losses(crash.zone);
        }
        for claim in &digest.claims {
            self.claims.merge(claim, now + self.config.claim_ttl);
        }
        self.parts.merge(now, &digest.parts, &self.crashes);
    }

    /// Returns parts that were accused and found sound here within the last `window`, with the times since.
    pub fn recently_cleared(&self, now: Time, window: Span) -> Vec<(u64, Span)> {
        self.parts.recently_cleared(now, window)
    }

    /// Takes parts for sound that replicas answered those times ago, as a peer states.
    pub fn merge_cleared(&mut self, now: Time, cleared: &[(u64, Span)]) {
        let item = |(part, age): &(u64, Span)| PartItem {
            part: *part,
            crashes: Vec::new(),
            answered: Some(*age),
        };
        let items: Vec<PartItem> = cleared.iter().map(item).collect();
        self.parts.merge(now, &items, &self.crashes);
    }

    /// Drops expired state; call it about once a second.
    ///
    /// A quarantined request is released on parole: one more crash is enough to quarantine it
    /// again.
    pub fn tick(&mut self, now: Time) {
        self.records.expire(now, &self.config);
        self.claims.remove_expired(now);
        self.crashes.drop_old(now, self.config.settle);
    }

    /// Returns whether the evidence is sufficient, settled or not.
    fn has_enough_evidence(&self, now: Time, record: &Record) -> bool {
        record.blame() >= self.config.crash_threshold && now < record.expires
    }

    /// Returns when a fingerprint accused now is judged.
    fn settle_time(&self, now: Time, fingerprint: u64) -> Time {
        let max_jitter = self.config.settle_jitter.as_millis().max(1);
        let jitter = rendezvous::weight(fingerprint, self.seed) % max_jitter;
        now + self.config.settle + Span::from_millis(jitter)
    }

    /// Adds crashes to a fingerprint; returns whether any was new.
    fn accuse(
        &mut self,
        now: Time,
        fingerprint: u64,
        replicas: &[u64],
        remaining: Span,
        settled: Time,
    ) -> bool {
        let replicas: Vec<u64> = replicas
            .iter()
            .filter(|replica| self.crashes.is_blamable(**replica))
            .copied()
            .collect();
        if replicas.is_empty() {
            return false;
        }
        let expires = now + remaining.min(self.config.duration);
        let new = Record::new(settled, expires);
        let limit = self.config.max_records;
        let Some(record) = self.records.accuse(fingerprint, &replicas, new, limit) else {
            return false;
        };
        self.new_suspects.push(fingerprint);
        record.expires = record.expires.max(expires);
        // A suspect that was held until `settled` has run alone since: its second crash needs no
        // more evidence.
        let was_settled = now >= record.settled && record.blame() >= self.config.crash_threshold;
        if !was_settled {
            record.settled = settled;
        }
        true
    }

    fn acquit(&mut self, fingerprint: u64, crashes: &[u64]) {
        let Some(record) = self.records.acquit(fingerprint, crashes) else {
            return;
        };
        if record.blame() == 0 {
            self.claims.release(fingerprint);
        }
    }

    /// Forgives crashes that are the loss of a zone, or of much of the pool: they blame no request.
    fn forgive_losses(&mut self, zone: u64) {
        if let Some(lost) = self
            .crashes
            .forgive_zone(zone, self.config.zone_loss_threshold)
        {
            self.records.forgive(&lost);
        }
        // So many crashes at once, in whatever zones, aren't the work of a killer: its copies cause
        // two or three.
        if let Some(lost) = self.crashes.forgive_all(self.config.mass_loss_threshold) {
            self.records.forgive(&lost);
        }
    }

    fn add_crash(&mut self, now: Time, replica: u64, zone: u64) {
        let config = &self.config;
        self.claims.drop_replica(replica);
        self.parts.forget_answers(replica);
        self.crashes
            .record(now, replica, zone, config.settle, config.max_digest_items);
        self.drop_old_cancelled(now);
        let on_replica = |copy: &&Cancelled| copy.replica == replica;
        let blamed: Vec<u64> = self
            .cancelled
            .iter()
            .filter(on_replica)
            .map(|copy| copy.fingerprint)
            .collect();
        for fingerprint in blamed {
            let settled = self.settle_time(now, fingerprint);
            // Only new evidence is urgent: peers would otherwise send each other one crash without
            // end.
            self.urgent |= self.accuse(now, fingerprint, &[replica], self.config.duration, settled);
        }
    }

    fn drop_old_cancelled(&mut self, now: Time) {
        let settle = self.config.settle;
        self.cancelled.retain(|copy| now.since(copy.at) <= settle);
    }

    fn item(&self, now: Time, fingerprint: u64) -> Option<Item> {
        let record = self.records.get(fingerprint)?;
        Some(Item {
            fingerprint,
            crashes: record.crashes.clone(),
            acquitted: record.acquitted.clone(),
            judged: now >= record.settled && self.has_enough_evidence(now, record),
            remaining: record.expires.since(now),
        })
    }
}
