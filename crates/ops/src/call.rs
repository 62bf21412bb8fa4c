//! A call on its way to whoever answers it.

use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::fault::Fault;
use crate::reply::Reply;
use crate::request::Request;

/// Where the server sends calls.
pub type CallSender = mpsc::Sender<Call>;

/// One call and the way back for its answer.
///
/// Dropping it unanswered tells the operator that the outcome of a change is unknown, and that a
/// question may be asked again.
#[derive(Debug)]
pub struct Call {
    /// What is asked.
    pub request: Request,
    /// Where the answer goes.
    pub reply: oneshot::Sender<Result<Reply, Fault>>,
}
