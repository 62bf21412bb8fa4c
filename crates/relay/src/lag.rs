//! Measures how late the loop runs, because the process was frozen or has too little processor time.

use clock::Span;
use clock::Time;

/// Window over which the maximum is kept.
const WINDOW: Span = Span::from_seconds(1);
/// Lag from which on it is logged.
const LOG_THRESHOLD: Span = Span::from_millis(250);

/// The loop's lag.
#[derive(Clone, Copy, Debug, Default)]
pub struct Lag {
    /// The maximum of the previous window.
    previous: Span,
    current: Span,
    /// Start of the current window.
    window_start: Time,
}

impl Lag {
    /// Records that something due at `due` is handled now; returns a lag to log at most once a window.
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

    /// Returns the maximum lag of the previous and the current window.
    pub fn max(&self) -> Span {
        self.previous.max(self.current)
    }
}
