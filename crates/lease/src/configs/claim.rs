//! Settings of [`crate::claim::Claim`].

use clock::Span;

/// Intervals and timeouts of one lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Time that the lease lasts from each renewal.
    pub term: Span,
    /// Time between renewals.
    pub renewal_interval: Span,
    /// Time between polls of a process that waits for the lease.
    pub poll_interval: Span,
    /// Time added to the term before rivals take the lease, for clocks that run at different rates.
    pub margin: Span,
    /// Longest gap between two steps; a longer one means that the event loop was stalled.
    pub max_step_gap: Span,
    /// Delay before the first retry of a failed call.
    pub retry_delay: Span,
    /// Longest delay between retries.
    pub max_retry_delay: Span,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            term: Span::from_seconds(6),
            renewal_interval: Span::from_seconds(2),
            poll_interval: Span::from_seconds(2),
            margin: Span::from_seconds(1),
            max_step_gap: Span::from_seconds(3),
            retry_delay: Span::from_millis(200),
            max_retry_delay: Span::from_seconds(2),
        }
    }
}
