//! Settings of communication between entries.

use std::net::Ipv4Addr;
use std::net::SocketAddr;

use schemars::JsonSchema;
use schemars::Schema;
use schemars::SchemaGenerator;
use schemars::json_schema;
use serde::Deserialize;
use serde::Serialize;

use crate::secret::Secret;

/// The port for other entries, and gossip between entries.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(default)]
pub struct Peers {
    /// Address to listen on. Port 0 selects a free port, which the entry logs.
    #[schemars(extend("format" = "socket-address"))]
    pub listen: SocketAddr,
    /// Address that other entries connect to; defaults to the bound address.
    #[schemars(extend("format" = "socket-address"))]
    pub advertise: Option<SocketAddr>,
    /// Key with which entries authenticate each other, at least 16 characters, the same at every
    /// entry. Must be set; never printed.
    #[schemars(length(min = 16, max = 1024))]
    pub key: Secret,
    /// Peer addresses of other entries to try if the table service can't be read at start.
    #[schemars(schema_with = "addresses")]
    pub seeds: Vec<SocketAddr>,
    /// Number of other entries to which each digest is sent.
    #[schemars(range(min = 1, max = 64))]
    pub fan_out: u32,
    /// Interval between digests, in milliseconds.
    #[schemars(range(min = 50, max = 60000))]
    pub digest_interval_ms: u64,
}

/// Returns the schema of a list of addresses.
fn addresses(_: &mut SchemaGenerator) -> Schema {
    json_schema!({
        "type": "array",
        "items": {"type": "string", "format": "socket-address"}
    })
}

impl Default for Peers {
    fn default() -> Self {
        Peers {
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 8003)),
            advertise: None,
            key: Secret::default(),
            seeds: Vec::new(),
            fan_out: 3,
            digest_interval_ms: 500,
        }
    }
}
