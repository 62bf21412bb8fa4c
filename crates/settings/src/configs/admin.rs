//! Settings of the port for health checks and metrics.

use std::net::Ipv4Addr;
use std::net::SocketAddr;

use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

/// The port for `/healthz`, `/readyz` and `/metrics`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(default)]
pub struct Admin {
    /// Address to listen on. Port 0 selects a free port, which the entry logs.
    #[schemars(extend("format" = "socket-address"))]
    pub listen: SocketAddr,
}

impl Default for Admin {
    fn default() -> Self {
        Admin {
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 8001)),
        }
    }
}
