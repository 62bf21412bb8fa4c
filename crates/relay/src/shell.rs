//! The event loop: receives messages, steps the reducer and carries out its effects.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use clock::Span;
use clock::Time;
use gateway::charging::Answer;
use gateway::duty;
use gateway::effect::Addresses;
use gateway::effect::Command;
use gateway::effect::Effect;
use gateway::event::Event;
use gateway::gateway::Gateway;
use tokio::sync::Notify;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::adapter::Cloud;
use crate::adapter::Tables;
use crate::inbox::Inbox;
use crate::inbox::Message;
use crate::lag::Lag;
use crate::logs;
use crate::peers::Peers;
use crate::pulse;
use crate::reach;
use crate::shared::Shared;
use crate::standstill::Standstill;
use crate::wake::Wake;

/// Turns of the event loop in which a new connection is accepted, and its request read and sent here.
const CATCH_UP_TURNS: usize = 4;

/// The loop's state.
pub struct Shell {
    /// The reducer.
    pub gateway: Gateway,
    /// State shared by all tasks.
    pub shared: Rc<Shared>,
    /// The platform's table service.
    pub tables: Rc<dyn Tables>,
    /// Client for duty calls, if the platform has any.
    pub cloud: Option<Rc<dyn Cloud>>,
    /// Client for other entries.
    pub peers: Peers,
    /// Requests a full read of the configuration.
    pub read_configuration: Rc<Notify>,
    /// Requests a full read of the list of servers.
    pub read_servers: Rc<Notify>,
    /// Channels to the tasks of open requests, by request number.
    pub flights: HashMap<u64, mpsc::UnboundedSender<Command>>,
    /// Pending address queries, by requester number.
    pub address_replies: HashMap<u64, oneshot::Sender<Option<Addresses>>>,
    /// Pending charges of other entries, by requester number.
    pub charge_replies: HashMap<u64, oneshot::Sender<Option<Answer>>>,
    /// Number of the last requester.
    pub last_requester: u64,
    /// Lag of the loop.
    pub lag: Lag,
}

impl Shell {
    /// Runs until the reducer asks to exit; returns the rest of the grace period. Timers take precedence over messages.
    pub async fn run(mut self, mut inbox: Inbox, mut stops: mpsc::UnboundedReceiver<()>) -> Span {
        let mut wake = Wake::new(self.shared.clock.now());
        let mut standstill = Standstill::default();
        loop {
            let now = self.shared.clock.now();
            standstill.record_turn(now);
            let sleep = wake.due().since(now).as_duration();
            let (due, event) = tokio::select! {
                biased;
                Some(()) = stops.recv() => {
                    let since = standstill.pending_since(self.shared.clock.now());
                    (wake.due(), Some(Event::StopRequested { since }))
                }
                () = std::future::ready(()), if now >= wake.due() => (wake.due(), Some(Event::Tick)),
                Some(sent) = inbox.next() => (sent.sent_at, self.event_from(sent.message)),
                () = tokio::time::sleep(sleep) => (wake.due(), Some(Event::Tick)),
            };
            self.record_lag(due.min(wake.due()));
            let Some(event) = event else {
                continue;
            };
            if matches!(event, Event::Tick) {
                wake.record_tick(now);
                if self.shared.stopping.get() {
                    self.catch_up(&mut inbox).await;
                }
            }
            if self.step(event) {
                return self.gateway.grace_left(self.shared.clock.now());
            }
            let now = self.shared.clock.now();
            wake.schedule(now, self.gateway.next_wake(now));
        }
    }

    /// Handles what has arrived before a tick decides whether a request is open. The process may have stood still since.
    async fn catch_up(&mut self, inbox: &mut Inbox) {
        for _ in 0..CATCH_UP_TURNS {
            tokio::task::yield_now().await;
            while let Some(sent) = inbox.take() {
                if let Some(event) = self.event_from(sent.message) {
                    self.step(event);
                }
            }
        }
    }

    /// Records the lag of handling something that was due.
    fn record_lag(&mut self, due: Time) {
        let late = self.lag.record(self.shared.clock.now(), due);
        self.shared.lag.set(self.lag.max());
        if let Some(late) = late {
            log::warn!(event = "loop_late", lag_ms = late.as_millis(); "");
        }
    }

    /// Handles one event; returns whether the process may exit.
    fn step(&mut self, event: Event) -> bool {
        let mut effects = Vec::new();
        let now = self.shared.clock.now();
        let changed = !matches!(
            event,
            Event::Attempt { .. } | Event::Arrived { .. } | Event::ChargeRequested { .. }
        );
        let started = Instant::now();
        self.gateway.step(now, event, &mut effects);
        self.shared.metrics.record_step(started.elapsed());
        if changed {
            self.publish_status(now);
        }
        let mut exit = false;
        for effect in effects {
            exit |= matches!(effect, Effect::Exit);
            self.perform(effect);
        }
        exit
    }

    /// Publishes the entry's status to the tasks.
    fn publish_status(&mut self, now: Time) {
        let status = self.gateway.status(now);
        self.shared.status.set(status);
        for count in self.gateway.take_plan_counts() {
            self.shared.metrics.count_plan(&count);
        }
        self.shared.ready.set(status.ready);
        self.shared.stopping.set(status.stopping);
        let limits = self.gateway.limits();
        if *self.shared.limits.borrow() != limits {
            if !self.shared.intake.may_fit(limits.body_bytes) {
                log::warn!(event = "body_limit_exceeds_memory", limit_bytes = limits.body_bytes; "");
            }
            *self.shared.limits.borrow_mut() = limits;
        }
    }

    /// Converts a message to an event and stores the channel for its answer.
    fn event_from(&mut self, message: Message) -> Option<Event> {
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
            Message::Charge { charge, reply } => {
                self.last_requester += 1;
                let requester = self.last_requester;
                self.charge_replies.insert(requester, reply);
                Some(Event::ChargeRequested { requester, charge })
            }
            Message::Addresses { zone, reply } => {
                self.last_requester += 1;
                let requester = self.last_requester;
                self.address_replies.insert(requester, reply);
                Some(Event::AddressesRequested { requester, zone })
            }
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
            Effect::Addresses { requester, answer } => {
                if let Some(reply) = self.address_replies.remove(&requester) {
                    let _ = reply.send(answer);
                }
            }
            Effect::Store { id, call } => self.call_store(id, call),
            Effect::Duty { id, call, lease } => self.call_cloud(id, call, lease),
            Effect::RequestCharge {
                serial,
                home,
                address,
                charge,
            } => self.peers.request_charge(serial, charge, home, address),
            Effect::ChargeAnswer { requester, answer } => {
                if let Some(reply) = self.charge_replies.remove(&requester) {
                    let _ = reply.send(answer);
                }
            }
            Effect::Refund { address, grant } => self.peers.refund(address, grant),
            Effect::SendDigest {
                address,
                digest,
                lane,
            } => self.peers.send_digest(address, digest, lane),
            Effect::SendConfiguration { address, document } => {
                self.peers.send_configuration(address, document);
            }
            Effect::ReadConfiguration => self.read_configuration.notify_one(),
            Effect::FollowServers { pause } => {
                self.shared.servers_poll_interval.send_replace(pause);
            }
            Effect::ReadServers => self.read_servers.notify_one(),
            Effect::OpenServer { endpoint } => self.shared.pool.open(endpoint),
            Effect::CloseServer { incarnation } => self.shared.pool.close(incarnation),
            Effect::Proxies(proxies) => reach::set_proxies(&self.shared, proxies),
            Effect::PauseServer { incarnation, pause } => {
                self.shared.pool.pause(incarnation, pause);
            }
            Effect::Log(line) => {
                self.shared.metrics.count_line(&line);
                logs::write(&line);
            }
            Effect::Exit => {}
        }
    }

    /// Calls the table service; an event reports the outcome.
    fn call_store(&self, id: store::call::Id, call: store::call::Call) {
        let shared = Rc::clone(&self.shared);
        let tables = Rc::clone(&self.tables);
        tokio::task::spawn_local(async move {
            let outcome = tables.call(call).await;
            shared.metrics.count_store_call(&outcome);
            shared.handle.send_event(Event::Store { id, outcome });
        });
    }

    /// Makes a call for the holder of a duty, if its lease is still valid when the call is sent.
    ///
    /// A pause between the decision and the call may outlast the lease. Another entry may hold it by then,
    /// and both would act.
    fn call_cloud(&self, id: u64, call: duty::Call, lease: duty::Lease) {
        let shared = Rc::clone(&self.shared);
        let cloud = self.cloud.clone();
        tokio::task::spawn_local(async move {
            let outcome = match cloud {
                Some(cloud) if shared.clock.now() < lease.until => {
                    cloud.call(call, lease.fence).await
                }
                _ => duty::Outcome::Refused,
            };
            shared
                .handle
                .send_event(Event::DutyAnswered { id, outcome });
        });
    }
}

/// Interval at which expired connections are dropped.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Drops expired connections periodically.
pub async fn sweep(shared: Rc<Shared>) {
    loop {
        tokio::time::sleep(SWEEP_INTERVAL).await;
        shared.pool.sweep();
        shared.reach.sweep(shared.clock.now());
    }
}

/// Records that the process runs.
pub async fn beat(shared: Rc<Shared>) {
    loop {
        shared.pulse.beat(shared.clock.now());
        tokio::time::sleep(pulse::INTERVAL).await;
    }
}
