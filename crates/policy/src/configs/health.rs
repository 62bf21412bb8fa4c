//! Settings of [`crate::health`].

use clock::Span;

/// When a replica is taken out, and how it comes back.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Times the median token gap (or call time) of its peers at which a replica counts as slow. In
    /// the table "Ejection" of docs/MEASUREMENTS.md 4 with the weight below is the only pair but one
    /// without wrong ejections, and the quicker of them.
    pub slow_factor: f64,
    /// Weight of a period's least gap in the average; the same table.
    pub gap_smoothing: f64,
    /// Periods with a gap before a replica is compared at all.
    pub min_samples: u32,
    /// Weight of one attempt's end in the average of failures.
    pub failure_smoothing: f64,
    /// Share of failed attempts at which a replica counts as failing, if its peers' median is less
    /// than half of that: a request that fails everywhere must eject nobody.
    pub failure_threshold: f64,
    /// Attempts ended before failures are judged.
    pub min_attempts: u32,
    /// Silence (no token, no report) with work in flight at which a replica counts as frozen:
    /// three reports at one a second.
    pub frozen_after: Span,
    /// Silence of its streams at which a replica counts as frozen although it still reports: above
    /// the prefill of the longest prompt, during which a lone stream says nothing.
    pub stalled_after: Span,
    /// Times the peers' median gap that a silence must exceed as well.
    pub silence_factor: f64,
    /// One of this many replicas of a pool, at most, is out at once: the rest must carry its work.
    pub ejection_divisor: usize,
    /// First term out; it doubles with each relapse, so that a fault that lasted keeps a replica
    /// out for at most about as long again.
    pub base_ejection: Span,
    /// Longest term: a replica broken for good costs one late request a term.
    pub max_ejection: Span,
    /// Jobs at once at which a probed replica counts as back.
    pub recovered_jobs: u32,
    /// Judgement is renewed this often.
    pub period: Span,
}

impl Default for Config {
    fn default() -> Config {
        Config {
            slow_factor: 4.0,
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
