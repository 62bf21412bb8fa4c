//! Settings of [`crate::limit`].

use clock::Span;

/// How an account's limit is shared among the entries.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Config {
    /// Off, limits aren't enforced.
    pub enabled: bool,
    /// Entries that share each limit until [`crate::limit::Limits::set_entries`] says otherwise.
    pub entries: u32,
    /// How often a digest is told.
    pub period: Span,
    /// A peer not heard for so long is silent: it may use its equal part and no more.
    pub peer_timeout: Span,
    /// Most claims in one digest.
    pub max_claims: usize,
    /// Part of an equal share that an entry keeps without demand.
    pub floor: f64,
    /// Unused tokens may be saved for this long.
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
