//! The connections of a port, and which of them gives way to a new one.
//!
//! Answers callers that take all descriptors: by connections without a request, with heads or bodies that never end, or
//! with answers that aren't read. Without them, a connection is closed only by its own time limits.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::task::Waker;

use clock::Span;
use clock::Time;

use crate::configs::limits::Port;
use crate::configs::limits::Times;
use crate::receivers::STALL;
use crate::stats::Action;

/// Age up to which a connection that had no request yet counts like one that had.
const NEW_AGE: Span = Span::from_millis(1_000);
/// Time in which a new connection is expected to bring the head of its first request.
pub(crate) const FIRST_HEAD_TIME: Span = Span::from_millis(200);
/// Time for which answers may be unread before their connection gives way to a new one.
const UNREAD_STALL: Span = Span::from_seconds(2);

/// The open connections of a port.
#[derive(Debug)]
pub struct Connections {
    port: Port,
    open: RefCell<BTreeMap<u64, Rc<Connection>>>,
    next: Cell<u64>,
    /// Bytes of all unfinished heads.
    head_bytes: Cell<usize>,
}

/// One connection.
#[derive(Debug)]
pub struct Connection {
    /// When it was opened, or its last request ended.
    idle_since: Cell<Time>,
    /// When the first byte of an unfinished head arrived.
    head_since: Cell<Option<Time>>,
    head_bytes: Cell<usize>,
    is_http2: Cell<bool>,
    had_request: Cell<bool>,
    last_read: Cell<Time>,
    bytes_read: Cell<u64>,
    /// Since when the caller takes no more bytes.
    blocked_since: Cell<Option<Time>>,
    /// Requests whose bodies are being received.
    receiving: Cell<usize>,
    /// Further requests, up to the end of their answers, by number, with the time since which a part of the answer is
    /// unread.
    running: RefCell<BTreeMap<u64, Option<Time>>>,
    next_request: Cell<u64>,
    /// Whether a part of a request was left unread.
    is_refused: Cell<bool>,
    /// Whether only the end of the connection marks the end of the answer that is being sent.
    is_undelimited: Cell<bool>,
    /// Whether reads ask the socket itself, instead of what the event loop knows of it.
    is_probing: Cell<bool>,
    closed_for: Cell<Option<Action>>,
    waker: RefCell<Option<Waker>>,
}

/// How far the requests of a connection are.
#[derive(Clone, Copy, Debug)]
pub struct Progress {
    is_receiving: bool,
    is_running: bool,
    next_request: u64,
}

/// How readily a connection gives way: the least goes first, and among equals the one that waits for longest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Rank {
    /// It never had a request.
    Silent,
    /// It is within a body that doesn't arrive.
    Stalled,
    /// It is between two requests, or within the head of one.
    Idle,
    /// It is within a body.
    Receiving,
    /// Its answers aren't read.
    Unread,
}

impl Connections {
    /// Creates a port without connections.
    pub fn new(port: Port) -> Connections {
        Connections {
            port,
            open: RefCell::default(),
            next: Cell::new(0),
            head_bytes: Cell::new(0),
        }
    }

    /// Returns the number of open connections.
    pub fn count(&self) -> usize {
        self.open.borrow().len()
    }

    /// Returns the number of requests that are being received, and of those that run.
    pub fn count_requests(&self) -> (usize, usize) {
        let open = self.open.borrow();
        let receiving = open.values().map(|connection| connection.receiving.get());
        let running = open
            .values()
            .map(|connection| connection.running.borrow().len());
        (receiving.sum(), running.sum())
    }

    /// Returns whether there is room for another connection.
    pub fn has_room(&self) -> bool {
        self.count() < self.port.connections
    }

    /// Adds a connection; returns its number as well.
    pub fn add(&self, now: Time) -> (u64, Rc<Connection>) {
        let key = self.next.get();
        self.next.set(key + 1);
        let connection = Rc::new(Connection::new(now));
        self.open.borrow_mut().insert(key, Rc::clone(&connection));
        (key, connection)
    }

    /// Removes a connection.
    pub fn remove(&self, key: u64) {
        if let Some(connection) = self.open.borrow_mut().remove(&key) {
            self.count_head(&connection, 0);
        }
    }

    /// Closes the connection that gives way to a new one; returns whether there is one.
    pub fn evict(&self, now: Time) -> bool {
        let open = self.open.borrow();
        let new = open
            .values()
            .filter(|connection| !connection.had_request.get());
        // Connections that had requests keep half of the port.
        let is_crowded = new.count() > self.port.connections / 2;
        let ranked = open.values().filter_map(|connection| {
            let (rank, since) = connection.rank(now, is_crowded)?;
            Some((rank, since, connection))
        });
        match ranked.min_by_key(|(rank, since, _)| (*rank, *since)) {
            Some((_, _, connection)) => {
                connection.close(Action::ConnectionEvicted);
                true
            }
            None => false,
        }
    }

    /// Closes the connection whose answers have been unread for longest; returns whether there is one.
    pub fn evict_unread(&self, now: Time) -> bool {
        let open = self.open.borrow();
        let stalled = open.values().filter_map(|connection| {
            let since = connection.open_unread_since()?;
            (now.since(since) >= STALL).then_some((since, connection))
        });
        match stalled.min_by_key(|(since, _)| *since) {
            Some((_, connection)) => {
                connection.close(Action::UnreadEvicted);
                true
            }
            None => false,
        }
    }

    /// Records bytes that arrived on a connection.
    pub fn record_read(&self, connection: &Connection, now: Time, bytes: &[u8]) {
        connection.last_read.set(now);
        let bytes_read = connection.bytes_read.get() + bytes.len() as u64;
        connection.bytes_read.set(bytes_read);
        if !connection.had_request.get() && bytes.starts_with(b"PRI") {
            connection.is_http2.set(true);
        }
        if !connection.is_reading_head() {
            return;
        }
        if connection.head_since.get().is_none() {
            connection.head_since.set(Some(now));
        }
        self.count_head(connection, connection.head_bytes.get() + bytes.len());
        while self.head_bytes.get() > self.port.head_bytes && self.evict_head() {}
    }

    /// Records that a head is complete.
    pub fn end_head(&self, connection: &Connection) {
        connection.had_request.set(true);
        connection.head_since.set(None);
        self.count_head(connection, 0);
    }

    fn count_head(&self, connection: &Connection, bytes: usize) {
        let before = connection.head_bytes.replace(bytes);
        self.head_bytes.set(self.head_bytes.get() + bytes - before);
    }

    /// Closes the connection with the oldest unfinished head; returns whether there is one.
    fn evict_head(&self) -> bool {
        let open = self.open.borrow();
        let oldest = open.values().filter(|connection| !connection.is_closed());
        let oldest =
            oldest.filter_map(|connection| Some((connection.head_since.get()?, connection)));
        let Some((_, connection)) = oldest.min_by_key(|(since, _)| *since) else {
            return false;
        };
        self.count_head(connection, 0);
        connection.close(Action::HeadEvicted);
        true
    }
}

impl Connection {
    fn new(now: Time) -> Connection {
        Connection {
            idle_since: Cell::new(now),
            head_since: Cell::new(None),
            head_bytes: Cell::new(0),
            is_http2: Cell::new(false),
            had_request: Cell::new(false),
            last_read: Cell::new(now),
            bytes_read: Cell::new(0),
            blocked_since: Cell::new(None),
            receiving: Cell::new(0),
            running: RefCell::default(),
            next_request: Cell::new(0),
            is_refused: Cell::new(false),
            is_undelimited: Cell::new(false),
            is_probing: Cell::new(false),
            closed_for: Cell::new(None),
            waker: RefCell::default(),
        }
    }

    /// Requests that the connection is closed.
    pub fn close(&self, action: Action) {
        if self.closed_for.get().is_none() {
            self.closed_for.set(Some(action));
            if let Some(waker) = self.waker.borrow_mut().take() {
                waker.wake();
            }
        }
    }

    /// Returns why the connection is to be closed, if it is; otherwise wakes the task once it is.
    pub fn closed_for(&self, waker: &Waker) -> Option<Action> {
        let closed_for = self.closed_for.get();
        let mut stored = self.waker.borrow_mut();
        if closed_for.is_none() && !stored.as_ref().is_some_and(|known| known.will_wake(waker)) {
            *stored = Some(waker.clone());
        }
        closed_for
    }

    /// Withdraws a request to close the connection.
    pub fn keep_open(&self) {
        self.closed_for.set(None);
    }

    /// Sets whether reads ask the socket itself. After a pause of the process the event loop knows nothing of what has
    /// arrived meanwhile.
    pub fn set_probing(&self, is_probing: bool) {
        self.is_probing.set(is_probing);
    }

    /// Returns whether reads ask the socket itself.
    pub fn is_probing(&self) -> bool {
        self.is_probing.get()
    }

    /// Returns the number of bytes that have been read.
    pub fn bytes_read(&self) -> u64 {
        self.bytes_read.get()
    }

    /// Returns how far the connection's requests are.
    pub fn progress(&self) -> Progress {
        Progress {
            is_receiving: self.receiving.get() > 0,
            is_running: self.is_running(),
            next_request: self.next_request.get(),
        }
    }

    /// Returns whether a request has begun on a connection that had none that ran.
    pub fn has_begun_since(&self, before: Progress) -> bool {
        let now = self.progress();
        let is_received = now.is_receiving && !before.is_receiving;
        !before.is_running && (is_received || now.next_request != before.next_request)
    }

    /// Returns whether a request runs.
    pub fn is_running(&self) -> bool {
        !self.running.borrow().is_empty()
    }

    /// Returns whether a new request is to be expected: a part of its head has arrived, or the connection is too new to
    /// have brought its first one.
    pub fn is_awaiting_head(&self, now: Time) -> bool {
        let is_new = !self.had_request.get() && now.since(self.idle_since.get()) < FIRST_HEAD_TIME;
        self.is_reading_head() && (is_new || self.head_since.get().is_some())
    }

    /// Returns when a time limit ends the connection, and which one.
    pub fn deadline(&self, times: &Times) -> Option<(Time, Action)> {
        if let Some(since) = self.unread_since() {
            return Some((since + times.unread, Action::UnreadTimeout));
        }
        if let Some(since) = self.head_since.get() {
            return Some((since + times.head, Action::HeadTimeout));
        }
        self.is_idle()
            .then(|| (self.idle_since.get() + times.idle, Action::IdleTimeout))
    }

    /// Returns whether what arrives now belongs to a head.
    pub fn is_reading_head(&self) -> bool {
        !self.is_http2.get() && self.is_idle()
    }

    /// Records whether the caller takes bytes.
    pub fn record_write(&self, now: Time, is_blocked: bool) {
        match is_blocked {
            true if self.blocked_since.get().is_none() => self.blocked_since.set(Some(now)),
            true => {}
            false => self.blocked_since.set(None),
        }
    }

    /// Records that a body is being received.
    pub fn begin_receiving(&self) {
        self.receiving.set(self.receiving.get() + 1);
    }

    /// Records that a body is complete, or given up.
    pub fn end_receiving(&self, now: Time) {
        self.receiving.set(self.receiving.get() - 1);
        self.idle_since.set(now);
    }

    /// Records that a request runs; returns its number.
    pub fn begin_running(&self) -> u64 {
        let number = self.next_request.get();
        self.next_request.set(number + 1);
        self.running.borrow_mut().insert(number, None);
        number
    }

    /// Sets since when a part of a request's answer is unread.
    pub fn set_unread(&self, number: u64, since: Option<Time>) {
        if let Some(unread_since) = self.running.borrow_mut().get_mut(&number) {
            *unread_since = since;
        }
    }

    /// Records the end of a request's answer.
    pub fn end_running(&self, number: u64, now: Time) {
        self.running.borrow_mut().remove(&number);
        self.idle_since.set(now);
    }

    /// Records that the rest of a request is left unread.
    pub fn refuse_rest(&self) {
        self.is_refused.set(true);
    }

    /// Returns whether the rest of a request was left unread.
    pub fn is_refused(&self) -> bool {
        self.is_refused.get()
    }

    /// Sets whether only the end of the connection marks the end of the answer that is being sent.
    pub fn set_undelimited(&self, is_undelimited: bool) {
        self.is_undelimited.set(is_undelimited);
    }

    /// Returns whether an end of the connection would mark the end of an answer that isn't complete.
    pub fn is_undelimited(&self) -> bool {
        self.is_undelimited.get()
    }

    fn is_closed(&self) -> bool {
        self.closed_for.get().is_some()
    }

    /// Returns whether a request is received or runs.
    pub fn has_request(&self) -> bool {
        !self.is_idle()
    }

    /// Returns whether the connection has no request.
    fn is_idle(&self) -> bool {
        self.receiving.get() == 0 && self.running.borrow().is_empty()
    }

    /// Returns since when the caller has left an answer unread.
    fn unread_since(&self) -> Option<Time> {
        let running = self.running.borrow();
        let unread = running.values().flatten().copied();
        unread.chain(self.blocked_since.get()).min()
    }

    fn open_unread_since(&self) -> Option<Time> {
        self.unread_since().filter(|_| !self.is_closed())
    }

    /// Returns how readily the connection gives way, and since when it waits; `None` if it doesn't. `is_crowded` states
    /// that connections that never had a request give way regardless of their age.
    fn rank(&self, now: Time, is_crowded: bool) -> Option<(Rank, Time)> {
        if self.is_closed() {
            return None;
        }
        if let Some(since) = self.unread_since() {
            return (now.since(since) >= UNREAD_STALL).then_some((Rank::Unread, since));
        }
        if self.is_running() {
            return None;
        }
        if self.receiving.get() > 0 {
            let since = self.last_read.get();
            let is_stalled = now.since(since) >= STALL;
            let rank = if is_stalled {
                Rank::Stalled
            } else {
                Rank::Receiving
            };
            return Some((rank, since));
        }
        let since = self.head_since.get().unwrap_or(self.idle_since.get());
        let is_old = is_crowded || now.since(since) >= NEW_AGE;
        let is_silent = !self.had_request.get() && is_old;
        Some((if is_silent { Rank::Silent } else { Rank::Idle }, since))
    }
}
