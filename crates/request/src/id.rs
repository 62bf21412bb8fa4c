//! Identifiers of requests and of the entry incarnations that assign them.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// Incarnation of an entry process, drawn at random at its start.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Incarnation(pub u64);

impl fmt::Display for Incarnation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}

/// Identifier of a request, unique across the system and never reused.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Id {
    /// Entry incarnation that received the request.
    pub incarnation: Incarnation,
    /// Rises by one with each request that incarnation receives.
    pub serial: u64,
}

impl Id {
    /// Parses the form that `Display` writes.
    pub fn parse(text: &str) -> Option<Id> {
        let (incarnation, serial) = text.split_once('-')?;
        Some(Id {
            incarnation: Incarnation(u64::from_str_radix(incarnation, 16).ok()?),
            serial: serial.parse().ok()?,
        })
    }
}

impl fmt::Display for Id {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}-{}", self.incarnation, self.serial)
    }
}

/// Identifier of the engine's stream of one attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Stream {
    /// Request that the stream belongs to.
    pub request: Id,
    /// Rises by one with each attempt to run it.
    pub attempt: u32,
}

impl fmt::Display for Stream {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}-{}", self.request, self.attempt)
    }
}
