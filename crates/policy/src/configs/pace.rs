//! Settings of [`crate::pace`].

use clock::Span;

use crate::pace::Rate;

/// How entries share what a replica in need takes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Config {
    /// Each entry that sends gets this much at least; all others send nothing.
    pub sender: Rate,
    /// The least that is sent, whatever the limit: only an answer without one lifts it.
    pub least: Rate,
    /// An entry saves up what it doesn't use for so long.
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
