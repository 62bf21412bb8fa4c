//! Settings of [`crate::agreement::Agreement`].

use clock::Span;

/// Intervals, timeouts and limits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Time between two reads of the head while few members share the table service.
    pub poll_interval: Span,
    /// Head reads per second that all members together may make.
    pub max_polls_per_second: u64,
    /// Delay before the first retry of a failed call.
    pub retry_delay: Span,
    /// Longest delay between retries.
    pub max_retry_delay: Span,
    /// Time that a peer has to send missing versions before the table service is read.
    pub peer_timeout: Span,
    /// Time that a vote stays valid after its request was sent, among few members.
    pub vote_validity: Span,
    /// Time by which the validity grows with each member, so that many members are queried less often. It
    /// must stay below the growth of a lease's term per member, because a row must be seen to lapse after
    /// its member's votes expire.
    pub vote_validity_per_member: Span,
    /// Time added for other members' clocks, which may run at different rates.
    pub margin: Span,
    /// Number of versions retained in the table service and in memory.
    pub retained_versions: u64,
    /// Number of versions between two snapshots; must be less than `retained_versions`.
    pub checkpoint_interval: u64,
    /// Number of changes that may be pending at this entry.
    pub max_pending_changes: usize,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            poll_interval: Span::from_seconds(2),
            max_polls_per_second: 200,
            retry_delay: Span::from_millis(200),
            max_retry_delay: Span::from_seconds(5),
            peer_timeout: Span::from_millis(500),
            vote_validity: Span::from_seconds(3),
            vote_validity_per_member: Span::from_millis(20),
            margin: Span::from_seconds(1),
            retained_versions: 512,
            checkpoint_interval: 64,
            max_pending_changes: 256,
        }
    }
}

/// Factor by which another member's count of members, and so its validity of a vote, may exceed ours.
const MEMBER_COUNT_TOLERANCE: f64 = 1.25;

impl Settings {
    /// Returns how long a vote stays valid among `members`.
    pub fn vote_validity_among(&self, members: usize) -> Span {
        self.vote_validity
            .max(self.vote_validity_per_member.times(members as u64))
    }

    /// Returns how long a vote given now may be valid for its receiver.
    pub fn promise_span_among(&self, members: usize) -> Span {
        self.vote_validity_among(members)
            .scaled(MEMBER_COUNT_TOLERANCE)
            + self.margin
    }
}
