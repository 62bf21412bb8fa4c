//! Exit codes. Operators' scripts rely on them, so their meaning never changes.

use std::fmt;

use ops::client::Failure;
use ops::client::Kind;

/// Outcome of the command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// Done; a change is in force everywhere.
    Done,
    /// Any other failure.
    Failed,
    /// The command line or a definition is malformed; nothing was changed.
    Usage,
    /// The change is committed and never reverts, but isn't in force everywhere yet.
    Committed,
    /// A concurrent change came first; this one did not take effect.
    Conflict,
    /// No such deployment, account, entry, backend server or request.
    NotFound,
    /// The change contradicts the configuration; nothing was changed.
    Refused,
    /// The operators' key is missing or wrong.
    Unauthenticated,
    /// The entry can't be reached or can't serve the call now; nothing was changed.
    Unavailable,
    /// The change may have taken effect; repeat it with the same `--change-id`.
    OutcomeUnknown,
}

impl Exit {
    /// Returns the exit code of the process.
    pub const fn code(self) -> i32 {
        match self {
            Exit::Done => 0,
            Exit::Failed => 1,
            Exit::Usage => 2,
            Exit::Committed => 3,
            Exit::Conflict => 4,
            Exit::NotFound => 5,
            Exit::Refused => 6,
            Exit::Unauthenticated => 7,
            Exit::Unavailable => 8,
            Exit::OutcomeUnknown => 9,
        }
    }
}

/// Error that ends the command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error {
    /// Outcome that determines the exit code.
    pub exit: Exit,
    /// Human-readable description.
    pub message: String,
}

impl Error {
    /// Creates an error with an exit code and a message.
    pub fn new(exit: Exit, message: impl Into<String>) -> Error {
        Error {
            exit,
            message: message.into(),
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.message)
    }
}

impl From<Failure> for Error {
    fn from(failure: Failure) -> Error {
        let exit = match failure.kind {
            Kind::Invalid => Exit::Usage,
            Kind::Unauthenticated => Exit::Unauthenticated,
            Kind::NotFound => Exit::NotFound,
            Kind::AlreadyExists | Kind::Precondition => Exit::Refused,
            Kind::Unavailable => Exit::Unavailable,
            Kind::OutcomeUnknown => Exit::OutcomeUnknown,
            Kind::Internal => Exit::Failed,
        };
        Error::new(exit, failure.message)
    }
}

impl From<std::io::Error> for Error {
    fn from(error: std::io::Error) -> Error {
        Error::new(Exit::Failed, error.to_string())
    }
}

impl From<serde_json::Error> for Error {
    fn from(error: serde_json::Error) -> Error {
        Error::new(Exit::Failed, error.to_string())
    }
}
