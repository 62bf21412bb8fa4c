//! Settings of [`crate::order::Orders`].

use clock::Span;

/// Times of orders.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Longest time from the moment an order leaves its sender until it takes effect or is lost.
    pub max_delivery_time: Span,
    /// How long an engine must be seen idle before an order may take away what it serves.
    pub min_idle_time: Span,
    /// Time between reads of an engine that is not as wanted, or may still change.
    pub read_interval: Span,
    /// Time between reads of an engine that is as wanted.
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

/// Reads that may lie between two looks at one state of an engine.
const READS_APART: u64 = 2;

impl Settings {
    /// Longest time between two reads that count as one look.
    pub fn max_read_gap(&self) -> Span {
        self.read_interval.times(READS_APART)
    }
}
