//! Exponential backoff with seeded jitter.
//!
//! Without jitter, entries that lost the service at the same moment retry at the same moment and
//! overload it again.

use clock::Span;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

/// Number of doublings after which the delay stays constant.
const MAX_DOUBLINGS: u32 = 16;

/// Delays that double with each failure up to a limit, each drawn between half and the full delay.
#[derive(Clone, Debug)]
pub struct Backoff {
    first: Span,
    limit: Span,
    failures: u32,
    random: Pcg64Mcg,
}

impl Backoff {
    /// Creates a backoff whose delays start at `first` and never exceed `limit`.
    pub fn new(first: Span, limit: Span, seed: u64) -> Backoff {
        Backoff {
            first,
            limit,
            failures: 0,
            random: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    /// Records a failure and returns the delay before the next attempt.
    pub fn next_delay(&mut self) -> Span {
        let factor = 1_u64 << self.failures.min(MAX_DOUBLINGS);
        self.failures = self.failures.saturating_add(1);
        let full = self.first.times(factor).min(self.limit);
        full.scaled(self.random.random_range(0.5..=1.0))
    }

    /// Resets the delay to the first one after a success.
    pub fn reset(&mut self) {
        self.failures = 0;
    }

    /// Returns the number of failures since the last success.
    pub fn failures(&self) -> u32 {
        self.failures
    }

    /// Returns `span` lengthened or shortened by up to a quarter, for periodic work.
    pub fn jitter(&mut self, span: Span) -> Span {
        span.scaled(self.random.random_range(0.75..=1.25))
    }

    /// Returns a random index below `bound`, or zero if `bound` is zero.
    pub fn pick(&mut self, bound: usize) -> usize {
        if bound == 0 {
            return 0;
        }
        self.random.random_range(0..bound)
    }
}
