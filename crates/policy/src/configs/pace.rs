//! Settings of [`crate::pace`].

use clock::Span;

use crate::pace::Rate;

/// Division of a replica's rate limit among entries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Config {
    /// Minimum share of a sender; all other entries send nothing.
    pub sender: Rate,
    /// Minimum rate, whatever the limit: only an answer without a limit lifts it.
    pub least: Rate,
    /// Time over which unused tokens are saved.
    pub saved: Span,
}

impl Default for Config {
    fn default() -> Config {
        Config {
            sender: Rate(1_000),
            least: Rate(100),
            saved: Span::from_millis(500),
        }
    }
}
