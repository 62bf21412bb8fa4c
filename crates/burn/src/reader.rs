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

/// Rows read at once.
const ROWS_PER_READ: u32 = 50;
/// Most rows removed after one report.
const REMOVED_AT_ONCE: usize = 50;
/// The name under which the store's own gap stands in a report.
const STORE: &str = "(store)";

/// One reading of the whole table.
#[derive(Clone, Debug, Default)]
pub struct Reader {
    after: SmolStr,
    summaries: Vec<Summary>,
    gaps: Vec<Gap>,
    /// Rows that add nothing to any report, with their revisions.
    spent: Vec<(SmolStr, u64)>,
}

/// What was read.
#[derive(Clone, Debug)]
pub struct Found {
    /// All summaries, in parts.
    pub summaries: Vec<Summary>,
    /// What could not be read.
    pub gaps: Vec<Gap>,
    /// The removal of rows that add nothing any more.
    pub removal: Option<Call>,
}

impl Reader {
    /// The next read.
    pub fn call(&self) -> Call {
        Call::Scan {
            table: SmolStr::new_static(TABLE),
            prefix: SmolStr::default(),
            after: self.after.clone(),
            limit: ROWS_PER_READ,
        }
    }

    /// Takes the rows of a read; whether that was the last one.
    ///
    /// A store that doesn't answer ends the reading: the report shows what is there and says that the
    /// rest is missing, at once, as an operator looks at it just when things fail.
    pub fn take(&mut self, unix_ms: u64, outcome: Outcome) -> bool {
        let Outcome::Rows { rows, more } = outcome else {
            self.gaps.push(Gap {
                entry: SmolStr::new_static(STORE),
                from_ago_ms: 0,
                to_ago_ms: 0,
            });
            return true;
        };
        let last = rows.last().map(|row| row.key.clone());
        for row in rows {
            self.read(unix_ms, row);
        }
        match last {
            Some(key) if more => {
                self.after = key;
                false
            }
            _ => true,
        }
    }

    /// What was read.
    pub fn finish(mut self) -> Found {
        self.spent.truncate(REMOVED_AT_ONCE);
        Found {
            removal: removal(&self.spent),
            summaries: self.summaries,
            gaps: self.gaps,
        }
    }

    /// Reads one row. One that a release wrote which this one can't read is a gap.
    fn read(&mut self, unix_ms: u64, row: Row) {
        match serde_json::from_value::<Summary>(row.value) {
            Ok(summary) if summary.is_expired(unix_ms) => self.spent.push((row.key, row.revision)),
            Ok(summary) => self.summaries.push(summary),
            Err(_) => self.gaps.push(Gap {
                entry: row.key,
                from_ago_ms: 0,
                to_ago_ms: 0,
            }),
        }
    }
}

/// Removes rows as they were read; a row that was written since stays, with all the others.
fn removal(spent: &[(SmolStr, u64)]) -> Option<Call> {
    if spent.is_empty() {
        return None;
    }
    let at = |key: &SmolStr| Address::new(TABLE, key.clone());
    let checks = spent.iter().map(|(key, revision)| Check {
        at: at(key),
        revision: Some(*revision),
    });
    let writes = spent.iter().map(|(key, _)| Write {
        at: at(key),
        value: serde_json::Value::Null,
    });
    Some(Call::Transact(Transaction {
        token: SmolStr::new_static("burn-removal"),
        checks: checks.collect(),
        writes: writes.collect(),
    }))
}
