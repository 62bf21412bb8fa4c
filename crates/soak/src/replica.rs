//! In-memory replicas that misbehave on demand.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use anyhow::Result;
use bytes::Bytes;
use clock::Span;
use clock::Time;
use futures::stream;
use http::HeaderMap;
use http::Request;
use http::Response;
use http::StatusCode;
use http::Version;
use http::header;
use http::header::HeaderValue;
use http_body_util::BodyExt;
use http_body_util::StreamBody;
use hyper::body::Frame;
use hyper::body::Incoming;
use mirror::replica;
use mirror::replica::Received;
use mirror::replica::Row;
use rand::RngExt;
use smol_str::SmolStr;
use smol_str::ToSmolStr;
use smol_str::format_smolstr;
use tokio::sync::watch;
use tokio::task::JoinSet;

use crate::configs::size::Size;
use crate::content;
use crate::content::Stream;
use crate::environment::Environment;
use crate::environment::Node;
use crate::environment::Port;
use crate::environment::ZONES;
use crate::environment::unix_ms;
use crate::ledger::Run;
use crate::proxy::Proxy;
use crate::server;
use crate::server::Body;
use crate::server::Disconnected;
use crate::server::Http11;
use crate::stall;
use crate::stall::Part;

/// Start of a replica's signature, followed by its index.
pub const SIGNATURE_PREFIX: &str = "soak.";
/// Start of a replica's id, followed by its index.
pub const ID_PREFIX: &str = "i-";
/// Requests that a brittle replica runs at once.
const BRITTLE_ROOM: usize = 3;
/// Requests that a brittle replica can turn away within a second.
const BRITTLE_REJECTIONS: u32 = 12;
/// Time after a replica's first statement from which its room is small.
const BRITTLE_NOTICE: Span = Span::from_millis(3_000);
/// Time that a plain call takes.
const CALL_TIME: Duration = Duration::from_millis(30);
/// Time between two events of a stream.
const EVENT_INTERVAL: Duration = Duration::from_millis(25);
/// Time within which a replica that crashes has ended.
const CRASH_TIME: Duration = Duration::from_secs(1);
/// Time between the halves of a plain body without a length.
const HALF_INTERVAL: Duration = Duration::from_millis(25);
/// Pause that a replica asks for when it turns a request away.
const PAUSE: Span = Span::from_millis(2_500);
/// Factor by which slow work takes longer.
const SLOWDOWN: u32 = 8;

/// Time between two blocks of an answer without end.
const BLOCK_INTERVAL: Duration = Duration::from_millis(5);
/// Size of a block in an answer without end, which reaches the limits of size within a second.
const BLOCK_BYTES: usize = 64 << 10;
/// Size of a block in a slow answer without end, which reaches only the limits of time.
const SLOW_BLOCK_BYTES: usize = 16;

/// Behavior of a replica towards requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Behavior {
    /// Every request is served.
    Good,
    /// This share of requests is answered with status 500.
    Fails(f64),
    /// This share of answers is lost; their streams break off halfway.
    LosesAnswers(f64),
    /// This share of answers goes on until the connection is closed; their streams hold no event from halfway on.
    Endless(f64),
    /// This share of requests is turned away, each with a pause.
    TurnsAway(f64),
    /// This share of answers has neither a length nor chunks.
    Undelimited(f64),
    /// All work takes several times as long.
    Slow,
    /// Since this time all answers state that the replica is brittle; after a notice it has little room.
    Brittle(Time),
}

/// End of an answer.
#[derive(Clone, Debug)]
enum Ending {
    /// The answer is complete.
    Whole,
    /// The answer is complete once the connection closes.
    Undelimited,
    /// The connection closes early.
    BreaksOff,
    /// This block follows until the connection is closed.
    Endless(Bytes),
}

/// A replica.
pub struct Replica {
    /// Index of the replica.
    pub index: usize,
    /// Service to which the replica belongs.
    pub service: SmolStr,
    /// Proxy in front of the replica.
    pub proxy: Proxy,
    environment: Rc<Environment>,
    id: RefCell<SmolStr>,
    started_ms: Cell<u64>,
    /// Number of restarts, by which its software version changes.
    restarts: Cell<usize>,
    /// Software versions that replicas run side by side.
    versions: usize,
    /// The version that releases have given it, and the one of the next process.
    released: Cell<Option<usize>>,
    next_release: Cell<Option<usize>>,
    behavior: Cell<Behavior>,
    /// Whether answers announce that the replica is leaving.
    is_leaving: Cell<bool>,
    /// Work in progress.
    busy: Cell<usize>,
    /// Answers without a length or chunks of which a part has been sent.
    partial_answers: Cell<usize>,
    /// Times of recent rejections for want of room.
    rejections: RefCell<VecDeque<Time>>,
    is_running: watch::Sender<bool>,
    /// Whether it began to answer a prompt with a crashing part.
    is_hit: Cell<bool>,
}

/// Records the end of a run when dropped: the work is done, or its connection was closed.
struct RunGuard {
    replica: Rc<Replica>,
    run: usize,
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        let replica = &self.replica;
        replica.busy.set(replica.busy.get() - 1);
        let now = replica.environment.clock.now();
        let mut ledger = replica.environment.ledger.borrow_mut();
        ledger.finish_run(self.run, now);
    }
}

impl Replica {
    /// Starts a replica and writes its row.
    pub async fn start(
        environment: Rc<Environment>,
        index: usize,
        service: &str,
        size: &Size,
    ) -> Result<Rc<Replica>> {
        let node = Node::Replica(index);
        let server = environment.network.address(node, Port::Requests);
        let proxy = Proxy::start(
            environment.network.address(node, Port::RequestsProxy),
            server,
        )
        .await?;
        let is_running = watch::Sender::new(true);
        let mut running = is_running.subscribe();
        let replica = Rc::new(Replica {
            index,
            service: service.into(),
            proxy,
            environment,
            id: RefCell::new(format_smolstr!("{ID_PREFIX}{index}")),
            started_ms: Cell::new(unix_ms()),
            restarts: Cell::new(0),
            versions: size.versions,
            released: Cell::new((size.release_count > 0).then_some(0)),
            next_release: Cell::new((size.release_count > 0).then_some(0)),
            behavior: Cell::new(Behavior::Good),
            is_leaving: Cell::new(false),
            busy: Cell::new(0),
            partial_answers: Cell::new(0),
            rejections: RefCell::default(),
            is_running,
            is_hit: Cell::new(false),
        });
        replica.write_row(false);
        let serving = Rc::clone(&replica);
        stall::spawn(Part::Replicas, async move {
            while running.wait_for(|is_running| *is_running).await.is_ok() {
                let Ok(listener) = server::bind(server).await else {
                    tokio::time::sleep(CALL_TIME).await;
                    continue;
                };
                let mut connections = JoinSet::new();
                let mut states_http_11 = false;
                loop {
                    tokio::select! {
                                            Ok((socket, _)) = listener.accept() => {
                                                let replica = Rc::clone(&serving);
                                                states_http_11 = !states_http_11;
                                                if states_http_11 {
                                                    let socket = Http11(socket);
                                                    let serving = server::serve(socket, replica, answer);
                    connections.spawn_local(stall::timed(Part::Replicas, serving));
                                                } else {
                                                    let serving = server::serve(socket, replica, answer);
                    connections.spawn_local(stall::timed(Part::Replicas, serving));
                                                }
                                            }
                                            _ = running.wait_for(|is_running| !*is_running) => break,
                                        }
                }
            }
        });
        Ok(replica)
    }

    /// Sets the behavior towards further requests.
    pub fn set_behavior(&self, behavior: Behavior) {
        self.behavior.set(behavior);
    }

    /// Ends the replica without notice; its row stays until [`Replica::remove_row`].
    pub fn crash(&self) {
        self.is_running.send_replace(false);
    }

    /// Returns whether an answer without a length or chunks has been sent in part.
    pub fn has_partial_answer(&self) -> bool {
        self.partial_answers.get() > 0
    }

    /// Returns whether the replica began to answer a prompt with a crashing part, once.
    pub fn take_hit(&self) -> bool {
        self.is_hit.take() && *self.is_running.borrow()
    }

    /// Records the arrival of a prompt on a part of which replicas crash now; returns the part.
    fn record_crash_part(&self, received: &Received, entry: Option<usize>) -> Option<SmolStr> {
        let parts = self.environment.crash_parts.borrow();
        let part = received.prompt.iter().find(|part| parts.contains(*part))?;
        if let Some(entry) = entry {
            let now = self.environment.clock.now();
            let mut ledger = self.environment.ledger.borrow_mut();
            ledger.part_arrivals.push((part.clone(), entry, now));
        }
        Some(part.clone())
    }

    /// Lets the replica crash on a part of a prompt.
    fn hit(&self, part: SmolStr) {
        if !self.is_hit.replace(true) {
            let now = self.environment.clock.now();
            let mut ledger = self.environment.ledger.borrow_mut();
            ledger.part_crashes.push((part, now));
        }
    }

    /// Restarts the replica under the same id, with no state from before. A process that another fault restarted already
    /// runs on and keeps its version.
    pub fn restart(&self) {
        if !*self.is_running.borrow() {
            self.started_ms.set(unix_ms());
            self.restarts.set(self.restarts.get() + 1);
            self.released.set(self.next_release.get());
        }
        self.behavior.set(Behavior::Good);
        self.is_leaving.set(false);
        self.is_running.send_replace(true);
        let mut ledger = self.environment.ledger.borrow_mut();
        ledger.leaving_since.remove(&self.index);
        ledger.notices.forget_replica(self.index);
        drop(ledger);
        self.write_row(false);
    }

    /// Returns whether the replica has announced that it leaves, and no other process has taken its place.
    pub fn is_leaving(&self) -> bool {
        self.is_leaving.get()
    }

    /// Sets the version of the next process, and of those after it.
    pub fn plan_release(&self, version: usize) {
        self.next_release.set(Some(version % self.versions));
    }

    /// Announces in answers that the replica leaves, but not in its row.
    pub fn announce_leaving_in_answers(&self) {
        self.is_leaving.set(true);
    }

    /// Announces in the replica's row and answers that it leaves.
    pub fn announce_leaving(&self) {
        self.announce_leaving_in_answers();
        self.write_row(true);
        let now = self.environment.clock.now();
        let mut ledger = self.environment.ledger.borrow_mut();
        ledger.leaving_since.insert(self.index, now);
    }

    /// Removes the replica's row.
    pub fn remove_row(&self) {
        self.environment
            .tables
            .put(replica::TABLE, &self.id.borrow(), None);
    }

    /// Returns the software version of the running process.
    pub fn version(&self) -> SmolStr {
        let own = (self.index + self.restarts.get()) % self.versions;
        format_smolstr!("v{}", self.released.get().unwrap_or(own))
    }

    fn write_row(&self, leaving: bool) {
        let row = Row {
            service: self.service.clone(),
            address: self.proxy.address.to_smolstr(),
            zone: ZONES[self.index % ZONES.len()].into(),
            version: self.version(),
            slots: 32,
            leaving,
            started_ms: self.started_ms.get(),
        };
        let id = self.id.borrow();
        self.environment
            .tables
            .put(replica::TABLE, &id, Some(row.encode()));
    }

    fn chance(&self, share: f64) -> bool {
        self.environment.random.borrow_mut().random::<f64>() < share
    }

    /// Returns the headers of an answer to a request.
    fn answer_headers(&self, received: &Received) -> HeaderMap {
        let signature = format_smolstr!("{SIGNATURE_PREFIX}{}", self.index);
        let mut headers = replica::answer_headers(&received.attempt, &signature);
        if self.is_leaving.get() {
            replica::announce_leave(&mut headers);
        }
        self.state_brittle(&mut headers);
        headers
    }

    /// Records a request and returns the entry that sent it, if it is known.
    fn record_arrival(&self, received: &Received) -> Option<usize> {
        let now = self.environment.clock.now();
        let mut ledger = self.environment.ledger.borrow_mut();
        ledger.record_arrival(&received.attempt, self.index, now)
    }

    /// Turns a request of an entry away if the replica does so now, and asks the entry for a pause.
    fn turn_away(&self, entry: Option<usize>) -> Option<Response<Body>> {
        let Behavior::TurnsAway(share) = self.behavior.get() else {
            return None;
        };
        if !self.chance(share) {
            return None;
        }
        if let Some(entry) = entry {
            let now = self.environment.clock.now();
            let mut ledger = self.environment.ledger.borrow_mut();
            ledger.notices.record_pause(entry, self.index, now, PAUSE);
        }
        Some(server::complete(replica::paused(PAUSE.as_duration())))
    }

    fn state_brittle(&self, headers: &mut HeaderMap) {
        if let Behavior::Brittle(_) = self.behavior.get() {
            replica::state_brittle(headers, BRITTLE_REJECTIONS);
        }
    }

    /// Turns a request away if a brittle replica has no room for it, and records if it would fail by that.
    fn turn_away_brittle(&self) -> Option<Response<Body>> {
        let Behavior::Brittle(since) = self.behavior.get() else {
            return None;
        };
        let now = self.environment.clock.now();
        if now < since + BRITTLE_NOTICE || self.busy.get() < BRITTLE_ROOM {
            return None;
        }
        let mut rejections = self.rejections.borrow_mut();
        rejections.retain(|at| now.since(*at) < Span::from_seconds(1));
        rejections.push_back(now);
        if rejections.len() > BRITTLE_REJECTIONS as usize {
            rejections.clear();
            let mut ledger = self.environment.ledger.borrow_mut();
            ledger.brittle_failures.push((self.index, now));
        }
        let mut refusal = replica::not_run(true);
        self.state_brittle(refusal.headers_mut());
        Some(server::complete(refusal))
    }

    fn begin_run(self: &Rc<Self>, received: &Received) -> RunGuard {
        let run = self.environment.ledger.borrow_mut().record_run(Run {
            attempt: received.attempt.clone(),
            replica: self.index,
            service: self.service.clone(),
            began_at: self.environment.clock.now(),
            ended_at: None,
        });
        self.busy.set(self.busy.get() + 1);
        RunGuard {
            replica: Rc::clone(self),
            run,
        }
    }

    /// Returns the time that work takes which takes `usual` when the replica isn't slow.
    fn work_time(&self, usual: Duration) -> Duration {
        match self.behavior.get() {
            Behavior::Slow => usual * SLOWDOWN,
            _ => usual,
        }
    }
}

/// Answers one request.
async fn answer(
    replica: Rc<Replica>,
    request: Request<Incoming>,
) -> Result<Response<Body>, Disconnected> {
    let (head, body) = request.into_parts();
    body.collect().await.map_err(|_| Disconnected)?;
    if replica::asks_report(&head) {
        return Ok(server::complete(replica::report(replica.started_ms.get())));
    }
    let Some(received) = replica::received(&head) else {
        return Ok(server::complete(replica::not_run(true)));
    };
    if received.expected.as_deref() != Some(replica.id.borrow().as_str()) {
        return Ok(server::complete(replica::not_run(false)));
    }
    let entry = replica.record_arrival(&received);
    if let Some(refusal) = replica.turn_away(entry) {
        return Ok(refusal);
    }
    if let Some(refusal) = replica.turn_away_brittle() {
        return Ok(refusal);
    }
    let guard = replica.begin_run(&received);
    let crash_part = replica.record_crash_part(&received, entry);
    tokio::time::sleep(replica.work_time(CALL_TIME)).await;
    if let Some(part) = crash_part {
        return crash_on(replica, &received, part).await;
    }
    let ending = match replica.behavior.get() {
        Behavior::Fails(share) if replica.chance(share) => {
            return Ok(failure_response(&replica, &received));
        }
        Behavior::LosesAnswers(share) if replica.chance(share) => Ending::BreaksOff,
        Behavior::Endless(share) if replica.chance(share) => {
            let is_slow = replica.chance(0.5);
            Ending::Endless(endless_block(is_slow))
        }
        Behavior::Undelimited(share) if replica.chance(share) => Ending::Undelimited,
        _ => Ending::Whole,
    };
    if let Some(stream) = Stream::parse(head.uri.path()) {
        return Ok(stream_response(replica, guard, &received, stream, ending));
    }
    match ending {
        Ending::Whole => {}
        Ending::BreaksOff => return Err(Disconnected),
        Ending::Endless(block) => return Ok(endless_response(&replica, guard, &received, block)),
        Ending::Undelimited => return Ok(undelimited_response(replica, guard, &received)),
    }
    let body = content::call_body(&received.attempt);
    let mut response = Response::new(Bytes::from(body));
    *response.headers_mut() = replica.answer_headers(&received);
    Ok(server::complete(response))
}

/// Ends the replica before or after the head of its answer to a prompt.
async fn crash_on(
    replica: Rc<Replica>,
    received: &Received,
    part: SmolStr,
) -> Result<Response<Body>, Disconnected> {
    replica.hit(part);
    let has_head = replica.chance(0.5);
    if !has_head {
        tokio::time::sleep(CRASH_TIME).await;
        return Err(Disconnected);
    }
    let ending = stream::once(async {
        tokio::time::sleep(CRASH_TIME).await;
        Err(Disconnected)
    });
    let body: Body = Box::pin(StreamBody::new(ending));
    let mut response = Response::new(body);
    *response.headers_mut() = replica.answer_headers(received);
    Ok(response)
}

fn failure_response(replica: &Replica, received: &Received) -> Response<Body> {
    let mut response = Response::new(Bytes::new());
    *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
    *response.headers_mut() = replica.answer_headers(received);
    server::complete(response)
}

/// Returns the block that an answer without end repeats; it contains no event boundary.
fn endless_block(is_slow: bool) -> Bytes {
    let size = if is_slow {
        SLOW_BLOCK_BYTES
    } else {
        BLOCK_BYTES
    };
    Bytes::from(vec![b'x'; size])
}

/// Answers a plain call without end.
fn endless_response(
    replica: &Replica,
    guard: RunGuard,
    received: &Received,
    block: Bytes,
) -> Response<Body> {
    let blocks = stream::unfold(guard, move |guard| {
        let block = block.clone();
        async move {
            tokio::time::sleep(BLOCK_INTERVAL).await;
            Some((Ok(Frame::data(block)), guard))
        }
    });
    let body: Body = Box::pin(StreamBody::new(blocks));
    let mut response = Response::new(body);
    *response.headers_mut() = replica.answer_headers(received);
    response
}

/// Counts an answer without a length or chunks while a part of it has been sent.
struct PartialAnswer(Rc<Replica>);

impl PartialAnswer {
    fn begin(replica: &Rc<Replica>) -> PartialAnswer {
        let count = &replica.partial_answers;
        count.set(count.get() + 1);
        PartialAnswer(Rc::clone(replica))
    }
}

impl Drop for PartialAnswer {
    fn drop(&mut self) {
        let count = &self.0.partial_answers;
        count.set(count.get() - 1);
    }
}

/// Lets only the end of its connection mark the end of an answer; some say that the connection closes.
fn undelimit(replica: &Replica, response: &mut Response<Body>) {
    *response.version_mut() = Version::HTTP_10;
    if replica.chance(0.5) {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
}

/// Answers a plain call in two halves.
fn undelimited_response(
    replica: Rc<Replica>,
    guard: RunGuard,
    received: &Received,
) -> Response<Body> {
    let mut first = Bytes::from(content::call_body(&received.attempt));
    let second = first.split_off(first.len() / 2);
    let partial = PartialAnswer::begin(&replica);
    let halves = stream::unfold(Some((first, true)), move |half| {
        let _held = (&guard, &partial);
        let second = second.clone();
        async move {
            let (half, is_first) = half?;
            if !is_first {
                tokio::time::sleep(HALF_INTERVAL).await;
            }
            Some((Ok(Frame::data(half)), is_first.then_some((second, false))))
        }
    });
    let body: Body = Box::pin(StreamBody::new(halves));
    let mut response = Response::new(body);
    *response.headers_mut() = replica.answer_headers(received);
    undelimit(&replica, &mut response);
    response
}

/// Streams the events after the caller's last one; some endings begin halfway through them.
fn stream_response(
    replica: Rc<Replica>,
    guard: RunGuard,
    received: &Received,
    stream: Stream,
    ending: Ending,
) -> Response<Body> {
    let half = received.last_event + stream.events.saturating_sub(received.last_event) / 2;
    let headers = replica.answer_headers(received);
    let version = replica.version();
    let is_undelimited = matches!(ending, Ending::Undelimited);
    let partial = is_undelimited.then(|| PartialAnswer::begin(&replica));
    let answering = Rc::clone(&replica);
    let state = (received.last_event, replica, guard);
    let events = stream::unfold(state, move |(last, replica, guard)| {
        let (stream, version) = (stream.clone(), version.clone());
        let ending = ending.clone();
        let _held = &partial;
        async move {
            if last >= stream.events {
                return None;
            }
            match ending {
                Ending::BreaksOff if last >= half => {
                    return Some((Err(Disconnected), (last, replica, guard)));
                }
                Ending::Endless(block) if last >= half => {
                    tokio::time::sleep(BLOCK_INTERVAL).await;
                    return Some((Ok(Frame::data(block)), (last, replica, guard)));
                }
                _ => {}
            }
            tokio::time::sleep(replica.work_time(EVENT_INTERVAL)).await;
            let event = Bytes::from(stream.event(last + 1, &version));
            Some((Ok(Frame::data(event)), (last + 1, replica, guard)))
        }
    });
    let body: Body = Box::pin(StreamBody::new(events));
    let mut response = Response::new(body);
    *response.headers_mut() = headers;
    if is_undelimited {
        undelimit(&answering, &mut response);
    }
    response
}
