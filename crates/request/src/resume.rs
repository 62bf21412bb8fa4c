//! The word with which a caller continues a stream at any entry.

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use crate::id::Id;
use crate::id::Stream;

/// Where a request's stream is to be found. Sealed before it is given to the caller.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resume {
    /// The request, under its first name.
    pub request: Id,
    /// The account it belongs to: nobody else may continue it.
    pub account: SmolStr,
    /// The deployment that serves it.
    pub deployment: SmolStr,
    /// The engine's stream.
    pub stream: Stream,
    /// `host:port` of the replica that runs it.
    pub address: SmolStr,
    /// Incarnation of the replica that runs it.
    pub incarnation: SmolStr,
    /// The caller's offset of the engine stream's first token.
    pub base: u64,
}
