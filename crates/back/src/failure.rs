//! How an exchange with a backend server failed.

use smol_str::SmolStr;

/// What went wrong, in the terms that decide what may be said to the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Failure {
    /// No connection came about: no byte of the request left this process.
    NotSent,
    /// The server said in its protocol that it did not start the request.
    NotStarted,
    /// The server answered with an error of its own.
    Answered {
        /// Its HTTP status.
        status: u16,
        /// A short text, without any part of the request.
        message: SmolStr,
    },
    /// The connection broke after bytes were handed on.
    Broken,
    /// No word came in the time allowed.
    TimedOut,
}

impl Failure {
    /// Whether the request can't have run there.
    pub fn definitely_not_run(&self) -> bool {
        matches!(self, Failure::NotSent | Failure::NotStarted)
    }

    /// The form used in logs.
    pub const fn as_str(&self) -> &'static str {
        match self {
            Failure::NotSent => "not-sent",
            Failure::NotStarted => "not-started",
            Failure::Answered { .. } => "answered",
            Failure::Broken => "broken",
            Failure::TimedOut => "timed-out",
        }
    }
}
