//! Settings of [`crate::budget::Budget`] and [`crate::throttle::Throttle`].

use clock::Span;

/// Limits of the service and how entries share them.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Transactions per second that the service accepts from all entries.
    pub writes_per_second: f64,
    /// Reads per second that the service accepts from all entries.
    pub reads_per_second: f64,
    /// Fraction of the limits that entries share; the rest covers entries that undercount the members.
    pub shared_fraction: f64,
    /// Capacity of a bucket, as the time it takes to fill.
    pub burst: Span,
    /// Minimum capacity of a bucket in calls; a small share could otherwise never afford the first call.
    pub min_burst: f64,
    /// Maximum queued calls of one priority.
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
