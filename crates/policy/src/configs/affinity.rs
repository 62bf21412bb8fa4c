//! Settings of [`crate::affinity`].

use clock::Span;

/// Balance between prefix affinity and even load.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Load up to which a replica takes work by affinity, as a multiple of the pool's mean.
    ///
    /// 1.25 after Mirrokni, Thorup and Zadimoghaddam, "Consistent Hashing with Bounded Loads", 2016: the
    /// expected cost of spilling grows with 1/(load_factor - 1)^2, so a lower value buys little evenness.
    pub load_factor: f64,
    /// Load above the mean that is always allowed, in jobs. One own job moves the estimate of all entries'
    /// load by several: with less slack equal prefixes spill on the estimate's noise, and copies of one
    /// request reach more replicas; with more, the home of a hot key is overloaded.
    pub slack: f64,
    /// Maximum number of hints.
    pub max_hints: usize,
    /// Maximum age of a hint: engines hold prefixes in limited memory, and the events that report an eviction
    /// may be lost.
    pub hint_ttl: Span,
}

impl Default for Config {
    fn default() -> Config {
        Config {
            load_factor: 1.25,
            slack: 2.0,
            max_hints: 4_096,
            hint_ttl: Span::from_seconds(60),
        }
    }
}
