//! Settings of the platform's services.

use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

/// The platform's services and their limits.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(default)]
pub struct Platform {
    /// Address of the table service and the object store, `http://HOST:PORT`. Must be set.
    #[schemars(extend("format" = "http-address"))]
    pub table_service: SmolStr,
    /// Address of the cloud API and the instance list, `http://HOST:PORT`. Must be set.
    #[schemars(extend("format" = "http-address"))]
    pub cloud: SmolStr,
    /// Timeout for one call, in milliseconds; after it, the call's outcome counts as unknown.
    #[schemars(range(min = 50, max = 60000))]
    pub timeout_ms: u64,
    /// Reads per second that the table service accepts from all entries together; each uses its share.
    #[schemars(range(min = 1, max = 1000000))]
    pub reads_per_second: u32,
    /// Writes per second that the table service accepts from all entries together; each uses its share.
    #[schemars(range(min = 1, max = 1000000))]
    pub writes_per_second: u32,
    /// Interval between reads of the instance list and the reclaim notices, in milliseconds.
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
