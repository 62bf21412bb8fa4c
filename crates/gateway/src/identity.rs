//! Identity of an entry.

use lease::holder;
use smol_str::SmolStr;

/// Identity of one incarnation of an entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Identity {
    /// Configured name.
    pub name: SmolStr,
    /// Incarnation, drawn at random when the process starts.
    pub incarnation: holder::Id,
    /// Availability zone.
    pub zone: SmolStr,
    /// `host:port` that callers connect to.
    pub caller_address: SmolStr,
    /// `host:port` that other entries connect to.
    pub peer_address: SmolStr,
}
