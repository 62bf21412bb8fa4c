//! Jittered waiting times from a seed.
//!
//! Without jitter, entries that lost the service at the same moment come back to it at the same
//! moment and bring it down again.

use clock::Span;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

/// Exponent beyond which a delay grows no more.
const MAX_DOUBLINGS: u32 = 16;

/// Delays that double with each failure, up to a limit, each drawn between half and the whole.
#[derive(Clone, Debug)]
pub struct Backoff {
    first: Span,
    limit: Span,
    failures: u32,
    random: Pcg64Mcg,
}

impl Backoff {
    /// Starts at `first` and never waits longer than `limit`.
    pub fn new(first: Span, limit: Span, seed: u64) -> Backoff {
        Backoff {
            first,
            limit,
            failures: 0,
            random: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    /// The time to wait after one more failure.
    pub fn next_delay(&mut self) -> Span {
        let factor = 1_u64 << self.failures.min(MAX_DOUBLINGS);
        self.failures = self.failures.saturating_add(1);
        let full = self.first.times(factor).min(self.limit);
        full.scaled(self.random.random_range(0.5..=1.0))
    }

    /// The next delay is the first again.
    pub fn reset(&mut self) {
        self.failures = 0;
    }

    /// Failures since the last success.
    pub fn failures(&self) -> u32 {
        self.failures
    }

    /// `span` lengthened or shortened by up to a quarter, for periodic work.
    pub fn jitter(&mut self, span: Span) -> Span {
        span.scaled(self.random.random_range(0.75..=1.25))
    }

    /// A number below `bound`, for choosing among peers; zero if there are none.
    pub fn pick(&mut self, bound: usize) -> usize {
        if bound == 0 {
            return 0;
        }
        self.random.random_range(0..bound)
    }
}
