//! Rivals for one lease that give orders to engines, in virtual time.
//!
//! After every event the world checks that at most one process holds the lease, and that fencing
//! numbers rise from holder to holder.

#![allow(dead_code)] // each test file uses a part

use std::collections::BTreeMap;

use clock::Span;
use clock::Time;
use lease::claim;
use lease::claim::Claim;
use lease::holder;
use lease::order;
use lease::order::Orders;
use lease::order::Target;
use smol_str::SmolStr;
use store::call;
use store::call::Call;
use store::call::Outcome;
use store::fake::Table;
use store::queue::Queue;

const HOP: Span = Span::from_millis(3);
const TIMEOUT: Span = Span::from_seconds(2);
/// Time between two copies of the table.
const COPY_TIME: Span = Span::from_millis(200);

#[derive(Default)]
pub struct World {
    pub table: Table,
    pub rivals: Vec<Rival>,
    pub engines: BTreeMap<SmolStr, Engine>,
    pub now: Time,
    /// Transactions that take effect only after their sender has given up: how long after.
    pub late: Vec<Span>,
    /// Copies of the table, the newest last, and when they were made.
    copies: Vec<(Time, Table)>,
    /// The highest number that a holder said it gave up.
    pub resigned: u64,
    /// Whether a holder tells its rivals of renewals, and that it gave up.
    pub notifies_rivals: bool,
    /// How long the next orders are under way.
    pub order_delays: Vec<Span>,
    /// The holder of each fencing number.
    holders: BTreeMap<u64, usize>,
    queue: Queue<Delivery>,
}

pub struct Rival {
    pub claim: Claim,
    pub orders: Orders,
    pub frozen: bool,
    pub dead: bool,
    pub store_cut: bool,
    held: Vec<Event>,
}

#[derive(Clone, Debug, Default)]
pub struct Engine {
    pub checks_fencing: bool,
    pub fence: u64,
    pub target: Target,
    pub running: u32,
    /// Whether an order took away what it served while it was at work.
    pub disturbed: bool,
    /// Whether an old holder's order took effect after a newer one's.
    pub reverted: bool,
}

#[derive(Clone, Debug)]
pub enum Event {
    Claim(claim::Event),
    Orders(order::Event),
}

enum Delivery {
    Wake(usize),
    Event(usize, Event),
    Call(usize, call::Id, Call),
    Ghost(Call),
    Order(usize, SmolStr, u64, Target),
    Read(usize, SmolStr),
}

/// Serves this model.
pub fn serving(model: &str) -> Target {
    Target {
        model: model.into(),
        role: "serve".into(),
        ..Target::default()
    }
}

/// `count` processes that all want the lease.
pub fn rivals(count: usize) -> World {
    let mut world = World::default();
    for index in 0..count {
        let id = holder::Id(index as u64 + 1);
        let claim = Claim::new(id, "fleet/thesis", Default::default(), index as u64);
        world.rivals.push(Rival {
            claim,
            orders: Orders::new(Default::default()),
            frozen: false,
            dead: false,
            store_cut: false,
            held: Vec::new(),
        });
        world.feed(index, Event::Claim(claim::Event::Want(true)));
        world.queue.push(world.now, Delivery::Wake(index));
    }
    world
}

impl World {
    /// Index of the rival that holds the lease.
    pub fn holder(&self) -> Option<usize> {
        (0..self.rivals.len()).find(|index| self.fence(*index).is_some())
    }

    /// The fencing number under which a rival may act now.
    pub fn fence(&self, index: usize) -> Option<u64> {
        let rival = &self.rivals[index];
        rival.claim.fence(self.now).filter(|_| !rival.dead)
    }

    /// Adds an engine and tells a rival what it is to serve.
    pub fn want(&mut self, index: usize, engine: &str, checks_fencing: bool, target: Target) {
        let name = SmolStr::from(engine);
        self.engines.entry(name.clone()).or_default().checks_fencing = checks_fencing;
        let event = order::Event::Want {
            engine: name,
            checks_fencing,
            target,
        };
        self.feed(index, Event::Orders(event));
    }

    /// The service comes back from a copy that is so old, or the oldest one.
    pub fn restore(&mut self, age: Span) {
        let young = self.copies.iter();
        let old = young
            .take_while(|(at, _)| self.now.since(*at) >= age)
            .count();
        let Some((_, copy)) = self.copies.get(old.saturating_sub(1)) else {
            return;
        };
        let copy = copy.clone();
        self.table.restore(&copy);
        self.copies.clear();
    }

    pub fn set_frozen(&mut self, index: usize, frozen: bool) {
        self.rivals[index].frozen = frozen;
        if !frozen {
            self.check();
            for event in std::mem::take(&mut self.rivals[index].held) {
                self.feed(index, event);
            }
        }
    }

    pub fn run(&mut self, span: Span) {
        let until = self.now + span;
        while let Some((at, delivery)) = self.queue.pop(until) {
            self.now = at;
            let last = self.copies.last();
            if last.is_none_or(|(made, _)| at.since(*made) >= COPY_TIME) {
                self.copies.push((at, self.table.clone()));
            }
            self.deliver(delivery);
            self.check();
        }
        self.now = until;
    }

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

    pub fn feed(&mut self, index: usize, event: Event) {
        let rival = &mut self.rivals[index];
        if rival.dead {
            return;
        }
        if rival.frozen {
            rival.held.push(event);
            return;
        }
        match event {
            Event::Claim(event) => {
                let mut effects = Vec::new();
                rival.claim.step(self.now, event, &mut effects);
                for effect in effects {
                    self.claim_effect(index, effect);
                }
            }
            Event::Orders(event) => {
                let mut effects = Vec::new();
                rival.orders.step(self.now, event, &mut effects);
                for effect in effects {
                    self.order_effect(index, effect);
                }
            }
        }
    }

    fn claim_effect(&mut self, index: usize, effect: claim::Effect) {
        match effect {
            claim::Effect::Store { id, call } => self.call(index, id, call),
            claim::Effect::Gained(fence) => {
                self.feed(index, Event::Orders(order::Event::Gained(fence)));
            }
            claim::Effect::Renewed(row) => self.tell(index, claim::Event::Renewed(row)),
            claim::Effect::Lost(fence) => {
                self.feed(index, Event::Orders(order::Event::Lost));
                self.resigned = self.resigned.max(fence);
                self.tell(index, claim::Event::Relinquished(fence));
            }
        }
    }

    fn tell(&mut self, from: usize, event: claim::Event) {
        if !self.notifies_rivals {
            return;
        }
        for other in (0..self.rivals.len()).filter(|other| *other != from) {
            let event = Event::Claim(event.clone());
            self.queue
                .push(self.now + HOP, Delivery::Event(other, event));
        }
    }

    fn order_effect(&mut self, index: usize, effect: order::Effect) {
        match effect {
            order::Effect::Order {
                engine,
                fence,
                target,
            } => {
                // The lease is checked again where the order leaves.
                if self.fence(index) == Some(fence) {
                    let delay = self.order_delays.pop().unwrap_or(HOP);
                    let delivery = Delivery::Order(index, engine, fence, target);
                    self.queue.push(self.now + delay, delivery);
                }
            }
            order::Effect::Read(engine) => self
                .queue
                .push(self.now + HOP, Delivery::Read(index, engine)),
            order::Effect::Deposed(_) => {}
        }
    }

    fn call(&mut self, index: usize, id: call::Id, call: Call) {
        if let (Call::Transact(_), Some(delay)) = (&call, self.late.last().copied()) {
            self.late.pop();
            self.queue
                .push(self.now + TIMEOUT + delay, Delivery::Ghost(call));
            let outcome = Outcome::Unknown;
            let event = Event::Claim(claim::Event::Store { id, outcome });
            self.queue
                .push(self.now + TIMEOUT, Delivery::Event(index, event));
            return;
        }
        self.queue
            .push(self.now + HOP, Delivery::Call(index, id, call));
    }

    fn deliver(&mut self, delivery: Delivery) {
        match delivery {
            Delivery::Wake(index) => self.wake(index),
            Delivery::Event(index, event) => self.feed(index, event),
            Delivery::Call(index, id, call) => {
                let outcome = match (&call, self.rivals[index].store_cut) {
                    (_, false) => self.table.apply(&call),
                    (Call::Transact(_), true) => Outcome::Unknown,
                    (_, true) => Outcome::Unavailable,
                };
                let event = Event::Claim(claim::Event::Store { id, outcome });
                self.queue
                    .push(self.now + HOP, Delivery::Event(index, event));
            }
            Delivery::Ghost(call) => {
                self.table.apply(&call);
            }
            Delivery::Order(index, engine, fence, target) => {
                self.order(index, engine, fence, target);
            }
            Delivery::Read(index, engine) => {
                let Some(state) = self.engines.get(&engine) else {
                    return;
                };
                let event = order::Event::Read {
                    engine,
                    target: state.target.clone(),
                    running: state.running,
                };
                self.feed(index, Event::Orders(event));
            }
        }
    }

    fn order(&mut self, index: usize, engine: SmolStr, fence: u64, target: Target) {
        let Some(state) = self.engines.get_mut(&engine) else {
            return;
        };
        if state.checks_fencing && fence < state.fence {
            let fence = state.fence;
            let event = order::Event::Refused { engine, fence };
            return self.feed(index, Event::Orders(event));
        }
        state.disturbed |= state.running > 0 && state.target != target;
        state.reverted |= fence < state.fence;
        state.fence = fence;
        state.target = target;
    }

    fn wake(&mut self, index: usize) {
        self.feed(index, Event::Claim(claim::Event::Wake));
        self.feed(index, Event::Orders(order::Event::Wake));
        let rival = &self.rivals[index];
        let mut next = rival.claim.next_wake(self.now);
        if let Some(wake) = rival.orders.next_wake() {
            next = next.min(wake);
        }
        let next = next.max(self.now + Span::from_millis(5));
        if !rival.dead {
            self.queue.push(next, Delivery::Wake(index));
        }
    }

    fn check(&mut self) {
        let holding: Vec<(usize, u64)> = (0..self.rivals.len())
            .filter_map(|index| Some((index, self.fence(index)?)))
            .collect();
        assert!(
            holding.len() <= 1,
            "two holders at {}: {holding:?}",
            self.now
        );
        for (index, fence) in holding {
            let known = *self.holders.entry(fence).or_insert(index);
            assert_eq!(known, index, "fencing number {fence} has two holders");
            let newest = self.holders.keys().next_back().copied();
            assert_eq!(newest, Some(fence), "an old fencing number is in use");
        }
    }
}
