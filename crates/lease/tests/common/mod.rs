//! Simulates rivals for one lease that send orders to engines, in virtual time.
//!
//! Asserts after every event that at most one process holds the lease and that fencing numbers rise from
//! holder to holder.

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

const NETWORK_DELAY: Span = Span::from_millis(3);
const CALL_TIMEOUT: Span = Span::from_seconds(2);
/// Time between two snapshots of the table.
const SNAPSHOT_INTERVAL: Span = Span::from_millis(200);

#[derive(Default)]
pub struct World {
    pub table: Table,
    pub rivals: Vec<Rival>,
    pub engines: BTreeMap<SmolStr, Engine>,
    pub now: Time,
    /// Delays after the sender's timeout at which the next transactions take effect, last first.
    pub late_writes: Vec<Span>,
    /// Snapshots of the table with the time of each, oldest first.
    snapshots: Vec<(Time, Table)>,
    /// Highest fencing number that a holder reported as lost.
    pub relinquished: u64,
    /// Whether a holder notifies its rivals of renewals and of losing the lease.
    pub notifies_rivals: bool,
    /// Delivery delays of the next orders, last first.
    pub order_delays: Vec<Span>,
    /// Index of the holder of each fencing number.
    holders: BTreeMap<u64, usize>,
    queue: Queue<Delivery>,
}

pub struct Rival {
    pub claim: Claim,
    pub orders: Orders,
    pub frozen: bool,
    pub dead: bool,
    pub store_cut: bool,
    queued_events: Vec<Event>,
}

#[derive(Clone, Debug, Default)]
pub struct Engine {
    pub checks_fencing: bool,
    pub fence: u64,
    pub target: Target,
    pub running: u32,
    /// Whether an order replaced its model while requests were running.
    pub disturbed: bool,
    /// Whether a former holder's order took effect after a newer holder's.
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
    LateWrite(Call),
    Order(usize, SmolStr, u64, Target),
    Read(usize, SmolStr),
}

/// Returns a target that serves a model.
pub fn serving(model: &str) -> Target {
    Target {
        model: model.into(),
        role: "serve".into(),
        ..Target::default()
    }
}

/// Creates a world with `count` processes that all want the lease.
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
            queued_events: Vec::new(),
        });
        world.feed(index, Event::Claim(claim::Event::Want(true)));
        world.queue.push(world.now, Delivery::Wake(index));
    }
    world
}

impl World {
    /// Returns the index of the rival that holds the lease.
    pub fn holder(&self) -> Option<usize> {
        (0..self.rivals.len()).find(|index| self.fence(*index).is_some())
    }

    /// Returns the fencing number under which a rival may act now.
    pub fn fence(&self, index: usize) -> Option<u64> {
        let rival = &self.rivals[index];
        rival.claim.fence(self.now).filter(|_| !rival.dead)
    }

    /// Adds an engine and sets its target at a rival.
    pub fn set_target(&mut self, index: usize, engine: &str, checks_fencing: bool, target: Target) {
        let name = SmolStr::from(engine);
        self.engines.entry(name.clone()).or_default().checks_fencing = checks_fencing;
        let event = order::Event::Want {
            engine: name,
            checks_fencing,
            target,
        };
        self.feed(index, Event::Orders(event));
    }

    /// Restores the table from the newest snapshot of at least this age, or from the oldest one.
    pub fn restore(&mut self, age: Span) {
        let snapshots = self.snapshots.iter();
        let old = snapshots
            .take_while(|(made_at, _)| self.now.since(*made_at) >= age)
            .count();
        let Some((_, snapshot)) = self.snapshots.get(old.saturating_sub(1)) else {
            return;
        };
        let snapshot = snapshot.clone();
        self.table.restore(&snapshot);
        self.snapshots.clear();
    }

    pub fn set_frozen(&mut self, index: usize, frozen: bool) {
        self.rivals[index].frozen = frozen;
        if !frozen {
            self.check_single_holder();
            for event in std::mem::take(&mut self.rivals[index].queued_events) {
                self.feed(index, event);
            }
        }
    }

    pub fn run(&mut self, span: Span) {
        let until = self.now + span;
        while let Some((at, delivery)) = self.queue.pop(until) {
            self.now = at;
            let last = self.snapshots.last();
            if last.is_none_or(|(made_at, _)| at.since(*made_at) >= SNAPSHOT_INTERVAL) {
                self.snapshots.push((at, self.table.clone()));
            }
            self.deliver(delivery);
            self.check_single_holder();
        }
        self.now = until;
    }

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

    pub fn feed(&mut self, index: usize, event: Event) {
        let rival = &mut self.rivals[index];
        if rival.dead {
            return;
        }
        if rival.frozen {
            rival.queued_events.push(event);
            return;
        }
        match event {
            Event::Claim(event) => {
                let mut effects = Vec::new();
                rival.claim.step(self.now, event, &mut effects);
                for effect in effects {
                    self.handle_claim_effect(index, effect);
                }
            }
            Event::Orders(event) => {
                let mut effects = Vec::new();
                rival.orders.step(self.now, event, &mut effects);
                for effect in effects {
                    self.handle_order_effect(index, effect);
                }
            }
        }
    }

    fn handle_claim_effect(&mut self, index: usize, effect: claim::Effect) {
        match effect {
            claim::Effect::Store { id, call } => self.send_call(index, id, call),
            claim::Effect::Gained(fence) => {
                self.feed(index, Event::Orders(order::Event::Gained(fence)));
            }
            claim::Effect::Renewed(row) => self.notify_rivals(index, claim::Event::Renewed(row)),
            claim::Effect::Lost(fence) => {
                self.feed(index, Event::Orders(order::Event::Lost));
                self.relinquished = self.relinquished.max(fence);
                self.notify_rivals(index, claim::Event::Relinquished(fence));
            }
        }
    }

    fn notify_rivals(&mut self, from: usize, event: claim::Event) {
        if !self.notifies_rivals {
            return;
        }
        for other in (0..self.rivals.len()).filter(|other| *other != from) {
            let event = Event::Claim(event.clone());
            self.queue
                .push(self.now + NETWORK_DELAY, Delivery::Event(other, event));
        }
    }

    fn handle_order_effect(&mut self, index: usize, effect: order::Effect) {
        match effect {
            order::Effect::Order {
                engine,
                fence,
                target,
            } => {
                // The lease is checked again where the order leaves.
                if self.fence(index) == Some(fence) {
                    let delay = self.order_delays.pop().unwrap_or(NETWORK_DELAY);
                    let delivery = Delivery::Order(index, engine, fence, target);
                    self.queue.push(self.now + delay, delivery);
                }
            }
            order::Effect::Read(engine) => self
                .queue
                .push(self.now + NETWORK_DELAY, Delivery::Read(index, engine)),
            order::Effect::Deposed(_) => {}
        }
    }

    fn send_call(&mut self, index: usize, id: call::Id, call: Call) {
        if let (Call::Transact(_), Some(delay)) = (&call, self.late_writes.last().copied()) {
            self.late_writes.pop();
            self.queue
                .push(self.now + CALL_TIMEOUT + delay, Delivery::LateWrite(call));
            let outcome = Outcome::Unknown;
            let event = Event::Claim(claim::Event::Store { id, outcome });
            self.queue
                .push(self.now + CALL_TIMEOUT, Delivery::Event(index, event));
            return;
        }
        self.queue
            .push(self.now + NETWORK_DELAY, Delivery::Call(index, id, call));
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
                    .push(self.now + NETWORK_DELAY, Delivery::Event(index, event));
            }
            Delivery::LateWrite(call) => {
                self.table.apply(&call);
            }
            Delivery::Order(index, engine, fence, target) => {
                self.apply_order(index, engine, fence, target);
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

    fn apply_order(&mut self, index: usize, engine: SmolStr, fence: u64, target: Target) {
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

    fn check_single_holder(&mut self) {
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
