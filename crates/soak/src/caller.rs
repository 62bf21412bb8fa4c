//! Callers. Each resolves entries' addresses and caches them for their TTL, sends one request at a time over
//! keep-alive connections, and retries where the kind of request allows it.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use clock::Span;
use clock::Time;
use http::HeaderMap;
use http::Version;
use mirror::caller;
use mirror::caller::Addresses;
use rand::RngExt;
use smol_str::SmolStr;
use smol_str::format_smolstr;
use tokio::sync::watch;

use crate::content::Stream;
use crate::environment::Environment;
use crate::environment::HOST;
use crate::environment::Node;
use crate::environment::Port;
use crate::environment::ZONES;
use crate::exchange;
use crate::exchange::Connection;
use crate::exchange::Progress;
use crate::exchange::exchange;
use crate::ledger::Attempt;
use crate::ledger::End;
use crate::replica::SIGNATURE_PREFIX;

/// API key of all callers.
pub const KEY: &str = "soak-key";
/// Timeout of address queries.
const QUERY_TIMEOUT: Duration = Duration::from_secs(1);
/// Time for which a caller waits beyond its deadline, to tell a late answer from none.
const LATE_ANSWER_WAIT: Duration = Duration::from_secs(2);
/// Longest pause between two requests, in milliseconds.
const MAX_PAUSE_MS: u64 = 250;
/// Share of requests whose caller leaves early, for requests that may be cancelled.
const LEAVE_SHARE: f64 = 0.04;
/// Time after which such a caller leaves.
const LEAVE_DELAY: Duration = Duration::from_millis(150);
/// Share of requests sent on a new connection although one is open.
const NEW_CONNECTION_SHARE: f64 = 0.2;
/// Most attempts of one request.
const MAX_ATTEMPTS: u32 = 3;
/// One in this many callers speaks HTTP/1.0.
const HTTP_10_INTERVAL: usize = 3;
/// Share of returns to a stream that come late.
const LATE_RETURN_SHARE: f64 = 0.7;
/// Number of events of a stream.
const EVENT_COUNT: std::ops::Range<u64> = 5..50;

/// The part that all prompts begin with.
const COMMON_PART: &str = "c0";
/// Number of parts that only some prompts share.
const SUBJECTS: u64 = 6;

/// Kind of request; each has a route of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Class {
    /// A plain call that may be repeated.
    Idempotent,
    /// A plain call that must not be repeated.
    NonIdempotent,
    /// A stream that can be resumed.
    Stream,
    /// A repeatable plain call whose route changes its service.
    Rerouted,
}

impl Class {
    /// All classes with their weights.
    pub const ALL: [(Class, u32); 4] = [
        (Class::Idempotent, 3),
        (Class::NonIdempotent, 3),
        (Class::Stream, 3),
        (Class::Rerouted, 2),
    ];

    /// Returns the name of the route.
    pub const fn name(self) -> &'static str {
        match self {
            Class::Idempotent => "look",
            Class::NonIdempotent => "file",
            Class::Stream => "chat",
            Class::Rerouted => "move",
        }
    }

    /// Returns the time limit of the route, which is also the callers' deadline.
    pub const fn timeout(self) -> Span {
        match self {
            Class::Stream => Span::from_millis(6_000),
            _ => Span::from_millis(2_000),
        }
    }
}

/// Connection on which a call is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Opening {
    /// One that carried a call before.
    Kept,
    /// One that was opened long before.
    Early,
    /// One that is opened for the call.
    New,
}

impl Opening {
    /// All kinds.
    pub const ALL: [Opening; 3] = [Opening::Kept, Opening::Early, Opening::New];
}

/// A caller.
pub struct Caller {
    environment: Rc<Environment>,
    /// Addresses for address queries, one per entry.
    directories: Vec<SocketAddr>,
    zone: &'static str,
    name: SmolStr,
    number: usize,
    cached_addresses: Option<(Time, Addresses)>,
    connection: Option<Connection>,
    request_count: u64,
}

/// Result of an attempt.
struct Outcome {
    end: End,
    /// Least pause before a retry.
    retry_delay: Duration,
}

impl Caller {
    /// Creates a caller; `number` determines its name and zone.
    pub fn new(environment: Rc<Environment>, number: usize, entries: usize) -> Caller {
        let directory = |entry| {
            environment
                .network
                .address(Node::Entry(entry), Port::Directory)
        };
        Caller {
            directories: (0..entries).map(directory).collect(),
            zone: ZONES[number % ZONES.len()],
            name: format_smolstr!("c{number}"),
            number,
            cached_addresses: None,
            connection: None,
            request_count: 0,
            environment,
        }
    }

    /// Sends requests until that time, which may still change.
    pub async fn run(mut self, until: watch::Receiver<Time>) {
        while self.environment.clock.now() < *until.borrow() {
            let pause = self.draw(0..MAX_PAUSE_MS);
            tokio::time::sleep(Duration::from_millis(pause)).await;
            self.request().await;
        }
    }

    /// Sends one request and retries it as its class allows.
    async fn request(&mut self) {
        let class = self.draw_class();
        self.request_count += 1;
        let name = format!("{}.{}", self.name, self.request_count);
        let events = self.draw(EVENT_COUNT);
        let stream = (class == Class::Stream).then_some(Stream { name, events });
        let mut leaves = class != Class::NonIdempotent && self.chance(LEAVE_SHARE);
        let mut progress = Progress {
            first_sent_at: self.environment.clock.now(),
            ..Progress::default()
        };
        for number in 0..MAX_ATTEMPTS {
            let path = match &stream {
                Some(stream) => stream.path(),
                None => format!("/{}/{}", class.name(), self.request_count),
            };
            let id = format_smolstr!("{}.{}.{number}", self.name, self.request_count);
            let attempt = caller::Attempt {
                id,
                host: HOST.into(),
                path,
                key: KEY.into(),
                deadline: class.timeout().as_duration(),
                continuation: progress.continuation(),
                prompt: self.prompt(stream.is_some()),
            };
            let attempting = self.attempt(class, &attempt, stream.as_ref(), &mut progress, leaves);
            let Some(outcome) = attempting.await else {
                return;
            };
            let returns = self.draw_return(&outcome.end, &progress);
            if returns.is_none() && !may_retry(class, &outcome.end) {
                return;
            }
            leaves &= returns.is_none();
            let pause = returns.unwrap_or(Duration::ZERO);
            tokio::time::sleep(pause.max(outcome.retry_delay)).await;
        }
    }

    /// Draws the pause after which the caller returns to a stream that it left or that broke off: none, or one that ends
    /// by the time limit of its first attempt and the time for returns.
    fn draw_return(&self, end: &End, progress: &Progress) -> Option<Duration> {
        let return_time = self.environment.return_time.get();
        let interrupted = matches!(end, End::Left | End::Broken | End::Unanswered);
        if return_time == Span::ZERO || progress.last_event == 0 || !interrupted {
            return None;
        }
        let until = progress.first_sent_at + Class::Stream.timeout() + return_time;
        let left = until.since(self.environment.clock.now());
        let is_late = self.chance(LATE_RETURN_SHARE) && left > Span::ZERO;
        let pause = if is_late {
            self.draw(0..left.as_millis())
        } else {
            0
        };
        Some(Duration::from_millis(pause))
    }

    /// Sends one prompt with a part, which isn't retried.
    pub async fn ask_with_part(mut self, part: SmolStr) {
        let name = format!("{}.1", self.name);
        let stream = Stream { name, events: 5 };
        let own = format_smolstr!("f{:x}", self.number);
        let attempt = caller::Attempt {
            id: format_smolstr!("{}.1.0", self.name),
            host: HOST.into(),
            path: stream.path(),
            key: KEY.into(),
            deadline: Class::Stream.timeout().as_duration(),
            continuation: None,
            prompt: vec![COMMON_PART.into(), part, own],
        };
        let mut progress = Progress::default();
        self.attempt(Class::Stream, &attempt, Some(&stream), &mut progress, false)
            .await;
    }

    /// Sends one call to an entry at that time, which isn't retried.
    pub async fn call_late(mut self, entry: SocketAddr, opening: Opening, at: Time) {
        if opening != Opening::New {
            self.connection = exchange::connect(entry).await;
        }
        if opening == Opening::Kept {
            self.call().await;
        }
        tokio::time::sleep(at.since(self.environment.clock.now()).as_duration()).await;
        if opening == Opening::New {
            self.connection = exchange::connect(entry).await;
        }
        if self.connection.is_some() {
            self.call().await;
        }
    }

    async fn call(&mut self) {
        let class = [Class::Idempotent, Class::NonIdempotent][self.number % 2];
        self.request_count += 1;
        let attempt = caller::Attempt {
            id: format_smolstr!("{}.{}.0", self.name, self.request_count),
            host: HOST.into(),
            path: format!("/{}/{}", class.name(), self.request_count),
            key: KEY.into(),
            deadline: class.timeout().as_duration(),
            continuation: None,
            prompt: Vec::new(),
        };
        let mut progress = Progress::default();
        self.attempt(class, &attempt, None, &mut progress, false)
            .await;
    }

    /// Returns whether the caller knows the end of a stream only by the end of its connection.
    fn speaks_http_10(&self) -> bool {
        self.environment.has_http_10.get() && self.number.is_multiple_of(HTTP_10_INTERVAL)
    }

    /// Returns the prompt of the next request: a part of all streams, one of some, and one of its own.
    fn prompt(&self, is_stream: bool) -> Vec<SmolStr> {
        if !is_stream || !self.environment.has_prompts.get() {
            return Vec::new();
        }
        let subject = format_smolstr!("{:x}", 0x100 + self.request_count % SUBJECTS);
        let own = format_smolstr!("e{:x}{:04x}", self.number, self.request_count);
        vec![COMMON_PART.into(), subject, own]
    }

    /// Makes one attempt and records its end. Returns none if no entry could be reached.
    async fn attempt(
        &mut self,
        class: Class,
        attempt: &caller::Attempt,
        stream: Option<&Stream>,
        progress: &mut Progress,
        leaves: bool,
    ) -> Option<Outcome> {
        let mut connection = match self.take_connection() {
            Some(connection) => connection,
            None => {
                let entry = self.choose_entry().await?;
                match exchange::connect(entry).await {
                    Some(connection) => connection,
                    // An address that refused a connection isn't used again until addresses are refreshed.
                    None => {
                        self.cached_addresses = None;
                        return None;
                    }
                }
            }
        };
        let mut request = caller::request(attempt).ok()?;
        if self.speaks_http_10() {
            *request.version_mut() = Version::HTTP_10;
        }
        self.environment
            .ledger
            .borrow_mut()
            .record_attempt(Attempt {
                id: attempt.id.clone(),
                class,
                entry: exchange::entry_index(connection.entry),
                crashes: self.environment.crashes(&attempt.prompt),
                reused: connection.reused,
                sent_at: self.environment.clock.now(),
                returns_after: progress.returns_after(self.environment.clock.now()),
                version: progress.version.clone(),
                ended: None,
            });
        let wait = match leaves {
            true => LEAVE_DELAY,
            false => attempt.deadline + LATE_ANSWER_WAIT,
        };
        let ledger = &self.environment.ledger;
        let clock = self.environment.clock;
        let entry = exchange::entry_index(connection.entry);
        let record = |headers: &HeaderMap| {
            if let Some(replica) = leaving_replica(headers) {
                let mut ledger = ledger.borrow_mut();
                ledger.notices.record_leave(entry, replica, clock.now());
            }
        };
        let exchanging = exchange(&mut connection, request, attempt, stream, progress, record);
        let (end, retry_delay, stays_open) = match tokio::time::timeout(wait, exchanging).await {
            Ok(answered) => answered,
            Err(_) if leaves => (End::Left, Duration::ZERO, false),
            Err(_) => (End::Waited, Duration::ZERO, false),
        };
        let passage = connection
            .local
            .and_then(|local| self.environment.passages.get(local));
        if stays_open {
            connection.reused = true;
            self.connection = Some(connection);
        }
        let now = self.environment.clock.now();
        let mut ledger = self.environment.ledger.borrow_mut();
        if let Some(passage) = passage.filter(|_| end == End::Unanswered) {
            ledger.passages.insert(attempt.id.clone(), passage);
        }
        ledger.record_end(&attempt.id, now, end.clone());
        Some(Outcome { end, retry_delay })
    }

    /// Takes the open connection, unless it is unusable or a new one is drawn.
    fn take_connection(&mut self) -> Option<Connection> {
        let draws_new = self.chance(NEW_CONNECTION_SHARE);
        let connection = self.connection.take()?;
        let usable = !draws_new && connection.sender.is_ready();
        usable.then_some(connection)
    }

    /// Chooses a random entry from the cached addresses, which are refreshed once they expire.
    async fn choose_entry(&mut self) -> Option<SocketAddr> {
        let now = self.environment.clock.now();
        let is_fresh =
            |(at, addresses): &(Time, Addresses)| now.since(*at).as_duration() < addresses.ttl;
        if !self.cached_addresses.as_ref().is_some_and(is_fresh) {
            let directory = self.directories[self.draw(0..self.directories.len() as u64) as usize];
            let query = tokio::time::timeout(
                QUERY_TIMEOUT,
                exchange::query_addresses(directory, self.zone),
            );
            if let Ok(Some(addresses)) = query.await {
                self.cached_addresses = Some((self.environment.clock.now(), addresses));
            }
        }
        let entries = self
            .cached_addresses
            .as_ref()
            .map(|(_, addresses)| addresses.entries.clone())?;
        Some(entries[self.draw(0..entries.len() as u64) as usize])
    }

    fn draw(&self, range: std::ops::Range<u64>) -> u64 {
        self.environment.random.borrow_mut().random_range(range)
    }

    fn chance(&self, share: f64) -> bool {
        self.environment.random.borrow_mut().random::<f64>() < share
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
        Class::Idempotent
    }
}

/// Returns whether a caller retries a request of that class after such an end.
fn may_retry(class: Class, end: &End) -> bool {
    match end {
        End::Answered(200) | End::Left | End::Waited | End::Wrong(_) => false,
        End::Answered(status) => class != Class::NonIdempotent || *status == 503,
        End::Broken | End::Unanswered | End::NotSent => class != Class::NonIdempotent,
    }
}

/// Returns the replica that announces its leave in an answer, if one does.
fn leaving_replica(headers: &HeaderMap) -> Option<usize> {
    let origin = caller::origin(headers).filter(|origin| origin.leaving)?;
    let index = origin.signature.strip_prefix(SIGNATURE_PREFIX)?;
    index.parse().ok()
}
