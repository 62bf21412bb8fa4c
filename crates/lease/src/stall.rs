//! Notices that the loop slept.
//!
//! Failure guarded against: a process is stopped or starved and goes on as if no time had passed.
//! It shows as one step that follows the last after an unusual gap. Deadlines alone would cover a
//! gap that outlasts a lease; a shorter one may hide a longer pause of the whole machine, whose
//! monotonic clock need not count it. So after any long gap, leases count as lapsed until renewed.

use clock::Span;
use clock::Time;

/// Remembers the last step.
#[derive(Clone, Copy, Debug)]
pub struct Detector {
    last: Option<Time>,
    longest: Span,
}

impl Detector {
    /// Gaps longer than `longest` count as sleep; steps must be due more often than that.
    pub fn new(longest: Span) -> Detector {
        Detector {
            last: None,
            longest,
        }
    }

    /// Notes a step; says whether the loop slept before it.
    pub fn record_step(&mut self, now: Time) -> bool {
        let slept = self.has_stalled(now);
        self.last = Some(now);
        slept
    }

    /// Whether the loop slept since the last step.
    pub fn has_stalled(&self, now: Time) -> bool {
        self.last.is_some_and(|last| now.since(last) > self.longest)
    }
}
