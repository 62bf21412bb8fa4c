//! An entry that may fill roles.

use lease::holder;
use smol_str::SmolStr;

/// One entry that lives and was heard lately.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// This life of it.
    pub id: holder::Id,
    /// Its availability zone.
    pub zone: SmolStr,
    /// How much it can take against others, 0 to 255.
    pub capacity: u8,
    /// Whether it says that the table service doesn't answer it.
    pub store_lost: bool,
}
