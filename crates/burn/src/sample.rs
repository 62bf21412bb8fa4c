//! One ended request, as the report counts it.

use clock::Span;
use smol_str::SmolStr;

/// One ended request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Sample {
    /// Which deployment.
    pub deployment: SmolStr,
    /// Whose.
    pub account: SmolStr,
    /// Time to the first token, or to the whole answer of a plain service; none if there was none.
    pub first_token: Option<Span>,
    /// Longest time between two tokens.
    pub worst_gap: Span,
    /// How it ended.
    pub outcome: Outcome,
    /// What held it up, if anything did; counts only when it missed its targets.
    pub cause: Cause,
    /// Tokens that were computed again for it.
    pub recomputed: u64,
    /// What it cost, millionths of the currency.
    pub cost_micros: u64,
}

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// The whole answer was given.
    Answered,
    /// It was refused or failed.
    Failed,
    /// The caller took it back or sent it malformed: no promise was broken, only its cost counts.
    EndedByCaller,
}

/// Why a request missed its targets.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Cause {
    /// It waited too long before it was started.
    Waiting,
    /// The backend server was slow.
    SlowBackend,
    /// An instance was reclaimed under it.
    Reclaim,
    /// It was refused.
    Refused,
    /// The platform's store was down or slow.
    Store,
    /// Anything else.
    Other,
}
