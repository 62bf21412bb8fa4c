//! Limits on the requests that a brittle replica has to turn away.
//!
//! Load pattern: a replica under strain still serves what it has room for, but crashes when it has to turn away
//! more than a few requests within a second. Entries that notice a full replica by its rejections alone would
//! bring one down after the other, and the work of each would fill the rest sooner.
//!
//! So the replica's slots are divided among the entries: each owns some, and together they never send more than there is
//! room for, whatever they know of each other's requests. Where a replica has hardly a slot for each entry, every entry
//! is assigned some of the replicas instead and owns slots there ([`Division`]). While a replica is lightly loaded,
//! half of the slots of entries without callers are lent to the others, or they would stay empty. An entry that
//! was rejected nevertheless sends nothing for a second.

use clock::Span;
use clock::Time;

use crate::division;
use crate::division::Site;
use crate::job;
use crate::rendezvous;

/// Time for which a rejection counts: a second, and the way of the answer.
const REJECTION_TIME: Span = Span::from_millis(1_200);
/// Fraction of its slots up to which a replica is lightly loaded.
const LIGHT_LOAD: f64 = 0.5;
/// Fraction of the slots of entries without callers that is lent while a replica is lightly loaded.
const LENT_FRACTION: f64 = 0.5;

/// Fewest slots of a replica for each entry with which all entries share it.
const MIN_SLOTS_PER_ENTRY: usize = 2;
/// Slots that an entry should own at each of its replicas.
const SLOTS_PER_HOME: usize = 4;
/// Fewest replicas of an entry, so that it is served while one of them is gone.
const MIN_HOMES: usize = 2;

/// One entry's share of a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Share {
    /// Slots that the entry owns.
    pub owned: u32,
    /// Slots of others that it may use besides while the replica is lightly loaded.
    pub lent: u32,
}

/// Which entries own slots at each replica of a pool.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Division {
    owned: division::Division,
}

impl Division {
    /// Assigns replicas of `slots` each to entries, by rendezvous; `None` if each replica has enough slots for all.
    pub fn new(replicas: &[u64], slots: u32, entries: &[u64]) -> Option<Division> {
        if entries.len() * MIN_SLOTS_PER_ENTRY <= slots as usize {
            return None;
        }
        let sites: Vec<Site> = replicas
            .iter()
            .map(|replica| Site {
                replica: *replica,
                slots,
            })
            .collect();
        let slots_per_entry = replicas.len() * slots as usize / entries.len();
        let block = (slots_per_entry / MIN_HOMES).clamp(1, SLOTS_PER_HOME);
        Some(Division {
            owned: division::Division::new(&sites, entries, block as u32),
        })
    }

    /// Returns how many of a replica's slots the entry `me` owns.
    pub fn slots_of(&self, replica: u64, me: u64) -> u32 {
        self.owned.slots_of(replica, me)
    }
}

/// Returns how many of a replica's slots the entry `me` owns where all entries share each replica.
pub fn equal_slots(replica: u64, slots: u32, entries: &[u64], me: u64) -> u32 {
    let count = entries.len().max(1) as u32;
    let remainder = (slots % count) as usize;
    let has_extra = rendezvous::is_among_first(replica, entries, remainder, me);
    slots / count + u32::from(has_extra)
}

/// Returns how many slots of a replica are lent to each of the `active` entries, which have callers, by the others of
/// `all`.
pub fn lent_slots(slots: u32, active: u32, all: u32) -> u32 {
    let idle = f64::from(all.saturating_sub(active)) / f64::from(all.max(1));
    (f64::from(slots) * idle * LENT_FRACTION) as u32 / active.max(1)
}

/// Admits requests of one entry to a replica within the entry's share.
#[derive(Clone, Debug, Default)]
pub struct Gate {
    /// The entry's share; `None` if the replica sets no limit.
    share: Option<Share>,
    /// When the replica last rejected a request.
    rejected_at: Option<Time>,
}

impl Gate {
    /// Applies a new share.
    pub fn set(&mut self, share: Option<Share>) {
        self.share = share;
    }

    /// Returns whether the replica sets a limit.
    pub fn is_limited(&self) -> bool {
        self.share.is_some()
    }

    /// Returns whether a request may be sent now to a replica that runs about `jobs` of its `slots`, `own` of them
    /// for this entry.
    pub fn allows_request(&self, now: Time, jobs: f64, slots: u32, own: u32) -> bool {
        let Some(share) = self.share else {
            return true;
        };
        let is_light = jobs + 1.0 <= f64::from(slots) * LIGHT_LOAD;
        let limit = share.owned + if is_light { share.lent } else { 0 };
        own < limit && self.rejected_until(now).is_none()
    }

    /// Returns when the last rejection stops counting, if it does now.
    pub fn opens_at(&self, now: Time) -> Option<Time> {
        self.share?;
        self.rejected_until(now)
    }

    /// Records the end of an attempt.
    pub fn record_end(&mut self, now: Time, end: job::End) {
        if end == job::End::NotStarted {
            self.rejected_at = Some(now);
        }
    }

    /// Returns until when the last rejection counts, if it does.
    fn rejected_until(&self, now: Time) -> Option<Time> {
        let until = self.rejected_at.map(|at| at + REJECTION_TIME);
        until.filter(|until| now < *until)
    }
}
