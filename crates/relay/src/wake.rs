//! Schedules the ticks that advance time in the reducer.

use clock::Span;
use clock::Time;

/// Longest interval between two ticks.
const MAX_INTERVAL: Span = Span::from_millis(250);
/// Shortest interval between two ticks, since each costs some tens of microseconds.
const MIN_INTERVAL: Span = Span::from_millis(5);

/// The next time at which a tick is due.
#[derive(Clone, Copy, Debug)]
pub struct Wake {
    due: Time,
    /// Time of the last tick.
    last_tick: Time,
}

impl Wake {
    /// Creates a timer that is due immediately.
    pub fn new(now: Time) -> Wake {
        Wake {
            due: now,
            last_tick: now,
        }
    }

    /// Returns when the next tick is due.
    pub fn due(&self) -> Time {
        self.due
    }

    /// Schedules the next tick after an event, for when the reducer wants to be woken.
    pub fn schedule(&mut self, now: Time, wanted: Time) {
        // Counted from the last tick: counted from each message, timers would starve under steady traffic.
        self.due = wanted
            .min(now + MAX_INTERVAL)
            .max(self.last_tick + MIN_INTERVAL);
    }

    /// Records that a tick was handled.
    pub fn record_tick(&mut self, now: Time) {
        self.last_tick = now;
    }
}
