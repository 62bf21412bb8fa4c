//! How late the loop runs: a frozen process, or more work than its processor share bears.

use clock::Span;
use clock::Time;

/// Time over which the greatest lag is kept.
const WINDOW: Span = Span::from_seconds(1);
/// A lag that is logged.
const LATE: Span = Span::from_millis(250);

/// The loop's lag.
#[derive(Clone, Copy, Debug, Default)]
pub struct Lag {
    /// The greatest of the window that has ended, and of the one that runs.
    ended: Span,
    running: Span,
    /// When the running window began.
    since: Time,
}

impl Lag {
    /// Notes that something was due at `due` and is taken in now; gives a lag to be logged, once a window.
    pub fn note(&mut self, now: Time, due: Time) -> Option<Span> {
        let late = now.since(due);
        let mut logged = None;
        if now.since(self.since) >= WINDOW {
            self.ended = self.running;
            self.running = Span::ZERO;
            self.since = now;
        }
        if late >= LATE && self.running < LATE {
            logged = Some(late);
        }
        self.running = self.running.max(late);
        logged
    }

    /// The greatest lag of the last seconds.
    pub fn most(&self) -> Span {
        self.ended.max(self.running)
    }
}
