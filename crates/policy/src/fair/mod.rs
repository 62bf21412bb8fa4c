//! Fair queueing over client accounts by weighted token cost.
//!
//! Guards against an account that sends many times its share: in order of arrival its requests fill
//! the queue, and an account with three requests an hour waits as long as the one that caused the
//! wait.
//!
//! Start-time fair queueing: each account has a tag, the virtual time up to which it has been
//! served. The account with the lowest tag is served next, and its tag rises by cost over weight.
//! The cost is estimated when a job starts and corrected by its actual output, so a caller gains
//! nothing by understating it. An account that was idle starts at the current virtual time: it
//! neither saves up service nor owes any.
//!
//! Accounts with a lower priority number are served first. Below capacity the queue is short and
//! priorities have little effect; beyond it they decide what is shed.

mod estimate;
mod level;

use std::collections::BTreeMap;

use crate::account;
use crate::fair::level::Level;
use crate::job;
use crate::size::Class;

pub use crate::fair::estimate::Estimate;

/// Cost in prompt tokens; an output token counts as several.
pub type Cost = u64;

/// The waiting jobs of one pool.
#[derive(Debug)]
pub struct Queue {
    enabled: bool,
    /// Levels by priority.
    levels: BTreeMap<u8, Level>,
}

/// Position of a waiting job, ordered by priority and arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Place {
    priority: u8,
    position: i64,
    /// Account in whose lane the job waits.
    pub account: account::Key,
    /// Size class of the job.
    pub class: Class,
}

/// The next job of a lane.
#[derive(Clone, Copy, Debug)]
pub struct Head {
    /// The job.
    pub id: job::Id,
    /// Its position.
    pub place: Place,
}

/// A job to enqueue.
#[derive(Clone, Copy, Debug)]
pub struct Entrant {
    /// The job.
    pub id: job::Id,
    /// Its client account.
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
    /// Creates an empty queue; unless `enabled`, it serves all accounts in order of arrival.
    pub fn new(enabled: bool) -> Queue {
        Queue {
            enabled,
            levels: BTreeMap::new(),
        }
    }

    /// Returns the number of waiting jobs.
    pub fn len(&self) -> usize {
        self.levels.values().map(Level::len).sum()
    }

    /// Returns whether no job is waiting.
    pub fn is_empty(&self) -> bool {
        self.levels.values().all(|level| level.len() == 0)
    }

    /// Returns the waiting jobs in no particular order.
    pub fn jobs(&self) -> impl Iterator<Item = job::Id> {
        self.levels.values().flat_map(Level::jobs)
    }

    /// Returns the total cost of the waiting jobs.
    pub fn cost(&self) -> Cost {
        self.levels.values().map(Level::cost).sum()
    }

    /// Appends a job to the others of its account and class.
    pub fn push(&mut self, entrant: &Entrant) -> Place {
        self.level(entrant.priority).push(entrant)
    }

    /// Puts a job that was taken before in front of the others of its account and class.
    pub fn push_front(&mut self, entrant: &Entrant) -> Place {
        self.level(entrant.priority).push_front(entrant)
    }

    /// Removes a job without charging for it.
    pub fn remove(&mut self, place: Place) {
        self.level(place.priority).remove(place);
    }

    /// Removes a job to run it, and charges its account.
    pub fn take(&mut self, place: Place) {
        self.level(place.priority).take(place);
    }

    /// Corrects the charge of a job that ended from `estimated` to `actual`.
    pub fn settle(&mut self, priority: u8, account: account::Key, estimated: Cost, actual: Cost) {
        self.level(priority).settle(account, estimated, actual);
    }

    /// Returns how many jobs of the account are waiting.
    pub fn waiting_jobs(&self, priority: u8, account: account::Key) -> usize {
        self.levels
            .get(&priority)
            .map_or(0, |level| level.waiting_jobs(account))
    }

    /// Returns the estimated cost that is served before a new job of the account.
    ///
    /// That is everything at higher priorities and, at its own, the account's queue and the service
    /// it received in advance, which drain at its share of the rate, but at most the whole level.
    pub fn cost_ahead(&self, priority: u8, account: account::Key, weight: u32) -> Cost {
        let before = self.levels.range(..priority).map(|(_, level)| level.cost());
        let own = self
            .levels
            .get(&priority)
            .map_or(0, |level| level.cost_ahead(account, weight));
        before.sum::<Cost>() + own
    }

    /// Returns the heads of about `limit` lanes, without skipped jobs, in the order in which to serve them.
    pub fn heads(&self, limit: usize, skip: impl Fn(job::Id) -> bool) -> Vec<Head> {
        let mut heads = Vec::new();
        for level in self.levels.values() {
            let mut own: Vec<(u64, Head)> = level.heads(Class::Short, limit, &skip).collect();
            own.extend(level.heads(Class::Long, limit, &skip));
            own.sort_by_key(|(tag, head)| (*tag, head.place));
            heads.extend(own.into_iter().map(|(_, head)| head));
            if heads.len() >= limit {
                break;
            }
        }
        heads
    }

    fn level(&mut self, priority: u8) -> &mut Level {
        let enabled = self.enabled;
        // When disabled, all priorities share one level.
        let priority = if enabled { priority } else { 0 };
        self.levels
            .entry(priority)
            .or_insert_with(|| Level::new(enabled, priority))
    }
}
