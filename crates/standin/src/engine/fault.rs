//! Faults that a test injects into an engine, and the engine's counters.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

/// Injected fault, active until it is replaced.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Fault {
    /// Factor by which all times are multiplied; 1 is normal speed.
    pub slow: f64,
    /// Blocks all requests, responses and streams.
    pub frozen: bool,
    /// Answers every new request that it was not started.
    pub refuse: bool,
    /// Pause that a refusal asks for, milliseconds; 0 for none.
    pub pause_ms: u64,
    /// Cuts the reader's connection once, at this offset.
    pub cut_at: Option<u32>,
    /// Fails KV exports and imports.
    pub no_transfer: bool,
}

impl Default for Fault {
    fn default() -> Fault {
        Fault {
            slow: 1.0,
            frozen: false,
            refuse: false,
            pause_ms: 0,
            cut_at: None,
            no_transfer: false,
        }
    }
}

/// Counters of an engine.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Starts by stream id, as the entry chose it.
    pub started: BTreeMap<String, u32>,
    /// Starts by prompt hash, including continuations.
    pub prompts: BTreeMap<String, u32>,
    /// Prompt tokens computed.
    pub computed_tokens: u64,
    /// Prompt tokens that were cached.
    pub cached_tokens: u64,
    /// Prompt tokens computed to continue partial answers.
    pub recomputed_tokens: u64,
    /// Tokens generated.
    pub generated_tokens: u64,
    /// Streams imported from another engine.
    pub imported: u64,
    /// Streams resumed by a reader.
    pub resumed: u64,
    /// Streams cancelled.
    pub cancelled: u64,
    /// Orders accepted.
    pub orders: u64,
    /// Orders refused because of a stale fencing number.
    pub fenced: u64,
}
