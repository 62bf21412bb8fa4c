//! Simulates entries with membership and agreement on one table service, in virtual time.
//!
//! Asserts after every event that versions never fall, that each version has the same content
//! everywhere, and that no entry admits under a version older than an accepted one.

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

const PEER_DELAY: Span = Span::from_millis(1);
const STORE_DELAY: Span = Span::from_millis(3);
const CALL_TIMEOUT: Span = Span::from_seconds(2);

/// Entries, table service and network.
#[derive(Default)]
pub struct World {
    pub table: Table,
    pub nodes: Vec<Node>,
    pub now: Time,
    /// Answer to each operation.
    pub answers: BTreeMap<u64, Answer>,
    /// Change of each operation.
    pub changes: BTreeMap<u64, Change>,
    /// Delays after the sender's timeout at which the next transactions take effect, last first.
    pub late_writes: Vec<Span>,
    /// Delivery delays of the next messages between peers, last first.
    pub slow_messages: Vec<Span>,
    accepted_version: u64,
    contents: BTreeMap<u64, Arc<Snapshot>>,
    queue: Queue<Delivery>,
    operations: u64,
    /// Number of wakes so far, over all entries.
    pub wakes: u64,
}

/// One entry.
pub struct Node {
    pub membership: Membership,
    pub agreement: Agreement,
    pub dead: bool,
    pub frozen: bool,
    pub partition: u32,
    pub store_cut: bool,
    /// Delivery delay of messages to this entry.
    pub inbound_delay: Span,
    version: u64,
    queued_events: Vec<Event>,
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
    /// A transaction that takes effect after its sender's timeout.
    LateWrite(Call),
}

/// Returns the account `name` with this weight.
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

/// Creates `count` entries over three zones that hold leases and the empty configuration.
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
    /// Starts an entry that knows the peer addresses of the first eight.
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
            partition: 0,
            store_cut: false,
            inbound_delay: PEER_DELAY,
            version: 0,
            queued_events: Vec::new(),
        };
        self.nodes.push(node);
        self.queue.push(self.now, Delivery::Wake(index));
        index
    }

    /// Submits a change at an entry and returns the operation's number.
    pub fn submit(&mut self, index: usize, change: Change, timeout: Span) -> u64 {
        self.operations += 1;
        let operation = self.operations;
        self.changes.insert(operation, change.clone());
        let event = event::Event::Submit {
            operation: Operation(operation),
            change,
            deadline: self.now + timeout,
        };
        self.feed(index, Event::Agreement(event));
        operation
    }

    /// Submits a change of an account's weight, based on the version that the entry holds.
    pub fn set_weight(&mut self, index: usize, id: &str, name: &str, weight: u32) -> u64 {
        let change = Change {
            id: id.into(),
            base: self.version(index),
            edits: vec![Edit::PutAccount(account(name, weight))],
        };
        self.submit(index, change, Span::from_seconds(30))
    }

    /// Returns the version that an entry holds.
    pub fn version(&self, index: usize) -> u64 {
        self.nodes[index].agreement.snapshot().version
    }

    /// Returns whether an entry would admit a request now.
    pub fn admits(&self, index: usize) -> bool {
        let node = &self.nodes[index];
        !node.dead && node.agreement.admits(self.now)
    }

    /// Pauses or continues an entry, as a signal would.
    pub fn set_frozen(&mut self, index: usize, frozen: bool) {
        self.nodes[index].frozen = frozen;
        if !frozen {
            self.check_no_stale_admission();
            for event in std::mem::take(&mut self.nodes[index].queued_events) {
                self.feed(index, event);
            }
        }
    }

    /// Advances the virtual time by `span`.
    pub fn run(&mut self, span: Span) {
        let until = self.now + span;
        while let Some((at, delivery)) = self.queue.pop(until) {
            self.now = at;
            self.deliver(delivery);
            self.check_no_stale_admission();
        }
        self.now = until;
        self.check_no_stale_admission();
    }

    /// Advances the virtual time until a condition holds and returns the time it took; `None` after `limit`.
    pub fn run_until(&mut self, limit: Span, condition: impl Fn(&World) -> bool) -> Option<Span> {
        let start = self.now;
        while !condition(self) {
            if self.now.since(start) >= limit {
                return None;
            }
            self.run(Span::from_millis(10));
        }
        Some(self.now.since(start))
    }

    /// Waits for the answer to an operation.
    pub fn answer(&mut self, operation: u64) -> Answer {
        let limit = Span::from_seconds(120);
        self.run_until(limit, |world| world.answers.contains_key(&operation));
        self.answers.get(&operation).cloned().expect("no answer")
    }

    /// Returns all stored versions that carry this change.
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

    /// Returns the newest stored version.
    pub fn head(&self) -> u64 {
        let row = self.table.row(row::TABLE, &row::head().key);
        row.and_then(row::read::<row::Head>)
            .map_or(0, |head| head.version)
    }

    /// Asserts that every answer agrees with the stored versions.
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
            node.queued_events.push(event);
            return;
        }
        match event {
            Event::Membership(event) => {
                let mut effects = Vec::new();
                node.membership.step(self.now, event, &mut effects);
                for effect in effects {
                    self.handle_membership_effect(index, effect);
                }
            }
            Event::Agreement(event) => {
                let mut effects = Vec::new();
                node.agreement.step(self.now, event, &mut effects);
                for effect in effects {
                    self.handle_agreement_effect(index, effect);
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

    fn handle_membership_effect(&mut self, index: usize, effect: membership::Effect) {
        use membership::Effect;
        let event = match effect {
            Effect::Store { id, call } => {
                return self.send_call(index, Machine::Membership, id, call);
            }
            Effect::Send { to, digest } => {
                return self.send_digest(index, to.0 as usize - 1, digest);
            }
            Effect::Greet { address, digest } => {
                return self.send_digest(index, address.parse().unwrap(), digest);
            }
            Effect::Lease(holding) => event::Event::Lease(holding),
            Effect::View(view) => event::Event::View(view),
            Effect::Applied { member, version } => event::Event::Applied { member, version },
            Effect::Peers(peers) => event::Event::Peers(peers),
            Effect::Item(_) | Effect::Left => return,
        };
        self.feed(index, Event::Agreement(event));
    }

    fn handle_agreement_effect(&mut self, index: usize, effect: event::Effect) {
        use event::Effect;
        let event = match effect {
            Effect::Store { id, call } => {
                return self.send_call(index, Machine::Agreement, id, call);
            }
            Effect::Send { to, message } => {
                return self.send_message(index, to.0 as usize - 1, message);
            }
            Effect::Answer { operation, answer } => {
                if let Answer::Accepted { version } = answer {
                    self.accepted_version = self.accepted_version.max(version);
                }
                let previous = self.answers.insert(operation.0, answer);
                assert_eq!(previous, None, "answered twice");
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

    fn send_call(&mut self, index: usize, machine: Machine, id: call::Id, call: Call) {
        if let (Call::Transact(_), Some(delay)) = (&call, self.late_writes.last().copied()) {
            self.late_writes.pop();
            self.queue
                .push(self.now + CALL_TIMEOUT + delay, Delivery::LateWrite(call));
            let event = outcome_event(machine, id, Outcome::Unknown);
            self.queue
                .push(self.now + CALL_TIMEOUT, Delivery::Event(index, event));
            return;
        }
        let delivery = Delivery::Call(index, machine, id, call);
        self.queue.push(self.now + STORE_DELAY, delivery);
    }

    fn send_digest(&mut self, from: usize, to: usize, digest: Digest) {
        let event = Event::Membership(membership::Event::Digest(digest));
        self.send_to_peer(from, to, event);
    }

    fn send_message(&mut self, from: usize, to: usize, message: Message) {
        let from_id = holder::Id(from as u64 + 1);
        let event = Event::Agreement(event::Event::Peer {
            from: from_id,
            message,
        });
        self.send_to_peer(from, to, event);
    }

    fn send_to_peer(&mut self, from: usize, to: usize, event: Event) {
        let delay = self
            .slow_messages
            .pop()
            .unwrap_or(self.nodes[to].inbound_delay);
        self.queue
            .push(self.now + delay, Delivery::Peer(from, to, event));
    }

    fn deliver(&mut self, delivery: Delivery) {
        match delivery {
            Delivery::Wake(index) => self.wake(index),
            Delivery::Event(index, event) => self.feed(index, event),
            Delivery::Peer(from, to, event) => {
                if self.nodes[from].partition == self.nodes[to].partition {
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
                    .push(self.now + STORE_DELAY, Delivery::Event(index, event));
            }
            Delivery::LateWrite(call) => {
                self.table.apply(&call);
            }
        }
    }

    fn check_no_stale_admission(&self) {
        for (index, node) in self.nodes.iter().enumerate() {
            let stale = node.version < self.accepted_version;
            assert!(
                !stale || !self.admits(index),
                "entry {index} admits under version {} at {} after {} was accepted",
                node.version,
                self.now,
                self.accepted_version
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
