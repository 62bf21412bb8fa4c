//! Settings of [`crate::budget::Budget`] and [`crate::throttle::Throttle`].

use clock::Span;

/// The service's limits and how they are shared.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Transactions a second that the service takes from all entries.
    pub writes_per_second: f64,
    /// Reads a second that the service takes from all entries.
    pub reads_per_second: f64,
    /// Part of the limits that is shared out; the rest covers entries that count fewer members.
    pub shared_fraction: f64,
    /// What may be saved up while nothing is asked, as a time's worth of the share.
    pub burst: Span,
    /// Least that may be saved up, calls: without it a small share never affords a first call.
    pub min_burst: f64,
    /// Calls of one priority that may wait.
    pub queue: usize,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            writes_per_second: 300.0,
            reads_per_second: 2_000.0,
            shared_fraction: 0.8,
            burst: Span::from_seconds(2),
            min_burst: 4.0,
            queue: 1_024,
        }
    }
}
