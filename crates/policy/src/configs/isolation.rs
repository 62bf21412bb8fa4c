//! Settings of [`crate::isolation`].

use clock::Span;

/// Thresholds at which an entry counts as cut off from all replicas.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Config {
    /// Distinct replicas that must be unreachable in a row; all of them if fewer are known.
    pub min_replicas: usize,
    /// Time after which a failed connection is no longer evidence.
    pub evidence_age: Span,
    /// Silence of all replicas while one owes an answer after which a connection is tried. Below the time
    /// after which requests to a silent replica are given up.
    pub max_silence: Span,
    /// Least time between two rounds of trial connections.
    pub probe_interval: Span,
}

impl Default for Config {
    fn default() -> Config {
        Config {
            min_replicas: 3,
            evidence_age: Span::from_seconds(3),
            max_silence: Span::from_millis(400),
            probe_interval: Span::from_millis(500),
        }
    }
}
