//! Chooses the entry that charges a request to its account's quota, among many entries.
//!
//! An account sends several times its quota through hundreds of entries, each of which gets one of its
//! requests every few seconds. Counts of other entries are up to a second old, so every entry finds room for
//! what the account asks for in that second, and an equal share of the quota is smaller than one request.
//!
//! One entry, the account's home, decides for all; a second one replaces it while it does not answer. An
//! entry that reaches neither decides by the counts that it has. A grant that arrives after that must be
//! refunded.

use std::collections::BTreeMap;

use clock::Time;

use crate::configs::charge::Config;
use crate::fair::Cost;
use crate::quota::Name;
use crate::rendezvous;

/// Number of homes of an account: the first decides, the others are fallbacks.
const HOMES: usize = 2;

/// Identifies an entry by its incarnation.
pub type Entry = u64;

/// A charge to an account's quota.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Charge {
    /// Charged account.
    pub name: Name,
    /// Cost in the quota's unit.
    pub cost: Cost,
}

/// Decision maker for a charge.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Another entry, which must be asked.
    Ask(Entry),
    /// This entry, as the account's home.
    Home,
    /// This entry, by its own counts only.
    Alone,
}

/// Charges of one entry that wait for an answer of a home.
#[derive(Debug)]
pub struct Charges {
    config: Config,
    me: Entry,
    /// Pending charges by request serial.
    pending: BTreeMap<u64, Pending>,
    /// Homes that timed out, and until when they are skipped.
    skipped_until: BTreeMap<Entry, Time>,
}

/// A charge that waits for an answer.
#[derive(Debug)]
struct Pending {
    charge: Charge,
    /// Home that was asked.
    asked: Entry,
    /// Deadline of the answer.
    deadline: Time,
    /// Homes that have not been asked.
    remaining: Vec<Entry>,
}

impl Charges {
    /// Creates an empty set for the entry `me`.
    pub fn new(config: Config, me: Entry) -> Charges {
        Charges {
            config,
            me,
            pending: BTreeMap::new(),
            skipped_until: BTreeMap::new(),
        }
    }

    /// Returns who decides on a request's charge; `entries` are the candidates for its homes.
    pub fn begin(&mut self, now: Time, serial: u64, charge: Charge, entries: &[Entry]) -> Step {
        self.skipped_until.retain(|_, until| *until > now);
        let mut homes = homes(charge.name, entries);
        homes.retain(|home| !self.skipped_until.contains_key(home));
        self.ask(now, serial, charge, homes)
    }

    /// Removes and returns the charge that a home's answer decides, or `None` if the answer is too late.
    pub fn answered(&mut self, serial: u64, home: Entry) -> Option<Charge> {
        if self.pending.get(&serial)?.asked != home {
            return None;
        }
        self.pending.remove(&serial).map(|pending| pending.charge)
    }

    /// Handles a missing answer: returns who decides next, or `None` if the charge is decided.
    pub fn unanswered(&mut self, now: Time, serial: u64, home: Entry) -> Option<(Charge, Step)> {
        if self.pending.get(&serial)?.asked != home {
            return None;
        }
        let Pending {
            charge, remaining, ..
        } = self.pending.remove(&serial)?;
        self.skipped_until.insert(home, now + self.config.backoff);
        Some((charge, self.ask(now, serial, charge, remaining)))
    }

    /// Returns the serials of charges whose answers are overdue, with the home of each.
    pub fn overdue(&self, now: Time) -> Vec<(u64, Entry)> {
        let overdue = self
            .pending
            .iter()
            .filter(|(_, pending)| pending.deadline <= now);
        overdue
            .map(|(serial, pending)| (*serial, pending.asked))
            .collect()
    }

    /// Drops the charge of a request that no longer needs it.
    pub fn cancel(&mut self, serial: u64) {
        self.pending.remove(&serial);
    }

    /// Returns when [`Charges::overdue`] must be called next.
    pub fn next_wake(&self) -> Option<Time> {
        self.pending.values().map(|pending| pending.deadline).min()
    }

    /// Asks the first of the remaining homes.
    fn ask(&mut self, now: Time, serial: u64, charge: Charge, mut homes: Vec<Entry>) -> Step {
        if homes.is_empty() {
            return Step::Alone;
        }
        let asked = homes.remove(0);
        if asked == self.me {
            return Step::Home;
        }
        let pending = Pending {
            charge,
            asked,
            deadline: now + self.config.answer_timeout,
            remaining: homes,
        };
        self.pending.insert(serial, pending);
        Step::Ask(asked)
    }
}

/// Returns the homes of an account in the order in which they are asked.
fn homes(name: Name, entries: &[Entry]) -> Vec<Entry> {
    let mut ranked = entries.to_vec();
    ranked.sort_by_key(|entry| std::cmp::Reverse(rendezvous::weight(name, *entry)));
    ranked.truncate(HOMES);
    ranked
}
