//! Bounded collection of the evidence on all fingerprints.

use std::collections::BTreeMap;

use clock::Time;

use crate::configs::quarantine::Config;

use super::record::Record;

/// Records by fingerprint; at most `config.max_records`.
#[derive(Debug, Default)]
pub(super) struct Records {
    by_fingerprint: BTreeMap<u64, Record>,
    /// Number of changes to records, so that digests send the latest first.
    changes: u64,
    /// Fingerprint after which the next digest continues with the older records.
    cursor: u64,
}

impl Records {
    /// Returns the evidence on the fingerprint.
    pub fn get(&self, fingerprint: u64) -> Option<&Record> {
        self.by_fingerprint.get(&fingerprint)
    }

    /// Adds crashes to a fingerprint; returns its record if any was new.
    pub fn accuse(
        &mut self,
        fingerprint: u64,
        crashes: &[u64],
        new: Record,
        limit: usize,
    ) -> Option<&mut Record> {
        if !self.by_fingerprint.contains_key(&fingerprint) {
            self.evict_least(limit);
        }
        let record = self.by_fingerprint.entry(fingerprint).or_insert(new);
        if !record.accuse(crashes) {
            return None;
        }
        self.changes += 1;
        record.changed = self.changes;
        Some(record)
    }

    /// Acquits a fingerprint of crashes; returns its record if any was new.
    pub fn acquit(&mut self, fingerprint: u64, crashes: &[u64]) -> Option<&Record> {
        let record = self.by_fingerprint.get_mut(&fingerprint)?;
        if !record.acquit(crashes) {
            return None;
        }
        self.changes += 1;
        record.changed = self.changes;
        Some(record)
    }

    /// Drops forgiven crashes, and records that have no others.
    pub fn forgive(&mut self, lost: &[u64]) {
        self.by_fingerprint.retain(|_, record| {
            record.forgive(lost);
            !record.crashes.is_empty()
        });
    }

    /// Drops expired records, but releases quarantined ones on parole.
    pub fn expire(&mut self, now: Time, config: &Config) {
        self.by_fingerprint.retain(|_, record| {
            if now < record.expires {
                return true;
            }
            let parole = record.blame() >= config.crash_threshold;
            record.keep_last();
            record.expires = now + config.duration;
            parole
        });
    }

    /// Selects fingerprints for the next digest: half by latest change, half in rotation.
    pub fn select_for_digest(&mut self, now: Time, config: &Config) -> Vec<u64> {
        let mut keys: Vec<(u64, u64)> = self
            .by_fingerprint
            .iter()
            .filter(|(_, record)| record.expires.since(now) > config.min_remaining)
            .map(|(key, record)| (record.changed, *key))
            .collect();
        keys.sort_unstable_by(|one, other| other.cmp(one));
        let mut selected: Vec<u64> = keys.iter().map(|(_, key)| *key).collect();
        if selected.len() <= config.max_digest_items {
            return selected;
        }
        let mut rest = selected.split_off(config.max_digest_items / 2);
        rest.sort_unstable_by_key(|key| (*key <= self.cursor, *key));
        rest.truncate(config.max_digest_items - selected.len());
        self.cursor = rest.last().copied().unwrap_or(0);
        selected.extend(rest);
        selected
    }

    /// Evicts the record with the least evidence when there are too many.
    fn evict_least(&mut self, limit: usize) {
        if self.by_fingerprint.len() < limit {
            return;
        }
        let least = self
            .by_fingerprint
            .iter()
            .min_by_key(|(_, record)| (record.blame(), record.expires))
            .map(|(fingerprint, _)| *fingerprint);
        if let Some(fingerprint) = least {
            self.by_fingerprint.remove(&fingerprint);
        }
    }
}
