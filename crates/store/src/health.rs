//! Whether the table service answers this process.

use clock::Time;

/// Failed calls in a row from which on the service is taken to be out of reach. One alone may be a lost answer.
const MIN_CONSECUTIVE_FAILURES: u32 = 2;

/// How calls of the service have ended lately.
#[derive(Clone, Copy, Debug, Default)]
pub struct Health {
    /// Since when calls fail, if the last one did.
    failing_since: Option<Time>,
    /// Failed calls since the last answer.
    failures: u32,
}

impl Health {
    /// A call failed; whether it is the first one since an answer.
    pub fn record_failure(&mut self, now: Time) -> bool {
        self.failures = self.failures.saturating_add(1);
        self.failing_since
            .replace(self.failing_since.unwrap_or(now))
            .is_none()
    }

    /// A call was answered; since when calls had failed, if they had.
    pub fn record_answer(&mut self) -> Option<Time> {
        self.failures = 0;
        self.failing_since.take()
    }

    /// Whether the service is out of reach.
    pub fn is_unavailable(&self) -> bool {
        self.failures >= MIN_CONSECUTIVE_FAILURES
    }
}
