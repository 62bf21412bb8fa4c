//! Which entries callers are told to use.

use clock::Time;
use rand::RngExt;
use smol_str::SmolStr;

use crate::effect::Addresses;
use crate::effect::Effect;
use crate::gateway::Gateway;

/// Entries of the caller's own zone from which on only these are named: with one alone, its loss would
/// leave its callers nothing to go to, and its load would not be shared.
const ENOUGH: usize = 2;
/// Most entries in one answer.
const MOST: usize = 64;

impl Gateway {
    /// Answers a question for addresses.
    pub(crate) fn addresses_asked(
        &mut self,
        now: Time,
        asker: u64,
        zone: Option<&str>,
        effects: &mut Vec<Effect>,
    ) {
        let usable = self.usable(now);
        let near = |one: &&Usable| Some(one.zone.as_str()) == zone;
        let named: Vec<&Usable> = match usable.iter().filter(near).count() >= ENOUGH {
            true => usable.iter().filter(near).collect(),
            false => usable.iter().collect(),
        };
        let mut entries = self.draw(&named);
        entries.truncate(MOST);
        let keep = self.settings.address_keep;
        let answer = (!entries.is_empty()).then_some(Addresses { entries, keep });
        effects.push(Effect::Addresses { asker, answer });
    }

    /// Names entries as often as they can take callers: callers choose among the named ones at random, so a
    /// small entry that is always named gets as many of them as a large one.
    fn draw(&mut self, usable: &[&Usable]) -> Vec<SmolStr> {
        let most = usable.iter().map(|one| one.capacity).max().unwrap_or(1);
        let mut drawn = Vec::new();
        let mut passed = Vec::new();
        for one in usable {
            let part = f64::from(one.capacity) / f64::from(most.max(1));
            match self.random.random::<f64>() < part {
                true => drawn.push(one.address.clone()),
                false => passed.push(one.address.clone()),
            }
        }
        while drawn.len() < ENOUGH && !passed.is_empty() {
            drawn.push(passed.swap_remove(0));
        }
        drawn
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
