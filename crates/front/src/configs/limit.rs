//! Limits on callers' connections and calls.

use intake::configs::limits::Times;

/// Limits on each connection and call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limit {
    /// Largest request head, bytes.
    pub head_bytes: usize,
    /// Largest request body, bytes.
    pub body_bytes: usize,
    /// Time limits of a connection.
    pub times: Times,
}
