//! Settings of [`crate::retry`].

use clock::Span;

/// Budget of retries, and the delays after which callers retry.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Config {
    /// Whether retries are limited; when off, they are unlimited and callers retry at once.
    pub enabled: bool,
    /// Retries earned by one complete answer.
    pub fraction: f64,
    /// Maximum number of saved retries, which is also what a new pool starts with.
    pub max_saved: f64,
    /// Maximum number of attempts of one job.
    pub max_attempts: usize,
    /// Shortest delay of a caller's retry.
    pub min_delay: Span,
    /// Longest delay of a caller's retry.
    pub max_delay: Span,
    /// Share of the drain rate over which returning callers are spread.
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
