//! A request as it arrives, with its wire names already decoded.

use clock::Span;
use smol_str::SmolStr;

/// What a caller sent, but for its body.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Arrival {
    /// The caller's name for this attempt; unique.
    pub id: SmolStr,
    /// Host that it asked for, without a port.
    pub host: SmolStr,
    /// Path, without its query.
    pub path: SmolStr,
    /// The key that it showed.
    pub key: Option<SmolStr>,
    /// How long the caller waits, counted from when it sent the request; none if it didn't say.
    pub deadline: Option<Span>,
    /// How long it took to read the request.
    pub read_time: Span,
    /// Hash of method, target and body: a repeat of the same request has an equal one.
    pub fingerprint: u64,
    /// What a model call says of its prompt.
    pub prompt: Option<Prompt>,
}

/// A prompt's sizes and parts, never its text.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    /// All of it, tokens.
    pub tokens: u32,
    /// Most tokens that may be generated.
    pub max_new_tokens: u32,
    /// The caller's guess of how many are; right at the median.
    pub expected_tokens: Option<u32>,
    /// Its parts in order; the last belongs to this request or its session alone.
    pub parts: Vec<Part>,
}

/// A part of a prompt that others may share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Part {
    /// Hash of its name.
    pub id: u64,
    /// Its length, tokens.
    pub tokens: u32,
}

impl Prompt {
    /// What requests must have in common to profit from each other's cached memory: the longest
    /// beginning that is not the request's own.
    pub fn shared_prefix(&self) -> u64 {
        match self.parts.as_slice() {
            [] => 0,
            [only] => only.id,
            [.., shared, _own] => shared.id,
        }
    }
}
