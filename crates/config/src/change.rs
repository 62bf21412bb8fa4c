//! Changes that operators submit and the answers to them.

use lease::holder;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use crate::edit::Edit;

/// A change of the configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Unique identifier, chosen by the operator; a repeated change with the same id is applied once.
    pub id: SmolStr,
    /// Version that the operator saw when it wrote the change.
    pub base: u64,
    /// Edits to apply, in order.
    pub edits: Vec<Edit>,
}

/// Identifier of a pending operator call, chosen by the embedder.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Operation(pub u64);

/// Outcome of a change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The change is in force at every entry that admits requests.
    Accepted {
        /// Version that contains the change.
        version: u64,
    },
    /// The change is committed durably, but was not in force everywhere by the caller's deadline.
    Committed {
        /// Version that contains the change.
        version: u64,
        /// Members that had not applied it yet.
        waiting: Vec<holder::Id>,
    },
    /// Another change touched the same items since `base`; nothing was done.
    Conflict {
        /// Newest version.
        version: u64,
        /// Edits since `base`; `None` if `base` is older than the retained history. In that case it is also
        /// unknown whether a change with this id was committed in that time.
        difference: Option<Vec<Edit>>,
    },
    /// The resulting configuration would be invalid; nothing was done.
    Invalid {
        /// Reason.
        message: SmolStr,
    },
    /// The id belongs to a different change; nothing was done.
    Reused {
        /// Version that contains the other change.
        version: u64,
    },
    /// The table service is unavailable; nothing was done.
    Unavailable,
    /// Too many changes are pending at this entry; nothing was done.
    Busy,
    /// The change may have been committed; retry with the same id.
    Unknown,
}

/// Progress of a version towards acceptance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Progress {
    /// The version is in force at every entry that admits requests.
    Accepted,
    /// The version is committed; these members have not applied it. Empty while the members are being read.
    Waiting(Vec<holder::Id>),
    /// This entry knows no such version.
    Unknown,
}
