//! Simulates many members and one table service in virtual time, for tests and examples.

use std::collections::BTreeMap;

use clock::Span;
use clock::Time;
use lease::holder;
use smol_str::SmolStr;
use smol_str::format_smolstr;
use store::call;
use store::call::Call;
use store::fake::Table;
use store::queue::Queue;

use crate::configs::membership::Settings;
use crate::digest::Digest;
use crate::event::Effect;
use crate::event::Event;
use crate::membership::Membership;
use crate::row::Row;

/// One-way latency between two entries.
const PEER_LATENCY: Span = Span::from_millis(1);
/// One-way latency between an entry and the table service.
const STORE_LATENCY: Span = Span::from_millis(3);

/// All members and the messages between them.
#[derive(Debug, Default)]
pub struct Fleet {
    /// The table service.
    pub table: Table,
    /// The members by index; ids are index plus 1.
    pub nodes: Vec<Node>,
    /// The virtual time.
    pub now: Time,
    /// Whether members apply a configuration version as soon as a heartbeat shows it.
    pub apply_versions: bool,
    by_address: BTreeMap<SmolStr, usize>,
    queue: Queue<Delivery>,
}

/// One member.
#[derive(Debug)]
pub struct Node {
    /// Its state machine.
    pub membership: Membership,
    /// Whether it has stopped for good.
    pub dead: bool,
    /// Whether it is suspended: events are deferred until it resumes.
    pub frozen: bool,
    /// Its network partition; only members of the same one can exchange messages.
    pub partition: u32,
    /// Whether it is cut off from the table service.
    pub store_cut: bool,
    /// Effects for the embedder, with the time.
    pub effects: Vec<(Time, Effect)>,
    /// Bytes of digests sent.
    pub sent_bytes: u64,
    /// Bytes of digests received.
    pub received_bytes: u64,
    /// Bytes of rows read.
    pub read_bytes: u64,
    /// Number of steps.
    pub steps: u64,
    deferred: Vec<Event>,
    next_wake: Time,
}

/// A delivery in flight.
#[derive(Debug)]
enum Delivery {
    Wake(usize),
    Event(usize, Event),
    Digest(usize, usize, Digest),
    Call(usize, call::Id, Call),
}

impl Fleet {
    /// Adds a member in a zone and starts it; returns its index.
    pub fn start(&mut self, zone: &str, settings: Settings) -> usize {
        let index = self.nodes.len();
        let address = format_smolstr!("10.0.{}.{}:1", index / 250, index % 250);
        let row = Row {
            id: holder::Id(index as u64 + 1),
            zone: SmolStr::from(zone),
            address: address.clone(),
            peer_address: address.clone(),
            ..Row::default()
        };
        let seeds = self.nodes.iter().take(3);
        let seeds = seeds
            .filter_map(|node| {
                Some(
                    node.membership
                        .directory()
                        .iter()
                        .next()?
                        .1
                        .record
                        .row
                        .peer_address
                        .clone(),
                )
            })
            .collect();
        self.by_address.insert(address, index);
        self.nodes.push(Node {
            membership: Membership::new(row, seeds, settings, index as u64),
            dead: false,
            frozen: false,
            partition: 0,
            store_cut: false,
            effects: Vec::new(),
            sent_bytes: 0,
            received_bytes: 0,
            read_bytes: 0,
            steps: 0,
            deferred: Vec::new(),
            next_wake: Time::ZERO,
        });
        self.feed(index, Event::Wake);
        index
    }

    /// Returns the id of the member at `index`.
    pub fn id(&self, index: usize) -> holder::Id {
        holder::Id(index as u64 + 1)
    }

    /// Suspends or resumes a member, as a signal does.
    pub fn set_frozen(&mut self, index: usize, frozen: bool) {
        self.nodes[index].frozen = frozen;
        if frozen {
            return;
        }
        for event in std::mem::take(&mut self.nodes[index].deferred) {
            self.feed(index, event);
        }
        self.feed(index, Event::Wake);
    }

    /// Advances the virtual time.
    pub fn run(&mut self, span: Span) {
        let until = self.now + span;
        while let Some((at, delivery)) = self.queue.pop(until) {
            self.now = at;
            self.deliver(delivery);
        }
        self.now = until;
    }

    /// Advances the time until a condition holds, at most by `limit`; returns how long it took.
    pub fn run_until(&mut self, limit: Span, holds: impl Fn(&Fleet) -> bool) -> Option<Span> {
        let start = self.now;
        while !holds(self) {
            if self.now.since(start) >= limit {
                return None;
            }
            self.run(Span::from_millis(10));
        }
        Some(self.now.since(start))
    }

    /// Passes an event to a member and executes the effects.
    pub fn feed(&mut self, index: usize, event: Event) {
        let now = self.now;
        let node = &mut self.nodes[index];
        if node.dead {
            return;
        }
        if node.frozen {
            node.deferred.push(event);
            return;
        }
        let mut effects = Vec::new();
        node.steps += 1;
        node.membership.step(now, event, &mut effects);
        let wake = node.membership.next_wake().max(now + Span::from_millis(1));
        if node.next_wake <= now || wake < node.next_wake {
            node.next_wake = wake;
            self.queue.push(wake, Delivery::Wake(index));
        }
        for effect in effects {
            self.execute(index, effect);
        }
    }

    fn execute(&mut self, index: usize, effect: Effect) {
        match effect {
            Effect::Store { id, call } => {
                let at = self.now + STORE_LATENCY;
                self.queue.push(at, Delivery::Call(index, id, call));
            }
            Effect::Send { to, digest } => self.send(index, to.0 as usize - 1, digest),
            Effect::Greet { address, digest } => {
                if let Some(to) = self.by_address.get(&address).copied() {
                    self.send(index, to, digest);
                }
            }
            Effect::Applied { version, .. } if self.apply_versions => {
                let at = self.now + PEER_LATENCY + PEER_LATENCY;
                self.queue
                    .push(at, Delivery::Event(index, Event::Applied(version)));
            }
            effect => self.nodes[index].effects.push((self.now, effect)),
        }
    }

    fn send(&mut self, from: usize, to: usize, digest: Digest) {
        self.nodes[from].sent_bytes += digest.size() as u64;
        let at = self.now + PEER_LATENCY;
        self.queue.push(at, Delivery::Digest(from, to, digest));
    }

    fn deliver(&mut self, delivery: Delivery) {
        match delivery {
            Delivery::Wake(index) => self.feed(index, Event::Wake),
            Delivery::Event(index, event) => self.feed(index, event),
            Delivery::Digest(from, to, digest) => {
                if self.nodes[from].partition != self.nodes[to].partition {
                    return;
                }
                self.nodes[to].received_bytes += digest.size() as u64;
                self.feed(to, Event::Digest(digest));
            }
            Delivery::Call(index, id, call) => {
                let outcome = if self.nodes[index].store_cut {
                    call::Outcome::Unavailable
                } else {
                    self.table.apply(&call)
                };
                if let call::Outcome::Rows { rows, .. } = &outcome {
                    let bytes = rows.iter().map(|row| row.value.to_string().len() as u64);
                    self.nodes[index].read_bytes += bytes.sum::<u64>();
                }
                let event = Event::Store { id, outcome };
                self.queue
                    .push(self.now + STORE_LATENCY, Delivery::Event(index, event));
            }
        }
    }
}
