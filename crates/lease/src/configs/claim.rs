//! Settings of [`crate::claim::Claim`].

use clock::Span;

/// Times of one lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// How long the lease runs from each renewal.
    pub term: Span,
    /// Time between renewals.
    pub renewal: Span,
    /// Time between reads of those who wait.
    pub poll: Span,
    /// Added to the term before others take the lease, for clocks that run unevenly.
    pub margin: Span,
    /// A step that follows the last after a longer gap means that the loop slept.
    pub longest_gap: Span,
    /// First wait after a failed call.
    pub retry: Span,
    /// Longest wait after failed calls.
    pub retry_limit: Span,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            term: Span::from_seconds(6),
            renewal: Span::from_seconds(2),
            poll: Span::from_seconds(2),
            margin: Span::from_seconds(1),
            longest_gap: Span::from_seconds(3),
            retry: Span::from_millis(200),
            retry_limit: Span::from_seconds(2),
        }
    }
}
