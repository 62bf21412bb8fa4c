//! Settings of [`crate::quota`].

use clock::Span;

/// How counts of other entries are trusted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Config {
    /// A peer not heard for so long is taken to use its equal part: several times the interval at which
    /// entries tell their counts, so that one lost message changes nothing.
    pub peer_timeout: Span,
    /// A peer not heard for so long doesn't come back under its name: longer than cuts usually last.
    pub forget: Span,
    /// Weight of the newest count in a peer's rate: about its last four messages.
    pub smoothing: f64,
    /// Part of the burst that a starting entry takes to be left: it can't know what was used before. No more than
    /// `reserve`, so that it gives its part only: where all entries are killed at once none of them knows.
    pub start: f64,
    /// Part of the burst below which an account counts as short at most. An account that rests has it all.
    pub reserve: f64,
    /// Part of the burst from which on an account is short no more: one that uses a single entry needs more than
    /// that entry's part.
    pub plenty: f64,
    /// How long an account counts as short after a refusal: longer than counts take to come round, since else all
    /// entries find room again before they hear of each other.
    pub short: Span,
    /// Times its equal part that an entry gives of a short account of which the whole reserve is left: others then
    /// use less than theirs.
    pub unused: f64,
    /// What an account may have at once beyond its quota, in the quota's unit: half of what the platform lets pass,
    /// the other half being left to what entries don't know of each other yet.
    pub overrun_burst: u64,
    /// Part of an account's rate that comes in beyond it, half of what the platform lets pass.
    pub overrun_fraction: f64,
    /// Most entries that hear of each other directly; among more, counts come by way of hubs and take a second.
    pub few: u32,
    /// Shortest time to come back after, and the shortest that a peer's counts are spread over: one exchange of
    /// counts.
    pub shortest: Span,
}

impl Default for Config {
    fn default() -> Config {
        Config {
            peer_timeout: Span::from_millis(1_500),
            forget: Span::from_seconds(60),
            smoothing: 0.25,
            start: 0.3,
            reserve: 0.3,
            plenty: 0.6,
            short: Span::from_seconds(2),
            unused: 4.0,
            overrun_burst: 0,
            overrun_fraction: 0.0,
            few: 16,
            shortest: Span::from_millis(250),
        }
    }
}
