//! Table service calls as data, so that state machines can emit them as effects.

use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;
use smol_str::SmolStr;

/// Identifies a call in flight within one state machine; the embedder maps it to its own numbering.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Id(pub u64);

/// A call of the table service.
#[derive(Clone, Debug, PartialEq)]
pub enum Call {
    /// Reads one row.
    Get {
        /// Address of the row.
        address: Address,
    },
    /// Reads rows in key order.
    Scan {
        /// Table to scan.
        table: SmolStr,
        /// Prefix of the keys to return.
        prefix: SmolStr,
        /// Key after which to start; empty to start at the first one.
        after: SmolStr,
        /// Maximum number of rows to return.
        limit: u32,
    },
    /// Applies all writes if all checks hold, otherwise none.
    Transact(Transaction),
}

/// Address of a row.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Address {
    /// Name of the table.
    pub table: SmolStr,
    /// Key within the table.
    pub key: SmolStr,
}

impl Address {
    /// Creates the address of row `key` in `table`.
    pub fn new(table: impl Into<SmolStr>, key: impl Into<SmolStr>) -> Address {
        Address {
            table: table.into(),
            key: key.into(),
        }
    }
}

/// A conditional write of several rows.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Transaction {
    /// Identifies the transaction in the service's log.
    pub token: SmolStr,
    /// Conditions that must all hold.
    pub checks: Vec<Check>,
    /// Writes to apply if they do.
    pub writes: Vec<Write>,
}

/// A condition on one row: its revision, or its absence.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Check {
    /// Address of the row.
    #[serde(flatten)]
    pub address: Address,
    /// Expected revision; `None` if the row must not exist.
    pub revision: Option<u64>,
}

/// A write of one row; a null value deletes it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Write {
    /// Address of the row.
    #[serde(flatten)]
    pub address: Address,
    /// New value of the row.
    pub value: Value,
}

/// A stored row.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// Key within the table.
    pub key: SmolStr,
    /// Value of the row.
    pub value: Value,
    /// Revision of the transaction that last wrote the row.
    pub revision: u64,
}

/// Outcome of a call.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// Row that was read, if it exists.
    Row(Option<Row>),
    /// Rows that a scan returned.
    Rows {
        /// Rows in key order.
        rows: Vec<Row>,
        /// Whether the limit truncated the result.
        more: bool,
        /// The service's newest revision, packed; 0 if it states none.
        revision: u64,
    },
    /// The transaction committed at this revision.
    Committed(u64),
    /// A check failed and nothing was written; contains the current row of each failed check.
    Conflict(Vec<(Address, Option<Row>)>),
    /// The service is down or refused the call; nothing was changed.
    Unavailable,
    /// No answer was received; a transaction may have committed.
    Unknown,
}

impl Outcome {
    /// Returns a packed revision of the service at the time of the outcome, if it contains one.
    pub fn revision(&self) -> Option<u64> {
        match self {
            Outcome::Row(row) => row.as_ref().map(|row| row.revision),
            Outcome::Rows { revision, .. } | Outcome::Committed(revision) => Some(*revision),
            Outcome::Conflict(rows) => {
                let current = rows.iter().filter_map(|(_, row)| row.as_ref());
                current.map(|row| row.revision).max()
            }
            Outcome::Unavailable | Outcome::Unknown => None,
        }
    }
}
