//! When the loop lets time pass in the reducer.

use clock::Span;
use clock::Time;

/// Time passes in the reducer at least this often.
const MAX_INTERVAL: Span = Span::from_millis(250);
/// And at most this often: each time costs some tens of microseconds.
const MIN_INTERVAL: Span = Span::from_millis(5);

/// The next time at which the reducer is to act on the time alone.
#[derive(Clone, Copy, Debug)]
pub struct Wake {
    due: Time,
    /// When it last did.
    last_tick: Time,
}

impl Wake {
    /// Due at once.
    pub fn new(now: Time) -> Wake {
        Wake {
            due: now,
            last_tick: now,
        }
    }

    /// When it is due.
    pub fn due(&self) -> Time {
        self.due
    }

    /// The reducer took an event and wants to be woken at `wanted`.
    pub fn schedule(&mut self, now: Time, wanted: Time) {
        // Counted from the last time: from each message, timers would never be due beside a steady stream of them.
        self.due = wanted
            .min(now + MAX_INTERVAL)
            .max(self.last_tick + MIN_INTERVAL);
    }

    /// The reducer acted on the time.
    pub fn record_tick(&mut self, now: Time) {
        self.last_tick = now;
    }
}
