//! Settings of [`crate::claim::Claim`].

use clock::Span;

/// Times of one lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// How long the lease runs from each renewal.
    pub term: Span,
    /// Time between renewals.
    pub renewal_interval: Span,
    /// Time between reads of those who wait.
    pub poll_interval: Span,
    /// Added to the term before others take the lease, for clocks that run unevenly.
    pub margin: Span,
    /// A step that follows the last after a longer gap means that the loop slept.
    pub max_step_gap: Span,
    /// First wait after a failed call.
    pub retry_delay: Span,
    /// Longest wait after failed calls.
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
