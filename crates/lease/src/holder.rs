//! Identifiers of lease holders.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// Incarnation of a process, drawn at random at its start and never reused.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Id(pub u64);

impl Id {
    /// Parses the form that `Display` writes.
    pub fn parse(text: &str) -> Option<Id> {
        Some(Id(u64::from_str_radix(text, 16).ok()?))
    }
}

impl fmt::Display for Id {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}
