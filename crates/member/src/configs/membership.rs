//! Settings of [`crate::membership::Membership`].

use clock::Span;

/// Intervals, timeouts and limits of leases, reads and gossip.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Time between two renewals of our row while few members share the table service.
    pub renewal_interval: Span,
    /// Most renewals per second of all members together.
    pub renewals_per_second: u64,
    /// A lease's term, in renewal intervals.
    pub renewals_per_term: u64,
    /// Shortest time between two renewals when the row has changed.
    pub min_renewal_interval: Span,
    /// Time added to a lease's term before others treat it as lapsed.
    pub margin: Span,
    /// Longest time between two steps; after a longer one the process is assumed to have been suspended.
    pub max_step_gap: Span,
    /// Shortest time between two reads of our zone's members.
    pub scan_interval: Span,
    /// Most bytes per second that one member reads of its zone's rows, and as many again of all rows.
    pub scan_bytes_per_second: u64,
    /// Size of one row in an answer, bytes.
    pub row_bytes: u64,
    /// Time between two regular rounds of digests.
    pub gossip_interval: Span,
    /// Peers that receive a digest in each round.
    pub fanout: usize,
    /// Peers to which a request that crashes backend servers is announced at once; the others receive it
    /// by rounds. Covers a system of 8 entries twice. A larger one would have to choose first the peers
    /// that use the same replicas, which isn't implemented.
    pub announce_fanout: usize,
    /// Most bytes of a regular digest.
    pub digest_bytes: usize,
    /// Most bytes of a digest while many items are waiting and the byte budget allows it.
    pub burst_digest_bytes: usize,
    /// Rate of the byte budget, beyond which no urgent rounds are sent.
    pub gossip_bytes_per_second: u64,
    /// Shortest time between two rounds while urgent items are waiting.
    pub urgent_interval: Span,
    /// Time without a new heartbeat after which a member is no longer given to callers. Longer among many
    /// members, whose heartbeats take longer to go round.
    pub heartbeat_timeout: Span,
    /// How long the row of a member that left is kept, for entries that look for its ledger's heir.
    pub left_retention: Span,
    /// How long a lapsed row is kept unless its instance is known to be gone.
    pub lapsed_retention: Span,
    /// First delay before a failed call is retried.
    pub retry_delay: Span,
    /// Longest delay before a failed call is retried.
    pub max_retry_delay: Span,
    /// Most addresses in one answer to a caller.
    pub addresses: usize,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            renewal_interval: Span::from_seconds(2),
            renewals_per_second: 100,
            renewals_per_term: 3,
            min_renewal_interval: Span::from_millis(250),
            margin: Span::from_seconds(1),
            max_step_gap: Span::from_seconds(3),
            scan_interval: Span::from_seconds(2),
            scan_bytes_per_second: 500,
            row_bytes: 250,
            gossip_interval: Span::from_seconds(1),
            fanout: 2,
            announce_fanout: 16,
            digest_bytes: 480,
            burst_digest_bytes: 8_192,
            gossip_bytes_per_second: 1_600,
            urgent_interval: Span::from_millis(100),
            heartbeat_timeout: Span::from_seconds(8),
            left_retention: Span::from_seconds(1_800),
            lapsed_retention: Span::from_seconds(86_400),
            retry_delay: Span::from_millis(200),
            max_retry_delay: Span::from_seconds(2),
            addresses: 8,
        }
    }
}

impl Settings {
    /// Returns the time between two renewals when `members` share the service.
    pub fn renewal_interval_for(&self, members: usize) -> Span {
        let shared = Span::from_millis(members as u64 * 1_000 / self.renewals_per_second);
        self.renewal_interval.max(shared)
    }

    /// Returns a lease's term when `members` share the service.
    pub fn term_for(&self, members: usize) -> Span {
        self.renewal_interval_for(members)
            .times(self.renewals_per_term)
    }

    /// Returns the shortest time between renewals of a changed row when `members` share the service.
    pub fn min_renewal_interval_for(&self, members: usize) -> Span {
        let shared = Span::from_millis(members as u64 * 1_000 / self.renewals_per_second);
        self.min_renewal_interval.max(shared)
    }

    /// Returns the time between two reads of `rows` rows.
    pub fn scan_interval_for(&self, rows: usize) -> Span {
        let bytes = rows as u64 * self.row_bytes;
        let shared = Span::from_millis(bytes * 1_000 / self.scan_bytes_per_second);
        self.scan_interval.max(shared)
    }

    /// Returns the heartbeat timeout among `members`.
    pub fn heartbeat_timeout_for(&self, members: usize) -> Span {
        let beats = (self.digest_bytes / crate::digest::BEAT_BYTES).max(1);
        let rounds = members.div_ceil(beats * self.fanout.max(1)) as u64;
        self.heartbeat_timeout
            .max(self.gossip_interval.times(3 * rounds))
    }
}
