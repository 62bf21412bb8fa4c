//! Rows that store the configuration in the table service.
//!
//! A head row names the newest version and changes only by compare-and-set. Each version has an
//! immutable row with its edits. A snapshot row is rewritten periodically, so that a starting entry reads
//! one snapshot and the few versions after it.

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

/// Name of the table that holds all configuration rows.
pub const TABLE: &str = "config";
/// Key prefix of the version rows.
pub const VERSION_PREFIX: &str = "version/";

/// Row that names the newest version.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// Newest committed version.
    pub version: u64,
    /// Version of the snapshot row; 0 if there is none yet.
    pub checkpoint: u64,
}

/// One committed change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Version {
    /// Version number.
    pub version: u64,
    /// Identifier of the change, chosen by the operator.
    pub change: SmolStr,
    /// Edits to the previous version.
    pub edits: Vec<Edit>,
}

/// Returns the address of the head row.
pub fn head() -> Address {
    Address::new(TABLE, "head")
}

/// Returns the address of the snapshot row.
pub fn checkpoint() -> Address {
    Address::new(TABLE, "checkpoint")
}

/// Returns the address of a version row; keys sort in numeric order.
pub fn version(version: u64) -> Address {
    Address::new(TABLE, format_smolstr!("{VERSION_PREFIX}{version:016}"))
}

/// Returns a write of a value as JSON.
pub fn write(address: Address, value: &impl Serialize) -> Write {
    let value = serde_json::to_value(value).unwrap_or(Value::Null);
    Write { address, value }
}

/// Parses a row's value; unknown fields of newer releases are ignored.
pub fn read<T: DeserializeOwned>(row: &Row) -> Option<T> {
    serde_json::from_value(row.value.clone()).ok()
}
