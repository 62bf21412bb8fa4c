//! Exit codes. They are part of the contract with operators' scripts and never change their meaning.

use std::fmt;

use ops::client::Failure;
use ops::client::Kind;

/// How the command ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// Done; a change is in force everywhere.
    Done,
    /// A failure that no other code names.
    Failed,
    /// The command line or a definition is malformed; nothing happened.
    Usage,
    /// The change is written and never reverts, but isn't in force everywhere yet.
    Committed,
    /// Another change came first; this one did not take effect.
    Conflict,
    /// No such deployment, account, entry, backend server or request.
    NotFound,
    /// The change contradicts the configuration; nothing happened.
    Refused,
    /// The operators' key is missing or wrong.
    Unauthenticated,
    /// The entry can't be reached or can't do it now; nothing happened.
    Unavailable,
    /// The change may have taken effect; repeat it with the same `--change-id`.
    OutcomeUnknown,
}

impl Exit {
    /// The number that the process ends with.
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

/// Why the command could not be carried out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error {
    /// The exit code it leads to.
    pub exit: Exit,
    /// For a person.
    pub message: String,
}

impl Error {
    /// Trouble with a code and a message.
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
