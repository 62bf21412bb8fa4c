//! In-memory replicas that misbehave on demand.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use anyhow::Result;
use bytes::Bytes;
use futures::stream;
use http::Request;
use http::Response;
use http::StatusCode;
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

use crate::content;
use crate::content::Stream;
use crate::ledger::Run;
use crate::proxy::Proxy;
use crate::scene::Party;
use crate::scene::Port;
use crate::scene::Shared;
use crate::scene::ZONES;
use crate::scene::unix_ms;
use crate::server;
use crate::server::Body;
use crate::server::Lost;

/// Time that a plain call takes.
const WORK: Duration = Duration::from_millis(30);
/// Time between two events of a stream.
const PAUSE: Duration = Duration::from_millis(25);
/// Factor by which slow work takes longer.
const SLOW: u32 = 8;

/// Behavior of a replica towards requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Manner {
    /// Every request is served.
    Good,
    /// This share of requests is answered with status 500.
    Fails(f64),
    /// This share of answers is lost; their streams break off halfway.
    LosesAnswers(f64),
    /// All work takes several times as long.
    Slow,
}

/// A replica.
pub struct Replica {
    /// Index of the replica.
    pub index: usize,
    /// Service to which the replica belongs.
    pub service: SmolStr,
    /// Proxy in front of the replica.
    pub link: Proxy,
    shared: Rc<Shared>,
    id: RefCell<SmolStr>,
    born: Cell<u64>,
    manner: Cell<Manner>,
    up: watch::Sender<bool>,
}

/// Records the end of a run when dropped: the work is done, or its connection was closed.
struct Work {
    shared: Rc<Shared>,
    run: usize,
}

impl Drop for Work {
    fn drop(&mut self) {
        let now = self.shared.clock.now();
        self.shared.ledger.borrow_mut().finished(self.run, now);
    }
}

impl Replica {
    /// Starts a replica and writes its row.
    pub async fn start(shared: Rc<Shared>, index: usize, service: &str) -> Result<Rc<Replica>> {
        let party = Party::Replica(index);
        let server = shared.network.address(party, Port::Requests);
        let link = Proxy::start(shared.network.address(party, Port::RequestsLink), server).await?;
        let up = watch::Sender::new(true);
        let mut state = up.subscribe();
        let replica = Rc::new(Replica {
            index,
            service: service.into(),
            link,
            shared,
            id: RefCell::new(format_smolstr!("i-{index}")),
            born: Cell::new(unix_ms()),
            manner: Cell::new(Manner::Good),
            up,
        });
        replica.announce(false);
        let serving = Rc::clone(&replica);
        tokio::task::spawn_local(async move {
            while state.wait_for(|up| *up).await.is_ok() {
                let Ok(listener) = server::bind(server).await else {
                    tokio::time::sleep(WORK).await;
                    continue;
                };
                let mut connections = JoinSet::new();
                loop {
                    tokio::select! {
                        Ok((socket, _)) = listener.accept() => {
                            let served = server::serve(socket, Rc::clone(&serving), answer);
                            connections.spawn_local(served);
                        }
                        _ = state.wait_for(|up| !*up) => break,
                    }
                }
            }
        });
        Ok(replica)
    }

    /// Sets the behavior towards further requests.
    pub fn set(&self, manner: Manner) {
        self.manner.set(manner);
    }

    /// Ends the replica without notice; its row stays until [`Replica::forget`].
    pub fn crash(&self) {
        self.up.send_replace(false);
    }

    /// Restarts the replica under the same id, with no state from before.
    pub fn revive(&self) {
        self.born.set(unix_ms());
        self.manner.set(Manner::Good);
        self.up.send_replace(true);
        let index = self.index;
        self.shared.ledger.borrow_mut().leaving.remove(&index);
        self.announce(false);
    }

    /// Announces in the replica's row that it leaves.
    pub fn leave(&self) {
        self.announce(true);
        let now = self.shared.clock.now();
        let mut ledger = self.shared.ledger.borrow_mut();
        ledger.leaving.insert(self.index, now);
    }

    /// Removes the replica's row.
    pub fn forget(&self) {
        self.shared
            .tables
            .put(replica::TABLE, &self.id.borrow(), None);
    }

    fn announce(&self, leaving: bool) {
        let row = Row {
            service: self.service.clone(),
            address: self.link.address.to_smolstr(),
            zone: ZONES[self.index % ZONES.len()].into(),
            slots: 32,
            leaving,
            started_ms: self.born.get(),
        };
        let id = self.id.borrow();
        self.shared
            .tables
            .put(replica::TABLE, &id, Some(row.encode()));
    }

    fn chance(&self, share: f64) -> bool {
        self.shared.random.borrow_mut().random::<f64>() < share
    }

    fn begin(&self, received: &Received) -> Work {
        let run = self.shared.ledger.borrow_mut().began(Run {
            attempt: received.attempt.clone(),
            replica: self.index,
            service: self.service.clone(),
            began: self.shared.clock.now(),
            ended: None,
        });
        Work {
            shared: Rc::clone(&self.shared),
            run,
        }
    }

    /// Returns the time that work takes which takes `usual` when the replica isn't slow.
    fn pace(&self, usual: Duration) -> Duration {
        match self.manner.get() {
            Manner::Slow => usual * SLOW,
            _ => usual,
        }
    }
}

/// Answers one request.
async fn answer(replica: Rc<Replica>, request: Request<Incoming>) -> Result<Response<Body>, Lost> {
    let (head, body) = request.into_parts();
    body.collect().await.map_err(|_| Lost)?;
    let Some(received) = replica::received(&head) else {
        return Ok(server::whole(replica::not_run(true)));
    };
    if received.expected.as_deref() != Some(replica.id.borrow().as_str()) {
        return Ok(server::whole(replica::not_run(false)));
    }
    let work = replica.begin(&received);
    tokio::time::sleep(replica.pace(WORK)).await;
    let loses = match replica.manner.get() {
        Manner::Fails(share) if replica.chance(share) => {
            return Ok(failure(&received));
        }
        Manner::LosesAnswers(share) => replica.chance(share),
        _ => false,
    };
    if let Some(stream) = Stream::of(head.uri.path()) {
        return Ok(streamed(replica, work, &received, stream, loses));
    }
    if loses {
        return Err(Lost);
    }
    let body = content::body_of(&received.attempt);
    let mut response = Response::new(Bytes::from(body));
    *response.headers_mut() = replica::answer_headers(&received.attempt);
    Ok(server::whole(response))
}

fn failure(received: &Received) -> Response<Body> {
    let mut response = Response::new(Bytes::new());
    *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
    *response.headers_mut() = replica::answer_headers(&received.attempt);
    server::whole(response)
}

/// Streams the events after the caller's last one; breaks off halfway through them if `loses` is set.
fn streamed(
    replica: Rc<Replica>,
    work: Work,
    received: &Received,
    stream: Stream,
    loses: bool,
) -> Response<Body> {
    let half = received.last_event + stream.events.saturating_sub(received.last_event) / 2;
    let state = (received.last_event, replica, work);
    let made = stream::unfold(state, move |(last, replica, work)| {
        let stream = stream.clone();
        async move {
            if last >= stream.events {
                return None;
            }
            if loses && last >= half {
                return Some((Err(Lost), (last, replica, work)));
            }
            tokio::time::sleep(replica.pace(PAUSE)).await;
            let event = Bytes::from(stream.event(last + 1));
            Some((Ok(Frame::data(event)), (last + 1, replica, work)))
        }
    });
    let body: Body = Box::pin(StreamBody::new(made));
    let mut response = Response::new(body);
    *response.headers_mut() = replica::answer_headers(&received.attempt);
    response
}
