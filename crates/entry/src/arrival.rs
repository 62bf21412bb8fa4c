//! A caller's request as the reducer sees it: without the body, only what decisions need.

use smol_str::SmolStr;
use verdict::Reason;
use verdict::Refusal;

use crate::arrivals::LEAVING_RETRY_DELAY;

/// A request that was read in full.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// Bearer key, if present.
    pub key: Option<SmolStr>,
    /// Name of the deployment.
    pub deployment: SmolStr,
    /// The requested work.
    pub work: Work,
    /// Hash of the whole content; equal for repeats of the same request.
    pub fingerprint: u64,
    /// The caller's idempotency key.
    pub idempotency_key: Option<SmolStr>,
    /// Signed ticket.
    pub ticket: Option<SmolStr>,
    /// Signed resume token.
    pub resume: Option<SmolStr>,
    /// Offset of the next token that the caller wants.
    pub offset: u64,
}

/// The work of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Work {
    /// Token generation by a model.
    Model {
        /// Estimated prompt length, tokens.
        prompt_tokens: u32,
        /// Maximum number of tokens to generate.
        max_new_tokens: u32,
        /// Hash of the prompt's prefix.
        prefix: u64,
    },
    /// Call to a plain service.
    Plain {
        /// HTTP method, upper case.
        method: SmolStr,
        /// Path after the deployment's name.
        path: SmolStr,
    },
}

/// Returns the refusal of a request that hasn't been started by an entry that leaves.
pub fn leaving_refusal() -> Refusal {
    let refusal = Refusal::not_run(Reason::Leaving, "this entry is leaving");
    refusal.with_retry_after(LEAVING_RETRY_DELAY)
}
