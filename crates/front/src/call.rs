//! A caller's call, read whole and checked for form.

use bytes::Bytes;
use http::HeaderMap;
use smol_str::SmolStr;

use crate::chat::Chat;

/// What a caller asks for.
#[derive(Clone, Debug)]
pub enum Call {
    /// Which entries to use.
    Addresses {
        /// The prefix hash that the caller's next request will have, if it said.
        prefix: Option<u64>,
    },
    /// A model call.
    Model(Chat),
    /// A call of a plain service.
    Plain(Plain),
    /// Cancel one of the caller's own requests.
    Cancel {
        /// The request's name as it was given.
        request: SmolStr,
    },
}

/// A call of a plain service.
#[derive(Clone, Debug)]
pub struct Plain {
    /// Which deployment.
    pub deployment: SmolStr,
    /// Method, upper case.
    pub method: SmolStr,
    /// Path behind the deployment's name, with the query.
    pub path: SmolStr,
    /// Headers to pass on.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
}

/// What comes with any call.
#[derive(Clone, Debug, Default)]
pub struct Credentials {
    /// The bearer key.
    pub key: Option<SmolStr>,
    /// The caller's idempotency key.
    pub idempotency_key: Option<SmolStr>,
    /// A sealed ticket.
    pub ticket: Option<SmolStr>,
    /// A sealed resume word.
    pub resume: Option<SmolStr>,
    /// The offset wanted next, with a resume word.
    pub offset: u64,
}
