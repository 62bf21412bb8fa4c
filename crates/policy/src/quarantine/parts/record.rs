//! Crashes that one part is accused of.

use std::collections::BTreeSet;

use clock::Time;

/// Maximum number of crashes, of which the latest are kept.
const MAX_CRASHES: usize = 16;

/// A crash that a part is accused of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Crash {
    /// Identity of the replica.
    pub replica: u64,
    /// Time of the crash.
    pub at: Time,
}

/// The evidence on one part.
#[derive(Clone, Debug, Default)]
pub(super) struct Record {
    /// Distinct by replica.
    pub crashes: Vec<Crash>,
    /// The replicas whose crashes count, as of the last review.
    pub counted: BTreeSet<u64>,
    /// Whether too few of these replicas were lost on their own to block the part.
    pub is_mass_loss: bool,
    /// Whether requests of this entry are among those that accuse it.
    pub is_own: bool,
    /// Requests of this entry that were tried with the part while it was blocked, and crashed their replicas.
    pub failed_probes: u32,
    /// Since when an answer speaks against all crashes, if one does.
    pub refuted_since: Option<Time>,
}

impl Record {
    /// Adds a crash; returns whether it is new.
    pub fn add(&mut self, crash: Crash) -> bool {
        let is_known = self
            .crashes
            .iter()
            .any(|known| known.replica == crash.replica);
        if is_known {
            return false;
        }
        self.crashes.push(crash);
        self.crashes.sort_by_key(|crash| crash.at);
        if self.crashes.len() > MAX_CRASHES {
            self.crashes.remove(0);
        }
        true
    }

    /// Selects the crashes that count.
    pub fn count(&mut self, counts: impl Fn(Time, u64) -> bool) {
        let counted = self
            .crashes
            .iter()
            .filter(|crash| counts(crash.at, crash.replica));
        self.counted = counted.map(|crash| crash.replica).collect();
    }

    /// Returns the time of the latest crash.
    pub fn last_crash(&self) -> Time {
        self.crashes.last().map_or(Time::ZERO, |crash| crash.at)
    }
}
