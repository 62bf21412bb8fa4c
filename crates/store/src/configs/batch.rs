//! Settings of [`crate::batch::Batch`].

use clock::Span;

/// Limits of a group commit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Maximum rows in one transaction.
    pub rows: usize,
    /// Maximum time that a row waits for others to share its transaction.
    pub linger: Span,
    /// Maximum transactions in flight.
    pub concurrent: usize,
    /// Maximum queued rows; more are refused immediately.
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
