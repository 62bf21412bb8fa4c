//! What one caller may take up.

use clock::Span;

/// Bounds on each connection and call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limit {
    /// Largest head of a call, bytes.
    pub head_bytes: usize,
    /// Largest body of a call, bytes.
    pub body_bytes: usize,
    /// Most connections open at once.
    pub connections: usize,
    /// Longest time for the head of a call to arrive.
    pub head_time: Span,
    /// Longest time for the body of a call to arrive.
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
