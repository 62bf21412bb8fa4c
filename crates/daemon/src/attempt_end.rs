//! Failures of exchanges with backend servers, as the scheduler sees them.

use back::failure::Failure;
use policy::job::End;

/// How an attempt ended that failed so.
///
/// "Not started" is said only where no byte was handed on or the server said so itself: the verdict
/// "not run" rests on it.
pub fn end_of(failure: &Failure) -> End {
    match failure {
        Failure::NotSent | Failure::NotStarted => End::NotStarted,
        Failure::Broken => End::Crashed,
        Failure::Answered { .. } | Failure::TimedOut => End::Failed,
    }
}
