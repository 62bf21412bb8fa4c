//! Settings of [`crate::pace`].

use clock::Span;

use crate::pace::Rate;

/// Division of a replica's rate limit among entries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Config {
    /// Minimum share of a sender; all other entries send nothing.
    pub min_share: Rate,
    /// Minimum rate, whatever the limit: only an answer without a limit lifts it.
    pub min_rate: Rate,
    /// Time over which unused tokens are saved.
    pub burst_time: Span,
}

impl Default for Config {
    fn default() -> Config {
        Config {
            min_share: Rate(1_000),
            min_rate: Rate(100),
            burst_time: Span::from_millis(500),
        }
    }
}
