//! A request as it arrives, independent of its wire format.

use std::rc::Rc;

use clock::Span;
use smol_str::SmolStr;

/// A caller's request without its body.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Arrival {
    /// Unique identifier that the caller gave this attempt.
    pub id: SmolStr,
    /// Requested host, without a port.
    pub host: SmolStr,
    /// Path, without its query.
    pub path: SmolStr,
    /// API key, if the request has one.
    pub key: Option<SmolStr>,
    /// Time that the caller waits, counted from when it sent the request; `None` if it isn't stated.
    pub deadline: Option<Span>,
    /// Time it took to read the request.
    pub read_time: Span,
    /// Hash of method, target and body; equal for repeats of the same request.
    pub fingerprint: u64,
    /// Prompt of a model call.
    pub prompt: Option<Prompt>,
    /// The stream that the caller takes up again; `None` for a new one.
    pub continuation: Option<Continuation>,
}

/// A stream that a caller has read in part.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Continuation {
    /// Id of the last event that the caller received.
    pub last_event: SmolStr,
    /// Id of the attempt that brought the first event, if the caller names it.
    pub began_as: Option<SmolStr>,
}

/// Sizes and parts of a prompt, never its text.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Length of the whole prompt in tokens.
    pub tokens: u32,
    /// Maximum number of tokens to generate.
    pub max_new_tokens: u32,
    /// The caller's estimate of the median number of generated tokens.
    pub expected_tokens: Option<u32>,
    /// Parts in order; the last one belongs to this request or its session alone.
    pub parts: Vec<Part>,
}

/// A part of a prompt that other requests may share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Part {
    /// Hash of the part's name.
    pub id: u64,
    /// Length in tokens.
    pub tokens: u32,
}

impl Prompt {
    /// Returns the identifiers of the parts that aren't the request's own, in order.
    pub fn shared_parts(&self) -> Rc<[u64]> {
        let shared = self
            .parts
            .split_last()
            .map_or(&[][..], |(_own, shared)| shared);
        shared.iter().map(|part| part.id).collect()
    }

    /// Returns the identifier of the longest prefix that isn't the request's own.
    ///
    /// Requests that share it profit from each other's cached memory.
    pub fn shared_prefix(&self) -> u64 {
        match self.parts.as_slice() {
            [] => 0,
            [only] => only.id,
            [.., shared, _own] => shared.id,
        }
    }
}
