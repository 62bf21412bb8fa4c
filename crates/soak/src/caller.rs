//! Callers. Each resolves entries' addresses and caches them for their TTL, sends one request at a time over
//! keep-alive connections, and retries where the kind of request allows it.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use clock::Span;
use clock::Time;
use http::Request;
use http::Response;
use http::header;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use mirror::caller;
use mirror::caller::Addresses;
use rand::RngExt;
use smol_str::SmolStr;
use smol_str::format_smolstr;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::AbortHandle;

use crate::content;
use crate::content::Stream;
use crate::ledger::Attempt;
use crate::ledger::End;
use crate::scene::HOST;
use crate::scene::Party;
use crate::scene::Port;
use crate::scene::Shared;
use crate::scene::ZONES;

/// API key of all callers.
pub const KEY: &str = "soak-key";
/// Timeout of connection attempts and address queries.
const CONNECT_TIME: Duration = Duration::from_secs(1);
/// Time for which a caller waits beyond its deadline, to tell a late answer from none.
const OVERTIME: Duration = Duration::from_secs(2);
/// Longest pause between two requests, in milliseconds.
const THINK_MS: u64 = 250;
/// Share of requests whose caller leaves early, for requests that may be cancelled.
const LEAVING: f64 = 0.04;
/// Time after which such a caller leaves.
const LEAVES_AFTER: Duration = Duration::from_millis(150);
/// Share of requests sent on a new connection although one is open.
const FRESH: f64 = 0.2;
/// Most attempts of one request.
const ATTEMPTS: u32 = 3;
/// Number of events of a stream.
const EVENTS: std::ops::Range<u64> = 5..50;

/// Kind of request; each has a route of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Class {
    /// A plain call that may be repeated.
    Look,
    /// A plain call that must not be repeated.
    File,
    /// A stream that can be resumed.
    Chat,
    /// A repeatable plain call whose route changes its service.
    Move,
}

impl Class {
    /// All classes with their weights.
    pub const ALL: [(Class, u32); 4] = [
        (Class::Look, 3),
        (Class::File, 3),
        (Class::Chat, 3),
        (Class::Move, 2),
    ];

    /// Returns the name of the route.
    pub const fn name(self) -> &'static str {
        match self {
            Class::Look => "look",
            Class::File => "file",
            Class::Chat => "chat",
            Class::Move => "move",
        }
    }

    /// Returns the time limit of the route, which is also the callers' deadline.
    pub const fn timeout(self) -> Span {
        match self {
            Class::Chat => Span::from_millis(6_000),
            _ => Span::from_millis(2_000),
        }
    }
}

/// A caller.
pub struct Caller {
    shared: Rc<Shared>,
    /// Addresses for address queries, one per entry.
    directories: Vec<SocketAddr>,
    zone: &'static str,
    name: SmolStr,
    known: Option<(Time, Addresses)>,
    open: Option<Connection>,
    sent: u64,
}

/// A connection to an entry.
struct Connection {
    sender: SendRequest<Full<Bytes>>,
    task: AbortHandle,
    entry: SocketAddr,
    used: bool,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Result of an attempt.
struct Outcome {
    end: End,
    /// Last event received of a stream.
    after: u64,
    /// Least pause before a retry.
    again: Duration,
}

impl Caller {
    /// Creates a caller; `number` determines its name and zone.
    pub fn new(shared: Rc<Shared>, number: usize, entries: usize) -> Caller {
        let directory = |entry| shared.network.address(Party::Entry(entry), Port::Directory);
        Caller {
            directories: (0..entries).map(directory).collect(),
            zone: ZONES[number % ZONES.len()],
            name: format_smolstr!("c{number}"),
            known: None,
            open: None,
            sent: 0,
            shared,
        }
    }

    /// Sends requests until that time, which may still change.
    pub async fn run(mut self, until: watch::Receiver<Time>) {
        while self.shared.clock.now() < *until.borrow() {
            let pause = self.draw(0..THINK_MS);
            tokio::time::sleep(Duration::from_millis(pause)).await;
            self.request().await;
        }
    }

    /// Sends one request and retries it as its class allows.
    async fn request(&mut self) {
        let class = self.draw_class();
        self.sent += 1;
        let name = format!("{}.{}", self.name, self.sent);
        let events = self.draw(EVENTS);
        let stream = (class == Class::Chat).then_some(Stream { name, events });
        let leaves = class != Class::File && self.chance(LEAVING);
        let mut after = 0;
        for number in 0..ATTEMPTS {
            let path = match &stream {
                Some(stream) => stream.path(),
                None => format!("/{}/{}", class.name(), self.sent),
            };
            let id = format_smolstr!("{}.{}.{number}", self.name, self.sent);
            let attempt = caller::Attempt {
                id,
                host: HOST.into(),
                path,
                key: KEY.into(),
                deadline: class.timeout().as_duration(),
                last_event: (after > 0).then_some(after),
            };
            let Some(outcome) = self.attempt(class, &attempt, stream.as_ref(), leaves).await else {
                return;
            };
            after = outcome.after;
            if !may_come_again(class, &outcome.end) {
                return;
            }
            tokio::time::sleep(outcome.again).await;
        }
    }

    /// Makes one attempt and records its end. Returns none if no entry could be reached.
    async fn attempt(
        &mut self,
        class: Class,
        attempt: &caller::Attempt,
        stream: Option<&Stream>,
        leaves: bool,
    ) -> Option<Outcome> {
        let mut connection = match self.kept() {
            Some(connection) => connection,
            None => {
                let entry = self.entry().await?;
                match connect(entry).await {
                    Some(connection) => connection,
                    // An address that refused a connection isn't used again until addresses are refreshed.
                    None => {
                        self.known = None;
                        return None;
                    }
                }
            }
        };
        let request = caller::request(attempt).ok()?;
        self.shared.ledger.borrow_mut().sent(Attempt {
            id: attempt.id.clone(),
            class,
            entry: entry_of(connection.entry),
            reused: connection.used,
            sent: self.shared.clock.now(),
            ended: None,
        });
        let patience = match leaves {
            true => LEAVES_AFTER,
            false => attempt.deadline + OVERTIME,
        };
        let mut after = attempt.last_event.unwrap_or(0);
        let asking = ask(&mut connection, request, attempt, stream, &mut after);
        let (end, again, keeps) = match tokio::time::timeout(patience, asking).await {
            Ok(answered) => answered,
            Err(_) if leaves => (End::Left, Duration::ZERO, false),
            Err(_) => (End::Waited, Duration::ZERO, false),
        };
        if keeps {
            connection.used = true;
            self.open = Some(connection);
        }
        let now = self.shared.clock.now();
        let mut ledger = self.shared.ledger.borrow_mut();
        ledger.ended(&attempt.id, now, end.clone());
        Some(Outcome { end, after, again })
    }

    /// Takes the open connection, unless it is unusable or a new one is drawn.
    fn kept(&mut self) -> Option<Connection> {
        let fresh = self.chance(FRESH);
        let connection = self.open.take()?;
        let usable = !fresh && connection.sender.is_ready();
        usable.then_some(connection)
    }

    /// Chooses a random entry from the cached addresses, which are refreshed once they expire.
    async fn entry(&mut self) -> Option<SocketAddr> {
        let now = self.shared.clock.now();
        let holds =
            |(at, addresses): &(Time, Addresses)| now.since(*at).as_duration() < addresses.ttl;
        if !self.known.as_ref().is_some_and(holds) {
            let directory = self.directories[self.draw(0..self.directories.len() as u64) as usize];
            let asked = tokio::time::timeout(CONNECT_TIME, ask_directory(directory, self.zone));
            if let Ok(Some(addresses)) = asked.await {
                self.known = Some((self.shared.clock.now(), addresses));
            }
        }
        let entries = self
            .known
            .as_ref()
            .map(|(_, known)| known.entries.clone())?;
        Some(entries[self.draw(0..entries.len() as u64) as usize])
    }

    fn draw(&self, range: std::ops::Range<u64>) -> u64 {
        self.shared.random.borrow_mut().random_range(range)
    }

    fn chance(&self, share: f64) -> bool {
        self.shared.random.borrow_mut().random::<f64>() < share
    }

    fn draw_class(&self) -> Class {
        let total: u32 = Class::ALL.iter().map(|(_, weight)| weight).sum();
        let mut left = self.draw(0..u64::from(total)) as u32;
        for (class, weight) in Class::ALL {
            if left < weight {
                return class;
            }
            left -= weight;
        }
        Class::Look
    }
}

/// Returns whether a caller retries a request of that class after such an end.
fn may_come_again(class: Class, end: &End) -> bool {
    match end {
        End::Answered(200) | End::Left | End::Waited | End::Wrong(_) => false,
        End::Answered(status) => class != Class::File || *status == 503,
        End::Broken | End::NotSent => class != Class::File,
    }
}

async fn connect(entry: SocketAddr) -> Option<Connection> {
    let connecting = TcpStream::connect(entry);
    let socket = tokio::time::timeout(CONNECT_TIME, connecting).await;
    let socket = socket.ok()?.ok()?;
    let (sender, connection) = http1::handshake(TokioIo::new(socket)).await.ok()?;
    let task = tokio::task::spawn_local(async move {
        // The request on this connection sees how it ended.
        let _ = connection.await;
    });
    Some(Connection {
        sender,
        task: task.abort_handle(),
        entry,
        used: false,
    })
}

/// Queries an entry for the addresses of entries.
pub async fn ask_directory(directory: SocketAddr, zone: &str) -> Option<Addresses> {
    let mut connection = connect(directory).await?;
    let request = caller::address_query(HOST, zone);
    let response = connection.sender.send_request(request).await.ok()?;
    let (head, body) = response.into_parts();
    let body = body.collect().await.ok()?.to_bytes();
    caller::addresses(head.status, &body)
}

/// Returns the index of the entry with that address.
fn entry_of(address: SocketAddr) -> usize {
    match address {
        SocketAddr::V4(address) => usize::from(address.ip().octets()[3]) - 1,
        SocketAddr::V6(_) => 0,
    }
}

/// Sends a request and reads its answer. Returns how it ended, the pause before a retry, and whether the
/// connection stays open.
async fn ask(
    connection: &mut Connection,
    request: Request<Full<Bytes>>,
    attempt: &caller::Attempt,
    stream: Option<&Stream>,
    after: &mut u64,
) -> (End, Duration, bool) {
    let response = match connection.sender.send_request(request).await {
        Ok(response) => response,
        Err(_) => return (End::Broken, Duration::ZERO, false),
    };
    let again = again_after(&response);
    let keeps = !response
        .headers()
        .get(header::CONNECTION)
        .is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"close"));
    let status = response.status().as_u16();
    let end = match stream.filter(|_| status == 200) {
        Some(stream) => read_stream(response.into_body(), stream, after).await,
        None => read_whole(response, attempt).await,
    };
    let keeps = keeps && matches!(end, End::Answered(_));
    (end, again, keeps)
}

fn again_after(response: &Response<Incoming>) -> Duration {
    let stated = response.headers().get(header::RETRY_AFTER);
    let seconds = stated.and_then(|value| value.to_str().ok()?.parse().ok());
    Duration::from_secs_f64(seconds.unwrap_or(0.0_f64).clamp(0.0, 2.0))
}

async fn read_whole(response: Response<Incoming>, attempt: &caller::Attempt) -> End {
    let (head, body) = response.into_parts();
    let Ok(body) = body.collect().await else {
        return End::Broken;
    };
    let is_ours = body.to_bytes() == content::body_of(&attempt.id);
    match head.status.as_u16() {
        200 if !is_ours => End::Wrong("another body".into()),
        status => End::Answered(status),
    }
}

/// Reads a stream to its end and checks that its events arrive in order.
async fn read_stream(mut body: Incoming, stream: &Stream, after: &mut u64) -> End {
    let mut text = String::new();
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            return End::Broken;
        };
        if let Some(bytes) = frame.data_ref() {
            text.push_str(&String::from_utf8_lossy(bytes));
        }
        while let Some(length) = text.find("\n\n") {
            let event: String = text.drain(..length + 2).collect();
            if event != stream.event(*after + 1) {
                return End::Wrong(format_smolstr!("{event:?} after event {after}"));
            }
            *after += 1;
        }
    }
    match *after == stream.events && text.is_empty() {
        true => End::Answered(200),
        false => End::Wrong(format_smolstr!(
            "ended after event {after} of {}",
            stream.events
        )),
    }
}
