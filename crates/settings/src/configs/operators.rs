//! Settings of the port for operators.

use std::net::Ipv4Addr;
use std::net::SocketAddr;

use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

use crate::secret::Secret;

/// The gRPC port for operators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(default)]
pub struct Operators {
    /// Address to listen on. Port 0 selects a free port, which the entry logs.
    #[schemars(extend("format" = "socket-address"))]
    pub listen: SocketAddr,
    /// Key that authenticates operators' calls, at least 16 characters. Must be set; never printed.
    #[schemars(length(min = 16, max = 1024))]
    pub key: Secret,
}

impl Default for Operators {
    fn default() -> Self {
        Operators {
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 8002)),
            key: Secret::default(),
        }
    }
}
