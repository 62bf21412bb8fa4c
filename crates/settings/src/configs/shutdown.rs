//! Settings of a planned stop.

use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

/// A planned stop (SIGTERM or SIGINT, however often they come). SIGQUIT skips the grace period.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(default)]
pub struct Shutdown {
    /// Grace period in which requests may finish here before they are handed to a peer, in milliseconds.
    #[schemars(range(min = 0, max = 3600000))]
    pub grace_ms: u64,
}

impl Default for Shutdown {
    fn default() -> Self {
        Shutdown { grace_ms: 20_000 }
    }
}
