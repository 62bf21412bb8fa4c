//! The rows that hold the configuration in the table service.
//!
//! One head row names the newest version and is changed by compare-and-set alone. Each version has
//! an immutable row that holds its edits; a snapshot row is rewritten now and then, so that a
//! starting entry reads one snapshot and the few versions after it.

use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;
use smol_str::SmolStr;
use smol_str::format_smolstr;
use store::call::Address;
use store::call::Row;
use store::call::Write;

use crate::edit::Edit;

/// The table that holds all of it.
pub const TABLE: &str = "config";
/// Key prefix of the version rows.
pub const VERSIONS: &str = "version/";

/// Names the newest version.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// The newest committed version.
    pub version: u64,
    /// The version of the snapshot row; 0 if there is none yet.
    pub checkpoint: u64,
}

/// One committed change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Version {
    /// Its number.
    pub version: u64,
    /// The operator's id of the change.
    pub change: SmolStr,
    /// What it did to the version before.
    pub edits: Vec<Edit>,
}

/// Where the head is.
pub fn head() -> Address {
    Address::new(TABLE, "head")
}

/// Where the snapshot is.
pub fn checkpoint() -> Address {
    Address::new(TABLE, "checkpoint")
}

/// Where a version is; keys order as numbers do.
pub fn version(version: u64) -> Address {
    Address::new(TABLE, format_smolstr!("{VERSIONS}{version:016}"))
}

/// Writes a value as JSON.
pub fn write(at: Address, value: &impl Serialize) -> Write {
    let value = serde_json::to_value(value).unwrap_or(Value::Null);
    Write { at, value }
}

/// Reads a row's value; unknown fields of newer releases are ignored.
pub fn read<T: DeserializeOwned>(row: &Row) -> Option<T> {
    serde_json::from_value(row.value.clone()).ok()
}
