//! Settings of the port for callers.

use std::net::Ipv4Addr;
use std::net::SocketAddr;

use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

/// The port for callers and its limits.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(default)]
pub struct Callers {
    /// Address to listen on. Port 0 selects a free port, which the entry logs.
    #[schemars(extend("format" = "socket-address"))]
    pub listen: SocketAddr,
    /// Address that callers connect to; defaults to the bound address.
    #[schemars(extend("format" = "socket-address"))]
    pub advertise: Option<SocketAddr>,
    /// Maximum size of a request's headers in bytes.
    #[schemars(range(min = 1024, max = 1048576))]
    pub max_header_bytes: u32,
    /// Maximum size of a request's body in bytes.
    #[schemars(range(min = 1024, max = 1073741824))]
    pub max_body_bytes: u64,
    /// Maximum open connections, fewer where memory or descriptors are short. At the limit, the connection that has been idle
    /// for longest gives way to a new one.
    #[schemars(range(min = 1, max = 1000000))]
    pub max_connections: u32,
    /// Timeout for receiving a request's headers, in milliseconds.
    #[schemars(range(min = 100, max = 600000))]
    pub header_timeout_ms: u64,
    /// Timeout for receiving a request's body, in milliseconds.
    #[schemars(range(min = 100, max = 3600000))]
    pub body_timeout_ms: u64,
    /// Most bytes of requests held at once, over all connections, from their first byte to the end of the last attempt.
    /// Defaults to a quarter of the machine's memory.
    #[schemars(range(min = 1048576))]
    pub max_held_request_bytes: Option<u64>,
    /// Most bytes of answers held at once for callers to read. Defaults to an eighth of the machine's memory.
    #[schemars(range(min = 1048576))]
    pub max_held_answer_bytes: Option<u64>,
    /// Least pace of a request's body while others wait for room, in bytes per second.
    #[schemars(range(min = 1, max = 1073741824))]
    pub min_body_rate: u64,
    /// Time for which a connection may stay open without a request, in milliseconds. In gateway mode, the operator's
    /// configuration sets it, and the size limits and the timeout of headers as well.
    #[schemars(range(min = 1000, max = 3600000))]
    pub idle_timeout_ms: u64,
    /// Time for which a caller may leave an answer unread, in milliseconds.
    #[schemars(range(min = 1000, max = 3600000))]
    pub unread_timeout_ms: u64,
    /// Timeout for a request from its arrival to the end of its answer, in milliseconds.
    #[schemars(range(min = 1000, max = 86400000))]
    pub request_timeout_ms: u64,
    /// Time for which callers may cache the list of addresses, in milliseconds.
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
            max_held_request_bytes: None,
            max_held_answer_bytes: None,
            min_body_rate: 16 * 1024,
            idle_timeout_ms: 60_000,
            unread_timeout_ms: 60_000,
            request_timeout_ms: 600_000,
            address_ttl_ms: 10_000,
        }
    }
}
