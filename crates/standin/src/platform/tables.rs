//! The table service: rows with increasing revisions, changed by conditional transactions.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::ops::Bound;

use hyper::Method;
use hyper::Request;
use hyper::StatusCode;
use hyper::body::Incoming;
use serde::Serialize;
use smol_str::SmolStr;
use store::call::Address;
use store::call::Row;
use store::call::Transaction;

use crate::platform::State;
use crate::server;
use crate::server::Answer;

const DEFAULT_SCAN_LIMIT: usize = 1_000;

/// Stored rows.
#[derive(Default)]
pub struct Tables {
    rows: BTreeMap<Address, Row>,
    revision: u64,
}

/// A failed check of a transaction, with the current row.
#[derive(Clone, Debug, Serialize)]
pub struct FailedCheck {
    #[serde(flatten)]
    at: Address,
    row: Option<Row>,
}

#[derive(Serialize)]
struct Page {
    rows: Vec<Row>,
    more: bool,
}

impl Tables {
    /// Returns a row.
    pub fn get(&self, table: &str, key: &str) -> Option<&Row> {
        let address = Address {
            table: SmolStr::from(table),
            key: SmolStr::from(key),
        };
        self.rows.get(&address)
    }

    /// Returns the rows of a table after the key `after` whose keys start with `prefix`, in key order.
    pub fn scan<'a>(
        &'a self,
        table: &str,
        prefix: &'a str,
        after: &str,
    ) -> impl Iterator<Item = &'a Row> + use<'a> {
        let table = SmolStr::from(table);
        let start = Address {
            table: table.clone(),
            key: SmolStr::from(after),
        };
        self.rows
            .range((Bound::Excluded(start), Bound::Unbounded))
            .take_while(move |(address, _)| address.table == table)
            .map(|(_, row)| row)
            .filter(move |row| row.key.starts_with(prefix))
    }

    /// Applies all writes if all checks hold, otherwise none.
    pub fn transact(&mut self, transaction: &Transaction) -> Result<u64, Vec<FailedCheck>> {
        let failed = self.failed_checks(transaction);
        if !failed.is_empty() {
            return Err(failed);
        }
        self.revision += 1;
        for write in &transaction.writes {
            if write.value.is_null() {
                self.rows.remove(&write.address);
                continue;
            }
            let row = Row {
                key: write.address.key.clone(),
                value: write.value.clone(),
                revision: self.revision,
            };
            self.rows.insert(write.address.clone(), row);
        }
        Ok(self.revision)
    }

    fn failed_checks(&self, transaction: &Transaction) -> Vec<FailedCheck> {
        let mut failed = Vec::new();
        for check in &transaction.checks {
            let row = self.rows.get(&check.address);
            if row.map(|row| row.revision) != check.revision {
                failed.push(FailedCheck {
                    at: check.address.clone(),
                    row: row.cloned(),
                });
            }
        }
        failed
    }
}

/// Handles one request.
pub async fn handle(
    state: &RefCell<State>,
    path: &str,
    request: Request<Incoming>,
) -> io::Result<Answer> {
    if path == "/transact" && request.method() == Method::POST {
        return match server::read_json(request).await? {
            Ok(transaction) => transact(state, &transaction),
            Err(refusal) => Ok(refusal),
        };
    }
    let parts: Vec<&str> = path.splitn(5, '/').collect();
    match parts.as_slice() {
        ["", "tables", table, "rows", key] => get(state, table, &server::percent_decode(key)),
        ["", "tables", table, "rows"] => scan(state, table, &request),
        _ => Ok(server::empty(StatusCode::NOT_FOUND)),
    }
}

fn transact(state: &RefCell<State>, transaction: &Transaction) -> io::Result<Answer> {
    let mut state = state.borrow_mut();
    state.counts.transactions += 1;
    match state.tables.transact(transaction) {
        Ok(revision) => {
            state.counts.rows_written += transaction.writes.len() as u64;
            let written_tables = transaction.writes.iter().map(|write| &write.address.table);
            if state.faults.take_lost_answer(written_tables) {
                state.counts.answers_lost += 1;
                return Err(io::Error::other("answer lost on order"));
            }
            server::json(StatusCode::OK, &serde_json::json!({ "revision": revision }))
        }
        Err(failed) => server::json(
            StatusCode::CONFLICT,
            &serde_json::json!({ "failed": failed }),
        ),
    }
}

fn get(state: &RefCell<State>, table: &str, key: &str) -> io::Result<Answer> {
    let mut state = state.borrow_mut();
    state.counts.reads += 1;
    match state.tables.get(table, key) {
        Some(row) => server::json(StatusCode::OK, row),
        None => Ok(server::empty(StatusCode::NOT_FOUND)),
    }
}

fn scan(state: &RefCell<State>, table: &str, request: &Request<Incoming>) -> io::Result<Answer> {
    let prefix = server::query_parameter(request, "prefix").unwrap_or_default();
    let after = server::query_parameter(request, "after").unwrap_or_default();
    let limit = server::query_parameter(request, "limit").and_then(|text| text.parse().ok());
    let limit: usize = limit.unwrap_or(DEFAULT_SCAN_LIMIT);
    let mut state = state.borrow_mut();
    state.counts.reads += 1;
    let found = state.tables.scan(table, &prefix, &after);
    let mut rows: Vec<Row> = found.take(limit + 1).cloned().collect();
    let more = rows.len() > limit;
    rows.truncate(limit);
    server::json(StatusCode::OK, &Page { rows, more })
}
