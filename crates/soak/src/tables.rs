//! An in-memory table service that misbehaves on demand.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use anyhow::Result;
use bytes::Bytes;
use clock::Span;
use http::Request;
use http::Response;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use mirror::replica;
use mirror::tables::Address;
use mirror::tables::Answer;
use mirror::tables::Operation;
use mirror::tables::Range;
use mirror::tables::Row;
use mirror::tables::Transaction;
use mirror::tables::operation;
use mirror::tables::response;
use tokio::sync::Notify;

use crate::replica::ID_PREFIX;
use crate::server;
use crate::server::Body;
use crate::server::Disconnected;
use crate::stall;
use crate::stall::Part;

/// Delay of a late transaction.
const LATE_COMMIT_DELAY: Duration = Duration::from_millis(1_500);

/// Misbehavior of the service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The service works.
    None,
    /// It refuses every call.
    Refuses,
    /// It answers no call.
    Silent,
    /// It answers every call late.
    Slow(Span),
    /// Transactions are committed, but their answers are lost.
    LosesAnswers,
    /// Transactions get no answer and run after a delay, if their checks hold then.
    Late,
}

/// The table service.
#[derive(Default)]
pub struct Tables {
    state: RefCell<State>,
    changed: Notify,
    failure: Cell<Option<Failure>>,
    /// Entries that are refused, with the number of faults that refuse them.
    refused: RefCell<BTreeMap<usize, usize>>,
}

#[derive(Default)]
struct State {
    rows: BTreeMap<Address, (Bytes, u64)>,
    /// All changes since the history was last dropped, in order.
    history: Vec<Row>,
    version: u64,
    /// Version up to which the history was dropped.
    dropped_version: u64,
}

/// Returns the address at which a replica is reached, by its index.
pub type Ways = Box<dyn Fn(usize) -> SocketAddr>;

/// The entry that an address serves.
pub struct Reader {
    /// Index of the entry.
    pub entry: usize,
    /// The entry's own addresses of replicas, if it has any.
    pub ways: Option<Ways>,
}

/// The tables as one entry reads them.
struct View {
    tables: Rc<Tables>,
    reader: Option<Reader>,
}

impl View {
    /// Returns whether all calls of the entry are refused now.
    fn is_refused(&self) -> bool {
        let refused = self.tables.refused.borrow();
        let count = self
            .reader
            .as_ref()
            .and_then(|reader| refused.get(&reader.entry));
        count.is_some_and(|count| *count > 0)
    }

    /// Puts the entry's own ways into rows of replicas.
    fn apply(&self, answer: Answer) -> Answer {
        let ways = self.reader.as_ref().and_then(|reader| reader.ways.as_ref());
        let (Some(ways), Answer::Rows { rows, more, newest }) = (ways, &answer) else {
            return answer;
        };
        let through_way = |row: &Row| {
            let index = row.address.key.strip_prefix(ID_PREFIX)?.parse().ok()?;
            let data = replica::row_at(row.data.as_ref()?, &ways(index).to_string());
            (row.address.table == replica::TABLE).then_some(Row {
                data,
                ..row.clone()
            })
        };
        let rows = rows
            .iter()
            .map(|row| through_way(row).unwrap_or_else(|| row.clone()));
        Answer::Rows {
            rows: rows.collect(),
            more: *more,
            newest: *newest,
        }
    }
}

impl Tables {
    /// Binds `address` and serves calls, all of one reader if one is given. With its ways, rows of replicas have the
    /// addresses that they return for their indices.
    pub async fn serve(self: &Rc<Self>, address: SocketAddr, reader: Option<Reader>) -> Result<()> {
        let listener = server::bind(address).await?;
        let view = Rc::new(View {
            tables: Rc::clone(self),
            reader,
        });
        stall::spawn(Part::Platform, async move {
            while let Ok((socket, _)) = listener.accept().await {
                let serving = server::serve(socket, Rc::clone(&view), answer);
                stall::spawn(Part::Platform, serving);
            }
        });
        Ok(())
    }

    /// Sets the misbehavior.
    pub fn set_failure(&self, failure: Failure) {
        self.failure.set(Some(failure));
    }

    /// Refuses calls of an entry, or ends one such fault.
    pub fn refuse(&self, entry: usize, refuses: bool) {
        let mut refused = self.refused.borrow_mut();
        let count = refused.entry(entry).or_default();
        *count = match refuses {
            true => *count + 1,
            false => count.saturating_sub(1),
        };
    }

    /// Drops the history of changes; the rows stay.
    pub fn drop_history(&self) {
        let mut state = self.state.borrow_mut();
        state.dropped_version = state.version;
        state.history.clear();
    }

    /// Writes one row as the operator or a replica does; without data, removes it.
    pub fn put(&self, table: &'static str, key: &str, data: Option<Bytes>) {
        let at = Address {
            table: table.into(),
            part: "".into(),
            key: key.into(),
        };
        let mut transaction = Transaction::default();
        match data {
            Some(data) => transaction.writes.push((at, data)),
            None => transaction.removals.push(at),
        }
        self.transact(&transaction);
    }

    fn failure(&self) -> Failure {
        self.failure.get().unwrap_or(Failure::None)
    }

    fn read(&self, range: &Range) -> Answer {
        let state = self.state.borrow();
        let within = |at: &Address| {
            at.table == range.table
                && at.part == range.part
                && at.key >= range.from
                && range.to.as_ref().is_none_or(|to| at.key < *to)
        };
        let mut found = state.rows.iter().filter(|(at, _)| within(at));
        let rows = found.by_ref().take(range.limit).map(row_of).collect();
        Answer::Rows {
            rows,
            more: found.next().is_some(),
            newest: state.version,
        }
    }

    fn changes(&self, table: &str, since: u64) -> Answer {
        let state = self.state.borrow();
        if since < state.dropped_version {
            return Answer::HistoryLost;
        }
        let newer = |row: &&Row| row.version > since && row.address.table == table;
        Answer::Rows {
            rows: state.history.iter().filter(newer).cloned().collect(),
            more: false,
            newest: state.version,
        }
    }

    fn transact(&self, transaction: &Transaction) -> Answer {
        let mut state = self.state.borrow_mut();
        let version_of = |at: &Address| state.rows.get(at).map_or(0, |(_, version)| *version);
        let holds = |(at, version): &(Address, u64)| version_of(at) == *version;
        if !transaction.checks.iter().all(holds) {
            let found = transaction.checks.iter().filter_map(|(at, _)| {
                let row = state.rows.get_key_value(at)?;
                Some(row_of(row))
            });
            return Answer::Conflict(found.collect());
        }
        state.version += 1;
        let version = state.version;
        for (at, data) in &transaction.writes {
            state.rows.insert(at.clone(), (data.clone(), version));
            state.history.push(Row {
                address: at.clone(),
                data: Some(data.clone()),
                version,
            });
        }
        for at in &transaction.removals {
            state.rows.remove(at);
            state.history.push(Row {
                address: at.clone(),
                data: None,
                version,
            });
        }
        drop(state);
        self.changed.notify_waiters();
        Answer::Committed(version)
    }

    /// Waits for a change in the table, until the caller's time is up.
    async fn wait_for_change(&self, table: &str, since: u64, wait: Duration) {
        let waiting = async {
            loop {
                let changed = self.changed.notified();
                match self.changes(table, since) {
                    Answer::Rows { rows, .. } if rows.is_empty() => changed.await,
                    _ => return,
                }
            }
        };
        let _ = tokio::time::timeout(wait, waiting).await;
    }

    async fn execute(self: &Rc<Self>, operation: &Operation) -> Answer {
        match operation {
            Operation::Read(range) => self.read(range),
            Operation::Changes { table, since, wait } => {
                self.wait_for_change(table, *since, *wait).await;
                self.changes(table, *since)
            }
            Operation::Transact(transaction) => self.transact(transaction),
        }
    }
}

/// Answers one call, subject to the current misbehavior.
async fn answer(
    view: Rc<View>,
    request: Request<Incoming>,
) -> Result<Response<Body>, Disconnected> {
    let tables = Rc::clone(&view.tables);
    let (head, body) = request.into_parts();
    let body = body.collect().await.map_err(|_| Disconnected)?.to_bytes();
    let Some(operation) = operation(&head, &body) else {
        return Ok(server::complete(response(&Answer::Unreadable)));
    };
    let is_change = matches!(operation, Operation::Transact(_));
    match tables.failure() {
        _ if view.is_refused() => return Ok(server::complete(response(&Answer::Refused))),
        Failure::Refuses => return Ok(server::complete(response(&Answer::Refused))),
        Failure::Silent => std::future::pending::<()>().await,
        Failure::Slow(span) => tokio::time::sleep(span.as_duration()).await,
        Failure::Late if is_change => {
            stall::spawn(Part::Platform, async move {
                tokio::time::sleep(LATE_COMMIT_DELAY).await;
                tables.execute(&operation).await;
            });
            return Err(Disconnected);
        }
        _ => {}
    }
    let answer = view.apply(tables.execute(&operation).await);
    match tables.failure() {
        // Covers a call that was already waiting when the misbehavior began.
        _ if view.is_refused() => Ok(server::complete(response(&Answer::Refused))),
        Failure::Refuses => Ok(server::complete(response(&Answer::Refused))),
        Failure::LosesAnswers if is_change => Err(Disconnected),
        Failure::Silent => std::future::pending().await,
        _ => Ok(server::complete(response(&answer))),
    }
}

fn row_of((at, (data, version)): (&Address, &(Bytes, u64))) -> Row {
    Row {
        address: at.clone(),
        data: Some(data.clone()),
        version: *version,
    }
}
