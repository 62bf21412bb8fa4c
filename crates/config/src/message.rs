//! Messages that entries exchange about the configuration.

use lease::holder;
use serde::Deserialize;
use serde::Serialize;

use crate::row::Version;
use crate::snapshot::Snapshot;

/// A message to one peer; loss, duplication and delay do no harm.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Message {
    /// Requests the versions after a given one.
    Fetch {
        /// Newest version that the sender has applied.
        after: u64,
    },
    /// Committed versions in ascending order.
    Log {
        /// As many versions as fit.
        versions: Vec<Version>,
    },
    /// A whole committed snapshot, for a peer that lags behind the retained versions.
    Whole {
        /// The snapshot.
        snapshot: Snapshot,
        /// Retained versions that led to it.
        before: Vec<Version>,
    },
    /// Requests a vote: the version that the peer has applied.
    Ask {
        /// Incarnation of the sender, returned in the answer; clocks of two incarnations are not comparable.
        asker: holder::Id,
        /// Sender's clock, returned in the answer to show its age.
        asked: u64,
    },
    /// Vote that answers `Ask`.
    Word {
        /// As in the request.
        asker: holder::Id,
        /// As in the request.
        asked: u64,
        /// Newest version that the voter has applied.
        version: u64,
        /// All members that the voter last read from the table service.
        voters: Vec<holder::Id>,
    },
}
