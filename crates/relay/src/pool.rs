//! Connections to backend servers, one request at a time on each.
//!
//! Failures guarded against: bytes that a server sends after a whole answer would be taken for the next
//! one's, so a connection is only used again once the HTTP library finds it idle and clean; a server
//! closes idle connections after a time, and a request that crosses that close may or may not have run,
//! so they are given up well before; an abandoned attempt must stop the server's work, so its connection
//! is closed with it.

use std::cell::RefCell;
use std::collections::BTreeMap;
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
use smol_str::SmolStr;
use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

/// Longest time for a connection to come about: a round trip takes a few milliseconds, and a first
/// packet that was dropped is sent again after a second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// A replica that acknowledges nothing for so long is gone: four retransmissions on this network, so that a
/// link that loses one packet in thirty breaks hardly any. A busy one acknowledges within milliseconds.
const USER_TIMEOUT: Duration = Duration::from_millis(800);
/// A connection on which only answers come shows by probes that the other side is gone: the first after so
/// long without a byte, and as long between them.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// How long an unused connection is kept if its server doesn't say.
const DEFAULT_IDLE_TIMEOUT: Span = Span::from_millis(1_500);
/// Part of a server's own idle time after which a connection isn't used any more.
const IDLE_TIMEOUT_FRACTION: f64 = 0.6;
/// How long it is remembered when a server spoke last; longer than any silence that is asked for.
const ACTIVITY_RETENTION: Span = Span::from_seconds(20);
/// How long a server that left is remembered; longer than a request may wait to be handed over.
const CLOSED_RETENTION: Span = Span::from_seconds(60);
/// Unused connections kept for each server.
const MAX_IDLE: usize = 8;

/// Connections that wait for their next request.
pub struct Pool {
    clock: Clock,
    idle: RefCell<BTreeMap<SmolStr, Vec<Connection>>>,
    /// When each server said something last, by incarnation.
    last_activity: RefCell<BTreeMap<SmolStr, Time>>,
    /// Servers that get nothing more, by incarnation, and since when.
    closed: RefCell<BTreeMap<SmolStr, Time>>,
}

/// One connection. Dropped, it is closed.
pub struct Connection {
    /// Takes requests.
    pub sender: SendRequest<Full<Bytes>>,
    task: AbortHandle,
    /// It isn't used again from then on.
    reusable_until: Time,
    /// Whether it served a request before.
    pub used: bool,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Pool {
    /// No connections yet.
    pub fn new(clock: Clock) -> Pool {
        Pool {
            clock,
            idle: RefCell::default(),
            last_activity: RefCell::default(),
            closed: RefCell::default(),
        }
    }

    /// Notes that a server said something.
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

    /// Whether a server said something, on any connection, within this time.
    pub fn was_active(&self, endpoint: &Endpoint, within: Span) -> bool {
        let last_activity = self.last_activity.borrow();
        let time = last_activity.get(&endpoint.incarnation);
        time.is_some_and(|time| self.clock.now().since(*time) <= within)
    }

    /// Takes a server up; its row may have been missing for a while though it lives.
    pub fn open(&self, incarnation: &str) {
        self.closed.borrow_mut().remove(incarnation);
    }

    /// Gives up a server that leaves: its unused connections, and requests that are not handed over yet.
    ///
    /// Guards against a request that waited for its connection while the server began to leave: one was
    /// handed over 3.6 s after that, by an entry short of processor time, and would have ended with the server.
    pub fn close(&self, incarnation: SmolStr) {
        self.idle.borrow_mut().remove(&incarnation);
        let now = self.clock.now();
        self.closed.borrow_mut().insert(incarnation, now);
    }

    /// Whether a server may be handed a request now.
    pub fn accepts_requests(&self, endpoint: &Endpoint) -> bool {
        !self.closed.borrow().contains_key(&endpoint.incarnation)
    }

    /// An unused connection to a server, if there is one.
    pub fn take(&self, endpoint: &Endpoint) -> Option<Connection> {
        let now = self.clock.now();
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&endpoint.incarnation)?;
        while let Some(connection) = connections.pop() {
            if connection.reusable_until > now && connection.sender.is_ready() {
                return Some(connection);
            }
        }
        None
    }

    /// A new connection to a server.
    pub async fn connect(&self, endpoint: &Endpoint) -> std::io::Result<Connection> {
        let connecting = TcpStream::connect(endpoint.address.as_str());
        let socket = match tokio::time::timeout(CONNECT_TIMEOUT, connecting).await {
            Ok(socket) => socket?,
            Err(_) => return Err(std::io::ErrorKind::TimedOut.into()),
        };
        socket.set_nodelay(true)?;
        let options = SockRef::from(&socket);
        options.set_tcp_user_timeout(Some(USER_TIMEOUT))?;
        // Closed, it is reset: what an abandoned attempt has left on its way must not reach the server later.
        options.set_linger(Some(Duration::ZERO))?;
        let probes = TcpKeepalive::new()
            .with_time(KEEPALIVE_INTERVAL)
            .with_interval(KEEPALIVE_INTERVAL);
        options.set_tcp_keepalive(&probes)?;
        let (sender, connection) = http1::handshake(TokioIo::new(socket))
            .await
            .map_err(std::io::Error::other)?;
        let task = tokio::task::spawn_local(async move {
            if let Err(error) = connection.await {
                log::debug!(event = "connection_ended", error = error.to_string().as_str(); "");
            }
        });
        Ok(Connection {
            sender,
            task: task.abort_handle(),
            reusable_until: Time::ZERO,
            used: false,
        })
    }

    /// Keeps a connection whose answer was read whole, if it may be used again.
    pub async fn release(
        &self,
        endpoint: &Endpoint,
        mut connection: Connection,
        headers: &HeaderMap,
    ) {
        let Some(idle_time) = idle_time(headers) else {
            return;
        };
        if connection.sender.ready().await.is_err() || !self.accepts_requests(endpoint) {
            return;
        }
        let now = self.clock.now();
        connection.reusable_until = now + idle_time;
        connection.used = true;
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(endpoint.incarnation.clone()).or_default();
        connections.retain(|other| other.reusable_until > now && !other.sender.is_closed());
        if connections.len() < MAX_IDLE {
            connections.push(connection);
        }
    }

    /// Closes and forgets what is too old.
    pub fn sweep(&self) {
        let now = self.clock.now();
        let mut last_activity = self.last_activity.borrow_mut();
        last_activity.retain(|_, time| now.since(*time) <= ACTIVITY_RETENTION);
        let mut closed = self.closed.borrow_mut();
        closed.retain(|_, time| now.since(*time) <= CLOSED_RETENTION);
        let mut idle = self.idle.borrow_mut();
        idle.retain(|_, connections| {
            connections.retain(|connection| {
                connection.reusable_until > now && !connection.sender.is_closed()
            });
            !connections.is_empty()
        });
    }
}

/// How long a connection may be used again after this answer; none if it may not.
fn idle_time(headers: &HeaderMap) -> Option<Span> {
    let has_token = |name: &str, word: &str| {
        let mut values = headers.get_all(name).iter();
        values.any(|value| {
            let text = value.to_str().unwrap_or_default();
            text.split(',')
                .any(|part| part.trim().eq_ignore_ascii_case(word))
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
