//! Settings of [`crate::wave`].

use clock::Span;

/// Cost of moving a job, and how much of a notice to plan with.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Tokens of KV cache that one transfer carries per millisecond.
    ///
    /// A token of an 8-billion-parameter model with grouped-query attention takes 128 KiB (2 x 32
    /// layers x 8 heads x 128 x 2 bytes); a 25 Gbit/s instance carries 23 of them per millisecond.
    pub tokens_per_milli: f64,
    /// Fixed time of each transfer: export, import and resume are a round trip each, and the engine
    /// ends its current step before it exports.
    pub setup: Span,
    /// Concurrent transfers out of one replica: they share its one network link, so more gain
    /// nothing and each ends later.
    pub lanes: usize,
    /// Part of the notice that isn't used: notices and timers are late.
    pub margin: Span,
    /// Largest share of the notice that the margin may take, so that a short notice is still used.
    pub margin_share: f64,
    /// Whether jobs that can't be transferred are rerun elsewhere while their replica still serves.
    /// Where another replica continues by itself once the stream breaks, that only computes prompts
    /// twice.
    pub reruns: bool,
    /// Multiple of its expected remaining time that must be left for a job to finish where it is: a
    /// job that doesn't end in time after all is rerun in full.
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
