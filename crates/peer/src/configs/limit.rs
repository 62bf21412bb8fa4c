//! Time and size of what peers say.

use clock::Span;

/// Bounds on connections between entries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limit {
    /// Longest time for a connection to come about, both proofs included.
    pub handshake: Span,
    /// Longest time for a call to be answered.
    pub call: Span,
    /// Most connections that are open at once from peers: an entry that adds up counts has one of each.
    pub connections: usize,
    /// Largest message, bytes.
    pub message_bytes: usize,
}

impl Default for Limit {
    fn default() -> Limit {
        Limit {
            handshake: Span::from_seconds(2),
            call: Span::from_seconds(2),
            connections: 2_048,
            message_bytes: 8 * 1024 * 1024,
        }
    }
}
