//! Bounds of the promises.

use clock::Span;

/// Bounds within which promises must hold.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Time for which a target counts as disturbed after a fault: work from before its end may be in flight.
    pub settle_time: Span,
    /// Time after a route's timeout by which the final answer must arrive.
    pub timeout_slack: Span,
    /// Time after a replica's notice of leaving within which it may still get requests.
    pub drain_time: Span,
    /// Time after a replica asked for a pause within which it may still get requests.
    pub pause_reaction: Span,
    /// Most requests that an entry may send to a replica in the rest of a pause.
    pub max_during_pause: usize,
    /// Time after the start of a cut from which callers of the entry must be served like others.
    pub cut_reaction: Span,
    /// Time after several crashes on a part of prompts by which such prompts must be stopped.
    pub part_reaction: Span,
    /// Time by which every entry applies a new version of the configuration.
    pub apply_time: Span,
    /// Grace period of an entry that is asked to stop.
    pub grace_period: Span,
    /// Time for which work may go on after its caller has left.
    pub abandon_slack: Span,
    /// Time after the last fault by which callers are served as before.
    pub recovery_time: Span,
    /// Least share of attempts that is served after recovery.
    pub min_served_share: f64,
}

impl Default for Bounds {
    fn default() -> Self {
        Bounds {
            settle_time: Span::from_millis(3_000),
            timeout_slack: Span::from_millis(500),
            drain_time: Span::from_millis(2_000),
            pause_reaction: Span::from_millis(500),
            max_during_pause: 2,
            cut_reaction: Span::from_millis(3_000),
            part_reaction: Span::from_millis(3_000),
            apply_time: Span::from_millis(2_000),
            grace_period: Span::from_millis(4_000),
            abandon_slack: Span::from_millis(500),
            recovery_time: Span::from_millis(6_000),
            min_served_share: 0.95,
        }
    }
}
