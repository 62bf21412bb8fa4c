//! An in-memory table service with injected faults, for tests of state machines.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use serde_json::Value;
use smol_str::SmolStr;

use crate::call::Address;
use crate::call::Call;
use crate::call::Outcome;
use crate::call::Row;
use crate::call::Transaction;
use crate::revision::Revision;

/// Fault to inject into a call.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fault {
    /// No fault.
    #[default]
    None,
    /// The service answers that it is unavailable.
    Down,
    /// The request is lost; the sender times out.
    LostCall,
    /// The request is applied but its answer is lost; the sender times out.
    LostAnswer,
}

/// State of the fake service.
#[derive(Clone, Debug, Default)]
pub struct Table {
    rows: BTreeMap<Address, Row>,
    /// Latest revision, packed.
    revision: u64,
    down: bool,
    faults: VecDeque<Fault>,
    reads: u64,
    writes: u64,
}

impl Table {
    /// Creates an empty service without faults.
    pub fn new() -> Table {
        Table::default()
    }

    /// Sets whether the service is down.
    pub fn set_down(&mut self, down: bool) {
        self.down = down;
    }

    /// Restores a backup in a new era: writes acknowledged since the backup are lost, and their
    /// revision numbers are assigned again.
    pub fn restore(&mut self, copy: &Table) {
        let era = Revision::unpacked(self.revision).era + 1;
        let restored = |revision: u64| {
            let number = Revision::unpacked(revision).number;
            Revision { era, number }.packed()
        };
        self.revision = restored(copy.revision);
        self.rows = copy.rows.clone();
        for row in self.rows.values_mut() {
            row.revision = restored(row.revision);
        }
    }

    /// Queues a fault; each call consumes one.
    pub fn push_fault(&mut self, fault: Fault) {
        self.faults.push_back(fault);
    }

    /// Applies a call and returns the outcome that its sender sees.
    pub fn apply(&mut self, call: &Call) -> Outcome {
        let fault = self.faults.pop_front().unwrap_or_default();
        if self.down || fault == Fault::Down {
            return Outcome::Unavailable;
        }
        if fault == Fault::LostCall {
            return timeout_outcome(call);
        }
        let outcome = self.serve(call);
        if fault == Fault::LostAnswer {
            return timeout_outcome(call);
        }
        outcome
    }

    /// Returns a row without counting a read.
    pub fn row(&self, table: &str, key: &str) -> Option<&Row> {
        self.rows.get(&Address {
            table: SmolStr::from(table),
            key: SmolStr::from(key),
        })
    }

    /// Returns the numbers of reads and transactions served so far.
    pub fn served(&self) -> (u64, u64) {
        (self.reads, self.writes)
    }

    fn serve(&mut self, call: &Call) -> Outcome {
        match call {
            Call::Get { address } => {
                self.reads += 1;
                Outcome::Row(self.rows.get(address).cloned())
            }
            Call::Scan {
                table,
                prefix,
                after,
                limit,
            } => {
                self.reads += 1;
                self.scan(table, prefix, after, *limit as usize)
            }
            Call::Transact(transaction) => {
                self.writes += 1;
                self.transact(transaction)
            }
        }
    }

    fn scan(&self, table: &str, prefix: &str, after: &str, limit: usize) -> Outcome {
        let mut rows: Vec<Row> = self
            .rows
            .iter()
            .filter(|(address, _)| address.table == table)
            .filter(|(address, _)| address.key.starts_with(prefix) && address.key.as_str() > after)
            .map(|(_, row)| row.clone())
            .take(limit + 1)
            .collect();
        let more = rows.len() > limit;
        rows.truncate(limit);
        Outcome::Rows {
            rows,
            more,
            revision: self.revision,
        }
    }

    fn transact(&mut self, transaction: &Transaction) -> Outcome {
        let failed: Vec<(Address, Option<Row>)> = transaction
            .checks
            .iter()
            .filter(|check| self.rows.get(&check.address).map(|row| row.revision) != check.revision)
            .map(|check| {
                (
                    check.address.clone(),
                    self.rows.get(&check.address).cloned(),
                )
            })
            .collect();
        if !failed.is_empty() {
            return Outcome::Conflict(failed);
        }
        self.revision += 1;
        for write in &transaction.writes {
            if write.value == Value::Null {
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
        Outcome::Committed(self.revision)
    }
}

/// Returns the outcome of a call without an answer.
fn timeout_outcome(call: &Call) -> Outcome {
    match call {
        Call::Transact(_) => Outcome::Unknown,
        _ => Outcome::Unavailable,
    }
}
