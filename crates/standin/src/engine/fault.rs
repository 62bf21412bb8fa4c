//! What a test orders to go wrong at an engine, and what it counts.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

/// The engine's fault; it stands until another takes its place.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Fault {
    /// Times are taken so often: 1 is as usual.
    pub slow: f64,
    /// Neither takes nor answers anything, and its streams stand still.
    pub frozen: bool,
    /// Says of every new request that it did not start it.
    pub refuse: bool,
    /// Cuts the reader's connection in place of this offset, once.
    pub cut_at: Option<u32>,
    /// Exports and imports fail.
    pub no_transfer: bool,
}

impl Default for Fault {
    fn default() -> Fault {
        Fault {
            slow: 1.0,
            frozen: false,
            refuse: false,
            cut_at: None,
            no_transfer: false,
        }
    }
}

/// What an engine has done so far.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Starts by the stream's id, as the entry chose it.
    pub started: BTreeMap<String, u32>,
    /// Starts by the prompt's hash, continued or not.
    pub prompts: BTreeMap<String, u32>,
    /// Prompt tokens computed.
    pub computed_tokens: u64,
    /// Prompt tokens found in the cache.
    pub cached_tokens: u64,
    /// Prompt tokens computed for continued answers.
    pub recomputed_tokens: u64,
    /// Tokens generated.
    pub generated_tokens: u64,
    /// Streams taken over by import.
    pub imported: u64,
    /// Streams resumed by a reader.
    pub resumed: u64,
    /// Streams cancelled.
    pub cancelled: u64,
    /// Orders carried out.
    pub orders: u64,
    /// Orders refused for their fencing number.
    pub fenced: u64,
}
