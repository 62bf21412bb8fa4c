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
const CONNECT_TIME: Duration = Duration::from_millis(500);
/// A replica that acknowledges nothing for so long is gone: four retransmissions on this network, so that a
/// link that loses one packet in thirty breaks hardly any. A busy one acknowledges within milliseconds.
const UNACKNOWLEDGED: Duration = Duration::from_millis(800);
/// A connection on which only answers come shows by probes that the other side is gone: the first after so
/// long without a byte, and as long between them.
const PROBE_TIME: Duration = Duration::from_secs(1);
/// How long an unused connection is kept if its server doesn't say.
const IDLE_TIME: Span = Span::from_millis(1_500);
/// Part of a server's own idle time after which a connection isn't used any more.
const IDLE_SHARE: f64 = 0.6;
/// How long it is remembered when a server spoke last; longer than any silence that is asked for.
const HEARD_KEPT: Span = Span::from_seconds(20);
/// How long a server that left is remembered; longer than a request may wait to be handed over.
const CLOSED_KEPT: Span = Span::from_seconds(60);
/// Unused connections kept for each server.
const MOST_IDLE: usize = 8;

/// Connections that wait for their next request.
pub struct Pool {
    clock: Clock,
    idle: RefCell<BTreeMap<SmolStr, Vec<Connection>>>,
    /// When each server said something last, by incarnation.
    heard: RefCell<BTreeMap<SmolStr, Time>>,
    /// Servers that get nothing more, by incarnation, and since when.
    closed: RefCell<BTreeMap<SmolStr, Time>>,
}

/// One connection. Dropped, it is closed.
pub struct Connection {
    /// Takes requests.
    pub sender: SendRequest<Full<Bytes>>,
    task: AbortHandle,
    /// It isn't used again from then on.
    until: Time,
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
            heard: RefCell::default(),
            closed: RefCell::default(),
        }
    }

    /// Notes that a server said something.
    pub fn hear(&self, place: &Endpoint) {
        let now = self.clock.now();
        let mut heard = self.heard.borrow_mut();
        match heard.get_mut(&place.incarnation) {
            Some(at) => *at = now,
            None => {
                heard.insert(place.incarnation.clone(), now);
            }
        }
    }

    /// Whether a server said something, on any connection, within this time.
    pub fn was_heard(&self, place: &Endpoint, within: Span) -> bool {
        let heard = self.heard.borrow();
        let at = heard.get(&place.incarnation);
        at.is_some_and(|at| self.clock.now().since(*at) <= within)
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
    pub fn takes_requests(&self, place: &Endpoint) -> bool {
        !self.closed.borrow().contains_key(&place.incarnation)
    }

    /// An unused connection to a server, if there is one.
    pub fn take(&self, place: &Endpoint) -> Option<Connection> {
        let now = self.clock.now();
        let mut idle = self.idle.borrow_mut();
        let waiting = idle.get_mut(&place.incarnation)?;
        while let Some(connection) = waiting.pop() {
            if connection.until > now && connection.sender.is_ready() {
                return Some(connection);
            }
        }
        None
    }

    /// A new connection to a server.
    pub async fn connect(&self, place: &Endpoint) -> std::io::Result<Connection> {
        let connecting = TcpStream::connect(place.address.as_str());
        let socket = match tokio::time::timeout(CONNECT_TIME, connecting).await {
            Ok(socket) => socket?,
            Err(_) => return Err(std::io::ErrorKind::TimedOut.into()),
        };
        socket.set_nodelay(true)?;
        let options = SockRef::from(&socket);
        options.set_tcp_user_timeout(Some(UNACKNOWLEDGED))?;
        // Closed, it is reset: what an abandoned attempt has left on its way must not reach the server later.
        options.set_linger(Some(Duration::ZERO))?;
        let probes = TcpKeepalive::new()
            .with_time(PROBE_TIME)
            .with_interval(PROBE_TIME);
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
            until: Time::ZERO,
            used: false,
        })
    }

    /// Keeps a connection whose answer was read whole, if it may be used again.
    pub async fn keep(&self, place: &Endpoint, mut connection: Connection, headers: &HeaderMap) {
        let Some(idle_time) = idle_time(headers) else {
            return;
        };
        if connection.sender.ready().await.is_err() || !self.takes_requests(place) {
            return;
        }
        let now = self.clock.now();
        connection.until = now + idle_time;
        connection.used = true;
        let mut idle = self.idle.borrow_mut();
        let waiting = idle.entry(place.incarnation.clone()).or_default();
        waiting.retain(|other| other.until > now && !other.sender.is_closed());
        if waiting.len() < MOST_IDLE {
            waiting.push(connection);
        }
    }

    /// Closes and forgets what is too old.
    pub fn sweep(&self) {
        let now = self.clock.now();
        let mut heard = self.heard.borrow_mut();
        heard.retain(|_, at| now.since(*at) <= HEARD_KEPT);
        let mut closed = self.closed.borrow_mut();
        closed.retain(|_, at| now.since(*at) <= CLOSED_KEPT);
        let mut idle = self.idle.borrow_mut();
        idle.retain(|_, waiting| {
            waiting.retain(|one| one.until > now && !one.sender.is_closed());
            !waiting.is_empty()
        });
    }
}

/// How long a connection may be used again after this answer; none if it may not.
fn idle_time(headers: &HeaderMap) -> Option<Span> {
    let says = |name: &str, word: &str| {
        let mut values = headers.get_all(name).iter();
        values.any(|value| {
            let text = value.to_str().unwrap_or_default();
            text.split(',')
                .any(|part| part.trim().eq_ignore_ascii_case(word))
        })
    };
    if says(CONNECTION.as_str(), "close") {
        return None;
    }
    let stated = headers.get("keep-alive").and_then(|value| {
        let mut parts = value.to_str().ok()?.split(',');
        let seconds = parts.find_map(|part| part.trim().strip_prefix("timeout="))?;
        seconds.trim().parse::<u64>().ok()
    });
    match stated {
        Some(0) => None,
        Some(seconds) => Some(Span::from_seconds(seconds).scaled(IDLE_SHARE)),
        None => Some(IDLE_TIME),
    }
}
