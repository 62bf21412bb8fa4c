//! Settings of [`crate::warmup`].

use clock::Span;

/// Ramp-up of new replicas.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Share of its slots that a new replica may use immediately.
    pub initial_share: f64,
    /// Time until it may use all of them: about twice what a replica takes to compute as many
    /// prefixes as its cache holds. Longer wastes capacity, shorter starts with a cold cache.
    pub duration: Span,
}

impl Default for Config {
    fn default() -> Config {
        Config {
            initial_share: 0.1,
            duration: Span::from_seconds(5),
        }
    }
}
