//! Reports on the list of backend servers that entries send each other.

use clock::Span;
use clock::Time;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use crate::server::Server;

/// The list's digest at a revision, with recent changes. Tolerates loss, duplication and reordering.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Report {
    /// The revision up to which `digest` covers all changes.
    pub revision: u64,
    /// Time since the table service was read at this revision, milliseconds. Leaves out how long it took to learn of that.
    pub age_ms: u64,
    /// Time before the report up to which the list certainly contains all that was there, milliseconds; `None` if that isn't
    /// known.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub certain_age_ms: Option<u64>,
    /// What shows the receiver that the report isn't older than it seems; `None` if the sender
    /// has no message from it.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub echo: Option<Echo>,
    /// Digest of all rows, see [`crate::list::List::digest`].
    pub digest: u64,
    /// Time during which missing rows may belong to live servers whose leases lapsed, milliseconds.
    #[serde(skip_serializing_if = "is_zero")]
    pub lapsed_ms: u64,
    /// Recent changes.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub changes: Vec<Change>,
}

/// The newest message of a receiver that had arrived when something was written to it. However late that arrives, it was
/// written after this message was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Echo {
    /// The receiver's incarnation.
    pub to: u64,
    /// When it sent the message, by its own clock, in milliseconds since its start.
    pub sent_at_ms: u64,
    /// For how long the message had been there, milliseconds.
    pub held_ms: u64,
}

impl Echo {
    /// Returns the time after which it was written, by the receiver's clock.
    pub fn written_after(&self) -> Time {
        Time::from_millis(self.sent_at_ms) + Span::from_millis(self.held_ms)
    }
}

/// A change of one row.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// The server's id.
    pub id: SmolStr,
    /// The list's revision of this change. Invariant: a later change of the same row has a higher one.
    pub at: u64,
    /// The row's state after the change.
    pub now: State,
}

/// A row's state after a change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// The row was created or changed.
    Written(Server),
    /// The row ended.
    Ended,
}

impl Change {
    /// Creates the change that wrote a server's row.
    pub fn written(server: &Server) -> Change {
        Change {
            id: server.id.clone(),
            at: server.revision,
            now: State::Written(server.clone()),
        }
    }

    /// Creates the change that ended a row at a revision.
    pub fn ended(id: SmolStr, at: u64) -> Change {
        Change {
            id,
            at,
            now: State::Ended,
        }
    }
}

fn is_zero(value: &u64) -> bool {
    *value == 0
}
