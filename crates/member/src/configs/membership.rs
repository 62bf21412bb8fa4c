//! Settings of [`crate::membership::Membership`].

use clock::Span;

/// Times, bounds and shares of the table service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Time between two renewals of our row while few members share the service.
    pub renewal_interval: Span,
    /// Renewals a second that all members together may make.
    pub renewals_per_second: u64,
    /// A lease's term, in renewals.
    pub renewals_per_term: u64,
    /// Shortest time between two renewals that carry news.
    pub min_renewal_interval: Span,
    /// Added to the term before others treat a lease as lapsed.
    pub margin: Span,
    /// A step that follows the last after a longer gap means that the loop slept.
    pub max_step_gap: Span,
    /// Shortest time between two reads of the members of our zone.
    pub scan_interval: Span,
    /// Bytes a second that one member may read of the members of its zone, and as many of all.
    pub scan_bytes_per_second: u64,
    /// What one member's row takes in an answer, bytes.
    pub row_bytes: u64,
    /// Time between two rounds of digests.
    pub gossip_interval: Span,
    /// Peers that are sent a digest each round.
    pub fanout: usize,
    /// Peers that are told of a request that crashes backend servers at once; the others by rounds.
    /// Twice today's 8 entries; at full size those beside which the same replicas are used must come
    /// first, which isn't built.
    pub announce_fanout: usize,
    /// Most bytes of one digest.
    pub digest_bytes: usize,
    /// Most bytes of one digest while there is much news and bytes are saved up for it.
    pub burst_digest_bytes: usize,
    /// Bytes of digests a second beyond which nothing is brought forward.
    pub gossip_bytes_per_second: u64,
    /// Shortest time between two rounds when there is urgent news.
    pub urgent_interval: Span,
    /// A member whose heartbeat has not risen for so long is not named to callers. Stretched where
    /// heartbeats of all members take longer to come round.
    pub heartbeat_timeout: Span,
    /// How long the row of a member that left is kept, for those who look for its ledger's heir.
    pub left_retention: Span,
    /// How long a lapsed row is kept unless the instance is known to be gone.
    pub lapsed_retention: Span,
    /// First wait after a failed call.
    pub retry_delay: Span,
    /// Longest wait after failed calls.
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
            gossip_bytes_per_second: 1_200,
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
    /// Time between renewals when `members` share the service.
    pub fn renewal_interval_for(&self, members: usize) -> Span {
        let shared = Span::from_millis(members as u64 * 1_000 / self.renewals_per_second);
        self.renewal_interval.max(shared)
    }

    /// A lease's term when `members` share the service.
    pub fn term_for(&self, members: usize) -> Span {
        self.renewal_interval_for(members)
            .times(self.renewals_per_term)
    }

    /// Shortest time between renewals that carry news when `members` share the service.
    pub fn min_renewal_interval_for(&self, members: usize) -> Span {
        let shared = Span::from_millis(members as u64 * 1_000 / self.renewals_per_second);
        self.min_renewal_interval.max(shared)
    }

    /// Time between reads of `rows` rows.
    pub fn scan_interval_for(&self, rows: usize) -> Span {
        let bytes = rows as u64 * self.row_bytes;
        let shared = Span::from_millis(bytes * 1_000 / self.scan_bytes_per_second);
        self.scan_interval.max(shared)
    }

    /// How long a heartbeat may stand still when there are `members`.
    pub fn heartbeat_timeout_for(&self, members: usize) -> Span {
        let beats = (self.digest_bytes / crate::digest::BEAT_BYTES).max(1);
        let rounds = members.div_ceil(beats * self.fanout.max(1)) as u64;
        self.heartbeat_timeout
            .max(self.gossip_interval.times(3 * rounds))
    }
}
