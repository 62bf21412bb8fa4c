//! Detects that the process stood still for so long that a server may have been restarted meanwhile.

use std::cell::Cell;
use std::time::Duration;

use clock::Span;
use clock::Time;

/// Interval of beats while nothing else happens.
pub const INTERVAL: Duration = Duration::from_millis(250);
/// Least time for which a server that was killed takes no connections; a supervisor starts its process again, which then
/// loads its code and, for an engine, its weights.
pub const MIN_RESTART_TIME: Span = Span::from_millis(1_000);

/// Beats while the process runs.
#[derive(Debug, Default)]
pub struct Pulse {
    last_beat: Cell<Time>,
    /// When the process ran again after it had last stood still.
    resumed_at: Cell<Option<Time>>,
}

impl Pulse {
    /// Records that the process runs.
    pub fn beat(&self, now: Time) {
        if now.since(self.last_beat.replace(now)) >= MIN_RESTART_TIME {
            self.resumed_at.set(Some(now));
        }
    }

    /// Returns whether the process stood still after `since`.
    pub fn has_paused_since(&self, now: Time, since: Time) -> bool {
        // The process may have resumed just now, with the beat that notices it still to come.
        self.beat(now);
        self.resumed_at.get().is_some_and(|at| at > since)
    }
}
