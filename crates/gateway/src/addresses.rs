//! Selects the entry addresses that callers are given.

use clock::Time;
use rand::RngExt;
use smol_str::SmolStr;

use crate::effect::Addresses;
use crate::effect::Effect;
use crate::gateway::Gateway;

/// Entries in the caller's zone from which on only these are returned. A single one would leave its callers
/// no alternative if it is lost, and would not share its load.
const MIN_ENTRIES: usize = 2;
/// Maximum number of entries in one answer.
const MAX_ENTRIES: usize = 64;

impl Gateway {
    /// Answers a caller's address query.
    pub(crate) fn answer_addresses(
        &mut self,
        now: Time,
        requester: u64,
        zone: Option<&str>,
        effects: &mut Vec<Effect>,
    ) {
        let usable = self.usable(now);
        let in_zone = |entry: &&Usable| Some(entry.zone.as_str()) == zone;
        let candidates: Vec<&Usable> = match usable.iter().filter(in_zone).count() >= MIN_ENTRIES {
            true => usable.iter().filter(in_zone).collect(),
            false => usable.iter().collect(),
        };
        let mut entries = self.sample(&candidates);
        entries.truncate(MAX_ENTRIES);
        let ttl = self.settings.address_ttl;
        let answer = (!entries.is_empty()).then_some(Addresses { entries, ttl });
        effects.push(Effect::Addresses { requester, answer });
    }

    /// Samples entries with a probability proportional to their capacity.
    ///
    /// Callers choose among the returned entries uniformly, so a small entry that is always included would
    /// get as many callers as a large one.
    fn sample(&mut self, usable: &[&Usable]) -> Vec<SmolStr> {
        let largest = usable.iter().map(|entry| entry.capacity).max().unwrap_or(1);
        let mut sampled = Vec::new();
        let mut skipped = Vec::new();
        for entry in usable {
            let probability = f64::from(entry.capacity) / f64::from(largest.max(1));
            match self.random.random::<f64>() < probability {
                true => sampled.push(entry.address.clone()),
                false => skipped.push(entry.address.clone()),
            }
        }
        while sampled.len() < MIN_ENTRIES && !skipped.is_empty() {
            sampled.push(skipped.swap_remove(0));
        }
        sampled
    }

    /// Returns the entries that can take callers.
    fn usable(&self, now: Time) -> Vec<Usable> {
        let quiet = self.failure_timeout();
        let others = self
            .membership
            .peers()
            .filter(|(_, known)| known.is_usable(now, quiet))
            .map(|(_, known)| Usable {
                address: known.record.row.address.clone(),
                zone: known.record.row.zone.clone(),
                capacity: u8::MAX - known.beat.load,
            });
        let own = Usable {
            address: self.identity.caller_address.clone(),
            zone: self.identity.zone.clone(),
            capacity: self.settings.capacity,
        };
        let own = self.is_ready().then_some(own);
        own.into_iter().chain(others).collect()
    }
}

/// An entry that can take callers.
struct Usable {
    address: SmolStr,
    zone: SmolStr,
    /// Capacity relative to other entries.
    capacity: u8,
}
