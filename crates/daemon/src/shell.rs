//! The event loop: receives messages, steps the reducer and carries out its effects.

use std::cell::Cell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use clock::Clock;
use entry::effect::Addresses;
use entry::effect::Command;
use entry::effect::Effect;
use entry::entry::Entry;
use entry::event::Event;
use ops::fault::Fault;
use ops::reply::Reply;
use request::id::Incarnation;
use request::ledger::Answer;
use smol_str::SmolStr;
use store::driver::Driver;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use verdict::Refusal;

use crate::fleet_port::FleetPort;
use crate::link::Link;
use crate::link::Message;
use crate::logs;
use crate::metrics::Metrics;
use crate::peers::Peers;

/// Interval of the reducer's ticks.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// State of the event loop.
pub struct Shell {
    /// Name of the entry, for the log.
    pub name: SmolStr,
    /// The process's clock.
    pub clock: Clock,
    /// The reducer.
    pub entry: Entry,
    /// Channel to this loop, for tasks that it starts.
    pub link: Rc<Link>,
    /// Client of the table service.
    pub store: Rc<Driver>,
    /// Client of other entries.
    pub peers: Peers,
    /// Client for engines' orders and the cloud.
    pub fleet: FleetPort,
    /// Metrics of the entry.
    pub metrics: Metrics,
    /// Readiness that the admin port reports.
    pub ready: Rc<Cell<bool>>,
    /// Channels to the tasks of open requests, by serial number.
    pub flights: HashMap<u64, mpsc::UnboundedSender<Command>>,
    /// Requests that await an answer of the reducer.
    pub pending: PendingReplies,
}

/// Reply channels by the identifier of their request.
#[derive(Default)]
pub struct PendingReplies {
    next: u64,
    addresses: HashMap<u64, oneshot::Sender<Addresses>>,
    cancels: HashMap<u64, oneshot::Sender<Option<Refusal>>>,
    operators: HashMap<u64, oneshot::Sender<Result<Reply, Fault>>>,
    spends: HashMap<u64, oneshot::Sender<Answer>>,
    inherits: HashMap<u64, oneshot::Sender<Option<Incarnation>>>,
}

impl PendingReplies {
    /// Returns an unused identifier.
    fn next_id(&mut self) -> u64 {
        self.next += 1;
        self.next
    }
}

impl Shell {
    /// Runs until the reducer requests the exit.
    pub async fn run(
        mut self,
        mut messages: mpsc::UnboundedReceiver<Message>,
        mut calls: mpsc::Receiver<ops::Call>,
        mut stops: mpsc::UnboundedReceiver<bool>,
    ) {
        let mut tick = tokio::time::interval(TICK_INTERVAL);
        tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            let event = tokio::select! {
                Some(message) = messages.recv() => self.event_of(message),
                Some(call) = calls.recv() => Some(self.operator_event(call)),
                Some(immediate) = stops.recv() => Some(Event::StopRequested { immediate }),
                _ = tick.tick() => Some(Event::Tick),
                else => return,
            };
            let Some(event) = event else {
                continue;
            };
            if self.step(event) {
                return;
            }
        }
    }

    /// Steps the reducer with one event; returns whether the process may exit.
    fn step(&mut self, event: Event) -> bool {
        let mut effects = Vec::new();
        let now = self.clock.now();
        let tick = matches!(event, Event::Tick);
        let started = Instant::now();
        self.entry.step(now, event, &mut effects);
        self.metrics.record_step(&effects, started.elapsed());
        if tick {
            let stats = self.entry.stats(now);
            self.ready.set(stats.ready);
            self.metrics.record_stats(&stats);
        }
        let mut exit = false;
        for effect in effects {
            exit |= matches!(effect, Effect::Exit);
            self.perform(effect);
        }
        exit
    }

    /// Converts a message to an event and registers its reply channel.
    fn event_of(&mut self, message: Message) -> Option<Event> {
        match message {
            Message::Event(event) => Some(event),
            Message::Open {
                serial,
                arrival,
                commands,
            } => {
                self.flights.insert(serial, commands);
                Some(Event::Arrived { serial, arrival })
            }
            Message::Closed { serial } => {
                self.flights.remove(&serial);
                None
            }
            Message::Addresses { key, prefix, reply } => {
                let call = self.pending.next_id();
                self.pending.addresses.insert(call, reply);
                Some(Event::AddressesRequested { call, key, prefix })
            }
            Message::Cancel {
                key,
                request,
                reply,
            } => {
                let call = self.pending.next_id();
                self.pending.cancels.insert(call, reply);
                Some(Event::CancelRequested { call, key, request })
            }
            Message::Spend { ticket, reply } => {
                let call = self.pending.next_id();
                self.pending.spends.insert(call, reply);
                Some(Event::SpendRequested { call, ticket })
            }
            Message::Inherit { estates, reply } => {
                let call = self.pending.next_id();
                self.pending.inherits.insert(call, reply);
                Some(Event::EstatesOffered { call, estates })
            }
        }
    }

    /// Converts an operator's call to an event and registers its reply channel.
    fn operator_event(&mut self, call: ops::Call) -> Event {
        let id = self.pending.next_id();
        self.pending.operators.insert(id, call.reply);
        Event::Operator {
            call: id,
            request: call.request,
        }
    }

    /// Carries out one effect without blocking.
    fn perform(&mut self, effect: Effect) {
        match effect {
            Effect::Flight { serial, command } => {
                if let Some(flight) = self.flights.get(&serial) {
                    let _ = flight.send(command);
                }
            }
            Effect::Addresses { call, answer } => {
                if let Some(reply) = self.pending.addresses.remove(&call) {
                    let _ = reply.send(answer);
                }
            }
            Effect::CancelAnswer { call, refusal } => {
                if let Some(reply) = self.pending.cancels.remove(&call) {
                    let _ = reply.send(refusal);
                }
            }
            Effect::Operator { call, reply } => {
                if let Some(waiting) = self.pending.operators.remove(&call) {
                    let _ = waiting.send(reply);
                }
            }
            Effect::Store { id, call } => self.call_store(id, call),
            Effect::Log(line) => logs::write(&self.name, &line),
            Effect::SpendAnswer { call, answer } => {
                if let Some(reply) = self.pending.spends.remove(&call) {
                    let _ = reply.send(answer);
                }
            }
            Effect::EstatesAccepted { call, heir } => {
                if let Some(reply) = self.pending.inherits.remove(&call) {
                    let _ = reply.send(heir);
                }
            }
            Effect::RequestSpend {
                serial,
                address,
                ticket,
            } => self.peers.request_spend(serial, address, ticket),
            Effect::OfferEstates { address, estates } => self.peers.offer_estates(address, estates),
            Effect::SendDigest { address, digest } => self.peers.send_digest(address, digest),
            Effect::SendConfigure { address, message } => {
                self.peers.send_configure(address, message);
            }
            Effect::ReadEngine {
                deployment,
                engine,
                address,
            } => self.fleet.read_engine(deployment, engine, address),
            Effect::OrderEngine {
                deployment,
                engine,
                address,
                fence,
                target,
                lease_end,
            } => self
                .fleet
                .order_engine(deployment, engine, address, fence, target, lease_end),
            Effect::StartInstance {
                deployment,
                token,
                kind,
                pool,
                lease_end,
            } => self
                .fleet
                .start_instance(deployment, token, kind, pool, lease_end),
            Effect::StopInstance {
                id,
                delay,
                lease_end,
            } => self.fleet.stop_instance(id, delay, lease_end),
            Effect::Exit => {}
        }
    }

    /// Starts a call to the table service; its outcome arrives as an event.
    fn call_store(&self, id: store::call::Id, call: store::call::Call) {
        let link = Rc::clone(&self.link);
        let store = Rc::clone(&self.store);
        tokio::task::spawn_local(async move {
            let outcome = store.call(&call).await;
            link.send_event(Event::Store { id, outcome });
        });
    }
}
