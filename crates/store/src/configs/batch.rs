//! Settings of [`crate::batch::Batch`].

use clock::Span;

/// Bounds of one group commit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Most rows in one transaction.
    pub rows: usize,
    /// How long the first row waits for others.
    pub linger: Span,
    /// Transactions on their way at once.
    pub concurrent: usize,
    /// Rows that may wait; more are refused at once.
    pub queue: usize,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            rows: 64,
            linger: Span::from_millis(4),
            concurrent: 2,
            queue: 2_048,
        }
    }
}
