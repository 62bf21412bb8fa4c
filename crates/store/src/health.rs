//! Tracks whether the table service is available to this process.

use clock::Time;

/// Consecutive failures after which the service counts as unavailable; a single one may be a lost answer.
const MIN_CONSECUTIVE_FAILURES: u32 = 2;

/// Recent outcomes of calls to the service.
#[derive(Clone, Copy, Debug, Default)]
pub struct Health {
    /// Time of the first of the consecutive failures.
    failing_since: Option<Time>,
    /// Consecutive failures since the last answer.
    failures: u32,
}

impl Health {
    /// Records a failed call; returns whether it is the first since the last answer.
    pub fn record_failure(&mut self, now: Time) -> bool {
        self.failures = self.failures.saturating_add(1);
        self.failing_since
            .replace(self.failing_since.unwrap_or(now))
            .is_none()
    }

    /// Records an answered call; returns when calls began to fail, if they had.
    pub fn record_answer(&mut self) -> Option<Time> {
        self.failures = 0;
        self.failing_since.take()
    }

    /// Returns whether the service counts as unavailable.
    pub fn is_unavailable(&self) -> bool {
        self.failures >= MIN_CONSECUTIVE_FAILURES
    }
}
