//! Chooses the entry through which a replica is reached that can't be reached directly.
//!
//! Load pattern: several entries are cut off from all replicas at once, and the few others carry their
//! connections besides their own callers. Each connection goes to the candidate with the fewest of this
//! entry's connections for its capacity, so that no small or unlucky one gets most of them. One that doesn't
//! answer has none, and would be chosen each time, so it is avoided for a while.

use std::collections::BTreeMap;

use clock::Span;
use clock::Time;
use smol_str::SmolStr;

/// Time for which a candidate that didn't answer is avoided.
const AVOIDANCE_TIME: Span = Span::from_seconds(1);

/// An entry that reaches replicas.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// `host:port` for other entries.
    pub address: SmolStr,
    /// Capacity relative to other entries, 1 to 255.
    pub capacity: u8,
}

/// The candidates, and this entry's connections through each.
#[derive(Debug, Default)]
pub struct Table {
    candidates: Vec<Candidate>,
    open: BTreeMap<SmolStr, u32>,
    /// When a candidate last didn't answer.
    failed: BTreeMap<SmolStr, Time>,
    /// When bytes last came through a candidate.
    active: BTreeMap<SmolStr, Time>,
}

impl Table {
    /// Replaces the candidates.
    pub fn set(&mut self, candidates: Vec<Candidate>) {
        self.candidates = candidates;
        let candidates = &self.candidates;
        let is_listed = |address: &SmolStr| {
            let mut listed = candidates.iter();
            listed.any(|candidate| candidate.address == *address)
        };
        self.failed.retain(|address, _| is_listed(address));
        self.active.retain(|address, _| is_listed(address));
    }

    /// Returns whether the entry at `address` is a candidate.
    pub fn contains(&self, address: &str) -> bool {
        let mut candidates = self.candidates.iter();
        candidates.any(|candidate| candidate.address == address)
    }

    /// Returns the least loaded candidate that wasn't tried, if possible one that answered lately.
    pub fn choose(&self, now: Time, tried: &[SmolStr]) -> Option<SmolStr> {
        let untried = self
            .candidates
            .iter()
            .filter(|candidate| !tried.contains(&candidate.address));
        let rank = |candidate: &Candidate| (self.is_avoided(now, candidate), self.load(candidate));
        let chosen = untried.min_by(|one, other| {
            let (one, other) = (rank(one), rank(other));
            one.0.cmp(&other.0).then(one.1.total_cmp(&other.1))
        });
        chosen.map(|candidate| candidate.address.clone())
    }

    /// Records that the entry at `address` didn't answer.
    pub fn record_failure(&mut self, now: Time, address: &SmolStr) {
        self.failed.insert(address.clone(), now);
    }

    /// Records that bytes came through the entry at `address`.
    pub fn record_activity(&mut self, now: Time, address: &SmolStr) {
        match self.active.get_mut(address) {
            Some(time) => *time = now,
            None => {
                self.active.insert(address.clone(), now);
            }
        }
    }

    /// Returns whether bytes came through the entry at `address` within this time.
    pub fn was_active(&self, now: Time, address: &str, within: Span) -> bool {
        let time = self.active.get(address);
        time.is_some_and(|time| now.since(*time) <= within)
    }

    fn is_avoided(&self, now: Time, candidate: &Candidate) -> bool {
        let failed_at = self.failed.get(&candidate.address);
        failed_at.is_some_and(|failed_at| now.since(*failed_at) < AVOIDANCE_TIME)
    }

    /// Records a connection through the entry at `address`.
    pub fn record_opened(&mut self, address: &SmolStr) {
        *self.open.entry(address.clone()).or_default() += 1;
    }

    /// Records the end of a connection through the entry at `address`.
    pub fn record_closed(&mut self, address: &str) {
        let Some(open) = self.open.get_mut(address) else {
            return;
        };
        *open = open.saturating_sub(1);
        if *open == 0 {
            self.open.remove(address);
        }
    }

    /// Returns the load of a candidate with one more connection.
    fn load(&self, candidate: &Candidate) -> f64 {
        let open = self.open.get(&candidate.address).copied().unwrap_or(0);
        f64::from(open + 1) / f64::from(candidate.capacity.max(1))
    }
}
