//! Settings of [`crate::quota`].

use clock::Span;

/// Handling of peers' counts, and of accounts that run short.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Config {
    /// Time without messages after which a peer is assumed to use its equal share: several times the
    /// interval of the counts, so that one lost message changes nothing.
    pub peer_timeout: Span,
    /// Time without messages after which a peer is removed: longer than partitions usually last.
    pub peer_expiry: Span,
    /// Smoothing factor of a peer's rate; covers about its last four messages.
    pub smoothing: f64,
    /// Fraction of the burst that a starting entry assumes to be left once it knows all others, since it can't know
    /// earlier charges.
    /// At most `reserve`, which limits it to its share: if all entries are killed at once, none of them
    /// knows.
    pub initial_level: f64,
    /// Maximum reserve, as a fraction of the burst, below which an account counts as short. An idle account
    /// has the whole burst.
    pub reserve: f64,
    /// Fraction of the burst at which a shortage ends early: an account that uses a single entry needs more
    /// than that entry's share.
    pub recovered: f64,
    /// Time for which an account counts as short after a refusal: longer than counts take to arrive, or all
    /// entries would find room again before they know of each other's charges.
    pub shortage_hold: Span,
    /// Multiple of its equal share that an entry grants of a short account whose whole reserve is left: other
    /// entries then use less than their shares.
    pub max_boost: f64,
    /// Tokens that an account may use beyond its quota at once, in the quota's unit: half of what the
    /// platform allows. The other half covers charges that entries don't know of yet.
    pub overrun_burst: u64,
    /// Refill of the overrun as a fraction of the account's rate: half of what the platform allows.
    pub overrun_fraction: f64,
    /// Maximum number of entries that exchange counts directly; among more, counts take a second through
    /// hubs.
    pub max_direct: u32,
    /// Shortest retry time, and the shortest time that a peer's counts are spread over: one exchange of
    /// counts.
    pub min_interval: Span,
}

impl Default for Config {
    fn default() -> Config {
        Config {
            peer_timeout: Span::from_millis(1_500),
            peer_expiry: Span::from_seconds(60),
            smoothing: 0.25,
            initial_level: 0.3,
            reserve: 0.3,
            recovered: 0.6,
            shortage_hold: Span::from_seconds(2),
            max_boost: 4.0,
            overrun_burst: 0,
            overrun_fraction: 0.0,
            max_direct: 16,
            min_interval: Span::from_millis(250),
        }
    }
}
