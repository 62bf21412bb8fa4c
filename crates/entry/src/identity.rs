//! Identity of an entry.

use request::id::Incarnation;
use smol_str::SmolStr;

/// Name, incarnation and addresses of an entry process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Identity {
    /// Name of the entry, the same across restarts.
    pub name: SmolStr,
    /// Incarnation of the process.
    pub incarnation: Incarnation,
    /// Availability zone.
    pub zone: SmolStr,
    /// `host:port` that callers connect to.
    pub caller_address: SmolStr,
    /// `host:port` that other entries connect to.
    pub peer_address: SmolStr,
}
