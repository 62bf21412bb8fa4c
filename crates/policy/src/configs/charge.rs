//! Settings of [`crate::charge`].

use clock::Span;

/// Timeouts for homes of accounts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Config {
    /// Time after which a home without an answer is skipped.
    pub answer: Span,
    /// Time for which a home that timed out gets no more requests: each would first wait for the timeout.
    pub avoid: Span,
}

impl Default for Config {
    fn default() -> Config {
        Config {
            answer: Span::from_millis(80),
            avoid: Span::from_millis(1_000),
        }
    }
}
