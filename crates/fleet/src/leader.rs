//! The leader of one deployment.
//!
//! Pure: the embedder feeds [`Event`]s to [`Leader::step`], carries out the [`Effect`]s and calls again
//! with [`Event::Wake`] at the time that [`Leader::next_wake`] names.

use std::collections::BTreeMap;

use clock::Time;
use lease::claim;
use lease::claim::Claim;
use lease::holder;
use lease::order;
use lease::order::Orders;
use policy::mix;
use policy::mix::Kind;
use policy::mix::Mix;
use policy::mix::Offer;
use policy::mix::Order;
use smol_str::SmolStr;
use smol_str::format_smolstr;

use crate::configs::leader::Settings;
use crate::demand::Demand;
use crate::event::Assignment;
use crate::event::Bounds;
use crate::event::Effect;
use crate::event::Event;
use crate::event::Instance;
use crate::rollout::Rollout;

/// The state machine.
#[derive(Debug)]
pub struct Leader {
    settings: Settings,
    name: SmolStr,
    assignment: Option<Assignment>,
    claim: Claim,
    orders: Orders,
    mix: Mix,
    demand: Demand,
    rollout: Rollout,
    instances: Vec<Instance>,
    offers: Vec<Offer>,
    /// Wishes sent to the cloud: what for, and until when they count as starting.
    wishes: BTreeMap<SmolStr, (Kind, Time)>,
    /// Under which number we lead; none while we don't.
    fence: Option<u64>,
    next_plan: Time,
    next_wish: u64,
}

impl Leader {
    /// A leader of the deployment of that name that isn't assigned yet.
    pub fn new(me: holder::Id, name: SmolStr, settings: Settings, seed: u64) -> Leader {
        let lease_name = format!("fleet/{name}");
        Leader {
            claim: Claim::new(me, &lease_name, settings.claim, seed),
            orders: Orders::new(settings.order),
            mix: Mix::new(settings.mix),
            demand: Demand::new(settings.peak_window),
            rollout: Rollout::default(),
            instances: Vec::new(),
            offers: Vec::new(),
            wishes: BTreeMap::new(),
            fence: None,
            next_plan: Time::ZERO,
            next_wish: 0,
            assignment: None,
            name,
            settings,
        }
    }

    /// Takes one event and appends what is to be done.
    pub fn step(&mut self, now: Time, event: Event, effects: &mut Vec<Effect>) {
        match event {
            Event::Wake => self.claim_step(now, claim::Event::Wake, effects),
            Event::Store { id, outcome } => {
                self.claim_step(now, claim::Event::Store { id, outcome }, effects);
            }
            Event::Assigned(assignment) => {
                let wanted = assignment.is_some();
                self.assignment = assignment;
                self.claim_step(now, claim::Event::Want(wanted), effects);
            }
            Event::Listed(instances) => self.listed(now, instances, effects),
            Event::Priced(offers) => self.offers = offers,
            Event::EngineRead {
                engine,
                target,
                running,
            } => self.engine_read(now, engine, target, running, effects),
            Event::EngineRefused { engine, fence } => {
                self.order_step(now, order::Event::Refused { engine, fence }, effects);
            }
            Event::LoadReported { engine, requests } => self.demand.record(now, engine, requests),
            Event::Granted { .. } => {}
            Event::Refused { token } => self.refused(now, &token),
        }
        if self.fence.is_some() {
            self.order_step(now, order::Event::Wake, effects);
            self.plan(now, effects);
        }
    }

    /// Whether this entry leads now.
    pub fn leads(&self, now: Time) -> bool {
        self.claim.fence(now).is_some()
    }

    /// When [`Event::Wake`] is wanted next.
    pub fn next_wake(&self, now: Time) -> Option<Time> {
        let claim = Some(self.claim.next_wake(now));
        let plan = self.fence.map(|_| self.next_plan);
        let orders = self.fence.and_then(|_| self.orders.next_wake());
        [claim, plan, orders].into_iter().flatten().min()
    }

    /// Steps the lease.
    fn claim_step(&mut self, now: Time, event: claim::Event, effects: &mut Vec<Effect>) {
        let mut asked = Vec::new();
        self.claim.step(now, event, &mut asked);
        for effect in asked {
            match effect {
                claim::Effect::Store { id, call } => effects.push(Effect::Store { id, call }),
                claim::Effect::Gained(fence) => {
                    self.fence = Some(fence);
                    self.next_plan = now;
                    effects.push(Effect::Elected(fence));
                    self.order_step(now, order::Event::Gained(fence), effects);
                }
                claim::Effect::Renewed(_) => {}
                claim::Effect::Lost(_) => self.lost(now, effects),
            }
        }
    }

    /// The lease is gone: no more orders, no more wishes.
    fn lost(&mut self, now: Time, effects: &mut Vec<Effect>) {
        self.fence = None;
        self.order_step(now, order::Event::Lost, effects);
        effects.push(Effect::Deposed);
    }

    /// Steps the orders; each leaves with the end of our lease, to be checked where it leaves.
    fn order_step(&mut self, now: Time, event: order::Event, effects: &mut Vec<Effect>) {
        let mut asked = Vec::new();
        self.orders.step(now, event, &mut asked);
        let until = self.claim.valid_until();
        for effect in asked {
            match effect {
                order::Effect::Order {
                    engine,
                    fence,
                    target,
                } => {
                    if self.leads(now) {
                        effects.push(Effect::Order {
                            engine,
                            fence,
                            target,
                            until,
                        });
                    }
                }
                order::Effect::Read(engine) => effects.push(Effect::Read(engine)),
                order::Effect::Deposed(_) => self.fence = None,
            }
        }
    }

    /// Takes the instance list.
    fn listed(&mut self, now: Time, instances: Vec<Instance>, effects: &mut Vec<Effect>) {
        let gone: Vec<SmolStr> = self
            .instances
            .iter()
            .map(|old| old.incarnation.clone())
            .filter(|old| !instances.iter().any(|one| one.incarnation == *old))
            .collect();
        for engine in gone {
            self.order_step(now, order::Event::Gone(engine), effects);
        }
        self.count_arrivals(&instances);
        self.instances = instances;
        let listed = &self.instances;
        let is_listed = |engine: &str| listed.iter().any(|one| one.incarnation == engine);
        self.demand.retain(is_listed);
        self.rollout.retain(is_listed);
        self.order_engines(now, effects);
    }

    /// An instance that shows up fulfils the oldest wish of its kind.
    fn count_arrivals(&mut self, instances: &[Instance]) {
        let known = &self.instances;
        let new = instances
            .iter()
            .filter(|one| !known.iter().any(|old| old.incarnation == one.incarnation));
        for instance in new {
            let fulfilled = self
                .wishes
                .iter()
                .find(|(_, (kind, _))| *kind == instance.kind)
                .map(|(token, _)| token.clone());
            if let Some(token) = fulfilled {
                self.wishes.remove(&token);
            }
        }
    }

    /// Takes what an engine serves.
    fn engine_read(
        &mut self,
        now: Time,
        engine: SmolStr,
        target: order::Target,
        running: u32,
        effects: &mut Vec<Effect>,
    ) {
        self.rollout
            .record_engine(engine.clone(), target.clone(), running);
        self.order_engines(now, effects);
        let read = order::Event::Read {
            engine,
            target,
            running,
        };
        self.order_step(now, read, effects);
    }

    /// Says what each engine is to serve now. One that wasn't read yet is only read.
    fn order_engines(&mut self, now: Time, effects: &mut Vec<Effect>) {
        let Some(assignment) = &self.assignment else {
            return;
        };
        let Some(target) = assignment.target.clone() else {
            return;
        };
        let checks_fencing = assignment.checks_fencing;
        let most_out =
            self.instances.len() * self.settings.max_unavailable_per_mille as usize / 1_000;
        let planned: BTreeMap<SmolStr, order::Target> =
            self.rollout.plan(&target, most_out).into_iter().collect();
        let engines: Vec<SmolStr> = self
            .instances
            .iter()
            .map(|instance| instance.incarnation.clone())
            .collect();
        for engine in engines {
            let target = planned.get(&engine).unwrap_or(&target).clone();
            let want = order::Event::Want {
                engine,
                checks_fencing,
                target,
            };
            self.order_step(now, want, effects);
        }
    }

    /// The cloud has none of that kind: the next plan does without.
    fn refused(&mut self, now: Time, token: &str) {
        if let Some((kind, _)) = self.wishes.remove(token) {
            self.mix.refused(now, kind);
            self.next_plan = now;
        }
    }

    /// Plans the mix when it is time.
    fn plan(&mut self, now: Time, effects: &mut Vec<Effect>) {
        let bounds = self
            .assignment
            .as_ref()
            .and_then(|assignment| assignment.bounds);
        let Some(bounds) = bounds else {
            return;
        };
        if now < self.next_plan || !self.leads(now) || self.offers.is_empty() {
            return;
        }
        self.next_plan = now + self.settings.plan_interval;
        self.wishes.retain(|_, (_, until)| now < *until);
        let offers: Vec<Offer> = self
            .offers
            .iter()
            .map(|offer| Offer {
                capacity: bounds.capacity,
                ..offer.clone()
            })
            .collect();
        let demand = self.demand_of(now, bounds);
        let plan = self.mix.plan(now, demand, &offers, &self.existing());
        for order in plan.orders {
            match order {
                Order::Start(kind, count) => self.wish(now, kind, count, bounds, effects),
                Order::Stop(id) => self.stop(&id, bounds, effects),
            }
        }
    }

    /// Demand within the pool's bounds, in requests.
    fn demand_of(&mut self, now: Time, bounds: Bounds) -> u32 {
        let least = bounds.least.saturating_mul(bounds.capacity);
        let most = bounds.most.saturating_mul(bounds.capacity);
        self.demand.peak(now).clamp(least.min(most), most)
    }

    /// Instances that are there or under way, as the mix wants them.
    fn existing(&self) -> Vec<mix::Instance> {
        let there = self.instances.iter().map(|instance| mix::Instance {
            id: instance.id.clone(),
            kind: instance.kind.clone(),
            live: true,
        });
        let starting = self.wishes.iter().map(|(token, (kind, _))| mix::Instance {
            id: token.clone(),
            kind: kind.clone(),
            live: false,
        });
        there.chain(starting).collect()
    }

    /// Asks the cloud for instances, within the pool's bounds.
    fn wish(
        &mut self,
        now: Time,
        kind: Kind,
        count: u32,
        bounds: Bounds,
        effects: &mut Vec<Effect>,
    ) {
        let there = self.instances.len() + self.wishes.len();
        let room = (bounds.most as usize).saturating_sub(there);
        for _ in 0..room.min(count as usize) {
            let fence = self.fence.unwrap_or_default();
            let token = format_smolstr!("{}-{fence}-{}", self.name, self.next_wish);
            self.next_wish += 1;
            let until = now + self.settings.start_timeout;
            self.wishes.insert(token.clone(), (kind.clone(), until));
            effects.push(Effect::Start {
                token,
                kind: kind.clone(),
                until: self.claim.valid_until(),
            });
        }
    }

    /// Gives an instance back, unless the pool is at its smallest.
    fn stop(&mut self, id: &str, bounds: Bounds, effects: &mut Vec<Effect>) {
        if self.instances.len() <= bounds.least as usize {
            return;
        }
        let Some(at) = self.instances.iter().position(|one| one.id == id) else {
            return;
        };
        let instance = self.instances.remove(at);
        effects.push(Effect::Stop {
            id: instance.id,
            incarnation: instance.incarnation,
            until: self.claim.valid_until(),
        });
    }
}
