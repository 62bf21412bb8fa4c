//! The token with which a caller resumes a stream at any entry.

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use crate::id::Id;
use crate::id::Stream;

/// Location of a request's stream. It is signed before it is given to the caller.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resume {
    /// Identifier that the request got when it was first received.
    pub request: Id,
    /// Account that owns the request; no other may resume it.
    pub account: SmolStr,
    /// Deployment that serves the request.
    pub deployment: SmolStr,
    /// Stream of the engine.
    pub stream: Stream,
    /// `host:port` of the replica that runs it.
    pub address: SmolStr,
    /// Incarnation of the replica that runs it.
    pub incarnation: SmolStr,
    /// Caller's offset of the engine stream's first token.
    pub base: u64,
}
