//! Who this entry is.

use request::id::Incarnation;
use smol_str::SmolStr;

/// The name and place of one entry process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Identity {
    /// Name of the entry, the same over its lives.
    pub name: SmolStr,
    /// This life.
    pub incarnation: Incarnation,
    /// Availability zone.
    pub zone: SmolStr,
    /// `host:port` that callers connect to.
    pub caller_address: SmolStr,
    /// `host:port` that other entries connect to.
    pub peer_address: SmolStr,
}
