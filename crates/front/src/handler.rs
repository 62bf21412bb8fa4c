//! The border to whoever answers the calls.

use std::future::Future;
use std::pin::Pin;

use http::Response;

use crate::call::Call;
use crate::call::Credentials;
use crate::response::Payload;

/// The answer to come.
pub type ResponseFuture = Pin<Box<dyn Future<Output = Response<Payload>>>>;

/// Answers calls. Dropping the pending answer means that the caller went away.
pub trait Handler {
    /// Begins to answer one call.
    fn handle(&self, credentials: Credentials, call: Call) -> ResponseFuture;
}
