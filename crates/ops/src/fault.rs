//! Errors of calls and their gRPC status.

use config::check::Violation;
use smol_str::SmolStr;
use tonic::Code;
use tonic::Status;

/// Error with which the handler rejects a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The call is malformed; lists all violations.
    Invalid(Vec<Violation>),
    /// The subject, such as `deployment thesis`, doesn't exist.
    NotFound(String),
    /// The subject, such as `deployment thesis`, already exists.
    AlreadyExists(String),
    /// The change contradicts the configuration; explains the conflict.
    Precondition(String),
    /// Nothing was changed and a retry may succeed; gives the reason.
    Unavailable(SmolStr),
    /// The change may have taken effect; retrying it under the same id is idempotent.
    OutcomeUnknown,
}

impl From<Fault> for Status {
    fn from(fault: Fault) -> Status {
        match fault {
            Fault::Invalid(violations) => {
                let lines: Vec<String> = violations.iter().map(Violation::to_string).collect();
                Status::new(Code::InvalidArgument, lines.join("\n"))
            }
            Fault::NotFound(subject) => Status::new(Code::NotFound, format!("no {subject}")),
            Fault::AlreadyExists(subject) => {
                Status::new(Code::AlreadyExists, format!("{subject} is there already"))
            }
            Fault::Precondition(reason) => Status::new(Code::FailedPrecondition, reason),
            Fault::Unavailable(reason) => Status::new(Code::Unavailable, reason.as_str()),
            Fault::OutcomeUnknown => Status::new(
                Code::Unknown,
                "the change may have taken effect: repeat it with the same change id",
            ),
        }
    }
}
