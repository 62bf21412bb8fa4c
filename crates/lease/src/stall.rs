//! Detects that the event loop was stalled.
//!
//! Guards against a process that is stopped or starved and continues as if no time had passed, which shows
//! as an unusual gap between two steps. Deadlines alone would cover a gap that outlasts a lease. A shorter
//! gap may hide a longer pause of the whole machine, which its monotonic clock need not count. So after any
//! long gap, leases count as lapsed until they are renewed.

use clock::Span;
use clock::Time;

/// Remembers the last step and compares gaps with a limit.
#[derive(Clone, Copy, Debug)]
pub struct Detector {
    last_step: Option<Time>,
    max_gap: Span,
}

impl Detector {
    /// Creates a detector that reports gaps longer than `max_gap`; steps must be due more often than that.
    pub fn new(max_gap: Span) -> Detector {
        Detector {
            last_step: None,
            max_gap,
        }
    }

    /// Records a step and returns whether the loop was stalled before it.
    pub fn record_step(&mut self, now: Time) -> bool {
        let has_stalled = self.has_stalled(now);
        self.last_step = Some(now);
        has_stalled
    }

    /// Returns whether the loop was stalled since the last step.
    pub fn has_stalled(&self, now: Time) -> bool {
        self.last_step
            .is_some_and(|last| now.since(last) > self.max_gap)
    }
}
