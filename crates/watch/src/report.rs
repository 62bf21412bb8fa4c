//! Reports on the list of backend servers, from entry to entry.

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use crate::server::Server;

/// The state of the list at a revision, and what changed lately. Loss, repetition and any order do no harm.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Report {
    /// Everything up to this revision is in `digest`.
    pub revision: u64,
    /// Time since the table service said so, milliseconds.
    pub age_ms: u64,
    /// Digest of all rows, [`crate::list::List::digest`].
    pub digest: u64,
    /// How long missing rows may be those of live servers whose leases lapsed, milliseconds.
    #[serde(skip_serializing_if = "is_zero")]
    pub lapsed_ms: u64,
    /// What changed lately.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub changes: Vec<Change>,
}

/// A row that changed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// The server's name.
    pub id: SmolStr,
    /// The list's revision that changed it. Invariant: of two changes of a row the later has the higher one.
    pub at: u64,
    /// What it is now.
    pub now: State,
}

/// What a row says.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// The row is new, or another.
    Written(Server),
    /// It ended.
    Ended,
}

impl Change {
    /// A row that is new, or says something else.
    pub fn written(server: &Server) -> Change {
        Change {
            id: server.id.clone(),
            at: server.revision,
            now: State::Written(server.clone()),
        }
    }

    /// A row that ended at a revision.
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
