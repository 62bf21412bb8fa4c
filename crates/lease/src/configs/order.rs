//! Settings of [`crate::order::Orders`].

use clock::Span;

/// Intervals and timeouts of orders.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Longest time from when an order leaves its sender until it takes effect or is lost.
    pub max_delivery_time: Span,
    /// Time that an engine must be idle before an order may unload what it serves.
    pub min_idle_time: Span,
    /// Time between reads of an engine that has not reached its target or may still change.
    pub read_interval: Span,
    /// Time between reads of an engine that has reached its target.
    pub settled_read_interval: Span,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            max_delivery_time: Span::from_seconds(10),
            min_idle_time: Span::from_seconds(2),
            read_interval: Span::from_millis(500),
            settled_read_interval: Span::from_seconds(10),
        }
    }
}

/// Read intervals that may pass between two reads that count as continuous observation.
const READS_APART: u64 = 2;

impl Settings {
    /// Returns the longest time between two reads that count as continuous observation.
    pub fn max_read_gap(&self) -> Span {
        self.read_interval.times(READS_APART)
    }
}
