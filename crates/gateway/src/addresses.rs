//! Which entries callers are told to use.

use clock::Time;
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
        let near: Vec<SmolStr> = usable
            .iter()
            .filter(|(_, place)| Some(place.as_str()) == zone)
            .map(|(address, _)| address.clone())
            .collect();
        let mut entries = match near.len() >= ENOUGH {
            true => near,
            false => usable.into_iter().map(|(address, _)| address).collect(),
        };
        entries.truncate(MOST);
        let keep = self.settings.address_keep;
        let answer = (!entries.is_empty()).then_some(Addresses { entries, keep });
        effects.push(Effect::Addresses { asker, answer });
    }

    /// Entries that callers may be sent to, with their zones.
    fn usable(&self, now: Time) -> Vec<(SmolStr, SmolStr)> {
        let quiet = self.settings.members.quiet;
        let me = self.identity.incarnation;
        let others = self
            .membership
            .directory()
            .iter()
            .filter(|(id, known)| *id != me && known.is_usable(now, quiet))
            .map(|(_, known)| {
                let row = &known.record.row;
                (row.address.clone(), row.zone.clone())
            });
        let own = (
            self.identity.caller_address.clone(),
            self.identity.zone.clone(),
        );
        let own = self.is_ready().then_some(own);
        own.into_iter().chain(others).collect()
    }
}
