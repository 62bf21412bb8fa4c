//! Settings of [`crate::wave`].

use clock::Span;

/// What moving a job takes.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Tokens of KV cache that one transfer carries in a millisecond.
    ///
    /// A token of an 8-billion-parameter model with grouped heads takes 128 KiB (2 x 32 layers x 8
    /// heads x 128 x 2 bytes); a 25 Gbit/s instance carries 23 of them in a millisecond.
    pub tokens_per_milli: f64,
    /// What each transfer takes besides: export, import and resume are a round trip each, and the
    /// engine ends its current step before it exports.
    pub setup: Span,
    /// Transfers out of one replica at once: they share its one network link, so more gain nothing
    /// and end later each.
    pub lanes: usize,
    /// Part of the notice that isn't planned with: notices and timers come late.
    pub margin: Span,
    /// The margin is at most this part of the notice, so that a short one is still used.
    pub margin_share: f64,
    /// Whether what can't be transferred is run again elsewhere while its replica still serves. Where another replica
    /// goes on by itself once the stream breaks, that only reads prompts twice.
    pub reruns: bool,
    /// Times its expected rest that a job must have left to be let finish: a job that doesn't end
    /// in time after all is run again in full.
    pub finish_factor: f64,
}

impl Default for Config {
    fn default() -> Config {
        Config {
            tokens_per_milli: 23.0,
            setup: Span::from_millis(50),
            lanes: 1,
            margin: Span::from_seconds(1),
            margin_share: 0.25,
            reruns: true,
            finish_factor: 1.25,
        }
    }
}
