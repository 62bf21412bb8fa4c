//! Simulates several entries and fakes of their surroundings in virtual time.

mod answers;
mod backend;
mod callers;
mod cloud;
mod effects;
mod engine;
mod faults;
mod flight;
mod input;
mod node;
mod operators;
mod plain;
mod service;
mod store;
mod stream;

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use clock::Span;
use clock::Time;
use rand::Rng;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use request::signer::RESUME_PURPOSE;
use request::signer::Signer;
use request::signer::TICKET_PURPOSE;

use crate::fault::Fault;
use crate::history::Fact;
use crate::history::History;
use crate::history::ProcessId;
use crate::history::TryId;
use crate::world::backend::Backend;
use crate::world::callers::Caller;
use crate::world::callers::Response;
use crate::world::engine::EngineCall;
use crate::world::input::Input;
use crate::world::node::Node;
use crate::world::operators::Operators;
use crate::world::service::ServiceCall;
use crate::world::store::StoreState;

pub use crate::world::callers::Dedup;

/// Secret key shared by all entries.
const SHARED_KEY: &str = "a key that all entries share";

/// One-way network delay.
const NETWORK_DELAY: Span = Span::from_millis(1);

/// Interval between two ticks of an entry.
const TICK_INTERVAL: Span = Span::from_millis(50);

/// Interval between two reads of the instance list and the notices.
const POLL_INTERVAL: Span = Span::from_millis(500);

/// Longest time after the last fault in which every request and change has to finish.
const SETTLE_TIME: Span = Span::from_seconds(150);

/// Time after the last request in which messages in flight are still delivered.
const DELIVERY_TIME: Span = Span::from_seconds(10);

/// Faulty behaviour that can be injected, to show that the checker detects it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Bug {
    /// None.
    #[default]
    None,
    /// Streams that should be handed off end with an error.
    LoseHandedOff,
    /// Every tenth token is sent to the caller twice.
    DoubleChunk,
    /// Every refusal claims that the request did not run.
    ClaimNotRun,
    /// A lost answer of a service is reported as not started.
    CallLostNotStarted,
    /// The table service applies writes to intents without their preconditions.
    IgnoreChecks,
    /// Neither the notices nor the instance list announce that an instance is leaving.
    HideNotices,
    /// An entry that is asked to stop ends immediately.
    StopImmediately,
    /// Operators are told that a change is accepted as soon as they submit it.
    AcceptEarly,
}

/// Number of simulated processes of each kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shape {
    /// Entries.
    pub entries: usize,
    /// Model engines.
    pub engines: usize,
    /// Plain services.
    pub services: usize,
}

impl Default for Shape {
    fn default() -> Shape {
        Shape {
            entries: 3,
            engines: 4,
            services: 3,
        }
    }
}

/// Event that the simulation dispatches at a point in time.
pub(crate) enum Occurrence {
    Tick(usize),
    Poll(usize),
    Input(usize, Input),
    Store(store::Arrival),
    Engine(EngineCall),
    EngineStep(usize, request::id::Stream),
    Service(ServiceCall),
    ServiceEnds(service::Running),
    CallerReceives(TryId, Response),
    CallerSends(usize),
    CallerTimeout(usize, TryId),
    OperatorSends(usize),
    Probe,
    TryOldKeys(smol_str::SmolStr),
    Fault(Fault),
    Thaw(usize),
    Recover(Recovery),
    BackendEnds(usize, smol_str::SmolStr),
    BackendStarts(usize),
    EntryReclaimed(usize),
    EntryStarts(usize),
}

/// Recovery from a fault that lasts.
pub(crate) enum Recovery {
    Link(usize, usize),
    SlowPeers(usize),
    StoreUp,
    StoreFast,
    Instances,
}

/// State of one simulation run.
pub struct World {
    shape: Shape,
    now: Time,
    queue: BTreeMap<(Time, u64), Occurrence>,
    next_sequence: u64,
    random: Pcg64Mcg,
    bug: Bug,
    /// Every process of every entry, ended ones included.
    nodes: Vec<Node>,
    /// Index of the newest process in each entry slot.
    slots: Vec<usize>,
    /// Pairs of slots (from, to) whose messages are lost.
    lost_links: BTreeSet<(usize, usize)>,
    slow_slots: BTreeSet<usize>,
    store: StoreState,
    backends: Vec<Backend>,
    refusing_instances: bool,
    refuse_starts: u32,
    lose_service_answers: u32,
    callers: Vec<Caller>,
    /// Index of the caller behind each try.
    tries: Vec<usize>,
    operators: Operators,
    signers: Signers,
    /// Whether probes of account keys are still sent.
    probing: bool,
    /// Time at which the last fault is over.
    faults_end: Time,
    /// Number of reducer steps taken so far.
    steps: u64,
    /// Number of ledger hand-overs offered so far.
    handovers: u64,
    history: History,
}

/// Signers of the tokens and tickets that the shell issues.
struct Signers {
    resume: Signer,
    ticket: Signer,
}

impl World {
    /// Creates a world and runs it until its entries have found each other and admit requests.
    pub fn new(seed: u64, shape: Shape, bug: Bug) -> World {
        let mut world = World {
            shape,
            now: Time::ZERO,
            queue: BTreeMap::new(),
            next_sequence: 0,
            random: Pcg64Mcg::seed_from_u64(seed),
            bug,
            nodes: Vec::new(),
            slots: Vec::new(),
            lost_links: BTreeSet::new(),
            slow_slots: BTreeSet::new(),
            store: StoreState::default(),
            backends: Vec::new(),
            refusing_instances: false,
            refuse_starts: 0,
            lose_service_answers: 0,
            callers: Vec::new(),
            tries: Vec::new(),
            operators: Operators::default(),
            signers: Signers {
                resume: Signer::new(SHARED_KEY, RESUME_PURPOSE),
                ticket: Signer::new(SHARED_KEY, TICKET_PURPOSE),
            },
            probing: true,
            faults_end: Time::ZERO,
            steps: 0,
            handovers: 0,
            history: History::default(),
        };
        for slot in 0..shape.entries {
            world.slots.push(0);
            world.start_entry(slot);
        }
        world.start_backends();
        world.set_up();
        world
    }

    /// Returns the simulated time.
    pub fn now(&self) -> Time {
        self.now
    }

    /// Returns the number of reducer steps taken so far.
    pub fn steps(&self) -> u64 {
        self.steps
    }

    /// Schedules a fault.
    pub fn schedule_fault(&mut self, after: Span, fault: Fault) {
        self.after(after, Occurrence::Fault(fault));
    }

    /// Advances the simulation by `span`.
    pub fn run_for(&mut self, span: Span) {
        let end = self.now + span;
        self.advance(end, |_| false);
    }

    /// Runs until `holds` returns true, for at most `limit`; returns whether it does.
    pub fn run_until(&mut self, limit: Span, holds: impl Fn(&World) -> bool) -> bool {
        let end = self.now + limit;
        self.advance(end, &holds);
        holds(self)
    }

    /// Runs until every request and change has finished after the last fault; returns the history and the
    /// number of reducer steps.
    pub fn finish(mut self) -> (History, u64) {
        let last = self.faults_end;
        self.advance(last, |_| false);
        self.run_for(Span::from_seconds(10));
        self.make_last_change();
        self.run_until(SETTLE_TIME, |world| {
            world.operators.is_last_done() && world.callers_done()
        });
        self.probing = false;
        self.run_for(DELIVERY_TIME);
        (self.history, self.steps)
    }

    /// Returns the number of ledger hand-overs offered so far.
    pub fn handovers(&self) -> u64 {
        self.handovers
    }

    /// Returns whether a write to `table` is in flight to the table service.
    pub fn is_writing(&self, table: &str) -> bool {
        self.queue.values().any(|occurrence| match occurrence {
            Occurrence::Store(arrival) => arrival.writes_to(table),
            _ => false,
        })
    }

    /// Returns the history recorded so far.
    pub fn history(&self) -> &History {
        &self.history
    }

    fn advance(&mut self, end: Time, holds: impl Fn(&World) -> bool) {
        while let Some(((at, _), _)) = self.queue.first_key_value() {
            if *at > end || holds(self) {
                break;
            }
            let Some(((at, _), occurrence)) = self.queue.pop_first() else {
                break;
            };
            self.now = at;
            self.dispatch(occurrence);
        }
        if !holds(self) {
            self.now = self.now.max(end);
        }
    }

    fn dispatch(&mut self, occurrence: Occurrence) {
        match occurrence {
            Occurrence::Tick(node) => self.tick(node),
            Occurrence::Poll(node) => self.poll(node),
            Occurrence::Input(node, input) => self.deliver(node, input),
            Occurrence::Store(arrival) => self.store_receives(arrival),
            Occurrence::Engine(call) => self.engine_receives(call),
            Occurrence::EngineStep(engine, stream) => self.step_engine(engine, stream),
            Occurrence::Service(call) => self.service_receives(call),
            Occurrence::ServiceEnds(running) => self.finish_service_call(running),
            Occurrence::CallerReceives(try_id, response) => self.caller_receives(try_id, response),
            Occurrence::CallerSends(caller) => self.send_request(caller),
            Occurrence::CallerTimeout(caller, try_id) => self.check_caller_timeout(caller, try_id),
            Occurrence::OperatorSends(change) => self.send_change(change),
            Occurrence::Probe => self.probe(),
            Occurrence::TryOldKeys(account) => self.try_old_keys(&account),
            Occurrence::Fault(fault) => self.inject(fault),
            Occurrence::Thaw(node) => self.thaw(node),
            Occurrence::Recover(recovery) => self.recover(recovery),
            Occurrence::BackendEnds(slot, incarnation) => self.end_backend(slot, &incarnation),
            Occurrence::BackendStarts(slot) => self.restart_backend(slot),
            Occurrence::EntryReclaimed(node) => self.end_reclaimed_entry(node),
            Occurrence::EntryStarts(slot) => self.restart_entry(slot),
        }
    }

    fn after(&mut self, span: Span, occurrence: Occurrence) {
        let at = self.now + span;
        self.next_sequence += 1;
        self.queue.insert((at, self.next_sequence), occurrence);
    }

    fn record(&mut self, fact: Fact) {
        self.history.record(self.now, fact);
    }

    /// Returns a seeded random number below `limit`.
    fn random_below(&mut self, limit: u64) -> u64 {
        self.random.next_u64() % limit.max(1)
    }

    fn process(node: usize) -> ProcessId {
        ProcessId(node as u32)
    }
}
