//! Keeps one request that crashes its replica from taking down one replica after another.
//!
//! *Pattern*: a killer request, sent again by its caller through every entry. *Without it*: each
//! attempt, by retry or by the caller, costs one replica and everything that ran there; 8 entries
//! with one retry each lose 16. *How*: a crash makes every fingerprint that ran there suspect. A
//! suspect is held until peers' news must have come, then runs alone at the one replica that every
//! entry would choose for it. A second crash quarantines it: its final answer is given at once,
//! here and, by [`Digest`], at every entry. A run to the end acquits it.
//!
//! *To compose*: ask [`Quarantine::standing`] before a start; start a [`Standing::Trial`] at
//! [`Quarantine::place`] once nothing of ours runs there, after [`Quarantine::trial_started`]; keep
//! other work off a [`Quarantine::is_reserved`] replica. Report crashes of replicas that were not
//! announced as leaving. A crash is counted by incarnation, so that entries which report the same
//! one don't count it twice.
//!
//! *Guard against the loss of a zone*: everything that ran there would be suspect and would wait to
//! run alone just when capacity is short. It shows as several replicas of one zone lost together;
//! such crashes blame nobody. The guard holds because nobody is judged before `settle` has passed.

mod claims;
mod crashes;
mod digest;
mod record;

use std::collections::BTreeMap;

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
    /// By fingerprint; at most `config.records`.
    records: BTreeMap<u64, Record>,
    crashes: Crashes,
    claims: Claims,
    /// Counts the changes of records, so that digests tell the latest first.
    changes: u64,
    /// Where the next digest goes on with the older records.
    cursor: u64,
    urgent: bool,
    /// Fingerprints against which something new came up; bounded by what one event names.
    accused: Vec<u64>,
}

impl Quarantine {
    /// Knows of nothing yet; `seed` differs between entries.
    pub fn new(config: Config, seed: u64) -> Quarantine {
        Quarantine {
            config,
            seed,
            records: BTreeMap::new(),
            crashes: Crashes::default(),
            claims: Claims::default(),
            changes: 0,
            cursor: 0,
            urgent: false,
            accused: Vec::new(),
        }
    }

    /// How the request of that fingerprint may be run now.
    pub fn standing(&self, now: Time, fingerprint: u64) -> Standing {
        let Some(record) = self.records.get(&fingerprint) else {
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

    /// Where a suspect runs: the same place at every entry that knows the same replicas.
    ///
    /// Entries that chose freely would risk one replica each.
    pub fn place<T: Copy>(
        &self,
        fingerprint: u64,
        replicas: impl Iterator<Item = (T, u64)>,
    ) -> Option<T> {
        rendezvous::two(fingerprint, replicas).0
    }

    /// Whether a suspect runs alone at that replica, here or at a peer.
    pub fn is_reserved(&self, now: Time, replica: u64) -> bool {
        self.claims.covers(now, replica)
    }

    /// How many replicas are kept free for suspects, here and at peers.
    pub fn reserved(&self, now: Time) -> usize {
        self.claims.count(now)
    }

    /// A suspect starts alone at `replica`.
    pub fn trial_started(&mut self, fingerprint: u64, replica: u64) {
        self.claims.start(fingerprint, replica);
        self.urgent = true;
    }

    /// The attempt of a suspect ended, however it did.
    pub fn trial_ended(&mut self, fingerprint: u64) {
        self.claims.end_own(fingerprint);
    }

    /// A replica crashed while these fingerprints ran there.
    pub fn crashed(&mut self, now: Time, replica: u64, zone: u64, running: &[u64]) {
        self.note_crash(now, replica, zone);
        for fingerprint in running {
            let settled = self.settled(now, *fingerprint);
            self.accuse(now, *fingerprint, &[replica], self.config.term, settled);
        }
        self.forgive_zone(zone);
        self.urgent = true;
    }

    /// A request ran to its end: it is no killer, unless it was found to be one already.
    pub fn finished(&mut self, now: Time, fingerprint: u64) {
        self.claims.end_own(fingerprint);
        let Some(record) = self.records.get(&fingerprint) else {
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
    pub fn urgent(&mut self) -> bool {
        std::mem::take(&mut self.urgent)
    }

    /// Fingerprints that came under suspicion since the last call: copies of them that run are to be
    /// stopped, where that is safe, before they crash one replica each.
    pub fn take_accused(&mut self) -> Vec<u64> {
        std::mem::take(&mut self.accused)
    }

    /// News for peers: what changed last, and by turns the rest.
    pub fn digest(&mut self, now: Time) -> Digest {
        self.crashes.drop_old(now, self.config.settle);
        let chosen = self.choose(now);
        Digest {
            items: chosen.iter().map(|key| self.item(now, *key)).collect(),
            crashes: self.crashes.told(now),
            claims: self.claims.own(),
        }
    }

    /// Takes in a peer's news.
    pub fn merge(&mut self, now: Time, digest: &Digest) {
        for crash in &digest.crashes {
            self.note_crash(now, crash.replica, crash.zone);
        }
        for item in &digest.items {
            let settled = match item.judged {
                true => now,
                false => self.settled(now, item.fingerprint),
            };
            self.accuse(now, item.fingerprint, &item.crashes, item.left, settled);
            self.acquit(item.fingerprint, &item.acquitted);
        }
        for crash in &digest.crashes {
            self.forgive_zone(crash.zone);
        }
        for claim in &digest.claims {
            self.claims.heard(claim, now + self.config.claim);
        }
    }

    /// Drops what has expired; call it about once a second.
    ///
    /// A quarantined request is released on parole: one more crash is enough.
    pub fn tick(&mut self, now: Time) {
        let config = self.config;
        self.records.retain(|_, record| {
            if now < record.expires {
                return true;
            }
            let parole = record.blame() >= config.crashes;
            record.keep_last();
            record.expires = now + config.term;
            parole
        });
        self.claims.tick(now);
        self.crashes.drop_old(now, config.settle);
    }

    /// Whether the evidence is enough, be it settled or not.
    fn is_judged(&self, now: Time, record: &Record) -> bool {
        record.blame() >= self.config.crashes && now < record.expires
    }

    /// When a fingerprint accused now is judged.
    fn settled(&self, now: Time, fingerprint: u64) -> Time {
        let most = self.config.spread.as_millis().max(1);
        let spread = rendezvous::weight(fingerprint, self.seed) % most;
        now + self.config.settle + Span::from_millis(spread)
    }

    fn accuse(&mut self, now: Time, fingerprint: u64, by: &[u64], left: Span, settled: Time) {
        let by: Vec<u64> = by
            .iter()
            .filter(|replica| self.crashes.blames(**replica))
            .copied()
            .collect();
        if by.is_empty() {
            return;
        }
        if !self.records.contains_key(&fingerprint) {
            self.make_room();
        }
        let new = Record::new(settled, now + left);
        let record = self.records.entry(fingerprint).or_insert(new);
        if !record.accuse(&by) {
            return;
        }
        self.changes += 1;
        record.changed = self.changes;
        self.accused.push(fingerprint);
        record.expires = record.expires.max(now + left);
        // A suspect that waited its time has run alone since: its second crash needs no more news.
        let was_settled = now >= record.settled && record.blame() >= self.config.crashes;
        if !was_settled {
            record.settled = settled;
        }
    }

    fn acquit(&mut self, fingerprint: u64, of: &[u64]) {
        let Some(record) = self.records.get_mut(&fingerprint) else {
            return;
        };
        if !record.acquit(of) {
            return;
        }
        self.changes += 1;
        record.changed = self.changes;
        if record.blame() == 0 {
            self.claims.release(fingerprint);
        }
    }

    /// Crashes of one zone at once are the loss of the zone: they blame nobody.
    fn forgive_zone(&mut self, zone: u64) {
        let Some(lost) = self.crashes.forgive(zone, self.config.zone_loss) else {
            return;
        };
        self.records.retain(|_, record| {
            record.forget(&lost);
            !record.crashes.is_empty()
        });
    }

    fn note_crash(&mut self, now: Time, replica: u64, zone: u64) {
        let config = &self.config;
        self.claims.drop_replica(replica);
        self.crashes
            .note(now, replica, zone, config.settle, config.digest);
    }

    /// Gives up the least telling record when there are too many.
    fn make_room(&mut self) {
        if self.records.len() < self.config.records {
            return;
        }
        let least = self
            .records
            .iter()
            .min_by_key(|(_, record)| (record.blame(), record.expires))
            .map(|(fingerprint, _)| *fingerprint);
        if let Some(fingerprint) = least {
            self.records.remove(&fingerprint);
        }
    }

    /// Fingerprints for the next digest: half the latest changes, half by turns.
    fn choose(&mut self, now: Time) -> Vec<u64> {
        let margin = self.config.margin;
        let mut keys: Vec<(u64, u64)> = self
            .records
            .iter()
            .filter(|(_, record)| record.expires.since(now) > margin)
            .map(|(key, record)| (record.changed, *key))
            .collect();
        keys.sort_unstable_by(|one, other| other.cmp(one));
        let mut chosen: Vec<u64> = keys.iter().map(|(_, key)| *key).collect();
        if chosen.len() <= self.config.digest {
            return chosen;
        }
        let mut rest = chosen.split_off(self.config.digest / 2);
        rest.sort_unstable_by_key(|key| (*key <= self.cursor, *key));
        rest.truncate(self.config.digest - chosen.len());
        self.cursor = rest.last().copied().unwrap_or(0);
        chosen.extend(rest);
        chosen
    }

    fn item(&self, now: Time, fingerprint: u64) -> Item {
        let record = &self.records[&fingerprint];
        Item {
            fingerprint,
            crashes: record.crashes.clone(),
            acquitted: record.acquitted.clone(),
            judged: now >= record.settled && self.is_judged(now, record),
            left: record.expires.since(now),
        }
    }
}
