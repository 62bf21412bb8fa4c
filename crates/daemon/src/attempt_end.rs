//! Converts failures of backend exchanges into ends of attempts.

use back::failure::Failure;
use policy::job::End;

/// Returns how an attempt with this failure ended.
///
/// The verdict "not run" relies on `NotStarted`, so it is returned only if no byte was sent or the server
/// itself reported that it did not start the request.
pub fn end_of(failure: &Failure) -> End {
    match failure {
        Failure::NotSent | Failure::NotStarted { .. } => End::NotStarted,
        Failure::Broken => End::Crashed,
        Failure::Answered { .. } | Failure::Invalid | Failure::TimedOut => End::Failed,
    }
}
