//! The port of health checks and metrics.

use std::net::Ipv4Addr;
use std::net::SocketAddr;

use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

/// The port of `/healthz`, `/readyz` and `/metrics`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(default)]
pub struct Admin {
    /// Address to listen on. Port 0 takes a free one; the entry logs which.
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
