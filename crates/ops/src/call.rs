//! A call from the gRPC server to its handler.

use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::fault::Fault;
use crate::reply::Reply;
use crate::request::Request;

/// Sending half of the channel over which the server passes calls on.
pub type CallSender = mpsc::Sender<Call>;

/// One call and the channel for its reply.
///
/// If it is dropped without a reply, a change fails with an unknown outcome and a query as unavailable.
#[derive(Debug)]
pub struct Call {
    /// The decoded request.
    pub request: Request,
    /// Receives the reply.
    pub reply: oneshot::Sender<Result<Reply, Fault>>,
}
