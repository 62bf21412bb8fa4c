//! Settings of [`crate::quarantine`].

use clock::Span;

use crate::configs::parts;

/// When a request counts as a killer, and for how long.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Crashes of different incarnations after which a fingerprint is quarantined.
    ///
    /// One could be chance; two are the fewest that show a pattern, and each costs a replica.
    pub crash_threshold: usize,
    /// How long a suspect is held before it runs alone, and the window in which crashes of one zone
    /// count as one event.
    ///
    /// Must exceed by far the time a digest takes to the peers (1 ms one way between zones, plus
    /// batching), so that crashes seen elsewhere are known before the next replica is risked.
    pub settle: Span,
    /// Random addition to `settle`, so that fewer claims collide.
    pub settle_jitter: Span,
    /// How long a claim on a replica must be held before the suspect starts: more than two transit
    /// times of a digest (at most 36 ms each), so that of two entries that claim at once one knows
    /// in time to yield.
    pub claim_delay: Span,
    /// Replicas of one zone lost within `settle` that count as the loss of the zone, not as the
    /// work of a killer: one more than the replicas a killer may take.
    pub zone_loss_threshold: usize,
    /// Replicas of any zones lost within `settle` that count as an external event: more than a
    /// killer takes that is sent through all entries at the same time. Without it everything that
    /// ran on a quarter of a pool is held and tried one by one.
    pub mass_loss_threshold: usize,
    /// How long suspicion and quarantine last.
    ///
    /// An ordinary replica fails every 52 days (230 of 12,000 per day), so an innocent suspect that
    /// runs alone for 10 s is blamed for a chance crash 2 times in a million, and the duration
    /// needn't be short for its sake. It bounds the cost of a persistent killer: one replica per
    /// duration.
    pub duration: Span,
    /// How long a peer's claim on a replica is valid without being repeated: three digests at one
    /// per second.
    pub claim_ttl: Span,
    /// A digest omits records that expire sooner than this, so that two entries can't send each
    /// other an expired record over and over; longer than any digest's transit time.
    pub min_remaining: Span,
    /// Maximum number of records.
    pub max_records: usize,
    /// Maximum number of records, and of crashes, in one digest.
    pub max_digest_items: usize,
    /// Parts that prompts share.
    pub parts: parts::Config,
}

impl Default for Config {
    fn default() -> Config {
        Config {
            crash_threshold: 2,
            settle: Span::from_millis(300),
            settle_jitter: Span::from_millis(100),
            claim_delay: Span::from_millis(100),
            zone_loss_threshold: 3,
            mass_loss_threshold: 5,
            duration: Span::from_seconds(3_600),
            claim_ttl: Span::from_seconds(3),
            min_remaining: Span::from_seconds(5),
            max_records: 1_024,
            max_digest_items: 64,
            parts: parts::Config::default(),
        }
    }
}
