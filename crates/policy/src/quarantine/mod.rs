//! Keeps one request that crashes its replica from taking down one replica after another.
//!
//! *Pattern*: a killer request, sent again by its caller through every entry. *Without it*: each
//! attempt, by retry or by the caller, costs one replica and everything that ran there; 8 entries
//! with one retry each lose 16. *How*: a crash makes every fingerprint that ran there suspect. A
//! suspect is held until peers' news must have come, then runs apart from all other suspects, at the
//! one replica that every entry would choose for it. A second crash quarantines it: its final
//! answer is given at once, here and, by [`Digest`], at every entry. A run to the end acquits it.
//!
//! *To compose*: ask [`Quarantine::standing`] before a start; [`Quarantine::reserve`] the
//! [`Quarantine::choose_replica`] of a [`Standing::Trial`] unless another suspect is there, and start it if the
//! claim [`Quarantine::holds_claim`] after its time; keep
//! other work off a [`Quarantine::is_reserved`] replica while there is room elsewhere; stop copies
//! of what [`Quarantine::take_suspects`] names. Report crashes of replicas that were not announced
//! as leaving. A crash is counted by incarnation, so that entries which report the same one don't
//! count it twice.
//!
//! *Guard against the loss of a zone*: everything that ran there would be suspect and would wait to
//! run alone just when capacity is short. It shows as several replicas of one zone lost together;
//! such crashes blame nobody. The guard holds because nobody is judged before `settle` has passed.

mod claims;
mod crashes;
mod digest;
mod record;
mod records;

use std::collections::VecDeque;

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
use self::record::Record;
use self::records::Records;

/// How a fingerprint may be run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// Like any other.
    Clear,
    /// Not before this time; ask again then.
    Held(Time),
    /// Now, alone on its replica.
    Trial,
    /// Never within this span.
    Quarantined(Span),
}

/// What one entry knows of killer requests.
#[derive(Debug)]
pub struct Quarantine {
    config: Config,
    seed: u64,
    records: Records,
    crashes: Crashes,
    claims: Claims,
    urgent: bool,
    /// Fingerprints against which something new came up; bounded by what one event names.
    accused: Vec<u64>,
    /// Copies of suspects that were stopped within `settle`: when, fingerprint, replica.
    stopped: VecDeque<Stopped>,
}

/// A suspect's copy that was called back from a replica.
#[derive(Clone, Copy, Debug)]
struct Stopped {
    at: Time,
    fingerprint: u64,
    replica: u64,
    zone: u64,
}

impl Quarantine {
    /// Knows of nothing yet; `seed` differs between entries.
    pub fn new(config: Config, seed: u64) -> Quarantine {
        Quarantine {
            config,
            seed,
            records: Records::default(),
            crashes: Crashes::default(),
            claims: Claims::default(),
            urgent: false,
            accused: Vec::new(),
            stopped: VecDeque::new(),
        }
    }

    /// How the request of that fingerprint may be run now.
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
        if self.is_judged(now, record) {
            return Standing::Quarantined(record.expires.since(now));
        }
        match self.claims.until(now, fingerprint) {
            Some(lapses) => Standing::Held(lapses),
            None => Standing::Trial,
        }
    }

    /// Where a suspect runs, of the replicas where no other one does: the same place at every entry
    /// that knows the same.
    pub fn choose_replica<T: Copy>(
        &self,
        fingerprint: u64,
        replicas: impl Iterator<Item = (T, u64)>,
    ) -> Option<T> {
        rendezvous::top_two(fingerprint, replicas).0
    }

    /// Whether a suspect runs alone at that replica, here or at a peer.
    pub fn is_reserved(&self, now: Time, replica: u64) -> bool {
        self.claims.covers(now, replica)
    }

    /// How many replicas are kept free for suspects, here and at peers.
    pub fn reserved_count(&self, now: Time) -> usize {
        self.claims.count(now)
    }

    /// Claims the replica for a suspect; it may start once the claim has stood for the configured
    /// time.
    pub fn reserve(&mut self, fingerprint: u64, replica: u64) {
        self.claims.reserve(fingerprint, replica);
        self.urgent = true;
    }

    /// Whether the claim still stands. It falls if another entry claimed the replica in the same
    /// moment for another suspect: two of them at one replica would both be blamed for its crash.
    pub fn holds_claim(&self, fingerprint: u64, replica: u64) -> bool {
        self.claims.holds(fingerprint, replica)
    }

    /// The suspect starts at the replica that was claimed for it.
    pub fn start_trial(&mut self, replica: u64) {
        self.claims.start(replica);
    }

    /// The attempt of a suspect ended, however it did.
    pub fn end_trial(&mut self, fingerprint: u64) {
        self.claims.end_own(fingerprint);
    }

    /// A replica crashed while these fingerprints ran there.
    pub fn record_crash(&mut self, now: Time, replica: u64, zone: u64, running: &[u64]) {
        self.note_crash(now, replica, zone);
        for fingerprint in running {
            let settled = self.settled(now, *fingerprint);
            self.accuse(now, *fingerprint, &[replica], self.config.duration, settled);
        }
        self.forgive_zone(zone);
        self.urgent = true;
    }

    /// A copy of a suspect was called back from that replica, unfinished.
    ///
    /// A crash of the replica within `settle` is held against it. Guards against a killer whose second
    /// crash came while its cancellation travelled: nobody was blamed for it, and the killer's trial cost a
    /// third replica.
    pub fn record_cancellation(&mut self, now: Time, fingerprint: u64, replica: u64, zone: u64) {
        self.drop_stopped(now);
        self.stopped.push_back(Stopped {
            at: now,
            fingerprint,
            replica,
            zone,
        });
    }

    /// A stopped copy ended with a crash after all; its replica may be known no more.
    pub fn record_crash_after_cancel(&mut self, now: Time, fingerprint: u64) {
        let of_it = |copy: &&Stopped| copy.fingerprint == fingerprint;
        let Some(copy) = self.stopped.iter().rfind(of_it).copied() else {
            return;
        };
        self.record_crash(now, copy.replica, copy.zone, &[fingerprint]);
    }

    /// A request ran to its end: it is no killer, unless it was found to be one already.
    pub fn record_completion(&mut self, now: Time, fingerprint: u64) {
        self.claims.end_own(fingerprint);
        let Some(record) = self.records.get(fingerprint) else {
            return;
        };
        let judged = now >= record.settled && self.is_judged(now, record);
        if judged || record.blame() == 0 {
            return;
        }
        let crashes = record.crashes.clone();
        self.acquit(fingerprint, &crashes);
        self.urgent = true;
    }

    /// Whether there is news that peers should hear at once; asking resets it.
    pub fn take_urgent(&mut self) -> bool {
        std::mem::take(&mut self.urgent)
    }

    /// Fingerprints that came under suspicion since the last call: copies of them that run are to be
    /// stopped, where that is safe, before they crash one replica each.
    pub fn take_suspects(&mut self) -> Vec<u64> {
        std::mem::take(&mut self.accused)
    }

    /// News for peers: what changed last, and by turns the rest.
    pub fn digest(&mut self, now: Time) -> Digest {
        self.crashes.drop_old(now, self.config.settle);
        let chosen = self.records.choose(now, &self.config);
        Digest {
            items: chosen
                .iter()
                .filter_map(|key| self.item(now, *key))
                .collect(),
            crashes: self.crashes.told(now),
            claims: self.claims.own(),
        }
    }

    /// Takes in a peer's news.
    pub fn merge(&mut self, now: Time, digest: &Digest) {
        let settle = self.config.settle;
        for crash in digest.crashes.iter().filter(|crash| crash.age <= settle) {
            self.note_crash(now, crash.replica, crash.zone);
        }
        for item in &digest.items {
            let settled = match item.judged {
                true => now,
                false => self.settled(now, item.fingerprint),
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
            self.forgive_zone(crash.zone);
        }
        for claim in &digest.claims {
            self.claims.heard(claim, now + self.config.claim_ttl);
        }
    }

    /// Drops what has expired; call it about once a second.
    ///
    /// A quarantined request is released on parole: one more crash is enough.
    pub fn tick(&mut self, now: Time) {
        self.records.expire(now, &self.config);
        self.claims.tick(now);
        self.crashes.drop_old(now, self.config.settle);
    }

    /// Whether the evidence is enough, be it settled or not.
    fn is_judged(&self, now: Time, record: &Record) -> bool {
        record.blame() >= self.config.crash_threshold && now < record.expires
    }

    /// When a fingerprint accused now is judged.
    fn settled(&self, now: Time, fingerprint: u64) -> Time {
        let most = self.config.settle_jitter.as_millis().max(1);
        let spread = rendezvous::weight(fingerprint, self.seed) % most;
        now + self.config.settle + Span::from_millis(spread)
    }

    /// Whether it was new.
    fn accuse(
        &mut self,
        now: Time,
        fingerprint: u64,
        by: &[u64],
        left: Span,
        settled: Time,
    ) -> bool {
        let by: Vec<u64> = by
            .iter()
            .filter(|replica| self.crashes.blames(**replica))
            .copied()
            .collect();
        if by.is_empty() {
            return false;
        }
        let expires = now + left.min(self.config.duration);
        let new = Record::new(settled, expires);
        let most = self.config.max_records;
        let Some(record) = self.records.accuse(fingerprint, &by, new, most) else {
            return false;
        };
        self.accused.push(fingerprint);
        record.expires = record.expires.max(expires);
        // A suspect that waited its time has run alone since: its second crash needs no more news.
        let was_settled = now >= record.settled && record.blame() >= self.config.crash_threshold;
        if !was_settled {
            record.settled = settled;
        }
        true
    }

    fn acquit(&mut self, fingerprint: u64, of: &[u64]) {
        let Some(record) = self.records.acquit(fingerprint, of) else {
            return;
        };
        if record.blame() == 0 {
            self.claims.release(fingerprint);
        }
    }

    /// Crashes of one zone at once are the loss of the zone: they blame nobody.
    fn forgive_zone(&mut self, zone: u64) {
        if let Some(lost) = self.crashes.forgive(zone, self.config.zone_loss_threshold) {
            self.records.forgive(&lost);
        }
        // So many at once, wherever they are, are no killer's work: its copies take two or three.
        if let Some(lost) = self.crashes.forgive_all(self.config.mass_loss_threshold) {
            self.records.forgive(&lost);
        }
    }

    fn note_crash(&mut self, now: Time, replica: u64, zone: u64) {
        let config = &self.config;
        self.claims.drop_replica(replica);
        self.crashes
            .note(now, replica, zone, config.settle, config.max_digest_items);
        self.drop_stopped(now);
        let here = |copy: &&Stopped| copy.replica == replica;
        let blamed: Vec<u64> = self
            .stopped
            .iter()
            .filter(here)
            .map(|copy| copy.fingerprint)
            .collect();
        for fingerprint in blamed {
            let settled = self.settled(now, fingerprint);
            // Only what is new is urgent: peers that tell each other of one crash would never end.
            self.urgent |= self.accuse(now, fingerprint, &[replica], self.config.duration, settled);
        }
    }

    fn drop_stopped(&mut self, now: Time) {
        let settle = self.config.settle;
        self.stopped.retain(|copy| now.since(copy.at) <= settle);
    }

    fn item(&self, now: Time, fingerprint: u64) -> Option<Item> {
        let record = self.records.get(fingerprint)?;
        Some(Item {
            fingerprint,
            crashes: record.crashes.clone(),
            acquitted: record.acquitted.clone(),
            judged: now >= record.settled && self.is_judged(now, record),
            remaining: record.expires.since(now),
        })
    }
}
