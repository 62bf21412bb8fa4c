//! Names of those who may hold leases.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// One life of a process, drawn at random when it starts and never used again.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Id(pub u64);

impl Id {
    /// Reads the form that `Display` gives.
    pub fn parse(text: &str) -> Option<Id> {
        Some(Id(u64::from_str_radix(text, 16).ok()?))
    }
}

impl fmt::Display for Id {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}
