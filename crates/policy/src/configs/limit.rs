//! Settings of [`crate::limit`].

use clock::Span;

/// How an account's limit is divided among the entries.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Config {
    /// Whether limits are enforced.
    pub enabled: bool,
    /// Entries that share each limit until [`crate::limit::Limits::set_entries`] is called.
    pub entries: u32,
    /// Interval between digests.
    pub period: Span,
    /// Time without a digest after which a peer may use its equal share and no more.
    pub peer_timeout: Span,
    /// Maximum number of claims in one digest.
    pub max_claims: usize,
    /// Fraction of an equal share that an entry keeps without demand.
    pub floor: f64,
    /// How long unused tokens accumulate in the bucket.
    pub burst: Span,
    /// Weight of the newest period in the demand.
    pub smoothing: f64,
}

impl Default for Config {
    fn default() -> Config {
        Config {
            enabled: true,
            entries: 8,
            period: Span::from_millis(500),
            peer_timeout: Span::from_seconds(3),
            max_claims: 64,
            floor: 0.25,
            burst: Span::from_seconds(2),
            smoothing: 0.5,
        }
    }
}
