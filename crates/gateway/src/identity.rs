//! Who an entry is.

use lease::holder;
use smol_str::SmolStr;

/// One life of one entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Identity {
    /// Its configured name.
    pub name: SmolStr,
    /// This life; drawn at random when the process starts.
    pub incarnation: holder::Id,
    /// Its availability zone.
    pub zone: SmolStr,
    /// `host:port` that callers connect to.
    pub caller_address: SmolStr,
    /// `host:port` that other entries connect to.
    pub peer_address: SmolStr,
}
