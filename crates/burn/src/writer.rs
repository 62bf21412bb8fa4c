//! Schedules and builds the writes of an entry's summary.
//!
//! A write can fail or its response can be lost. Each write therefore carries the whole summary and replaces
//! the previous one, so that the next write makes up for a failed one; rows are never incremented.

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

/// The table of summaries, with one row for each part under `INCARNATION/PART`.
pub const TABLE: &str = "burn";
/// Minimum time between two writes: 840 entries make 14 writes a second; the store takes several hundred.
const MIN_INTERVAL: Span = Span::from_seconds(60);
/// Bytes per second that summaries may add to the traffic to the store, a third of an entry's 3 KB for
/// control. Larger summaries are written less often.
const BYTES_PER_SECOND: u64 = 1_000;
/// Maximum number of series in one row, which takes about 170 KB (see `examples/size.rs`).
const SERIES_PER_ROW: usize = 100;
/// The field with the due time of the next summary, which is only known once this one's size is.
const DUE_FIELD: &str = "due_unix_ms";
/// Delay before the write of the last summary is retried.
const FINAL_RETRY: Span = Span::from_seconds(2);

/// Periodically writes one entry's summary.
#[derive(Clone, Debug)]
pub struct Writer {
    next_write: Time,
    /// Rows of this incarnation that the store may hold.
    stored_rows: usize,
    stopping: bool,
    committed: bool,
}

impl Writer {
    /// Creates a writer whose first write is due within an interval. The incarnation determines when, so that
    /// entries that start together don't write together.
    pub fn new(now: Time, incarnation: &str) -> Writer {
        let offset = incarnation
            .bytes()
            .fold(7_u64, |sum, byte| sum * 31 % 60_000 + u64::from(byte));
        Writer {
            next_write: now + Span::from_millis(offset % MIN_INTERVAL.as_millis()),
            stored_rows: 0,
            stopping: false,
            committed: false,
        }
    }

    /// Returns when the next write is due; none once the last summary is committed.
    pub fn next_wake(&self) -> Option<Time> {
        (!self.committed).then_some(self.next_write)
    }

    /// Schedules the last summary immediately, as the entry has stopped.
    pub fn stop(&mut self, now: Time) {
        self.stopping = true;
        self.next_write = now;
    }

    /// Returns whether the last summary is known to be in the store.
    pub fn is_done(&self) -> bool {
        self.committed
    }

    /// Returns the write that is due, if any.
    pub fn take_due(&mut self, now: Time, ledger: &mut Ledger) -> Option<Call> {
        if self.committed || now < self.next_write {
            return None;
        }
        let parts = ledger
            .summary(now, self.stopping)
            .into_parts(SERIES_PER_ROW);
        // A summary contains only names, numbers and lists, which can always be serialized to JSON.
        let values = parts
            .iter()
            .map(|part| serde_json::to_value(part).unwrap_or_default());
        let mut values: Vec<Value> = values.collect();
        self.next_write = now + self.interval(&values);
        let due_unix_ms = ledger.unix_ms(self.next_write);
        for due in values
            .iter_mut()
            .filter_map(|value| value.get_mut(DUE_FIELD))
        {
            *due = Value::from(due_unix_ms);
        }
        Some(self.build_transaction(ledger.incarnation(), values))
    }

    /// Returns whether the next write is the last one.
    pub fn is_stopping(&self) -> bool {
        self.stopping
    }

    /// Records that the last summary is committed.
    pub fn mark_committed(&mut self) {
        self.committed = true;
    }

    /// Returns the delay until the next write.
    fn interval(&self, values: &[Value]) -> Span {
        if self.stopping {
            return FINAL_RETRY;
        }
        let bytes: usize = values.iter().map(|value| value.to_string().len()).sum();
        let byte_interval = Span::from_seconds(bytes as u64 / BYTES_PER_SECOND);
        byte_interval.max(MIN_INTERVAL)
    }

    /// Builds a transaction that writes all parts and removes the excess rows of an earlier, larger summary.
    fn build_transaction(&mut self, incarnation: &SmolStr, mut values: Vec<Value>) -> Call {
        let rows = values.len();
        values.resize(rows.max(self.stored_rows), Value::Null);
        self.stored_rows = rows;
        let writes = values.into_iter().enumerate().map(|(part, value)| Write {
            address: Address::new(TABLE, format_smolstr!("{incarnation}/{part}")),
            value,
        });
        Call::Transact(Transaction {
            token: format_smolstr!("burn-{incarnation}"),
            checks: Vec::new(),
            writes: writes.collect(),
        })
    }
}
