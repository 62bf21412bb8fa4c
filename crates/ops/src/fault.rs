//! Why a call was not done.

use config::check::Violation;
use smol_str::SmolStr;
use tonic::Code;
use tonic::Status;

/// Why a call was not done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The call is malformed; everything wrong with it.
    Invalid(Vec<Violation>),
    /// No such thing, such as `deployment thesis`.
    NotFound(String),
    /// It is there already, such as `deployment thesis`.
    AlreadyExists(String),
    /// The change contradicts the configuration; a sentence that says how.
    Precondition(String),
    /// Nothing happened and coming back helps; a sentence that says why.
    Unavailable(SmolStr),
    /// A change may or may not have taken effect; a repeat under the same id settles it.
    OutcomeUnknown,
}

impl From<Fault> for Status {
    fn from(fault: Fault) -> Status {
        match fault {
            Fault::Invalid(violations) => {
                let lines: Vec<String> = violations.iter().map(Violation::to_string).collect();
                Status::new(Code::InvalidArgument, lines.join("\n"))
            }
            Fault::NotFound(what) => Status::new(Code::NotFound, format!("no {what}")),
            Fault::AlreadyExists(what) => {
                Status::new(Code::AlreadyExists, format!("{what} is there already"))
            }
            Fault::Precondition(why) => Status::new(Code::FailedPrecondition, why),
            Fault::Unavailable(why) => Status::new(Code::Unavailable, why.as_str()),
            Fault::OutcomeUnknown => Status::new(
                Code::Unknown,
                "the change may have taken effect: repeat it with the same change id",
            ),
        }
    }
}
