//! What entries say to each other about the configuration.

use lease::holder;
use serde::Deserialize;
use serde::Serialize;

use crate::row::Version;
use crate::snapshot::Snapshot;

/// One message to one peer; loss, repetition and delay do no harm.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Message {
    /// Asks for the versions after this one.
    Fetch {
        /// The newest version the asker has applied.
        after: u64,
    },
    /// Committed versions in rising order.
    Log {
        /// The versions, as many as fit.
        versions: Vec<Version>,
    },
    /// A whole committed snapshot, for an asker that is too far behind for versions.
    Whole {
        /// The snapshot.
        snapshot: Snapshot,
        /// The versions that led to it, as far as they are kept.
        before: Vec<Version>,
    },
    /// Asks which version the peer has applied.
    Ask {
        /// The asker, given back in the answer: clocks of two lives of a process don't compare.
        asker: holder::Id,
        /// The asker's clock, given back in the answer so that late answers show their age.
        asked: u64,
    },
    /// The answer to `Ask`.
    Word {
        /// As in the question.
        asker: holder::Id,
        /// As in the question.
        asked: u64,
        /// The newest version the answerer has applied.
        version: u64,
        /// All members the answerer last read from the table service.
        voters: Vec<holder::Id>,
    },
}
