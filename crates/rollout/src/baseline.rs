//! Estimates how long answers usually take, and detects slow ones.

use clock::Span;

/// An answer is slow if it takes more than this multiple of the usual time.
const SLOW_FACTOR: f64 = 2.5;
/// An answer is slow only if it takes at least this much longer than usual.
const MIN_SLOWDOWN: Span = Span::from_millis(30);
/// The median moves towards each answer by this ratio of itself.
const STEP_RATIO: f64 = 0.03;

/// A running estimate of the median time of one kind of answers.
#[derive(Clone, Copy, Debug, Default)]
pub struct Baseline {
    /// Milliseconds; 0 before the first answer.
    median: f64,
}

impl Baseline {
    /// Records the time of an answer of the version in use.
    pub fn record(&mut self, took_ms: f64) {
        if self.median == 0.0 {
            self.median = took_ms;
        }
        match took_ms > self.median {
            true => self.median *= 1.0 + STEP_RATIO,
            false => self.median *= 1.0 - STEP_RATIO,
        }
    }

    /// Returns whether an answer was much slower than usual.
    pub fn is_slow(&self, took_ms: f64) -> bool {
        let limit = self.median * SLOW_FACTOR;
        self.median > 0.0
            && took_ms > limit
            && took_ms > self.median + MIN_SLOWDOWN.as_millis() as f64
    }

    /// Returns whether a gap of a few milliseconds between tokens was much longer than usual.
    pub fn is_long_gap(&self, gap_ms: f64) -> bool {
        self.median > 0.0 && gap_ms > self.median * SLOW_FACTOR
    }
}
