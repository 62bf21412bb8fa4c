//! Entries that roles can be assigned to.

use lease::holder;
use smol_str::SmolStr;

/// A live entry from which a heartbeat was received recently.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Identifies this life of the entry.
    pub id: holder::Id,
    /// Its availability zone.
    pub zone: SmolStr,
    /// Spare capacity relative to other entries, 0 to 255.
    pub capacity: u8,
    /// Whether the entry reports that the table service doesn't answer it.
    pub store_lost: bool,
}
