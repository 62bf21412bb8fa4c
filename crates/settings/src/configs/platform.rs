//! The platform's services and the share of them that this entry may use.

use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

/// The platform's services and this entry's share of their capacity.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(default)]
pub struct Platform {
    /// Address of the table service and the object store, `http://HOST:PORT`. Must be set.
    #[schemars(extend("format" = "http-address"))]
    pub table_service: SmolStr,
    /// Address of the cloud API and the instance list, `http://HOST:PORT`. Must be set.
    #[schemars(extend("format" = "http-address"))]
    pub cloud: SmolStr,
    /// Time allowed for one call, milliseconds; afterwards its outcome counts as unknown.
    #[schemars(range(min = 50, max = 60000))]
    pub timeout_ms: u64,
    /// Reads a second that the table service takes from all entries together; each uses its share.
    #[schemars(range(min = 1, max = 1000000))]
    pub reads_per_second: u32,
    /// Writes a second that the table service takes from all entries together; each uses its share.
    #[schemars(range(min = 1, max = 1000000))]
    pub writes_per_second: u32,
    /// Time between two reads of the instance list and the notices, milliseconds.
    #[schemars(range(min = 50, max = 60000))]
    pub instances_interval_ms: u64,
}

impl Default for Platform {
    fn default() -> Self {
        Platform {
            table_service: SmolStr::default(),
            cloud: SmolStr::default(),
            timeout_ms: 2_000,
            reads_per_second: 2_000,
            writes_per_second: 300,
            instances_interval_ms: 1_000,
        }
    }
}
