//! Several entries and small fakes of all that is around them, in virtual time.

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
use crate::history::Life;
use crate::history::Try;
use crate::world::backend::Backend;
use crate::world::callers::Caller;
use crate::world::callers::CallerWord;
use crate::world::engine::EngineCall;
use crate::world::input::Input;
use crate::world::node::Node;
use crate::world::operators::Operators;
use crate::world::service::ServiceCall;
use crate::world::store::StoreState;

pub use crate::world::callers::Once;

/// The entries' common key.
const SHARED_KEY: &str = "a key that all entries share";

/// One way over the network.
const HOP: Span = Span::from_millis(1);

/// Time between two ticks of an entry.
const TICK: Span = Span::from_millis(50);

/// Time between two readings of the instance list and the notices.
const POLL: Span = Span::from_millis(500);

/// Time after the last fault in which everything has to come to its end.
const CALM: Span = Span::from_seconds(150);

/// Time for the last words of what is on its way.
const LAST_WORDS: Span = Span::from_seconds(10);

/// Wrong behaviour that can be switched on, to show that the checker catches it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Bug {
    /// None.
    #[default]
    None,
    /// Streams that should be handed off end with an error.
    LoseHandedOff,
    /// Each tenth token is given to the caller twice.
    DoubleChunk,
    /// Each refusal says "not run".
    SayNotRun,
    /// A lost answer of a service is reported as not started.
    CallLostNotStarted,
    /// The table service takes every row of a key, whatever is there.
    IgnoreChecks,
    /// Neither notices nor list tell of a leave.
    HideNotices,
    /// An entry asked to stop ends at once.
    StopAtOnce,
    /// Operators are told "accepted" as soon as they ask.
    AcceptEarly,
}

/// How large a world is.
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

/// Something that happens at a point in time.
pub(crate) enum Happening {
    Tick(usize),
    Poll(usize),
    Input(usize, Input),
    Store(store::Arrival),
    Engine(EngineCall),
    EngineStep(usize, request::id::Stream),
    Service(ServiceCall),
    ServiceEnds(service::Running),
    ToCaller(Try, CallerWord),
    CallerActs(usize),
    CallerWaits(usize, Try),
    OperatorActs(usize),
    Probe,
    OldKeys(smol_str::SmolStr),
    Fault(Fault),
    Thaw(usize),
    Heal(Healing),
    BackendDies(usize, smol_str::SmolStr),
    BackendBorn(usize),
    EntryDies(usize),
    EntryBorn(usize),
}

/// The end of a fault that lasts.
pub(crate) enum Healing {
    Link(usize, usize),
    SlowPeers(usize),
    StoreUp,
    StoreFast,
    Instances,
}

/// The whole run.
pub struct World {
    shape: Shape,
    now: Time,
    queue: BTreeMap<(Time, u64), Happening>,
    next: u64,
    random: Pcg64Mcg,
    bug: Bug,
    /// All lives of all entries.
    nodes: Vec<Node>,
    /// The newest life in each entry slot.
    slots: Vec<usize>,
    /// Directed losses between slots.
    cut: BTreeSet<(usize, usize)>,
    slow: BTreeSet<usize>,
    store: StoreState,
    backends: Vec<Backend>,
    refusing_instances: bool,
    refuse_starts: u32,
    lose_service_answers: u32,
    callers: Vec<Caller>,
    /// The caller of each sending.
    tries: Vec<usize>,
    operators: Operators,
    seals: Seals,
    /// Whether old keys are tried.
    probing: bool,
    /// When the last fault is over.
    calm_from: Time,
    /// Steps of reducers taken so far.
    steps: u64,
    /// Ledgers offered so far.
    handovers: u64,
    history: History,
}

/// Seals as the shells use them.
struct Seals {
    resume: Signer,
    ticket: Signer,
}

impl World {
    /// A world that has just been started; its entries have to find each other.
    pub fn new(seed: u64, shape: Shape, bug: Bug) -> World {
        let mut world = World {
            shape,
            now: Time::ZERO,
            queue: BTreeMap::new(),
            next: 0,
            random: Pcg64Mcg::seed_from_u64(seed),
            bug,
            nodes: Vec::new(),
            slots: Vec::new(),
            cut: BTreeSet::new(),
            slow: BTreeSet::new(),
            store: StoreState::default(),
            backends: Vec::new(),
            refusing_instances: false,
            refuse_starts: 0,
            lose_service_answers: 0,
            callers: Vec::new(),
            tries: Vec::new(),
            operators: Operators::default(),
            seals: Seals {
                resume: Signer::new(SHARED_KEY, RESUME_PURPOSE),
                ticket: Signer::new(SHARED_KEY, TICKET_PURPOSE),
            },
            probing: true,
            calm_from: Time::ZERO,
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

    /// The true time.
    pub fn now(&self) -> Time {
        self.now
    }

    /// Steps of reducers taken so far.
    pub fn steps(&self) -> u64 {
        self.steps
    }

    /// Lets a fault happen later.
    pub fn fault_in(&mut self, after: Span, fault: Fault) {
        self.after(after, Happening::Fault(fault));
    }

    /// Runs for some time.
    pub fn run_for(&mut self, span: Span) {
        let end = self.now + span;
        self.run_until(end, |_| false);
    }

    /// Runs until something holds, but no longer than `most`; gives whether it holds.
    pub fn run_to(&mut self, most: Span, holds: impl Fn(&World) -> bool) -> bool {
        let end = self.now + most;
        self.run_until(end, &holds);
        holds(self)
    }

    /// Lets everything come to its end after the last fault; gives what was seen, and the steps of
    /// reducers.
    pub fn finish(mut self) -> (History, u64) {
        let last = self.calm_from;
        self.run_until(last, |_| false);
        self.run_for(Span::from_seconds(10));
        self.change_last();
        self.run_to(CALM, |world| {
            world.operators.last_done() && world.callers_done()
        });
        self.probing = false;
        self.run_for(LAST_WORDS);
        (self.history, self.steps)
    }

    /// Ledgers offered so far.
    pub fn handovers(&self) -> u64 {
        self.handovers
    }

    /// Whether a write to a table of the service is on its way.
    pub fn is_writing(&self, table: &str) -> bool {
        self.queue.values().any(|happening| match happening {
            Happening::Store(arrival) => arrival.writes_to(table),
            _ => false,
        })
    }

    /// What was seen so far.
    pub fn history(&self) -> &History {
        &self.history
    }

    fn run_until(&mut self, end: Time, holds: impl Fn(&World) -> bool) {
        while let Some(((at, _), _)) = self.queue.first_key_value() {
            if *at > end || holds(self) {
                break;
            }
            let Some(((at, _), happening)) = self.queue.pop_first() else {
                break;
            };
            self.now = at;
            self.happen(happening);
        }
        if !holds(self) {
            self.now = self.now.max(end);
        }
    }

    fn happen(&mut self, happening: Happening) {
        match happening {
            Happening::Tick(node) => self.tick(node),
            Happening::Poll(node) => self.poll(node),
            Happening::Input(node, input) => self.feed(node, input),
            Happening::Store(arrival) => self.store_lands(arrival),
            Happening::Engine(call) => self.engine_lands(call),
            Happening::EngineStep(engine, stream) => self.engine_steps(engine, stream),
            Happening::Service(call) => self.service_lands(call),
            Happening::ServiceEnds(running) => self.service_ends(running),
            Happening::ToCaller(number, word) => self.caller_hears(number, word),
            Happening::CallerActs(caller) => self.caller_acts(caller),
            Happening::CallerWaits(caller, number) => self.caller_waits(caller, number),
            Happening::OperatorActs(change) => self.operator_acts(change),
            Happening::Probe => self.probe(),
            Happening::OldKeys(account) => self.try_old_keys(&account),
            Happening::Fault(fault) => self.strike(fault),
            Happening::Thaw(node) => self.thaw(node),
            Happening::Heal(healing) => self.heal(healing),
            Happening::BackendDies(slot, incarnation) => self.backend_dies(slot, &incarnation),
            Happening::BackendBorn(slot) => self.backend_born(slot),
            Happening::EntryDies(node) => self.entry_dies(node),
            Happening::EntryBorn(slot) => self.entry_born(slot),
        }
    }

    fn after(&mut self, span: Span, happening: Happening) {
        let at = self.now + span;
        self.next += 1;
        self.queue.insert((at, self.next), happening);
    }

    fn note(&mut self, fact: Fact) {
        self.history.note(self.now, fact);
    }

    /// A number below `limit`, from the seed.
    fn draw(&mut self, limit: u64) -> u64 {
        self.random.next_u64() % limit.max(1)
    }

    fn life(node: usize) -> Life {
        Life(node as u32)
    }
}
