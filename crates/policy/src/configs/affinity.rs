//! Settings of [`crate::affinity`].

use clock::Span;

/// How far affinity goes against even load.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Times the pool's mean load up to which a replica takes work by affinity.
    ///
    /// 1.25 after Mirrokni, Thorup and Zadimoghaddam, "Consistent Hashing with Bounded Loads",
    /// 2016: the expected cost of spilling grows with 1/(factor - 1)^2, so less buys little evenness.
    pub factor: f64,
    /// Load above the mean that is always granted, in jobs. One job of ours moves the estimate of all
    /// entries' load by several; with less slack equal prefixes spill for the estimate's noise, and
    /// copies of one request meet more replicas; with more, a hot key's home is overrun. The table
    /// "Affinity" in docs/MEASUREMENTS.md gives both by this figure.
    pub slack: f64,
    /// Most prefixes for which a hint is kept.
    pub hints: usize,
    /// A hint older than this is not used: engines hold prefixes in limited memory, and the events
    /// that tell of an eviction may be lost.
    pub fresh: Span,
}

impl Default for Config {
    fn default() -> Config {
        Config {
            factor: 1.25,
            slack: 2.0,
            hints: 4_096,
            fresh: Span::from_seconds(60),
        }
    }
}
