//! How late the loop runs: a frozen process, or more work than its processor share bears.

use clock::Span;
use clock::Time;

/// Time over which the greatest lag is kept.
const WINDOW: Span = Span::from_seconds(1);
/// A lag that is logged.
const LOG_THRESHOLD: Span = Span::from_millis(250);

/// The loop's lag.
#[derive(Clone, Copy, Debug, Default)]
pub struct Lag {
    /// The greatest of the window that has ended, and of the one that runs.
    previous: Span,
    current: Span,
    /// When the running window began.
    window_start: Time,
}

impl Lag {
    /// Notes that something was due at `due` and is taken in now; gives a lag to be logged, once a window.
    pub fn record(&mut self, now: Time, due: Time) -> Option<Span> {
        let late = now.since(due);
        let mut logged = None;
        if now.since(self.window_start) >= WINDOW {
            self.previous = self.current;
            self.current = Span::ZERO;
            self.window_start = now;
        }
        if late >= LOG_THRESHOLD && self.current < LOG_THRESHOLD {
            logged = Some(late);
        }
        self.current = self.current.max(late);
        logged
    }

    /// The greatest lag of the last seconds.
    pub fn max(&self) -> Span {
        self.previous.max(self.current)
    }
}
