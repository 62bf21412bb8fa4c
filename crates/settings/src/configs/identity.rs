//! Settings of the entry's identity.

use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

/// Identity of this entry. Both options must be set.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(default)]
pub struct Identity {
    /// Name of this entry, unique among running entries: `[a-z0-9-]{1,63}`.
    #[schemars(extend("format" = "name"))]
    pub name: SmolStr,
    /// Availability zone of this entry, as named in the instance list.
    #[schemars(extend("format" = "name"))]
    pub zone: SmolStr,
}
