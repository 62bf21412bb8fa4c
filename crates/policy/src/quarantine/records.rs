//! All fingerprints against which there is something, of bounded number.

use std::collections::BTreeMap;

use clock::Time;

use crate::configs::quarantine::Config;

use super::record::Record;

/// Records by fingerprint; at most `config.records`.
#[derive(Debug, Default)]
pub(super) struct Records {
    by_fingerprint: BTreeMap<u64, Record>,
    /// Counts the changes of records, so that digests tell the latest first.
    changes: u64,
    /// Where the next digest goes on with the older records.
    cursor: u64,
}

impl Records {
    /// What is held against the fingerprint.
    pub fn get(&self, fingerprint: u64) -> Option<&Record> {
        self.by_fingerprint.get(&fingerprint)
    }

    /// Notes crashes under the fingerprint; its record if they were new.
    pub fn accuse(
        &mut self,
        fingerprint: u64,
        crashes: &[u64],
        new: Record,
        most: usize,
    ) -> Option<&mut Record> {
        if !self.by_fingerprint.contains_key(&fingerprint) {
            self.make_room(most);
        }
        let record = self.by_fingerprint.entry(fingerprint).or_insert(new);
        if !record.accuse(crashes) {
            return None;
        }
        self.changes += 1;
        record.changed = self.changes;
        Some(record)
    }

    /// Clears the fingerprint of these crashes; its record if that was new.
    pub fn acquit(&mut self, fingerprint: u64, of: &[u64]) -> Option<&Record> {
        let record = self.by_fingerprint.get_mut(&fingerprint)?;
        if !record.acquit(of) {
            return None;
        }
        self.changes += 1;
        record.changed = self.changes;
        Some(record)
    }

    /// Forgets crashes that blame nobody, and records that rest on them alone.
    pub fn forgive(&mut self, lost: &[u64]) {
        self.by_fingerprint.retain(|_, record| {
            record.forget(lost);
            !record.crashes.is_empty()
        });
    }

    /// Drops what has expired, but releases the quarantined on parole.
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

    /// Fingerprints for the next digest: half the latest changes, half by turns.
    pub fn choose(&mut self, now: Time, config: &Config) -> Vec<u64> {
        let mut keys: Vec<(u64, u64)> = self
            .by_fingerprint
            .iter()
            .filter(|(_, record)| record.expires.since(now) > config.min_remaining)
            .map(|(key, record)| (record.changed, *key))
            .collect();
        keys.sort_unstable_by(|one, other| other.cmp(one));
        let mut chosen: Vec<u64> = keys.iter().map(|(_, key)| *key).collect();
        if chosen.len() <= config.max_digest_items {
            return chosen;
        }
        let mut rest = chosen.split_off(config.max_digest_items / 2);
        rest.sort_unstable_by_key(|key| (*key <= self.cursor, *key));
        rest.truncate(config.max_digest_items - chosen.len());
        self.cursor = rest.last().copied().unwrap_or(0);
        chosen.extend(rest);
        chosen
    }

    /// Gives up the least telling record when there are too many.
    fn make_room(&mut self, most: usize) {
        if self.by_fingerprint.len() < most {
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
