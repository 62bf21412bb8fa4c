//! Streams that can't go on for now, since no replica that may run them accepts a connection.
//!
//! Load pattern: the replicas of a version have crashed together and refuse connections at once. A broken stream that may go
//! on nowhere else would try them in turn, thousands of times a second. It pauses before each further round instead.

use clock::Span;
use clock::Time;

use crate::job;
use crate::scheduler::Scheduler;

/// Pause before the second round; doubled for each further one.
const FIRST_PAUSE: Span = Span::from_millis(50);
/// Longest pause. Replicas are back after some seconds.
const MAX_PAUSE: Span = Span::from_millis(800);

impl Scheduler {
    /// Keeps a job out of the queue until it may try all replicas again.
    pub(super) fn back_off(&mut self, now: Time, id: job::Id) {
        let Some(open) = self.open.get_mut(&id) else {
            return;
        };
        open.backoff = open.backoff.times(2).clamp(FIRST_PAUSE, MAX_PAUSE);
        self.backing_off.insert((now + open.backoff, id));
    }

    /// Queues the jobs again whose pause is over.
    pub(super) fn resume_backed_off(&mut self, now: Time) {
        while let Some((due, id)) = self.backing_off.first().copied() {
            if due > now {
                return;
            }
            self.backing_off.pop_first();
            self.enqueue(now, id, true);
        }
    }
}
