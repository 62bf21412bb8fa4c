//! Answers to callers that ask for the addresses of entries.

use clock::Time;
use smol_str::SmolStr;

use crate::effect::Address;
use crate::effect::Addresses;
use crate::effect::Effect;
use crate::entry::Entry;

impl Entry {
    /// Answers with the usable entries and, for a known account, tickets.
    pub(crate) fn addresses_requested(
        &mut self,
        now: Time,
        call: u64,
        key: Option<SmolStr>,
        prefix: Option<u64>,
        effects: &mut Vec<Effect>,
    ) {
        let tickets = match self.account_of(key.as_ref()) {
            Ok(account) if !self.stop.is_stopping() => {
                let count = self.settings.tickets_per_answer;
                self.ledger.mint(now, &account, count)
            }
            _ => Vec::new(),
        };
        let answer = Addresses {
            entries: self.usable_entries(now, prefix),
            ttl: self.settings.address_ttl,
            tickets,
        };
        effects.push(Effect::Addresses { call, answer });
    }

    /// Returns the entries known to admit requests, the owner of the prefix first.
    fn usable_entries(&mut self, now: Time, prefix: Option<u64>) -> Vec<Address> {
        let addresses = self.membership.addresses(now, prefix);
        addresses
            .into_iter()
            .map(|member| Address {
                address: member.address,
                zone: member.zone,
                weight: member.weight,
            })
            .collect()
    }
}
