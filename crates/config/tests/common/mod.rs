//! Entries with membership and agreement before one table service, in virtual time.
//!
//! After every event the world checks what must always hold: versions never fall, a version has one
//! content everywhere, and once a version was called accepted nobody admits under an older one.

#![allow(dead_code, clippy::unwrap_used)] // each test file uses a part

use std::collections::BTreeMap;
use std::sync::Arc;

use clock::Span;
use clock::Time;
use config::agreement::Agreement;
use config::change::Answer;
use config::change::Change;
use config::change::Operation;
use config::configs::agreement::Settings;
use config::deployment::Account;
use config::edit::Edit;
use config::event;
use config::message::Message;
use config::row;
use config::row::Version;
use config::snapshot::Snapshot;
use lease::holder;
use member::digest::Digest;
use member::event as membership;
use member::membership::Membership;
use member::row::Row;
use store::call;
use store::call::Call;
use store::call::Outcome;
use store::fake::Table;
use store::queue::Queue;

const HOP: Span = Span::from_millis(1);
const STORE_HOP: Span = Span::from_millis(3);
const TIMEOUT: Span = Span::from_seconds(2);

/// All entries.
#[derive(Default)]
pub struct World {
    pub table: Table,
    pub nodes: Vec<Node>,
    pub now: Time,
    /// The answers to each operation.
    pub answers: BTreeMap<u64, Answer>,
    /// The change of each operation.
    pub changes: BTreeMap<u64, Change>,
    /// Transactions that take effect only after their sender has given up: how long after.
    pub late: Vec<Span>,
    /// Messages between peers that are held back: how long.
    pub slow: Vec<Span>,
    accepted: u64,
    contents: BTreeMap<u64, Arc<Snapshot>>,
    queue: Queue<Delivery>,
    operations: u64,
    /// Wakes so far, over all entries.
    pub wakes: u64,
}

/// One entry.
pub struct Node {
    pub membership: Membership,
    pub agreement: Agreement,
    pub dead: bool,
    pub frozen: bool,
    pub part: u32,
    pub store_cut: bool,
    /// How long messages to it are held back.
    pub inbound: Span,
    version: u64,
    held: Vec<Event>,
}

#[derive(Clone, Debug)]
pub enum Event {
    Membership(membership::Event),
    Agreement(event::Event),
}

#[derive(Clone, Copy, Debug)]
enum Machine {
    Membership,
    Agreement,
}

enum Delivery {
    Wake(usize),
    Event(usize, Event),
    Peer(usize, usize, Event),
    Call(usize, Machine, call::Id, Call),
    /// A transaction that nobody waits for any more.
    Ghost(Call),
}

/// The account `name` with this weight.
pub fn account(name: &str, weight: u32) -> Account {
    Account {
        name: name.into(),
        key_hashes: Vec::new(),
        weight,
        priority: 0,
        tokens_per_second: 0,
        concurrent: 0,
    }
}

/// `count` entries over three zones that hold leases and the empty configuration.
pub fn entries(count: usize) -> World {
    let mut world = World::default();
    for _ in 0..count {
        world.start();
    }
    world.run(Span::from_seconds(12));
    assert!(
        world
            .nodes
            .iter()
            .all(|node| node.agreement.admits(world.now))
    );
    world
}

impl World {
    /// Starts an entry that knows the peer addresses of the first few.
    pub fn start(&mut self) -> usize {
        let index = self.nodes.len();
        let id = holder::Id(index as u64 + 1);
        let row = Row {
            id,
            zone: ["a", "b", "c"][index % 3].into(),
            address: format!("{index}").into(),
            peer_address: format!("{index}").into(),
            ..Row::default()
        };
        let seeds = (0..index.min(8))
            .map(|seed| format!("{seed}").into())
            .collect();
        let settings = Settings::default();
        let node = Node {
            membership: Membership::new(row, seeds, Default::default(), index as u64),
            agreement: Agreement::new(id, settings, |_| Ok(()), index as u64),
            dead: false,
            frozen: false,
            part: 0,
            store_cut: false,
            inbound: HOP,
            version: 0,
            held: Vec::new(),
        };
        self.nodes.push(node);
        self.queue.push(self.now, Delivery::Wake(index));
        index
    }

    /// An operator asks an entry for a change; names the operation.
    pub fn submit(&mut self, index: usize, change: Change, patience: Span) -> u64 {
        self.operations += 1;
        let operation = self.operations;
        self.changes.insert(operation, change.clone());
        let event = event::Event::Submit {
            operation: Operation(operation),
            change,
            deadline: self.now + patience,
        };
        self.feed(index, Event::Agreement(event));
        operation
    }

    /// A change of an account's weight, on the version that the entry holds.
    pub fn set_weight(&mut self, index: usize, id: &str, name: &str, weight: u32) -> u64 {
        let change = Change {
            id: id.into(),
            base: self.version(index),
            edits: vec![Edit::PutAccount(account(name, weight))],
        };
        self.submit(index, change, Span::from_seconds(30))
    }

    /// The version that an entry holds.
    pub fn version(&self, index: usize) -> u64 {
        self.nodes[index].agreement.snapshot().version
    }

    /// Whether an entry would admit a request now.
    pub fn admits(&self, index: usize) -> bool {
        let node = &self.nodes[index];
        !node.dead && node.agreement.admits(self.now)
    }

    /// Stops and continues an entry as a signal does.
    pub fn set_frozen(&mut self, index: usize, frozen: bool) {
        self.nodes[index].frozen = frozen;
        if !frozen {
            self.check();
            for event in std::mem::take(&mut self.nodes[index].held) {
                self.feed(index, event);
            }
        }
    }

    /// Lets time pass.
    pub fn run(&mut self, span: Span) {
        let until = self.now + span;
        while let Some((at, delivery)) = self.queue.pop(until) {
            self.now = at;
            self.deliver(delivery);
            self.check();
        }
        self.now = until;
        self.check();
    }

    /// Lets time pass until something holds, at most `limit`; how long it took.
    pub fn run_until(&mut self, limit: Span, holds: impl Fn(&World) -> bool) -> Option<Span> {
        let start = self.now;
        while !holds(self) {
            if self.now.since(start) >= limit {
                return None;
            }
            self.run(Span::from_millis(10));
        }
        Some(self.now.since(start))
    }

    /// The answer to an operation, waited for.
    pub fn answer(&mut self, operation: u64) -> Answer {
        let limit = Span::from_seconds(120);
        self.run_until(limit, |world| world.answers.contains_key(&operation));
        self.answers.get(&operation).cloned().expect("no answer")
    }

    /// Every version in the service that carries this change.
    pub fn versions_with(&self, change: &str) -> Vec<u64> {
        (1..=self.head())
            .filter_map(|version| {
                let key = row::version(version).key;
                let row = self.table.row(row::TABLE, &key)?;
                let version: Version = row::read(row)?;
                (version.change == change).then_some(version.version)
            })
            .collect()
    }

    /// The newest version in the service.
    pub fn head(&self) -> u64 {
        let row = self.table.row(row::TABLE, &row::head().key);
        row.and_then(row::read::<row::Head>)
            .map_or(0, |head| head.version)
    }

    /// Checks that every answer given is true of what the service holds now.
    pub fn check_answers(&self) {
        for (operation, answer) in &self.answers {
            let change = &self.changes[operation];
            let versions = self.versions_with(&change.id);
            match answer {
                Answer::Accepted { version } | Answer::Committed { version, .. } => {
                    assert_eq!(versions, [*version], "{change:?}");
                }
                Answer::Unavailable | Answer::Conflict { .. } | Answer::Invalid { .. } => {
                    let another = self
                        .changes
                        .iter()
                        .any(|(other, changed)| other != operation && changed.id == change.id);
                    assert!(versions.is_empty() || another, "{change:?} {answer:?}");
                }
                Answer::Unknown | Answer::Busy | Answer::Reused { .. } => {
                    assert!(versions.len() <= 1, "{change:?}");
                }
            }
        }
    }

    fn feed(&mut self, index: usize, event: Event) {
        let node = &mut self.nodes[index];
        if node.dead {
            return;
        }
        if node.frozen {
            node.held.push(event);
            return;
        }
        match event {
            Event::Membership(event) => {
                let mut effects = Vec::new();
                node.membership.step(self.now, event, &mut effects);
                for effect in effects {
                    self.membership_effect(index, effect);
                }
            }
            Event::Agreement(event) => {
                let mut effects = Vec::new();
                node.agreement.step(self.now, event, &mut effects);
                for effect in effects {
                    self.agreement_effect(index, effect);
                }
            }
        }
    }

    fn wake(&mut self, index: usize) {
        self.wakes += 1;
        self.feed(index, Event::Membership(membership::Event::Wake));
        self.feed(index, Event::Agreement(event::Event::Wake));
        let node = &self.nodes[index];
        let mut next = node.membership.next_wake();
        if let Some(wake) = node.agreement.next_wake(self.now) {
            next = next.min(wake);
        }
        let next = next.max(self.now + Span::from_millis(1));
        if !node.dead {
            self.queue.push(next, Delivery::Wake(index));
        }
    }

    fn membership_effect(&mut self, index: usize, effect: membership::Effect) {
        use membership::Effect;
        let event = match effect {
            Effect::Store { id, call } => return self.call(index, Machine::Membership, id, call),
            Effect::Send { to, digest } => return self.digest(index, to.0 as usize - 1, digest),
            Effect::Greet { address, digest } => {
                return self.digest(index, address.parse().unwrap(), digest);
            }
            Effect::Lease(holding) => event::Event::Lease(holding),
            Effect::View(view) => event::Event::View(view),
            Effect::Applied { member, version } => event::Event::Applied { member, version },
            Effect::Peers(peers) => event::Event::Peers(peers),
            Effect::Item(_) | Effect::Left => return,
        };
        self.feed(index, Event::Agreement(event));
    }

    fn agreement_effect(&mut self, index: usize, effect: event::Effect) {
        use event::Effect;
        let event = match effect {
            Effect::Store { id, call } => return self.call(index, Machine::Agreement, id, call),
            Effect::Send { to, message } => {
                return self.message(index, to.0 as usize - 1, message);
            }
            Effect::Answer { operation, answer } => {
                if let Answer::Accepted { version } = answer {
                    self.accepted = self.accepted.max(version);
                }
                let before = self.answers.insert(operation.0, answer);
                assert_eq!(before, None, "answered twice");
                return;
            }
            Effect::Apply(snapshot) => {
                let version = snapshot.version;
                assert!(version > self.nodes[index].version, "a version fell");
                self.nodes[index].version = version;
                let known = self.contents.entry(version).or_insert(snapshot.clone());
                assert_eq!(*known, snapshot, "two contents of one version");
                return;
            }
            Effect::Announce(version) => membership::Event::Applied(version),
            Effect::ReadMembers => membership::Event::ReadAll,
        };
        self.feed(index, Event::Membership(event));
    }

    fn call(&mut self, index: usize, machine: Machine, id: call::Id, call: Call) {
        if let (Call::Transact(_), Some(delay)) = (&call, self.late.last().copied()) {
            self.late.pop();
            self.queue
                .push(self.now + TIMEOUT + delay, Delivery::Ghost(call));
            let event = outcome_event(machine, id, Outcome::Unknown);
            self.queue
                .push(self.now + TIMEOUT, Delivery::Event(index, event));
            return;
        }
        let delivery = Delivery::Call(index, machine, id, call);
        self.queue.push(self.now + STORE_HOP, delivery);
    }

    fn digest(&mut self, from: usize, to: usize, digest: Digest) {
        let event = Event::Membership(membership::Event::Digest(digest));
        self.peer(from, to, event);
    }

    fn message(&mut self, from: usize, to: usize, message: Message) {
        let from_id = holder::Id(from as u64 + 1);
        let event = Event::Agreement(event::Event::Peer {
            from: from_id,
            message,
        });
        self.peer(from, to, event);
    }

    fn peer(&mut self, from: usize, to: usize, event: Event) {
        let delay = self.slow.pop().unwrap_or(self.nodes[to].inbound);
        self.queue
            .push(self.now + delay, Delivery::Peer(from, to, event));
    }

    fn deliver(&mut self, delivery: Delivery) {
        match delivery {
            Delivery::Wake(index) => self.wake(index),
            Delivery::Event(index, event) => self.feed(index, event),
            Delivery::Peer(from, to, event) => {
                if self.nodes[from].part == self.nodes[to].part {
                    self.feed(to, event);
                }
            }
            Delivery::Call(index, machine, id, call) => {
                let outcome = if self.nodes[index].store_cut {
                    match call {
                        Call::Transact(_) => Outcome::Unknown,
                        _ => Outcome::Unavailable,
                    }
                } else {
                    self.table.apply(&call)
                };
                let event = outcome_event(machine, id, outcome);
                self.queue
                    .push(self.now + STORE_HOP, Delivery::Event(index, event));
            }
            Delivery::Ghost(call) => {
                self.table.apply(&call);
            }
        }
    }

    fn check(&self) {
        for (index, node) in self.nodes.iter().enumerate() {
            let stale = node.version < self.accepted;
            assert!(
                !stale || !self.admits(index),
                "entry {index} admits under version {} at {} after {} was accepted",
                node.version,
                self.now,
                self.accepted
            );
        }
    }
}

fn outcome_event(machine: Machine, id: call::Id, outcome: Outcome) -> Event {
    match machine {
        Machine::Membership => Event::Membership(membership::Event::Store { id, outcome }),
        Machine::Agreement => Event::Agreement(event::Event::Store { id, outcome }),
    }
}
