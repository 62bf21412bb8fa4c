//! Reads all summaries for a report.

use smol_str::SmolStr;
use store::call::Address;
use store::call::Call;
use store::call::Check;
use store::call::Outcome;
use store::call::Row;
use store::call::Transaction;
use store::call::Write;

use crate::report::Gap;
use crate::summary::Summary;
use crate::writer::TABLE;

/// Rows in one page of a scan.
const ROWS_PER_READ: u32 = 50;
/// Maximum number of rows removed after one report.
const MAX_REMOVALS: usize = 50;
/// The entry name of the gap that a report shows if the store can't be read.
const STORE_GAP: &str = "(store)";

/// A paged scan of the whole table.
#[derive(Clone, Debug, Default)]
pub struct Reader {
    cursor: SmolStr,
    summaries: Vec<Summary>,
    gaps: Vec<Gap>,
    /// Keys and revisions of rows that no report needs any more.
    expired: Vec<(SmolStr, u64)>,
}

/// The result of a scan.
#[derive(Clone, Debug)]
pub struct Findings {
    /// Summaries that were read; a summary may be split into several parts.
    pub summaries: Vec<Summary>,
    /// Data that could not be read.
    pub gaps: Vec<Gap>,
    /// A call that removes expired rows.
    pub removal: Option<Call>,
}

impl Reader {
    /// Returns the call that reads the next page.
    pub fn page_call(&self) -> Call {
        Call::Scan {
            table: SmolStr::new_static(TABLE),
            prefix: SmolStr::default(),
            after: self.cursor.clone(),
            limit: ROWS_PER_READ,
        }
    }

    /// Processes the outcome of a read and returns whether the scan is complete.
    ///
    /// A failed read ends the scan: reports are most needed during an outage, so the operator immediately
    /// receives what is available, with a gap for the rest.
    pub fn handle_outcome(&mut self, unix_ms: u64, outcome: Outcome) -> bool {
        let Outcome::Rows { rows, more, .. } = outcome else {
            self.gaps.push(Gap {
                entry: SmolStr::new_static(STORE_GAP),
                from_ago_ms: 0,
                to_ago_ms: 0,
            });
            return true;
        };
        let last_key = rows.last().map(|row| row.key.clone());
        for row in rows {
            self.read_row(unix_ms, row);
        }
        match last_key {
            Some(key) if more => {
                self.cursor = key;
                false
            }
            _ => true,
        }
    }

    /// Returns the result of the scan.
    pub fn finish(mut self) -> Findings {
        self.expired.truncate(MAX_REMOVALS);
        Findings {
            removal: removal(&self.expired),
            summaries: self.summaries,
            gaps: self.gaps,
        }
    }

    /// Reads one row. A row of another release that can't be parsed is reported as a gap.
    fn read_row(&mut self, unix_ms: u64, row: Row) {
        match serde_json::from_value::<Summary>(row.value) {
            Ok(summary) if summary.is_expired(unix_ms) => {
                self.expired.push((row.key, row.revision))
            }
            Ok(summary) => self.summaries.push(summary),
            Err(_) => self.gaps.push(Gap {
                entry: row.key,
                from_ago_ms: 0,
                to_ago_ms: 0,
            }),
        }
    }
}

/// Removes rows at the revisions that were read; if one has been written since, none is removed.
fn removal(expired: &[(SmolStr, u64)]) -> Option<Call> {
    if expired.is_empty() {
        return None;
    }
    let address = |key: &SmolStr| Address::new(TABLE, key.clone());
    let checks = expired.iter().map(|(key, revision)| Check {
        address: address(key),
        revision: Some(*revision),
    });
    let writes = expired.iter().map(|(key, _)| Write {
        address: address(key),
        value: serde_json::Value::Null,
    });
    Some(Call::Transact(Transaction {
        token: SmolStr::new_static("burn-removal"),
        checks: checks.collect(),
        writes: writes.collect(),
    }))
}
