//! How long answers usually take, and which are far slower.

use clock::Span;

/// An answer that takes so many times as long as usual is bad.
const SLOW_FACTOR: f64 = 2.5;
/// Answers are never far slower by less than this.
const MIN_SLOWDOWN: Span = Span::from_millis(30);
/// The usual time moves by this part of itself towards each answer.
const STEP_RATIO: f64 = 0.03;

/// The median time of answers of one kind, in any unit of time.
#[derive(Clone, Copy, Debug, Default)]
pub struct Baseline {
    /// Milliseconds; 0 before the first answer.
    median: f64,
}

impl Baseline {
    /// Takes in an answer of the version in use.
    pub fn record(&mut self, took_ms: f64) {
        if self.median == 0.0 {
            self.median = took_ms;
        }
        match took_ms > self.median {
            true => self.median *= 1.0 + STEP_RATIO,
            false => self.median *= 1.0 - STEP_RATIO,
        }
    }

    /// Whether an answer came far slower than usual.
    pub fn is_slow(&self, took_ms: f64) -> bool {
        let limit = self.median * SLOW_FACTOR;
        self.median > 0.0
            && took_ms > limit
            && took_ms > self.median + MIN_SLOWDOWN.as_millis() as f64
    }

    /// The same for a pause that is a few milliseconds long.
    pub fn is_long_gap(&self, gap_ms: f64) -> bool {
        self.median > 0.0 && gap_ms > self.median * SLOW_FACTOR
    }
}
