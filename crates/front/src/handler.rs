//! Interface to the embedder that answers calls.

use std::future::Future;
use std::pin::Pin;

use http::Response;

use crate::call::Call;
use crate::call::Credentials;
use crate::response::Payload;

/// Future of a response.
pub type ResponseFuture = Pin<Box<dyn Future<Output = Response<Payload>>>>;

/// Answers calls. If a response future is dropped, the caller has disconnected.
pub trait Handler {
    /// Starts to answer one call.
    fn handle(&self, credentials: Credentials, call: Call) -> ResponseFuture;
}
