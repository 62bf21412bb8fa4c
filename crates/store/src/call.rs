//! Calls of the table service as data, so that state machines can ask for them as effects.

use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;
use smol_str::SmolStr;

/// Names one open call of one state machine; the embedder maps it to its own numbering.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Id(pub u64);

/// One call.
#[derive(Clone, Debug, PartialEq)]
pub enum Call {
    /// Reads one row.
    Get {
        /// Table and key.
        address: Address,
    },
    /// Reads rows in key order.
    Scan {
        /// Table.
        table: SmolStr,
        /// Only keys that begin so.
        prefix: SmolStr,
        /// Only keys after this one; empty for the start.
        after: SmolStr,
        /// Most rows to return.
        limit: u32,
    },
    /// All checks hold and all writes happen, or none.
    Transact(Transaction),
}

/// Names one row.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Address {
    /// Table.
    pub table: SmolStr,
    /// Key within the table.
    pub key: SmolStr,
}

impl Address {
    /// The row `key` of `table`.
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
    /// Names the attempt in the service's log.
    pub token: SmolStr,
    /// What must hold.
    pub checks: Vec<Check>,
    /// What is then written.
    pub writes: Vec<Write>,
}

/// One condition: the row is at this revision, or absent where `revision` is.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Check {
    /// Which row.
    #[serde(flatten)]
    pub address: Address,
    /// Its revision; none wants the row absent.
    pub revision: Option<u64>,
}

/// One write; a null value deletes the row.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Write {
    /// Which row.
    #[serde(flatten)]
    pub address: Address,
    /// Its new value.
    pub value: Value,
}

/// A row as the service holds it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// Its key.
    pub key: SmolStr,
    /// Its value.
    pub value: Value,
    /// The revision that wrote it.
    pub revision: u64,
}

/// What became of a call.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// The row, if there is one.
    Row(Option<Row>),
    /// Rows, and whether more follow.
    Rows {
        /// In key order.
        rows: Vec<Row>,
        /// Whether the limit cut the list.
        more: bool,
    },
    /// The transaction took effect at this revision.
    Committed(u64),
    /// A check failed; nothing was written. The rows as they are, for each failed check.
    Conflict(Vec<(Address, Option<Row>)>),
    /// The service is down or refused the call: nothing happened.
    Unavailable,
    /// No answer came: a transaction may have taken effect.
    Unknown,
}
