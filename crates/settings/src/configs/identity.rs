//! Who this entry is.

use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

/// Who this entry is. Both options must be set.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(default)]
pub struct Identity {
    /// Name of this entry, unique among the entries that run: `[a-z0-9-]{1,63}`.
    #[schemars(extend("format" = "name"))]
    pub name: SmolStr,
    /// Availability zone in which this entry runs, as the instance list names it.
    #[schemars(extend("format" = "name"))]
    pub zone: SmolStr,
}
