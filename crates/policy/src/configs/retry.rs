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
    pub max_saved: f64,
    /// Most attempts of one job.
    pub max_attempts: usize,
    /// Shortest time to come back after.
    pub min_delay: Span,
    /// Longest time to come back after.
    pub max_delay: Span,
    /// Share of the drain rate that returning callers are spread over: half, the whole and twice were
    /// measured, docs/design/policy-queues.md.
    pub return_share: f64,
}

impl Default for Config {
    fn default() -> Config {
        Config {
            enabled: true,
            fraction: 0.1,
            max_saved: 20.0,
            max_attempts: 3,
            min_delay: Span::from_millis(200),
            max_delay: Span::from_seconds(30),
            return_share: 1.0,
        }
    }
}
