//! Which software version began each stream, for callers that take it up again at any entry.
//!
//! An entry remembers the streams that began there. It also records those of another version than the default one
//! ([`crate::versions`]) in the table service before their first event is delivered, so that other entries find
//! them after it was killed. Records that wait are written together, one transaction for each table at a time.
//!
//! A restore of the table service may lose records, and a new default version changes what their absence means. Then
//! each entry records all streams that it remembers. Until then the record of an attempt from before the restore proves
//! nothing, since that of a later attempt may be lost.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;

use clock::Span;
use clock::Time;
use line::Line;
use policy::rendezvous;
use serde_json::Value;
use serde_json::json;
use smol_str::SmolStr;
use smol_str::format_smolstr;
use store::call::Address;
use store::call::Call;
use store::call::Check;
use store::call::Outcome;
use store::call::Row;
use store::call::Transaction;
use store::call::Write;

use crate::effect::Command;
use crate::effect::Effect;
use crate::gateway::Gateway;
use crate::origins::Runner;
use crate::store_calls::Waiter;

/// Tables that share the records by hash of the stream's id; each is written on its own.
const TABLES: u64 = 16;
/// Start of the names of these tables.
const TABLE_PREFIX: &str = "streams-";
/// Maximum rows of one transaction.
const MAX_ROWS: usize = 100;
/// Pause after a write that failed.
const RETRY_DELAY: Span = Span::from_millis(500);
/// Writes in a row that must fail before further ones are taken to fail as well; a single one may be a lost answer.
const MIN_FAILURES: u32 = 2;
/// Time after a write that failed in which further ones are taken to fail as well.
const REFUSAL_MEMORY: Span = Span::from_seconds(2);
/// Interval at which records of streams to which nobody returns any more are removed.
const REMOVAL_INTERVAL: Span = Span::from_seconds(5);
/// Time for which the holder of the duties looks for records that killed entries left in one of the tables, before it
/// goes on to the next.
const SWEEP_INTERVAL: Span = Span::from_seconds(30);
/// Interval at which it reads the pages of a table.
const SWEEP_PAGE_INTERVAL: Span = Span::from_seconds(1);
/// Time after which such a record is removed, beyond usual differences of clocks.
const SWEEP_MARGIN: Span = Span::from_seconds(60);
/// Name of the field of a record whose time is that of a clock which nobody confirmed.
const UNCONFIRMED: &str = "unconfirmed";
/// Maximum records that one call of a sweep removes, each of which is checked and written.
const MAX_SWEPT: usize = MAX_ROWS / 2;
/// Maximum records of one stream: one for each attempt before its first event, and one of the attempt that began it.
const MAX_RECORDS: u32 = 16;
/// Number in the key of the record of a stream that has begun, which follows those of all attempts.
const BEGUN: u32 = 9_999;

/// Identifies a stream among those of all accounts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Key {
    /// Hash of the id by which its caller names it.
    id: u64,
    /// Hash of the account's name; callers of others may choose the same id.
    account: u64,
}

impl Key {
    /// Returns the key of the stream that a caller of an account names so.
    pub fn new(account: &str, id: &str) -> Key {
        Key {
            id: rendezvous::identity(id),
            account: rendezvous::identity(account),
        }
    }

    /// Returns a fraction that is the same in every process.
    pub fn fraction(self) -> f64 {
        rendezvous::weight(self.account, self.id) as f64 / u64::MAX as f64
    }

    /// Returns the number of its table.
    fn table(self) -> u64 {
        self.id % TABLES
    }

    /// Returns the start of the keys of its records.
    fn prefix(self) -> SmolStr {
        format_smolstr!("{:016x}/", self.id)
    }
}

/// Streams that began at this entry, and the records to write.
#[derive(Debug, Default)]
pub(crate) struct Streams {
    begun: BTreeMap<Key, Begun>,
    /// Ends of `begun`. Invariant: holds exactly its entries.
    expiry: BTreeSet<(Time, Key)>,
    tables: BTreeMap<u64, Records>,
    /// Writes that failed since the last one that didn't.
    failures: u32,
    /// When a write last failed.
    failed_at: Time,
    next_removal: Time,
    next_sweep: Time,
    /// Last key read of each table that hasn't been read to its end.
    sweeps: BTreeMap<u64, SmolStr>,
    /// Records that sweeps found out of date by clocks that nobody confirmed, oldest first.
    outdated: VecDeque<Outdated>,
}

/// A record that a sweep found out of date.
#[derive(Debug)]
struct Outdated {
    table: u64,
    key: SmolStr,
    revision: u64,
    found_at: Time,
}

/// A stream that began here.
#[derive(Debug)]
struct Begun {
    service: SmolStr,
    version: SmolStr,
    /// The process that began it; `None` if that was certain, or if it only went on here.
    runner: Option<Runner>,
    until: Time,
}

/// Records of one table.
#[derive(Debug, Default)]
struct Records {
    waiting: VecDeque<Record>,
    in_flight: Vec<Record>,
    retry_at: Time,
    /// Keys of written records, with the time of their removal, oldest first.
    written: BTreeSet<(Time, SmolStr)>,
}

/// The version at which an attempt began, or may begin, a stream.
#[derive(Clone, Debug)]
pub(crate) struct Record {
    /// Number of the request whose attempt may wait for the record.
    pub serial: Option<u64>,
    /// Number of the attempt.
    pub attempt: u32,
    /// The stream.
    pub stream: Key,
    /// Service of the attempt's replica.
    pub service: SmolStr,
    /// Version of the attempt's replica.
    pub version: SmolStr,
    /// Time from which no caller takes the stream up again.
    pub until: Time,
}

impl Record {
    /// Returns the key; later attempts follow earlier ones, which a late write must not override.
    fn key(&self) -> SmolStr {
        let (prefix, account) = (self.stream.prefix(), self.stream.account);
        format_smolstr!("{prefix}{:04}/{account:016x}", self.attempt)
    }
}

impl Streams {
    /// Remembers which version of a service began a stream.
    pub fn remember(
        &mut self,
        stream: Key,
        service: SmolStr,
        version: SmolStr,
        runner: Option<Runner>,
        until: Time,
    ) {
        let begun = Begun {
            service,
            version,
            runner,
            until,
        };
        if let Some(known) = self.begun.insert(stream, begun) {
            self.expiry.remove(&(known.until, stream));
        }
        self.expiry.insert((until, stream));
    }

    /// Returns the service and the version that began a stream here.
    pub fn origin_of(&self, stream: Key) -> Option<Origin> {
        let begun = self.begun.get(&stream)?;
        Some(Origin {
            service: Some(begun.service.clone()),
            version: begun.version.clone(),
        })
    }

    /// Returns the processes that began streams here.
    pub fn runners(&self) -> impl Iterator<Item = (Key, &Runner)> {
        let begun = self.begun.iter();
        begun.filter_map(|(stream, begun)| Some((*stream, begun.runner.as_ref()?)))
    }

    /// Replaces the version that began a stream, and records it.
    pub fn correct(&mut self, stream: Key, version: SmolStr) {
        if let Some(begun) = self.begun.get_mut(&stream) {
            begun.version = version;
            begun.runner = None;
        }
        self.record_begun(stream);
    }

    /// Queues a record.
    pub fn record(&mut self, record: Record) {
        let table = self.tables.entry(record.stream.table()).or_default();
        table.waiting.push_back(record);
    }

    /// Queues a record of a stream that began here.
    pub fn record_begun(&mut self, stream: Key) {
        let Some(begun) = self.begun.get(&stream) else {
            return;
        };
        self.record(Record {
            serial: None,
            attempt: BEGUN,
            stream,
            service: begun.service.clone(),
            version: begun.version.clone(),
            until: begun.until,
        });
    }

    /// Queues records of all streams of a service that began here; returns their number.
    pub fn record_all_begun(&mut self, service: &str) -> usize {
        let of_service = self
            .begun
            .iter()
            .filter(|(_, begun)| begun.service == service);
        let streams: Vec<Key> = of_service.map(|(stream, _)| *stream).collect();
        for stream in &streams {
            self.record_begun(*stream);
        }
        streams.len()
    }

    /// Returns whether the table service writes no records at present.
    pub fn are_refused(&self, now: Time) -> bool {
        let is_recent = now.since(self.failed_at) < REFUSAL_MEMORY;
        self.failures >= MIN_FAILURES && is_recent
    }

    /// Returns when records are written again after a failure.
    pub fn next_wake(&self) -> Option<Time> {
        let waiting = self.tables.values();
        let waiting =
            waiting.filter(|table| table.in_flight.is_empty() && !table.waiting.is_empty());
        waiting.map(|table| table.retry_at).min()
    }

    fn expire(&mut self, now: Time) {
        while let Some((until, stream)) = self.expiry.first().copied() {
            if until > now {
                return;
            }
            self.expiry.pop_first();
            self.begun.remove(&stream);
        }
    }
}

/// Returns the call that reads the records of a stream.
pub(crate) fn lookup(stream: Key) -> Call {
    Call::Scan {
        table: table_name(stream.table()),
        prefix: stream.prefix(),
        after: SmolStr::default(),
        limit: MAX_RECORDS,
    }
}

/// What began a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Origin {
    /// The service; `None` in a record of an entry that didn't state it.
    pub service: Option<SmolStr>,
    /// The software version.
    pub version: SmolStr,
}

/// What the table service holds of a stream's origin.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Recorded {
    /// No record.
    Nothing,
    /// A record that can't be read.
    Unreadable,
    /// The record of an attempt from before the table service was restored, which may have lost that of a later one.
    Restored,
    /// The record of its last attempt.
    Origin(Origin),
}

/// Returns what the records of a stream tell of its origin, in an era of the table service.
pub(crate) fn recorded_origin(stream: Key, rows: &[Row], era: u64) -> Recorded {
    let is_of_account = |row: &&Row| {
        let account = row.value.get("account").and_then(Value::as_u64);
        account.is_none_or(|account| account == stream.account)
    };
    let Some(last) = rows.iter().rfind(is_of_account) else {
        return Recorded::Nothing;
    };
    let text = |name: &str| last.value.get(name).and_then(Value::as_str);
    let written_in = last.value.get("era").and_then(Value::as_u64).unwrap_or(0);
    let is_final = last.key.starts_with(begun_prefix(stream).as_str());
    match text("version") {
        Some(_) if written_in < era && !is_final => Recorded::Restored,
        Some(version) => Recorded::Origin(Origin {
            service: text("service").map(SmolStr::new),
            version: SmolStr::new(version),
        }),
        None => Recorded::Unreadable,
    }
}

impl Gateway {
    /// Writes the records that wait.
    pub(crate) fn write_records(&mut self, now: Time) {
        let mut calls = Vec::new();
        for (table, records) in &mut self.streams.tables {
            let is_idle = records.in_flight.is_empty() && now >= records.retry_at;
            if !is_idle || records.waiting.is_empty() {
                continue;
            }
            let count = records.waiting.len().min(MAX_ROWS);
            records.in_flight = records.waiting.drain(..count).collect();
            let unix_ms = |at: Time| self.usage.unix_ms(at);
            let era = self.store_era.unwrap_or(0);
            let is_confirmed = self.usage.is_clock_confirmed();
            let rows = records.in_flight.iter().map(|record| {
                let mut value = json!({
                    "service": record.service,
                    "version": record.version,
                    "account": record.stream.account,
                    "era": era,
                    "until_ms": unix_ms(record.until),
                });
                if !is_confirmed {
                    value[UNCONFIRMED] = json!(true);
                }
                (record.key(), value)
            });
            calls.push((*table, transaction(*table, rows)));
        }
        for (table, call) in calls {
            self.call_store(Waiter::Records(table), call);
        }
    }

    /// Handles the answer to a write of records: their attempts may deliver events from here on.
    pub(crate) fn handle_records_written(
        &mut self,
        now: Time,
        table: u64,
        outcome: &Outcome,
        effects: &mut Vec<Effect>,
    ) {
        let Some(records) = self.streams.tables.get_mut(&table) else {
            return;
        };
        let in_flight = std::mem::take(&mut records.in_flight);
        if !matches!(outcome, Outcome::Committed(_)) {
            records.retry_at = now + RETRY_DELAY;
            self.streams.failures += 1;
            self.streams.failed_at = now;
            let returnable = in_flight.into_iter().filter(|record| record.until > now);
            for record in returnable.rev() {
                records.waiting.push_front(record);
            }
            return;
        }
        self.streams.failures = 0;
        for record in in_flight {
            records.written.insert((record.until, record.key()));
            let Some(serial) = record.serial else {
                continue;
            };
            let Some(open) = self.requests.get_mut(&serial) else {
                continue;
            };
            let line = Line::info("stream_recorded")
                .routine()
                .with("request", &open.id)
                .with("attempt", record.attempt)
                .with("version", &record.version)
                .with("kept_ms", record.until.since(now).as_millis());
            effects.push(Effect::Log(line));
            if let Some(latest) = &mut open.record {
                latest.is_written |= latest.attempt == record.attempt;
            }
            if open.attempt == record.attempt {
                effects.push(Effect::Flight {
                    serial,
                    command: Command::Recorded {
                        attempt: record.attempt,
                    },
                });
            }
        }
    }

    /// Forgets streams to which nobody returns any more, and removes their records.
    pub(crate) fn streams_tick(&mut self, now: Time, effects: &mut Vec<Effect>) {
        self.streams.expire(now);
        if now < self.streams.next_removal {
            return;
        }
        self.streams.next_removal = now + REMOVAL_INTERVAL;
        let mut removed = 0;
        let mut calls = Vec::new();
        for (table, records) in &mut self.streams.tables {
            let due = records
                .written
                .iter()
                .take_while(|(until, _)| *until <= now);
            let count = due.take(MAX_ROWS).count();
            let keys: Vec<SmolStr> = std::iter::from_fn(|| records.written.pop_first())
                .take(count)
                .map(|(_, key)| key)
                .collect();
            if !keys.is_empty() {
                removed += keys.len();
                let rows = keys.into_iter().map(|key| (key, Value::Null));
                calls.push(transaction(*table, rows));
            }
        }
        if removed > 0 {
            let line = Line::info("stream_records_removed").with("count", removed);
            effects.push(Effect::Log(line));
        }
        for call in calls {
            self.call_store(Waiter::RemovedRecords, call);
        }
    }

    /// Reads the next records of a table, to remove those that killed entries left. The clock chooses the table, so that
    /// each holder of the duties goes on where the one before stopped.
    pub(crate) fn sweep_records(&mut self, now: Time) {
        if now < self.streams.next_sweep {
            return;
        }
        self.streams.next_sweep = now + SWEEP_PAGE_INTERVAL;
        self.remove_outdated(now);
        let table = self.swept_table(now);
        let after = self.streams.sweeps.get(&table).cloned();
        let call = Call::Scan {
            table: table_name(table),
            prefix: SmolStr::default(),
            after: after.unwrap_or_default(),
            limit: MAX_ROWS as u32,
        };
        self.call_store(Waiter::SweptRecords(table), call);
    }

    /// Returns the table that is swept now.
    fn swept_table(&self, now: Time) -> u64 {
        self.usage.unix_ms(now) / SWEEP_INTERVAL.as_millis() % TABLES
    }

    /// Returns the time until the next table is swept.
    fn until_next_table(&self, now: Time) -> Span {
        let interval = SWEEP_INTERVAL.as_millis();
        Span::from_millis(interval - self.usage.unix_ms(now) % interval)
    }

    /// Removes the records that were read and are out of date, or notes them if the clocks that say so aren't confirmed.
    pub(crate) fn handle_swept_records(&mut self, now: Time, table: u64, outcome: &Outcome) {
        let Outcome::Rows { rows, more, .. } = outcome else {
            return;
        };
        match rows.last().filter(|_| *more) {
            Some(last) => {
                self.streams.sweeps.insert(table, last.key.clone());
            }
            None => {
                self.streams.sweeps.remove(&table);
                if table == self.swept_table(now) {
                    self.streams.next_sweep = now + self.until_next_table(now);
                }
            }
        }
        let newest = self
            .usage
            .unix_ms(now)
            .saturating_sub(SWEEP_MARGIN.as_millis());
        let is_outdated = |row: &&Row| {
            let until = row.value.get("until_ms").and_then(Value::as_u64);
            until.is_none_or(|until| until < newest)
        };
        let is_confirmed = self.usage.is_clock_confirmed();
        let is_certain = |row: &Row| is_confirmed && row.value.get(UNCONFIRMED).is_none();
        let outdated = |row: &Row| Outdated {
            table,
            key: row.key.clone(),
            revision: row.revision,
            found_at: now,
        };
        let rows = rows.iter().filter(is_outdated);
        let (certain, uncertain): (Vec<&Row>, Vec<&Row>) = rows.partition(|row| is_certain(row));
        let certain: Vec<Outdated> = certain.into_iter().map(outdated).collect();
        let uncertain = uncertain.into_iter().map(outdated);
        self.streams.outdated.extend(uncertain);
        self.remove(&certain);
    }

    /// Removes records that were found out of date for so long ago that nobody returns to their streams, even if a clock was
    /// wrong.
    fn remove_outdated(&mut self, now: Time) {
        let horizon = self.versions.return_horizon();
        let outdated = &mut self.streams.outdated;
        let is_due = |one: &mut Outdated| now.since(one.found_at) >= horizon;
        let due: Vec<Outdated> = std::iter::from_fn(|| outdated.pop_front_if(is_due)).collect();
        self.remove(&due);
    }

    fn remove(&mut self, outdated: &[Outdated]) {
        for of_table in outdated.chunk_by(|one, next| one.table == next.table) {
            for chunk in of_table.chunks(MAX_SWEPT) {
                self.call_store(Waiter::RemovedRecords, removal(chunk));
            }
        }
    }
}

/// Returns the call that removes records of one table, unless one of them has been written again.
fn removal(outdated: &[Outdated]) -> Call {
    let name = outdated.first().map(|one| table_name(one.table));
    let address = |one: &Outdated| Address::new(table_name(one.table), one.key.clone());
    let checks = outdated.iter().map(|one| Check {
        address: address(one),
        revision: Some(one.revision),
    });
    let writes = outdated.iter().map(|one| Write {
        address: address(one),
        value: Value::Null,
    });
    Call::Transact(Transaction {
        token: name.unwrap_or_default(),
        checks: checks.collect(),
        writes: writes.collect(),
    })
}

/// Returns the start of the keys of a stream's records that state what began it, whatever its attempts were.
fn begun_prefix(stream: Key) -> SmolStr {
    let prefix = stream.prefix();
    format_smolstr!("{prefix}{BEGUN:04}/")
}

fn table_name(table: u64) -> SmolStr {
    format_smolstr!("{TABLE_PREFIX}{table:x}")
}

/// Returns the call that writes rows of a table; a null value removes one.
fn transaction(table: u64, rows: impl Iterator<Item = (SmolStr, Value)>) -> Call {
    let name = table_name(table);
    let write = |(key, value)| Write {
        address: Address::new(name.clone(), key),
        value,
    };
    Call::Transact(Transaction {
        token: name.clone(),
        checks: Vec::new(),
        writes: rows.map(write).collect(),
    })
}
