//! Reads members' rows and watches their leases by our own clock.
//!
//! Reading everyone's row often costs the square of the number of members. So each member reads the
//! rows of its own zone now and then, and all rows rarely, both within a share of bytes; since the
//! members of a zone read at different moments, one of them sees a change early, and tells it on.

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

/// Rows read with one call.
const PAGE_ROWS: u32 = 500;

/// All rows seen, and the read on its way.
#[derive(Clone, Debug)]
pub struct Roster {
    watched: BTreeMap<SmolStr, Watched>,
    in_flight: Option<Scan>,
    margin: Span,
}

/// One row.
#[derive(Clone, Debug)]
struct Watched {
    row: Row,
    watch: Watch,
    changed_at: Time,
}

/// One read of a range, in pages.
#[derive(Clone, Debug)]
struct Scan {
    prefix: SmolStr,
    after: SmolStr,
    /// When its first page was asked for.
    requested_at: Time,
    rows: Vec<call::Row>,
}

/// A finished read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finished {
    /// When it was sent: every row written before is in it.
    pub requested_at: Time,
    /// Whether it covered all members.
    pub is_full: bool,
    /// Every row that it changed here, and those that are gone.
    pub records: Vec<Record>,
}

impl Roster {
    /// Nothing seen yet.
    pub fn new(margin: Span) -> Roster {
        Roster {
            watched: BTreeMap::new(),
            in_flight: None,
            margin,
        }
    }

    /// Whether a read is on its way.
    pub fn is_busy(&self) -> bool {
        self.in_flight.is_some()
    }

    /// Begins to read all rows whose key begins so.
    pub fn start(&mut self, now: Time, prefix: SmolStr) -> Call {
        self.in_flight = Some(Scan {
            after: SmolStr::default(),
            requested_at: now,
            rows: Vec::new(),
            prefix: prefix.clone(),
        });
        page(prefix, SmolStr::default())
    }

    /// Takes an answer: asks for the next page, or is finished, or has failed (neither).
    pub fn handle_outcome(
        &mut self,
        now: Time,
        outcome: Outcome,
    ) -> (Option<Call>, Option<Finished>) {
        let Some(mut scan) = self.in_flight.take() else {
            return (None, None);
        };
        let Outcome::Rows { rows, more } = outcome else {
            return (None, None);
        };
        scan.rows.extend(rows);
        if let (true, Some(last)) = (more, scan.rows.last()) {
            scan.after = last.key.clone();
            let call = page(scan.prefix.clone(), scan.after.clone());
            self.in_flight = Some(scan);
            return (Some(call), None);
        }
        (None, Some(self.finish(now, scan)))
    }

    /// Every row, with whether its lease has lapsed for certain; not those of members that left.
    pub fn members(&self) -> impl Iterator<Item = (&Row, bool)> {
        self.watched
            .values()
            .filter(|item| item.row.state != State::Left)
            .map(|item| (&item.row, item.has_lapsed(self.margin)))
    }

    /// How many rows there are whose key begins so.
    pub fn count(&self, prefix: &str) -> usize {
        self.watched
            .keys()
            .filter(|key| key.starts_with(prefix))
            .count()
    }

    /// Rows that may be deleted: of members that left or lapsed so long ago, or are known gone.
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
            .map(|(key, item)| (item.row.id, delete(key, item.watch.revision())))
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

    /// Notes a row; returns its record if there is something new in it.
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
        item.watch.see(row.revision, requested_at, now);
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
        self.watch.lapsed(self.row.term(), margin)
    }
}

fn page(prefix: SmolStr, after: SmolStr) -> Call {
    Call::Scan {
        table: SmolStr::from(TABLE),
        prefix,
        after,
        limit: PAGE_ROWS,
    }
}

/// Deletes a row if it still is as we saw it.
fn delete(key: &SmolStr, revision: u64) -> Call {
    let at = Address::new(TABLE, key.clone());
    Call::Transact(Transaction {
        token: key.clone(),
        checks: vec![Check {
            at: at.clone(),
            revision: Some(revision),
        }],
        writes: vec![Write {
            at,
            value: serde_json::Value::Null,
        }],
    })
}
