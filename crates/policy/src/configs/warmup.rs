//! Settings of [`crate::warmup`].

use clock::Span;

/// How fast a new replica gets its part.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Share of its slots that a new replica may use at once.
    pub initial_share: f64,
    /// Time until it may use all of them: about twice what a replica takes to compute as many
    /// prefixes as its cache holds (2.4 s for the engine of the table "Warm-up" in
    /// docs/MEASUREMENTS.md, where 5 s is best). Longer wastes capacity, shorter warms nothing.
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
