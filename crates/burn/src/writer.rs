//! When and how an entry writes its summary.
//!
//! Failure guarded against: an answer of the store is lost or the write fails. Each write carries the
//! whole summary and replaces the one before, so that the next write makes good whatever became of
//! this one; nothing is ever added to a row.

use clock::Span;
use clock::Time;
use serde_json::Value;
use smol_str::SmolStr;
use smol_str::format_smolstr;
use store::call::Address;
use store::call::Call;
use store::call::Transaction;
use store::call::Write;

use crate::ledger::Ledger;

/// The table of summaries: one row a part, under `INCARNATION/PART`.
pub const TABLE: &str = "burn";
/// Least time between two writes: with it 840 entries write 14 times a second, of several hundred.
const INTERVAL: Span = Span::from_seconds(60);
/// Bytes a second that summaries may take on the way to the store, a third of an entry's 3 KB for
/// control: a large summary is written more seldom.
const BYTES_PER_SECOND: u64 = 1_000;
/// Most series in one row, about 170 KB by the example `size`.
const SERIES_PER_ROW: usize = 100;
/// The field of a summary that says when the next is due, which depends on its size.
const DUE: &str = "due_unix_ms";
/// Pause before the last summary is written again.
const LAST_AGAIN: Span = Span::from_seconds(2);

/// Writes one entry's summary now and then.
#[derive(Clone, Debug)]
pub struct Writer {
    next: Time,
    /// Rows that the store may hold of this incarnation; further ones were never written.
    rows: usize,
    stopping: bool,
    written: bool,
}

impl Writer {
    /// The first write comes within an interval, at a moment that depends on the incarnation, so that
    /// entries that start together don't write together.
    pub fn new(now: Time, incarnation: &str) -> Writer {
        let spread = incarnation
            .bytes()
            .fold(7_u64, |sum, byte| sum * 31 % 60_000 + u64::from(byte));
        Writer {
            next: now + Span::from_millis(spread % INTERVAL.as_millis()),
            rows: 0,
            stopping: false,
            written: false,
        }
    }

    /// When it wants to write; never again after its last summary.
    pub fn next_wake(&self) -> Option<Time> {
        (!self.written).then_some(self.next)
    }

    /// The entry has stopped: the last summary is written at once.
    pub fn stop(&mut self, now: Time) {
        self.stopping = true;
        self.next = now;
    }

    /// Whether the last summary is known to be in the store.
    pub fn is_done(&self) -> bool {
        self.written
    }

    /// The write that is due, if one is.
    pub fn due(&mut self, now: Time, ledger: &mut Ledger) -> Option<Call> {
        if self.written || now < self.next {
            return None;
        }
        let parts = ledger
            .summary(now, self.stopping)
            .into_parts(SERIES_PER_ROW);
        // A summary has only names, numbers and lists of them, which JSON can always hold.
        let values = parts
            .iter()
            .map(|part| serde_json::to_value(part).unwrap_or_default());
        let mut values: Vec<Value> = values.collect();
        self.next = now + self.pause(&values);
        let due_unix_ms = ledger.unix_ms(self.next);
        for due in values.iter_mut().filter_map(|value| value.get_mut(DUE)) {
            *due = Value::from(due_unix_ms);
        }
        Some(self.write(ledger.incarnation(), values))
    }

    /// Whether the next write is the last one.
    pub fn is_stopping(&self) -> bool {
        self.stopping
    }

    /// The last summary has reached the store.
    pub fn last_committed(&mut self) {
        self.written = true;
    }

    /// The time to the next write.
    fn pause(&self, values: &[Value]) -> Span {
        if self.stopping {
            return LAST_AGAIN;
        }
        let bytes: usize = values.iter().map(|value| value.to_string().len()).sum();
        let longest = Span::from_seconds(bytes as u64 / BYTES_PER_SECOND);
        longest.max(INTERVAL)
    }

    /// One transaction that writes all parts and removes rows of earlier, longer summaries.
    fn write(&mut self, incarnation: &SmolStr, mut values: Vec<Value>) -> Call {
        let rows = values.len();
        values.resize(rows.max(self.rows), Value::Null);
        self.rows = rows;
        let writes = values.into_iter().enumerate().map(|(part, value)| Write {
            at: Address::new(TABLE, format_smolstr!("{incarnation}/{part}")),
            value,
        });
        Call::Transact(Transaction {
            token: format_smolstr!("burn-{incarnation}"),
            checks: Vec::new(),
            writes: writes.collect(),
        })
    }
}
