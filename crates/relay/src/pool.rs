//! Connections to backend servers, each used for one request at a time.
//!
//! Bytes that a server sends after a complete answer would be taken for the next answer, so a connection is
//! reused only if the HTTP library finds it idle and clean. A server closes idle connections after some time,
//! and a request that crosses the close may or may not have run, so the pool drops them well before. An
//! abandoned attempt must stop the server's work, so its connection is closed with it.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::ops::Bound;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use clock::Clock;
use clock::Span;
use clock::Time;
use gateway::attempt::Endpoint;
use http::HeaderMap;
use http::header::CONNECTION;
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use peer::tunnel;
use policy::proxy;
use smol_str::SmolStr;
use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

use crate::meter::MAX_HEAD_BYTES;
use crate::meter::Meter;
use crate::meter::Metered;

/// Connect timeout: a round trip takes a few milliseconds, and a dropped first packet is retransmitted after
/// a second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// A replica that acknowledges nothing for this time is considered gone. A sound one may be silent for more than
/// a second. Also ends connections on which keepalive probes fail, whatever their number.
const USER_TIMEOUT: Duration = Duration::from_millis(2_200);
/// Interval of keepalive probes, which detect a lost peer on a connection that only receives.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Idle timeout for servers that state none.
const DEFAULT_IDLE_TIMEOUT: Span = Span::from_millis(1_500);
/// Fraction of a server's stated idle timeout after which a connection is no longer reused.
const IDLE_TIMEOUT_FRACTION: f64 = 0.6;
/// Time for which a server's last activity is remembered; longer than any silence timeout.
const ACTIVITY_RETENTION: Span = Span::from_seconds(20);
/// Time for which a closed server is remembered; longer than a request may wait to be forwarded.
const CLOSED_RETENTION: Span = Span::from_seconds(60);
/// Time within which a process that is killed ends all its connections, with the time that their ends take to arrive.
const SAME_TIME: Span = Span::from_millis(500);
/// Turns of the event loop in which the end of a connection is received and handled.
const NOTICE_TURNS: usize = 2;
/// Idle connections kept for each server.
const MAX_IDLE: usize = 8;

/// Idle connections to backend servers.
pub struct Pool {
    clock: Clock,
    /// Servers that accept requests, by incarnation.
    servers: RefCell<BTreeMap<SmolStr, Endpoint>>,
    /// The server that was last tried out.
    last_tried: RefCell<SmolStr>,
    idle: RefCell<BTreeMap<SmolStr, Vec<Connection>>>,
    /// Servers, by incarnation, to which the last idle connection isn't used for requests: its end tells of their end.
    reserved: RefCell<BTreeSet<SmolStr>>,
    /// When an idle connection to each server last ended, by incarnation.
    ended: RefCell<BTreeMap<SmolStr, Time>>,
    /// Time of each server's last activity, by incarnation.
    last_activity: RefCell<BTreeMap<SmolStr, Time>>,
    /// Servers that accept no more requests, by incarnation, with the time since which they don't.
    closed: RefCell<BTreeMap<SmolStr, Time>>,
    /// Servers that asked for a pause, by incarnation, with the end of it.
    paused: RefCell<BTreeMap<SmolStr, Time>>,
}

/// A connection to a backend server; closed when dropped.
pub struct Connection {
    /// Sends requests.
    pub sender: SendRequest<Full<Bytes>>,
    /// Counts received bytes.
    pub meter: Meter,
    task: AbortHandle,
    /// Time until which the connection may be reused.
    reusable_until: Time,
    /// When the connection was opened.
    opened_at: Time,
    /// When the connection ended; `None` while it is open.
    ended_at: Rc<Cell<Option<Time>>>,
    /// Whether the connection has served a request.
    pub used: bool,
    /// Whether the server was asked which process it is.
    pub identified: bool,
    /// The way through another entry; `None` for a connection of this entry's own.
    pub detour: Option<Box<Detour>>,
}

/// The idle connections to a server that were opened before some time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kept {
    /// One is open.
    Open,
    /// None is open, and one has ended just now.
    Ended,
    /// None is open. Servers close idle connections at will.
    None,
}

/// The part of a connection that leads through another entry.
pub struct Detour {
    /// `host:port` of the entry.
    pub proxy: SmolStr,
    /// Reports to the entry.
    pub handle: tunnel::Handle,
    /// Connections through each entry.
    pub table: Rc<RefCell<proxy::Table>>,
}

impl Drop for Detour {
    fn drop(&mut self) {
        self.table.borrow_mut().record_closed(&self.proxy);
    }
}

impl Connection {
    /// Returns whether the connection doesn't lead through another entry.
    pub fn is_direct(&self) -> bool {
        self.detour.is_none()
    }

    /// Returns whether the server hasn't ended the connection, as far as its task has noticed.
    pub fn is_open(&self) -> bool {
        self.ended_at.get().is_none() && self.sender.is_ready()
    }

    /// Returns the `host:port` of the entry through which the connection leads.
    pub fn proxy(&self) -> Option<&SmolStr> {
        self.detour.as_ref().map(|detour| &detour.proxy)
    }

    /// Starts HTTP on a connection.
    pub async fn start<T>(
        io: T,
        clock: Clock,
        detour: Option<Box<Detour>>,
    ) -> std::io::Result<Connection>
    where
        T: AsyncRead + AsyncWrite + Unpin + 'static,
    {
        let io = Metered::new(io);
        let meter = io.meter();
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(MAX_HEAD_BYTES)
            .handshake(TokioIo::new(io))
            .await
            .map_err(std::io::Error::other)?;
        let ended_at = Rc::new(Cell::new(None));
        let ended = Rc::clone(&ended_at);
        let task = tokio::task::spawn_local(async move {
            if let Err(error) = connection.await {
                log::debug!(event = "connection_ended", error = error.to_string().as_str(); "");
            }
            ended.set(Some(clock.now()));
        });
        Ok(Connection {
            sender,
            meter,
            task: task.abort_handle(),
            reusable_until: Time::ZERO,
            opened_at: clock.now(),
            ended_at,
            used: false,
            identified: false,
            detour,
        })
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Pool {
    /// Creates an empty pool.
    pub fn new(clock: Clock) -> Pool {
        Pool {
            clock,
            servers: RefCell::default(),
            last_tried: RefCell::default(),
            idle: RefCell::default(),
            reserved: RefCell::default(),
            ended: RefCell::default(),
            last_activity: RefCell::default(),
            closed: RefCell::default(),
            paused: RefCell::default(),
        }
    }

    /// Records that bytes from a server arrived.
    pub fn record_activity(&self, endpoint: &Endpoint) {
        let now = self.clock.now();
        let mut last_activity = self.last_activity.borrow_mut();
        match last_activity.get_mut(&endpoint.incarnation) {
            Some(time) => *time = now,
            None => {
                last_activity.insert(endpoint.incarnation.clone(), now);
            }
        }
    }

    /// Returns whether a server sent anything, on any connection, within this time.
    pub fn was_active(&self, endpoint: &Endpoint, within: Span) -> bool {
        let last_activity = self.last_activity.borrow();
        let time = last_activity.get(&endpoint.incarnation);
        time.is_some_and(|time| self.clock.now().since(*time) <= within)
    }

    /// Opens a server, or reopens it: its row may have been missing for a while although it was alive.
    pub fn open(&self, endpoint: Endpoint) {
        self.closed.borrow_mut().remove(&endpoint.incarnation);
        let mut servers = self.servers.borrow_mut();
        servers.insert(endpoint.incarnation.clone(), endpoint);
    }

    /// Returns an open server.
    pub fn server(&self, incarnation: &str) -> Option<Endpoint> {
        self.servers.borrow().get(incarnation).cloned()
    }

    /// Returns whether another server is open at the address of this one.
    pub fn is_succeeded(&self, endpoint: &Endpoint) -> bool {
        let servers = self.servers.borrow();
        let mut others = servers.values();
        others.any(|other| {
            other.address == endpoint.address && other.incarnation != endpoint.incarnation
        })
    }

    /// Returns the number of open servers.
    pub fn server_count(&self) -> usize {
        self.servers.borrow().len()
    }

    /// Returns up to `count` open servers, in turn.
    pub fn next_servers(&self, count: usize) -> Vec<Endpoint> {
        let servers = self.servers.borrow();
        let last = self.last_tried.borrow().clone();
        let following = (Bound::Excluded(last.clone()), Bound::Unbounded);
        let rest = servers.range(..=last);
        let turn = servers.range(following).chain(rest);
        let next: Vec<Endpoint> = turn.take(count).map(|(_, server)| server.clone()).collect();
        if let Some(endpoint) = next.last() {
            *self.last_tried.borrow_mut() = endpoint.incarnation.clone();
        }
        next
    }

    /// Closes a leaving server: drops its idle connections and rejects requests that were not forwarded yet.
    ///
    /// A request may wait for its connection while the server starts to leave. An entry short of processor
    /// time forwarded one 3.6 s later, when the server's end would have cut it off.
    pub fn close(&self, incarnation: SmolStr) {
        self.servers.borrow_mut().remove(&incarnation);
        self.idle.borrow_mut().remove(&incarnation);
        self.reserved.borrow_mut().remove(&incarnation);
        let now = self.clock.now();
        self.closed.borrow_mut().insert(incarnation, now);
    }

    /// Rejects requests to a server that were not forwarded yet, for the time that it asked for. Its idle
    /// connections are kept.
    pub fn pause(&self, incarnation: SmolStr, pause: Span) {
        let until = self.clock.now() + pause;
        let mut paused = self.paused.borrow_mut();
        let known = paused.entry(incarnation).or_default();
        *known = until.max(*known);
    }

    /// Returns whether requests may be forwarded to a server.
    pub fn accepts_requests(&self, endpoint: &Endpoint) -> bool {
        !self.is_closed(endpoint) && !self.is_paused(endpoint)
    }

    /// Returns whether a server is leaving or gone.
    pub fn is_closed(&self, endpoint: &Endpoint) -> bool {
        self.closed.borrow().contains_key(&endpoint.incarnation)
    }

    fn is_paused(&self, endpoint: &Endpoint) -> bool {
        let paused = self.paused.borrow();
        let until = paused.get(&endpoint.incarnation);
        until.is_some_and(|until| self.clock.now() < *until)
    }

    /// Takes an idle connection to a server for a request, if there is one: a direct one, or one through another entry.
    pub fn take(&self, endpoint: &Endpoint, direct: bool) -> Option<Connection> {
        let is_reserved = self.reserved.borrow().contains(&endpoint.incarnation);
        self.take_newest(endpoint, direct, usize::from(is_reserved))
    }

    /// The same after turns of the event loop in which the ends of connections are noticed. The process may have stood still
    /// since the last one.
    pub async fn take_after_pause(&self, endpoint: &Endpoint, direct: bool) -> Option<Connection> {
        for _ in 0..NOTICE_TURNS {
            tokio::task::yield_now().await;
        }
        self.take(endpoint, direct)
    }

    /// Takes the newest idle connection of a kind to a server, if more than `spared` are left.
    pub fn take_newest(
        &self,
        endpoint: &Endpoint,
        direct: bool,
        spared: usize,
    ) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&endpoint.incarnation)?;
        self.drop_ended(&endpoint.incarnation, connections);
        connections.retain(|connection| connection.sender.is_ready());
        if connections.len() <= spared {
            return None;
        }
        let last = connections
            .iter()
            .rposition(|connection| connection.is_direct() == direct)?;
        Some(connections.remove(last))
    }

    /// Keeps an idle connection to a server from now on.
    pub fn reserve_idle(&self, endpoint: &Endpoint) {
        let mut reserved = self.reserved.borrow_mut();
        reserved.insert(endpoint.incarnation.clone());
    }

    /// Returns what has become of the idle connections to a server that were opened before a time. Those through another
    /// entry don't count, since their ends arrive later.
    pub fn kept_since(&self, endpoint: &Endpoint, time: Time) -> Kept {
        let now = self.clock.now();
        if let Some(connections) = self.idle.borrow_mut().get_mut(&endpoint.incarnation) {
            self.drop_ended(&endpoint.incarnation, connections);
            let mut kept = connections.iter();
            if kept.any(|kept| kept.opened_at < time && kept.is_direct()) {
                return Kept::Open;
            }
        }
        let ended = self.ended.borrow();
        let ended_at = ended.get(&endpoint.incarnation);
        match ended_at.is_some_and(|at| now.since(*at) <= SAME_TIME) {
            true => Kept::Ended,
            false => Kept::None,
        }
    }

    /// Drops connections that have ended or expired, and remembers when one ended.
    fn drop_ended(&self, incarnation: &SmolStr, connections: &mut Vec<Connection>) {
        let now = self.clock.now();
        let mut ended = self.ended.borrow_mut();
        connections.retain(|connection| {
            let ended_at = connection.ended_at.get();
            if let Some(at) = ended_at.filter(|_| connection.reusable_until > now) {
                ended.insert(incarnation.clone(), at);
            }
            ended_at.is_none() && connection.reusable_until > now
        });
    }

    /// Takes all idle connections of a kind.
    pub fn take_idle(&self, kind: impl Fn(&Connection) -> bool) -> Vec<Connection> {
        let mut idle = self.idle.borrow_mut();
        let all = idle.values_mut();
        all.flat_map(|connections| connections.extract_if(.., |connection| kind(connection)))
            .collect()
    }

    /// Opens a new connection to a server.
    pub async fn connect(&self, endpoint: &Endpoint) -> std::io::Result<Connection> {
        let socket = open_socket(endpoint).await?;
        Connection::start(socket, self.clock, None).await
    }

    /// Returns a connection to the pool after its answer was read completely, if it can be reused.
    pub async fn release(
        &self,
        endpoint: &Endpoint,
        mut connection: Connection,
        headers: &HeaderMap,
    ) {
        let Some(idle_timeout) = idle_timeout(headers) else {
            return;
        };
        if connection.sender.ready().await.is_err() || self.is_closed(endpoint) {
            return;
        }
        let now = self.clock.now();
        connection.reusable_until = now + idle_timeout;
        connection.used = true;
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(endpoint.incarnation.clone()).or_default();
        self.drop_ended(&endpoint.incarnation, connections);
        if connections.len() < MAX_IDLE {
            connections.push(connection);
        }
    }

    /// Drops expired connections and records.
    pub fn sweep(&self) {
        let now = self.clock.now();
        let mut last_activity = self.last_activity.borrow_mut();
        last_activity.retain(|_, time| now.since(*time) <= ACTIVITY_RETENTION);
        let mut closed = self.closed.borrow_mut();
        closed.retain(|_, time| now.since(*time) <= CLOSED_RETENTION);
        self.paused.borrow_mut().retain(|_, until| now < *until);
        let mut idle = self.idle.borrow_mut();
        idle.retain(|incarnation, connections| {
            self.drop_ended(incarnation, connections);
            !connections.is_empty()
        });
        let mut ended = self.ended.borrow_mut();
        ended.retain(|_, at| now.since(*at) <= SAME_TIME);
    }
}

/// Opens a socket to a server.
pub async fn open_socket(endpoint: &Endpoint) -> std::io::Result<TcpStream> {
    let connecting = TcpStream::connect(endpoint.address.as_str());
    let socket = match tokio::time::timeout(CONNECT_TIMEOUT, connecting).await {
        Ok(socket) => socket?,
        Err(_) => return Err(std::io::ErrorKind::TimedOut.into()),
    };
    socket.set_nodelay(true)?;
    let options = SockRef::from(&socket);
    options.set_tcp_user_timeout(Some(USER_TIMEOUT))?;
    // Reset on close: unsent data of an abandoned attempt must not reach the server later.
    options.set_linger(Some(Duration::ZERO))?;
    let probes = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL);
    options.set_tcp_keepalive(&probes)?;
    Ok(socket)
}

/// Returns how long a connection may be reused after this answer; `None` if it may not.
fn idle_timeout(headers: &HeaderMap) -> Option<Span> {
    let has_token = |name: &str, token: &str| {
        let mut values = headers.get_all(name).iter();
        values.any(|value| {
            let text = value.to_str().unwrap_or_default();
            text.split(',')
                .any(|part| part.trim().eq_ignore_ascii_case(token))
        })
    };
    if has_token(CONNECTION.as_str(), "close") {
        return None;
    }
    let timeout = headers.get("keep-alive").and_then(|value| {
        let mut parts = value.to_str().ok()?.split(',');
        let seconds = parts.find_map(|part| part.trim().strip_prefix("timeout="))?;
        seconds.trim().parse::<u64>().ok()
    });
    match timeout {
        Some(0) => None,
        Some(seconds) => Some(Span::from_seconds(seconds).scaled(IDLE_TIMEOUT_FRACTION)),
        None => Some(DEFAULT_IDLE_TIMEOUT),
    }
}
