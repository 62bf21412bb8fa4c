//! Settings of [`crate::retry`].

use clock::Span;

/// How often work is tried again and when callers come back.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Config {
    /// Off, retries are unlimited and callers come back at once.
    pub enabled: bool,
    /// Retries earned by one whole answer.
    pub fraction: f64,
    /// Retries that may be saved up; also what a new pool begins with.
    pub saved: f64,
    /// Most attempts of one job.
    pub attempts: usize,
    /// Shortest time to come back after.
    pub shortest: Span,
    /// Longest time to come back after.
    pub longest: Span,
    /// Share of the drain rate that returning callers are spread over: half, the whole and twice were
    /// measured, docs/design/policy-queues.md.
    pub return_share: f64,
}

impl Default for Config {
    fn default() -> Config {
        Config {
            enabled: true,
            fraction: 0.1,
            saved: 20.0,
            attempts: 3,
            shortest: Span::from_millis(200),
            longest: Span::from_seconds(30),
            return_share: 1.0,
        }
    }
}
