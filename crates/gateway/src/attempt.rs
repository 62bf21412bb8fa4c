//! One attempt of a request at one replica.

use clock::Span;
use smol_str::SmolStr;

/// Where an attempt goes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Endpoint {
    /// `host:port`.
    pub address: SmolStr,
    /// The name that the replica must have, so that another one at a reused address refuses.
    pub id: SmolStr,
    /// The life that it is in; connections aren't shared between lives.
    pub incarnation: SmolStr,
}

/// What the task that holds a request reports of its attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Report {
    /// The answer began: the head of a whole answer, or a stream's first event.
    ResponseStarted,
    /// More tokens of a stream came.
    Progress {
        /// Since the last report.
        tokens: u32,
    },
    /// The run goes on at the replica that it was moved to.
    Moved,
    /// The attempt is over.
    Ended(End),
}

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum End {
    /// The whole answer is on its way to the caller.
    Finished {
        /// Status of the answer.
        status: u16,
        /// Tokens of all attempts.
        tokens: u32,
        /// Longest pause between two events, over all attempts.
        pause: Span,
    },
    /// No byte of it reached the replica.
    NotSent,
    /// The replica's own word that it did not run it.
    NotStarted,
    /// The replica answered that it failed; the task keeps that answer.
    Failed {
        /// Status of the answer.
        status: u16,
    },
    /// The connection broke, or what came was no answer to this request.
    Broken {
        /// Whether the replica takes connections still; one that crashed doesn't.
        alive: bool,
    },
    /// Nothing came for too long.
    TimedOut {
        /// How long.
        waited: Span,
    },
}
