//! Which entries callers are told to use.

use clock::Time;
use rand::RngExt;
use smol_str::SmolStr;

use crate::effect::Addresses;
use crate::effect::Effect;
use crate::gateway::Gateway;

/// Entries of the caller's own zone from which on only these are named: with one alone, its loss would
/// leave its callers nothing to go to, and its load would not be shared.
const MIN_ENTRIES: usize = 2;
/// Most entries in one answer.
const MAX_ENTRIES: usize = 64;

impl Gateway {
    /// Answers a question for addresses.
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

    /// Names entries as often as they can take callers: callers choose among the named ones at random, so a
    /// small entry that is always named gets as many of them as a large one.
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

    /// Entries that callers may be sent to.
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

/// An entry that callers may be sent to.
struct Usable {
    address: SmolStr,
    zone: SmolStr,
    /// How much it can take against others.
    capacity: u8,
}
