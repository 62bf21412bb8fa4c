//! Settings of [`crate::health`].

use clock::Span;

/// Thresholds for ejecting and readmitting a replica.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Multiple of its peers' median token gap (or call duration) at which a replica counts as
    /// slow. Together with `gap_smoothing` it avoids wrong ejections; lower values eject healthy
    /// replicas.
    pub slow_factor: f64,
    /// Gap below which no replica counts as slow. Gaps are whole milliseconds, so that those of quick calls are a
    /// multiple of each other, or of none, by chance.
    pub min_slow_gap: Span,
    /// Weight of a period's smallest gap in the average.
    pub gap_smoothing: f64,
    /// Periods with a gap before a replica is compared with its peers.
    pub min_samples: u32,
    /// Weight of one attempt's end in the failure rate.
    pub failure_smoothing: f64,
    /// Failure rate at which a replica counts as failing, if its peers' median is less than half of
    /// it: a request that fails everywhere must eject nobody.
    pub failure_threshold: f64,
    /// Ended attempts before the failure rate is judged.
    pub min_attempts: u32,
    /// Silence (no token, no report) with work in flight at which a replica counts as frozen: three
    /// reports at one per second.
    pub frozen_after: Span,
    /// Silence of its streams at which a replica counts as frozen although it still reports: above
    /// the prefill of the longest prompt, during which a lone stream produces nothing.
    pub stalled_after: Span,
    /// Multiple of the peers' median gap that a silence must exceed as well.
    pub silence_factor: f64,
    /// At most one in this many replicas of a pool is ejected at a time: the rest must carry its
    /// work.
    pub ejection_divisor: usize,
    /// Duration of the first ejection; it doubles with each relapse, so that a fault that lasted
    /// keeps a replica out for at most about as long again.
    pub base_ejection: Span,
    /// Longest ejection: a replica broken for good costs one late request per ejection.
    pub max_ejection: Span,
    /// Concurrent jobs at which a probed replica counts as recovered.
    pub recovered_jobs: u32,
    /// Interval between evaluations.
    pub period: Span,
}

impl Default for Config {
    fn default() -> Config {
        Config {
            slow_factor: 4.0,
            min_slow_gap: Span::from_millis(5),
            gap_smoothing: 0.05,
            min_samples: 8,
            failure_smoothing: 0.1,
            failure_threshold: 0.5,
            min_attempts: 5,
            frozen_after: Span::from_seconds(3),
            stalled_after: Span::from_seconds(20),
            silence_factor: 20.0,
            ejection_divisor: 3,
            base_ejection: Span::from_seconds(5),
            max_ejection: Span::from_seconds(300),
            recovered_jobs: 16,
            period: Span::from_millis(250),
        }
    }
}
