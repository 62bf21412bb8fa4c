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
    /// How long a member's word on its version counts, from when it was asked, among few members.
    pub word: Span,
    /// The same for each member, so that many members are asked less often. A row must be seen to lapse
    /// later than its member's words do, so it stays below what a lease's term grows by.
    pub word_per_member: Span,
    /// Added to waits for others' clocks, which may run unevenly.
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
            word: Span::from_seconds(3),
            word_per_member: Span::from_millis(20),
            margin: Span::from_seconds(1),
            kept: 512,
            checkpoint_every: 64,
            queue: 256,
        }
    }
}

/// Others may count a quarter more members than we do, and so trust a word for longer.
const COUNT_SLACK: f64 = 1.25;

impl Settings {
    /// How long a member's word counts among `members`.
    pub fn word_among(&self, members: usize) -> Span {
        self.word.max(self.word_per_member.times(members as u64))
    }

    /// How long a word that we give now may count for others.
    pub fn promise_among(&self, members: usize) -> Span {
        self.word_among(members).scaled(COUNT_SLACK) + self.margin
    }
}
