//! Reads members' rows and observes their leases by our own clock.
//!
//! If each member read all rows often, the cost would grow with the square of their number. So each reads
//! its own zone's rows now and then and all rows rarely, both within a byte rate. The members of a zone
//! read at different times, so one of them sees a change early and gossips it.

use std::collections::BTreeMap;

use clock::Span;
use clock::Time;
use lease::holder;
use lease::watch::Watch;
use smol_str::SmolStr;
use store::call;
use store::call::Address;
use store::call::Call;
use store::call::Check;
use store::call::Outcome;
use store::call::Transaction;
use store::call::Write;

use crate::digest::Record;
use crate::row::Row;
use crate::row::State;
use crate::row::TABLE;

/// Rows per call.
const PAGE_ROWS: u32 = 500;

/// All observed rows, and the scan in flight.
#[derive(Clone, Debug)]
pub struct Roster {
    watched: BTreeMap<SmolStr, Watched>,
    in_flight: Option<Scan>,
    margin: Span,
}

/// An observed row.
#[derive(Clone, Debug)]
struct Watched {
    row: Row,
    watch: Watch,
    changed_at: Time,
}

/// A paged scan of rows.
#[derive(Clone, Debug)]
struct Scan {
    prefix: SmolStr,
    after: SmolStr,
    /// When its first page was requested.
    requested_at: Time,
    rows: Vec<call::Row>,
}

/// A finished scan.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finished {
    /// When it was requested: it includes every row written before.
    pub requested_at: Time,
    /// Whether it covered all members.
    pub is_full: bool,
    /// Records of all rows that changed or were removed.
    pub records: Vec<Record>,
}

impl Roster {
    /// Creates an empty roster.
    pub fn new(margin: Span) -> Roster {
        Roster {
            watched: BTreeMap::new(),
            in_flight: None,
            margin,
        }
    }

    /// Returns whether a scan is in flight.
    pub fn is_busy(&self) -> bool {
        self.in_flight.is_some()
    }

    /// Starts a scan of all rows whose keys have this prefix.
    pub fn start(&mut self, now: Time, prefix: SmolStr) -> Call {
        self.in_flight = Some(Scan {
            after: SmolStr::default(),
            requested_at: now,
            rows: Vec::new(),
            prefix: prefix.clone(),
        });
        page_call(prefix, SmolStr::default())
    }

    /// Handles a page; returns the call for the next one, or the finished scan, or neither if the call
    /// failed.
    pub fn handle_outcome(
        &mut self,
        now: Time,
        outcome: Outcome,
    ) -> (Option<Call>, Option<Finished>) {
        let Some(mut scan) = self.in_flight.take() else {
            return (None, None);
        };
        let Outcome::Rows { rows, more, .. } = outcome else {
            return (None, None);
        };
        scan.rows.extend(rows);
        if let (true, Some(last)) = (more, scan.rows.last()) {
            scan.after = last.key.clone();
            let call = page_call(scan.prefix.clone(), scan.after.clone());
            self.in_flight = Some(scan);
            return (Some(call), None);
        }
        (None, Some(self.finish(now, scan)))
    }

    /// Returns the rows of members that haven't left, with whether their leases have certainly lapsed.
    pub fn members(&self) -> impl Iterator<Item = (&Row, bool)> {
        self.watched
            .values()
            .filter(|item| item.row.state != State::Left)
            .map(|item| (&item.row, item.has_lapsed(self.margin)))
    }

    /// Returns the number of rows whose keys have this prefix.
    pub fn count(&self, prefix: &str) -> usize {
        self.watched
            .keys()
            .filter(|key| key.starts_with(prefix))
            .count()
    }

    /// Returns calls that delete old rows: of members that left or lapsed long ago, or are known to be
    /// gone.
    pub fn deletable(
        &self,
        now: Time,
        left_retention: Span,
        lapsed_retention: Span,
        known_gone: impl Fn(holder::Id) -> bool,
    ) -> Vec<(holder::Id, Call)> {
        self.watched
            .iter()
            .filter(|(_, item)| {
                let age = now.since(item.changed_at);
                match item.row.state {
                    State::Left => age >= left_retention,
                    _ => {
                        item.has_lapsed(self.margin)
                            && (age >= lapsed_retention || known_gone(item.row.id))
                    }
                }
            })
            .map(|(key, item)| (item.row.id, delete_call(key, item.watch.revision())))
            .collect()
    }

    fn finish(&mut self, now: Time, scan: Scan) -> Finished {
        let mut records = Vec::new();
        let gone: Vec<SmolStr> = self
            .watched
            .keys()
            .filter(|key| key.starts_with(scan.prefix.as_str()))
            .filter(|key| scan.rows.binary_search_by(|row| row.key.cmp(key)).is_err())
            .cloned()
            .collect();
        for key in gone {
            if let Some(item) = self.watched.remove(&key) {
                let gone = true;
                records.push(Record {
                    row: item.row,
                    gone,
                });
            }
        }
        for row in &scan.rows {
            records.extend(self.observe(now, scan.requested_at, row));
        }
        Finished {
            requested_at: scan.requested_at,
            is_full: scan.prefix.is_empty(),
            records,
        }
    }

    /// Observes a row; returns its record if something has changed.
    fn observe(&mut self, now: Time, requested_at: Time, row: &call::Row) -> Option<Record> {
        let value: Row = serde_json::from_value(row.value.clone()).ok()?;
        let item = self
            .watched
            .entry(row.key.clone())
            .or_insert_with(|| Watched {
                row: Row::default(),
                watch: Watch::new(row.revision, now),
                changed_at: now,
            });
        let had_lapsed = item.has_lapsed(self.margin);
        item.watch.observe(row.revision, requested_at, now);
        if item.row != value {
            item.row = value;
            item.changed_at = now;
        } else if item.has_lapsed(self.margin) == had_lapsed {
            return None;
        }
        Some(Record {
            row: item.row.clone(),
            gone: item.has_lapsed(self.margin),
        })
    }
}

impl Watched {
    fn has_lapsed(&self, margin: Span) -> bool {
        self.watch.has_lapsed(self.row.term(), margin)
    }
}

fn page_call(prefix: SmolStr, after: SmolStr) -> Call {
    Call::Scan {
        table: SmolStr::from(TABLE),
        prefix,
        after,
        limit: PAGE_ROWS,
    }
}

/// Deletes a row if it hasn't changed since it was observed.
fn delete_call(key: &SmolStr, revision: u64) -> Call {
    let at = Address::new(TABLE, key.clone());
    Call::Transact(Transaction {
        token: key.clone(),
        checks: vec![Check {
            address: at.clone(),
            revision: Some(revision),
        }],
        writes: vec![Write {
            address: at,
            value: serde_json::Value::Null,
        }],
    })
}
