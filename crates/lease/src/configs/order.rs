//! Settings of [`crate::order::Orders`].

use clock::Span;

/// Times of orders.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Longest time from the moment an order leaves its sender until it takes effect or is lost.
    pub flight: Span,
    /// How long an engine must be seen idle before an order may take away what it serves.
    pub quiet: Span,
    /// Time between reads of an engine that is not as wanted, or may still change.
    pub read: Span,
    /// Time between reads of an engine that is as wanted.
    pub idle_read: Span,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            flight: Span::from_seconds(10),
            quiet: Span::from_seconds(2),
            read: Span::from_millis(500),
            idle_read: Span::from_seconds(10),
        }
    }
}

/// Reads that may lie between two looks at one state of an engine.
const READS_APART: u64 = 2;

impl Settings {
    /// Longest time between two reads that count as one look.
    pub fn longest_gap(&self) -> Span {
        self.read.times(READS_APART)
    }
}
