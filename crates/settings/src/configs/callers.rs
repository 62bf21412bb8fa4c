//! The port of callers and its limits.

use std::net::Ipv4Addr;
use std::net::SocketAddr;

use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

/// The port on which callers are served, and its limits.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(default)]
pub struct Callers {
    /// Address to listen on. Port 0 takes a free one; the entry logs which.
    #[schemars(extend("format" = "socket-address"))]
    pub listen: SocketAddr,
    /// Address that callers are told to connect to; the bound one when absent.
    #[schemars(extend("format" = "socket-address"))]
    pub advertise: Option<SocketAddr>,
    /// Most bytes of a request's head.
    #[schemars(range(min = 1024, max = 1048576))]
    pub max_header_bytes: u32,
    /// Most bytes of a request's body.
    #[schemars(range(min = 1024, max = 1073741824))]
    pub max_body_bytes: u64,
    /// Most connections open at once; further ones are closed as they come.
    #[schemars(range(min = 1, max = 1000000))]
    pub max_connections: u32,
    /// Time allowed for a request's head to arrive, milliseconds.
    #[schemars(range(min = 100, max = 600000))]
    pub header_timeout_ms: u64,
    /// Time allowed for a request's body to arrive, milliseconds.
    #[schemars(range(min = 100, max = 3600000))]
    pub body_timeout_ms: u64,
    /// Time allowed for a request from its arrival to the end of its answer, milliseconds.
    #[schemars(range(min = 1000, max = 86400000))]
    pub request_timeout_ms: u64,
    /// How long a caller may keep an address answer, milliseconds.
    #[schemars(range(min = 100, max = 3600000))]
    pub address_ttl_ms: u64,
}

impl Default for Callers {
    fn default() -> Self {
        Callers {
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 8000)),
            advertise: None,
            max_header_bytes: 32 * 1024,
            max_body_bytes: 16 * 1024 * 1024,
            max_connections: 10_000,
            header_timeout_ms: 10_000,
            body_timeout_ms: 60_000,
            request_timeout_ms: 600_000,
            address_ttl_ms: 10_000,
        }
    }
}
