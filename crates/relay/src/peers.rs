//! Calls to and from other entries over capnp-rpc.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;

use bytes::Bytes;
use clock::Span;
use clock::Time;
use gateway::charging::Answer;
use gateway::charging::Grant;
use gateway::effect::Lane;
use gateway::event::Event;
use gateway::event::Source;
use lease::holder;
use member::digest::Digest;
use peer::client;
use peer::receiver;
use peer::receiver::Pending;
use peer::receiver::Receiver;
use peer::tunnel;
use policy::charge::Charge;
use request::id::Incarnation;
use request::ledger;
use request::ledger::Estate;
use smol_str::SmolStr;
use tokio::sync::oneshot;

use crate::configs::outbox;
use crate::inbox::Message;
use crate::outbox::Outbox;
use crate::reach;
use crate::shared::Shared;

/// Least interval between two log lines on lost or late digests.
const LOG_INTERVAL: Span = Span::from_seconds(1);
/// Waiting time from which on counts are logged as late.
const LATE_THRESHOLD: Span = Span::from_seconds(1);

/// Client for other entries. Calls don't block; their answers arrive as events.
pub struct Peers {
    client: client::Peers,
    local_id: Incarnation,
    shared: Rc<Shared>,
    digests: Rc<Digests>,
}

/// Sends digests to other entries.
struct Digests {
    client: client::Peers,
    shared: Rc<Shared>,
    outbox: RefCell<Outbox>,
    losses: Losses,
    /// Whether a task is scheduled to check for overdue answers.
    wake_scheduled: Cell<bool>,
    /// Time at which late counts were last logged.
    late_last_logged: Cell<Time>,
}

/// Counts digests between two log lines on losses; one line per loss would be hundreds a second on a full
/// link.
#[derive(Default)]
struct Losses {
    last_logged: Cell<Time>,
    sent: Cell<u32>,
    lost: Cell<u32>,
}

impl Losses {
    /// Counts a digest; logs losses at a limited rate.
    fn count(&self, now: Time, lost: bool) {
        self.sent.set(self.sent.get() + 1);
        self.lost.set(self.lost.get() + u32::from(lost));
        if self.lost.get() == 0 || now.since(self.last_logged.get()) < LOG_INTERVAL {
            return;
        }
        self.last_logged.set(now);
        let (sent, lost) = (self.sent.take(), self.lost.take());
        log::info!(event = "digests_lost", count = lost, of = sent; "");
    }
}

impl Digests {
    /// Sends a digest and waits for its answer.
    async fn send(&self, address: &SmolStr, digest: &Digest) {
        let sent = self.client.digest(address, digest).await;
        self.shared
            .metrics
            .count_digest(digest.size(), sent.is_ok());
        self.losses.count(self.shared.clock.now(), sent.is_err());
        if let Err(lost) = sent {
            log::debug!(event = "digest_lost", peer = address.as_str(), error = lost.0.as_str(); "");
        }
    }

    /// Sends all counts for which the outbox has room.
    fn pump(self: &Rc<Digests>) {
        let now = self.shared.clock.now();
        while let Some((address, digest)) = self.next(now) {
            let digests = Rc::clone(self);
            tokio::task::spawn_local(async move {
                digests.send(&address, &digest).await;
                let now = digests.shared.clock.now();
                digests.outbox.borrow_mut().answered(now, &address);
                digests.pump();
            });
        }
        self.publish_stats(now);
        self.schedule_wake(now);
    }

    fn next(&self, now: Time) -> Option<(SmolStr, Digest)> {
        self.outbox.borrow_mut().next(now)
    }

    /// Schedules another pump for when answers become overdue, unless one is scheduled.
    fn schedule_wake(self: &Rc<Digests>, now: Time) {
        let wake = self.outbox.borrow().next_wake();
        let Some(wake) = wake.filter(|_| !self.wake_scheduled.replace(true)) else {
            return;
        };
        let digests = Rc::clone(self);
        tokio::task::spawn_local(async move {
            tokio::time::sleep(wake.since(now).as_duration()).await;
            digests.wake_scheduled.set(false);
            digests.pump();
        });
    }

    /// Publishes the outbox's stats; logs late counts at a limited rate.
    fn publish_stats(&self, now: Time) {
        let stats = self.outbox.borrow().stats(now);
        self.shared.outbox_stats.set(stats);
        if stats.max_wait < LATE_THRESHOLD || now.since(self.late_last_logged.get()) < LOG_INTERVAL
        {
            return;
        }
        self.late_last_logged.set(now);
        let longest = stats.max_wait.as_millis();
        log::info!(event = "counts_late", waiting = stats.waiting, bytes = stats.bytes, longest_ms = longest; "");
    }
}

impl Peers {
    /// Creates a client that identifies itself as `local_id`.
    pub fn new(
        client: client::Peers,
        local_id: holder::Id,
        shared: Rc<Shared>,
        config: outbox::Config,
    ) -> Peers {
        let digests = Digests {
            client: client.clone(),
            shared: Rc::clone(&shared),
            outbox: RefCell::new(Outbox::new(config)),
            losses: Losses::default(),
            wake_scheduled: Cell::default(),
            late_last_logged: Cell::default(),
        };
        Peers {
            client,
            local_id: Incarnation(local_id.0),
            shared,
            digests: Rc::new(digests),
        }
    }

    /// Sends a digest; a lost one is not retried.
    pub fn send_digest(&self, address: SmolStr, digest: Digest, lane: Lane) {
        let immediate = match lane {
            Lane::Immediate => Some(digest),
            Lane::Coalesced => {
                let now = self.shared.clock.now();
                let mut outbox = self.digests.outbox.borrow_mut();
                outbox.enqueue(now, address.clone(), digest)
            }
        };
        if let Some(digest) = immediate {
            let digests = Rc::clone(&self.digests);
            tokio::task::spawn_local(async move { digests.send(&address, &digest).await });
        }
        if lane == Lane::Coalesced {
            self.digests.pump();
        }
    }

    /// Sends a version of the configuration; a lost one is repeated by the next round.
    pub fn send_configuration(&self, address: SmolStr, document: Bytes) {
        let client = self.client.clone();
        let local_id = self.local_id;
        tokio::task::spawn_local(async move {
            if let Err(lost) = client.configure(&address, local_id, &document).await {
                log::debug!(event = "configuration_lost", peer = address.as_str(), error = lost.0.as_str(); "");
            }
        });
    }
}

impl Peers {
    /// Requests a charge from another entry; an event reports its answer or that none arrived.
    pub fn request_charge(&self, serial: u64, charge: Charge, home: holder::Id, address: SmolStr) {
        let client = self.client.clone();
        let handle = self.shared.handle.clone();
        tokio::task::spawn_local(async move {
            let answered = client.charge(&address, charge.name, charge.cost).await;
            if let Err(lost) = &answered {
                log::debug!(event = "charge_unanswered", peer = address.as_str(), error = lost.0.as_str(); "");
            }
            handle.send_event(Event::ChargeAnswered {
                serial,
                charge,
                home,
                answer: answered.ok().map(answer_from),
            });
        });
    }

    /// Returns a grant to the entry that made it.
    pub fn refund(&self, address: SmolStr, grant: Grant) {
        let client = self.client.clone();
        tokio::task::spawn_local(async move {
            if let Err(lost) = client.refund(&address, grant.bucket, grant.cost).await {
                log::debug!(event = "refund_lost", peer = address.as_str(), error = lost.0.as_str(); "");
            }
        });
    }
}

/// Converts a peer's answer to a charge into the reducer's type.
fn answer_from(charge: receiver::Charge) -> Answer {
    match charge {
        receiver::Charge::Granted { bucket } => Answer::Granted { bucket },
        receiver::Charge::Exceeded { retry_after } => Answer::Exceeded { retry_after },
    }
}

/// Converts the reducer's answer to a charge into the peers' type.
fn charge_from(answer: Answer) -> receiver::Charge {
    match answer {
        Answer::Granted { bucket } => receiver::Charge::Granted { bucket },
        Answer::Exceeded { retry_after } => receiver::Charge::Exceeded { retry_after },
    }
}

/// Answers calls from other entries.
pub struct Responder {
    /// State shared by all tasks.
    pub shared: Rc<Shared>,
}

impl Receiver for Responder {
    fn connect(&self, server: SmolStr) -> Pending<tunnel::Connection> {
        let shared = Rc::clone(&self.shared);
        Box::pin(async move { reach::connect_for_peer(&shared, &server).await })
    }

    fn spend(&self, _ticket: SmolStr) -> Pending<ledger::Answer> {
        Box::pin(async { None })
    }

    fn inherit(&self, _estates: Vec<Estate>) -> Pending<Incarnation> {
        Box::pin(async { None })
    }

    fn charge(&self, account: u64, tokens: u64) -> Pending<receiver::Charge> {
        let (reply, answered) = oneshot::channel();
        let charge = Charge {
            name: account,
            cost: tokens,
        };
        self.shared.handle.send(Message::Charge { charge, reply });
        Box::pin(async move { answered.await.ok().flatten().map(charge_from) })
    }

    fn refund(&self, bucket: u64, tokens: u64) {
        let cost = tokens;
        self.shared
            .handle
            .send_event(Event::Refunded { bucket, cost });
    }

    fn digest(&self, digest: Digest) {
        self.shared.handle.send_event(Event::DigestReceived(digest));
    }

    fn configure(&self, from: u64, message: Vec<u8>) {
        match self.shared.codec.decode_catalog(&message) {
            Ok(catalog) => self.shared.handle.send_event(Event::Configured {
                catalog: Rc::new(catalog),
                document: Bytes::from(message),
                source: Source::Peer(holder::Id(from)),
            }),
            Err(error) => {
                log::warn!(event = "configuration_unreadable", source = "peer", error = error.to_string().as_str(); "");
            }
        }
    }
}
