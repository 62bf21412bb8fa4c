//! Failures of exchanges with backend servers.

use clock::Span;
use smol_str::SmolStr;

/// Failure of an exchange, classified by whether the request may have run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Failure {
    /// No connection was established: no byte of the request was sent.
    NotSent,
    /// The server reported that it did not start the request.
    NotStarted {
        /// Time for which the server accepts no request from this entry, if it asked for a pause.
        pause: Option<Span>,
    },
    /// The server responded with an error.
    Answered {
        /// HTTP status.
        status: u16,
        /// Short description, without any part of the request.
        message: SmolStr,
    },
    /// The connection broke after bytes were sent.
    Broken,
    /// The server sent what is no answer, or more than an answer may have. It is alive, and the request may have run.
    Invalid,
    /// The timeout expired without a response.
    TimedOut,
}

impl Failure {
    /// Returns whether the request can't have run.
    pub fn definitely_not_run(&self) -> bool {
        matches!(self, Failure::NotSent | Failure::NotStarted { .. })
    }

    /// Returns the pause that the server asked for, if it did.
    pub const fn pause(&self) -> Option<Span> {
        match self {
            Failure::NotStarted { pause } => *pause,
            _ => None,
        }
    }

    /// Returns the name used in logs.
    pub const fn as_str(&self) -> &'static str {
        match self {
            Failure::NotSent => "not-sent",
            Failure::NotStarted { .. } => "not-started",
            Failure::Answered { .. } => "answered",
            Failure::Broken => "broken",
            Failure::Invalid => "invalid",
            Failure::TimedOut => "timed-out",
        }
    }
}
