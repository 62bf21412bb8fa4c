//! Calls of callers, fully read and syntactically valid.

use bytes::Bytes;
use http::HeaderMap;
use smol_str::SmolStr;

use crate::chat::Chat;

/// A caller's call.
#[derive(Clone, Debug)]
pub enum Call {
    /// Query for the entries to use.
    Addresses {
        /// Prefix hash of the caller's next request, if given.
        prefix: Option<u64>,
    },
    /// A call to a model.
    Model(Chat),
    /// A call to a plain service.
    Plain(Plain),
    /// Cancellation of one of the caller's requests.
    Cancel {
        /// Id of the request.
        request: SmolStr,
    },
}

/// A call to a plain service.
#[derive(Clone, Debug)]
pub struct Plain {
    /// Name of the deployment.
    pub deployment: SmolStr,
    /// HTTP method in upper case.
    pub method: SmolStr,
    /// Path after the deployment's name, with the query.
    pub path: SmolStr,
    /// Headers to forward.
    pub headers: HeaderMap,
    /// Whole body.
    pub body: Bytes,
}

/// Credentials and resume state from the headers of a call.
#[derive(Clone, Debug, Default)]
pub struct Credentials {
    /// Bearer key.
    pub key: Option<SmolStr>,
    /// Idempotency key of the caller.
    pub idempotency_key: Option<SmolStr>,
    /// Signed ticket.
    pub ticket: Option<SmolStr>,
    /// Signed resume token.
    pub resume: Option<SmolStr>,
    /// Offset of the next chunk wanted, used with a resume token.
    pub offset: u64,
}
