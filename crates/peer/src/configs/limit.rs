//! Timeouts and size limits of connections between entries.

use clock::Span;

/// Bounds on connections between entries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limit {
    /// Timeout for opening a connection, including both proofs.
    pub handshake: Span,
    /// Timeout for the answer to a call.
    pub call: Span,
    /// Maximum connections from peers; an entry that aggregates counts has one from every other entry.
    pub connections: usize,
    /// Maximum size of a message in bytes.
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

impl Limit {
    /// Lowers the number of connections to at most this one.
    pub fn at_most(mut self, connections: u64) -> Limit {
        let connections = usize::try_from(connections).unwrap_or(usize::MAX);
        self.connections = self.connections.min(connections);
        self
    }
}
