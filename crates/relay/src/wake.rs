//! When the loop lets time pass in the reducer.

use clock::Span;
use clock::Time;

/// Time passes in the reducer at least this often.
const LONGEST: Span = Span::from_millis(250);
/// And at most this often: each time costs some tens of microseconds.
const SHORTEST: Span = Span::from_millis(5);

/// The next time at which the reducer is to act on the time alone.
#[derive(Clone, Copy, Debug)]
pub struct Wake {
    due: Time,
    /// When it last did.
    last: Time,
}

impl Wake {
    /// Due at once.
    pub fn new(now: Time) -> Wake {
        Wake {
            due: now,
            last: now,
        }
    }

    /// When it is due.
    pub fn due(&self) -> Time {
        self.due
    }

    /// The reducer took an event and wants to be woken at `wanted`.
    pub fn set(&mut self, now: Time, wanted: Time) {
        // Counted from the last time: from each message, timers would never be due beside a steady stream of them.
        self.due = wanted.min(now + LONGEST).max(self.last + SHORTEST);
    }

    /// The reducer acted on the time.
    pub fn acted(&mut self, now: Time) {
        self.last = now;
    }
}
