//! How a planned stop goes.

use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

/// A planned stop (SIGTERM). A second signal hurries it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(default)]
pub struct Shutdown {
    /// Time in which requests may finish here before they are handed to a peer, milliseconds.
    #[schemars(range(min = 0, max = 3600000))]
    pub grace_ms: u64,
}

impl Default for Shutdown {
    fn default() -> Self {
        Shutdown { grace_ms: 20_000 }
    }
}
