//! One attempt of a request at one replica.

use clock::Span;
use smol_str::SmolStr;

/// Replica that an attempt is sent to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Endpoint {
    /// Network address, `host:port`.
    pub address: SmolStr,
    /// Identifier that the replica must have; another replica at a reused address refuses the request.
    pub id: SmolStr,
    /// Incarnation of the replica; connections aren't shared between incarnations.
    pub incarnation: SmolStr,
}

/// Progress of an attempt, reported by the task that holds the request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Report {
    /// The response started: the head of a whole answer, or a stream's first event.
    ResponseStarted,
    /// A stream delivered more tokens.
    Progress {
        /// Tokens since the last report.
        tokens: u32,
    },
    /// The run continues on the replica that it was moved to.
    Moved,
    /// The attempt ended.
    Ended(End),
}

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum End {
    /// The whole answer is on its way to the caller.
    Finished {
        /// HTTP status of the answer.
        status: u16,
        /// Tokens of all attempts.
        tokens: u32,
        /// Longest pause between two events, over all attempts.
        pause: Span,
    },
    /// No byte of the request reached the replica.
    NotSent,
    /// Another process than the listed one answers at the replica's address; the request wasn't sent there.
    Replaced,
    /// The replica reported that it did not run the request.
    NotStarted,
    /// The replica reported a failure; the task keeps its answer.
    Failed {
        /// HTTP status of the answer.
        status: u16,
    },
    /// The connection broke, or the data received was no answer to this request.
    Broken {
        /// Whether the replica still accepts connections; a crashed one doesn't.
        alive: bool,
    },
    /// The connection broke on its way to the replica, which other ways still reach.
    Interrupted,
    /// The stream's version wasn't recorded in time; no event was delivered.
    Unrecorded,
    /// The replica sent nothing for too long.
    TimedOut {
        /// Time waited.
        waited: Span,
    },
}
