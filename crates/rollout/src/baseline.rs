//! How long answers usually take, and which are far slower.

use clock::Span;

/// An answer that takes so many times as long as usual is bad.
const FAR_SLOWER: f64 = 2.5;
/// Answers are never far slower by less than this.
const LEAST: Span = Span::from_millis(30);
/// The usual time moves by this part of itself towards each answer.
const STEP: f64 = 0.03;

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
            true => self.median *= 1.0 + STEP,
            false => self.median *= 1.0 - STEP,
        }
    }

    /// Whether an answer came far slower than usual.
    pub fn is_slow(&self, took_ms: f64) -> bool {
        let usual = self.median * FAR_SLOWER;
        self.median > 0.0 && took_ms > usual && took_ms > self.median + LEAST.as_millis() as f64
    }

    /// The same for a pause that is a few milliseconds long.
    pub fn is_long_gap(&self, pause_ms: f64) -> bool {
        self.median > 0.0 && pause_ms > self.median * FAR_SLOWER
    }
}
