//! An ended request, as the report counts it.

use clock::Span;
use smol_str::SmolStr;

/// An ended request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Sample {
    /// The deployment that served the request.
    pub deployment: SmolStr,
    /// The account that sent the request.
    pub account: SmolStr,
    /// Time to the first token, or to the complete answer of a non-streaming service; none without an answer.
    pub first_token: Option<Span>,
    /// Longest time between two tokens.
    pub worst_gap: Span,
    /// How it ended.
    pub outcome: Outcome,
    /// What delayed the request, if anything; counts only if it missed its targets.
    pub cause: Cause,
    /// Tokens that were recomputed for it.
    pub recomputed: u64,
    /// Cost, millionths of the currency.
    pub cost_micros: u64,
}

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// The complete answer was delivered.
    Answered,
    /// The request was refused or failed.
    Failed,
    /// The caller cancelled it or sent a malformed request: it is no miss, but its cost counts.
    EndedByCaller,
}

/// Why a request missed its targets.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Cause {
    /// The request waited too long before it started.
    Waiting,
    /// The backend server was slow.
    SlowBackend,
    /// An instance was reclaimed during the request.
    Reclaim,
    /// The request was refused.
    Refused,
    /// The platform's store was unavailable or slow.
    Store,
    /// Any other cause.
    Other,
}
