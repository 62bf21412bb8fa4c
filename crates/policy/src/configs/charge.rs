//! Settings of [`crate::charge`].

use clock::Span;

/// How long homes of accounts are waited for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Config {
    /// A home that hasn't answered for so long is passed over.
    pub answer: Span,
    /// For so long nothing more is asked of it: each request would wait in vain first.
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
