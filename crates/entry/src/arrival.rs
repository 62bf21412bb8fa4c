//! A caller's request as the reducer sees it: no body, only what decisions need.

use smol_str::SmolStr;

/// One request that was read whole.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// The bearer key, if one came along.
    pub key: Option<SmolStr>,
    /// Which deployment it names.
    pub deployment: SmolStr,
    /// What it asks for.
    pub work: Work,
    /// Hash of the whole content; equal for a repeat of the same request.
    pub fingerprint: u64,
    /// The caller's own idempotency key.
    pub idempotency_key: Option<SmolStr>,
    /// A sealed ticket.
    pub ticket: Option<SmolStr>,
    /// A sealed resume word.
    pub resume: Option<SmolStr>,
    /// The offset that the caller wants next.
    pub offset: u64,
}

/// What a request asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Work {
    /// Tokens from a model.
    Model {
        /// Estimated prompt length, tokens.
        prompt_tokens: u32,
        /// Most tokens to generate.
        max_new_tokens: u32,
        /// Hash of the prompt's beginning.
        prefix: u64,
    },
    /// A call of a plain service.
    Plain {
        /// Method, upper case.
        method: SmolStr,
        /// Path behind the deployment's name.
        path: SmolStr,
    },
}
