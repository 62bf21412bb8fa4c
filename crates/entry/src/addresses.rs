//! Answers to callers who ask which entries to use.

use clock::Time;
use request::id::Incarnation;
use smol_str::SmolStr;

use crate::effect::Address;
use crate::effect::Addresses;
use crate::effect::Effect;
use crate::entry::Entry;

/// Weight of an entry that takes its full share.
const FULL_WEIGHT: u32 = 100;

impl Entry {
    /// Answers with the entries to use and, to a known account, some tickets.
    pub(crate) fn addresses_asked(
        &mut self,
        now: Time,
        asker: u64,
        key: Option<SmolStr>,
        prefix: Option<u64>,
        effects: &mut Vec<Effect>,
    ) {
        let _ = prefix;
        let tickets = match self.account_of(key.as_ref()) {
            Ok(account) if !self.stop.is_stopping() => {
                let count = self.settings.tickets_per_answer;
                self.ledger.mint(now, &account, count)
            }
            _ => Vec::new(),
        };
        let answer = Addresses {
            entries: self.usable_entries(),
            ttl: self.settings.address_ttl,
            tickets,
        };
        effects.push(Effect::Addresses { asker, answer });
    }

    /// Entries that admit requests, as far as known here.
    fn usable_entries(&self) -> Vec<Address> {
        if self.stop.is_stopping() {
            return Vec::new();
        }
        vec![Address {
            address: self.identity.caller_address.clone(),
            zone: self.identity.zone.clone(),
            weight: FULL_WEIGHT,
        }]
    }

    /// `host:port` of the entry that holds the ledger of a minter.
    pub(crate) fn ledger_holder(&self, minter: Incarnation) -> Option<SmolStr> {
        let _ = minter;
        None
    }
}
