//! Fair queueing over client accounts by weighted token cost.
//!
//! Load pattern: one account sends many times its share. Served in order of arrival, its requests
//! fill the queue and everybody waits behind them, the account with three requests an hour as long
//! as the one that caused the wait.
//!
//! Start-time fair queueing: each account has a tag, the virtual time up to which it has been
//! served. The account with the lowest tag goes next, and its tag rises by cost over weight. The
//! cost is an estimate when the job starts and is corrected by what was really generated, so
//! a caller gains nothing by understating. An account that was idle begins at the present virtual
//! time: it neither saves up service nor owes for it.
//!
//! Accounts of a lower priority number go first. While there is capacity for all, the queue is short
//! and nobody notices; beyond it, this is what sheds by priority.

mod estimate;
mod level;

use std::collections::BTreeMap;

use crate::account;
use crate::fair::level::Level;
use crate::job;
use crate::size::Class;

pub use crate::fair::estimate::Estimate;

/// Cost in tokens, generated ones weighted.
pub type Cost = u64;

/// The jobs of one pool that wait.
#[derive(Debug)]
pub struct Queue {
    enabled: bool,
    /// By priority; at most ten.
    levels: BTreeMap<u8, Level>,
}

/// Where a job waits; in the order of priority and arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Place {
    priority: u8,
    position: i64,
    /// In whose lane.
    pub account: account::Key,
    /// In which class.
    pub class: Class,
}

/// The next job of a lane.
#[derive(Clone, Copy, Debug)]
pub struct Head {
    /// Which job.
    pub id: job::Id,
    /// Where it waits.
    pub place: Place,
}

/// A job that asks for a place.
#[derive(Clone, Copy, Debug)]
pub struct Entrant {
    /// Which job.
    pub id: job::Id,
    /// Whose.
    pub account: account::Key,
    /// The account's weight.
    pub weight: u32,
    /// The account's priority.
    pub priority: u8,
    /// Its size class.
    pub class: Class,
    /// Its estimated cost.
    pub cost: Cost,
}

impl Queue {
    /// An empty queue; not `enabled`, it keeps the order of arrival over all accounts.
    pub fn new(enabled: bool) -> Queue {
        Queue {
            enabled,
            levels: BTreeMap::new(),
        }
    }

    /// Jobs waiting.
    pub fn len(&self) -> usize {
        self.levels.values().map(Level::len).sum()
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.levels.values().all(|level| level.len() == 0)
    }

    /// Cost of all that waits.
    pub fn cost(&self) -> Cost {
        self.levels.values().map(Level::cost).sum()
    }

    /// Puts a job behind the others of its account and class.
    pub fn push(&mut self, entrant: &Entrant) -> Place {
        self.level(entrant.priority).push(entrant)
    }

    /// Puts a job that was taken before in front of the others of its account and class.
    pub fn push_front(&mut self, entrant: &Entrant) -> Place {
        self.level(entrant.priority).push_front(entrant)
    }

    /// Takes a job out without charging for it.
    pub fn remove(&mut self, place: Place) {
        self.level(place.priority).remove(place);
    }

    /// Takes a job out to run it and charges its account.
    pub fn take(&mut self, place: Place) {
        self.level(place.priority).take(place);
    }

    /// Corrects the charge of a job that ended: it had been charged `estimated`.
    pub fn settle(&mut self, priority: u8, account: account::Key, estimated: Cost, actual: Cost) {
        self.level(priority).settle(account, estimated, actual);
    }

    /// How many jobs the account has waiting.
    pub fn waiting_jobs(&self, priority: u8, account: account::Key) -> usize {
        self.levels
            .get(&priority)
            .map_or(0, |level| level.waiting_jobs(account))
    }

    /// Cost that will be served before a new job of the account, as far as its share tells.
    ///
    /// All that waits in front of its priority; of its own, the account's queue and what it has had
    /// in advance, which drain at its share of the rate, but never more than all of it.
    pub fn cost_ahead(&self, priority: u8, account: account::Key, weight: u32) -> Cost {
        let before = self.levels.range(..priority).map(|(_, level)| level.cost());
        let own = self
            .levels
            .get(&priority)
            .map_or(0, |level| level.cost_ahead(account, weight));
        before.sum::<Cost>() + own
    }

    /// The heads of at most `most` lanes in the order in which they should be served.
    pub fn heads(&self, most: usize) -> Vec<Head> {
        let mut heads = Vec::new();
        for level in self.levels.values() {
            let mut own: Vec<(u64, Head)> = level.heads(Class::Short, most).collect();
            own.extend(level.heads(Class::Long, most));
            own.sort_by_key(|(tag, head)| (*tag, head.place));
            heads.extend(own.into_iter().map(|(_, head)| head));
            if heads.len() >= most {
                break;
            }
        }
        heads
    }

    fn level(&mut self, priority: u8) -> &mut Level {
        let enabled = self.enabled;
        // Not enabled, all share one level.
        let priority = if enabled { priority } else { 0 };
        self.levels
            .entry(priority)
            .or_insert_with(|| Level::new(enabled, priority))
    }
}
