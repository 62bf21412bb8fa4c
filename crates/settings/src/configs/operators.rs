//! The operators' port.

use std::net::Ipv4Addr;
use std::net::SocketAddr;

use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

use crate::secret::Secret;

/// The operators' gRPC port.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(default)]
pub struct Operators {
    /// Address to listen on. Port 0 takes a free one; the entry logs which.
    #[schemars(extend("format" = "socket-address"))]
    pub listen: SocketAddr,
    /// Key that every operator's call carries, 16 characters or more. Must be set; never printed.
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
