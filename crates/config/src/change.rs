//! What an operator asks for and is answered.

use lease::holder;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use crate::edit::Edit;

/// A change of the configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Chosen by the operator, unique for ever: a repeated change with an equal id is done once.
    pub id: SmolStr,
    /// The version the operator saw when it wrote the change.
    pub base: u64,
    /// What to do, in order.
    pub edits: Vec<Edit>,
}

/// Names one operator call that waits here; chosen by the embedder.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Operation(pub u64);

/// What became of a change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// In force at every entry that admits requests.
    Accepted {
        /// The version that holds it.
        version: u64,
    },
    /// Committed for good, not yet in force everywhere when the caller's time was up.
    Committed {
        /// The version that holds it.
        version: u64,
        /// The members that were still waited for.
        waiting: Vec<holder::Id>,
    },
    /// Others changed the same items since `base`; nothing was done.
    Conflict {
        /// The newest version.
        version: u64,
        /// What was done since `base`. None if `base` is older than the history kept; then it is
        /// not known either whether a change with this id was done in that time.
        difference: Option<Vec<Edit>>,
    },
    /// The configuration that would result is not valid; nothing was done.
    Invalid {
        /// Why.
        message: SmolStr,
    },
    /// The id was used before for another change; nothing was done.
    Reused {
        /// The version that holds the other change.
        version: u64,
    },
    /// The table service can't be reached; nothing was done.
    Unavailable,
    /// Too many changes wait here; nothing was done.
    Busy,
    /// The change may have been committed: ask again with the same id.
    Unknown,
}

/// How far a version has come.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Progress {
    /// In force at every entry that admits requests.
    Accepted,
    /// Committed; these members are waited for. Empty while they are being read.
    Waiting(Vec<holder::Id>),
    /// This entry does not know of such a version.
    Unknown,
}
