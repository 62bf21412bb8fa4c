//! Settings of the machine that an entry runs on.

use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

/// What this process may use of its machine. Limits on callers are derived from it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(default)]
pub struct Machine {
    /// Memory in megabytes; defaults to that of the machine or its control group.
    #[schemars(range(min = 16, max = 1073741824))]
    pub memory_mb: Option<u64>,
    /// Descriptors that may be open at once; defaults to the limit of the process.
    #[schemars(range(min = 64, max = 1073741824))]
    pub descriptors: Option<u64>,
}
