//! Settings of [`crate::charge`].

use clock::Span;

/// Timeouts for homes of accounts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Config {
    /// Time after which a home without an answer is skipped.
    pub answer_timeout: Span,
    /// Time for which a home that timed out gets no more requests: each would first wait for the timeout.
    pub backoff: Span,
}

impl Default for Config {
    fn default() -> Config {
        Config {
            answer_timeout: Span::from_millis(80),
            backoff: Span::from_millis(1_000),
        }
    }
}
