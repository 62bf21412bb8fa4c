//! Since when something that reaches the loop now may have been pending.

use clock::Span;
use clock::Time;

/// Shortest time without a turn of the loop that counts as a gap. The process may have stood still in it, or only slept.
const MIN_GAP: Span = Span::from_millis(20);
/// Time after a gap in which the loop may still receive what came in it: timers are handled before signals.
const SETTLE_TIME: Span = Span::from_millis(50);

/// The latest turns of the loop.
#[derive(Clone, Copy, Debug, Default)]
pub struct Standstill {
    last_turn: Time,
    gap: Option<Gap>,
}

#[derive(Clone, Copy, Debug)]
struct Gap {
    start: Time,
    end: Time,
}

impl Standstill {
    /// Records a turn of the loop.
    pub fn record_turn(&mut self, now: Time) {
        if now.since(self.last_turn) >= MIN_GAP {
            self.gap = Some(Gap {
                start: self.last_turn,
                end: now,
            });
        }
        self.last_turn = now;
    }

    /// Returns the latest time at which the loop is known to have run with nothing pending.
    pub fn pending_since(&self, now: Time) -> Time {
        match self.gap {
            Some(gap) if now.since(gap.end) < SETTLE_TIME => gap.start,
            _ => self.last_turn,
        }
    }
}
