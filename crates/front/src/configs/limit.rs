//! Limits on callers' connections and calls.

use clock::Span;

/// Limits on each connection and call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limit {
    /// Largest request head, bytes.
    pub head_bytes: usize,
    /// Largest request body, bytes.
    pub body_bytes: usize,
    /// Most open connections.
    pub connections: usize,
    /// Timeout for receiving the request head.
    pub head_time: Span,
    /// Timeout for receiving the request body.
    pub body_time: Span,
}

impl Default for Limit {
    fn default() -> Limit {
        Limit {
            head_bytes: 32 * 1024,
            body_bytes: 8 * 1024 * 1024,
            connections: 4_096,
            head_time: Span::from_seconds(10),
            body_time: Span::from_seconds(30),
        }
    }
}
