//! Settings of [`crate::agreement::Agreement`].

use clock::Span;

/// Times and bounds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Time between two reads of the head while few members share the service.
    pub poll: Span,
    /// Reads of the head a second that all members together may make.
    pub polls_per_second: u64,
    /// First wait after a failed call.
    pub retry: Span,
    /// Longest wait after failed calls.
    pub retry_limit: Span,
    /// How long a peer is given to hand over missing versions before the service is read.
    pub peer_patience: Span,
    /// Term of a member's lease; also how long a peer's word on its version counts as evidence.
    pub term: Span,
    /// Added to the term before others treat a lease as lapsed, for clocks that run unevenly.
    pub margin: Span,
    /// Versions kept in the service and in memory.
    pub kept: u64,
    /// A whole snapshot is written with every so-many-th version; less than `kept`.
    pub checkpoint_every: u64,
    /// Changes that may wait here at once.
    pub queue: usize,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            poll: Span::from_seconds(2),
            polls_per_second: 200,
            retry: Span::from_millis(200),
            retry_limit: Span::from_seconds(5),
            peer_patience: Span::from_millis(500),
            term: Span::from_seconds(6),
            margin: Span::from_seconds(1),
            kept: 512,
            checkpoint_every: 64,
            queue: 256,
        }
    }
}
