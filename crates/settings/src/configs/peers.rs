//! What entries tell each other.

use std::net::Ipv4Addr;
use std::net::SocketAddr;

use schemars::JsonSchema;
use schemars::Schema;
use schemars::SchemaGenerator;
use schemars::json_schema;
use serde::Deserialize;
use serde::Serialize;

use crate::secret::Secret;

/// The port between entries and what is told there.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(default)]
pub struct Peers {
    /// Address to listen on. Port 0 takes a free one; the entry logs which.
    #[schemars(extend("format" = "socket-address"))]
    pub listen: SocketAddr,
    /// Address that other entries are told to connect to; the bound one when absent.
    #[schemars(extend("format" = "socket-address"))]
    pub advertise: Option<SocketAddr>,
    /// Key by which entries prove themselves to each other, 16 characters or more, the same at
    /// every entry. Must be set; never printed.
    #[schemars(length(min = 16, max = 1024))]
    pub key: Secret,
    /// Peer addresses of other entries to try while the table service can't be read at start.
    #[schemars(schema_with = "addresses")]
    pub seeds: Vec<SocketAddr>,
    /// To how many other entries each digest is sent.
    #[schemars(range(min = 1, max = 64))]
    pub fan_out: u32,
    /// Time between two digests, milliseconds.
    #[schemars(range(min = 50, max = 60000))]
    pub digest_interval_ms: u64,
}

/// The schema of a list of addresses.
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
