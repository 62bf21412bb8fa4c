//! State machine of the leader of one deployment.
//!
//! It does no I/O: the embedder feeds [`Event`]s to [`Leader::step`], carries out the [`Effect`]s and calls
//! again with [`Event::Wake`] at the time that [`Leader::next_wake`] returns.

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

/// Competes for the lease of one deployment and leads it while the lease is held.
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
    /// Instances requested from the cloud, by token, with the time at which each request expires.
    pending_starts: BTreeMap<SmolStr, (Kind, Time)>,
    /// Fencing number under which this entry leads; `None` while it doesn't.
    fence: Option<u64>,
    next_plan: Time,
    next_start_number: u64,
}

impl Leader {
    /// Creates a leader of the deployment `name` that is not assigned yet.
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
            pending_starts: BTreeMap::new(),
            fence: None,
            next_plan: Time::ZERO,
            next_start_number: 0,
            assignment: None,
            name,
            settings,
        }
    }

    /// Handles one event and appends the resulting effects.
    pub fn step(&mut self, now: Time, event: Event, effects: &mut Vec<Effect>) {
        match event {
            Event::Wake => self.step_claim(now, claim::Event::Wake, effects),
            Event::Store { id, outcome } => {
                self.step_claim(now, claim::Event::Store { id, outcome }, effects);
            }
            Event::Assigned(assignment) => {
                let wanted = assignment.is_some();
                self.assignment = assignment;
                self.step_claim(now, claim::Event::Want(wanted), effects);
            }
            Event::Listed(instances) => self.handle_list(now, instances, effects),
            Event::Priced(offers) => self.offers = offers,
            Event::EngineRead {
                engine,
                target,
                running,
            } => self.handle_engine_read(now, engine, target, running, effects),
            Event::EngineRefused { engine, fence } => {
                self.step_orders(now, order::Event::Refused { engine, fence }, effects);
            }
            Event::LoadReported { engine, requests } => self.demand.record(now, engine, requests),
            Event::Granted { .. } => {}
            Event::Refused { token } => self.handle_refusal(now, &token),
        }
        if self.fence.is_some() {
            self.step_orders(now, order::Event::Wake, effects);
            self.plan_instances(now, effects);
        }
    }

    /// Returns whether this entry leads now.
    pub fn is_leading(&self, now: Time) -> bool {
        self.claim.fence(now).is_some()
    }

    /// Returns when [`Event::Wake`] is due.
    pub fn next_wake(&self, now: Time) -> Option<Time> {
        let claim = Some(self.claim.next_wake(now));
        let plan = self.fence.map(|_| self.next_plan);
        let orders = self.fence.and_then(|_| self.orders.next_wake());
        [claim, plan, orders].into_iter().flatten().min()
    }

    /// Steps the lease and handles its effects.
    fn step_claim(&mut self, now: Time, event: claim::Event, effects: &mut Vec<Effect>) {
        let mut produced = Vec::new();
        self.claim.step(now, event, &mut produced);
        for effect in produced {
            match effect {
                claim::Effect::Store { id, call } => effects.push(Effect::Store { id, call }),
                claim::Effect::Gained(fence) => {
                    self.fence = Some(fence);
                    self.next_plan = now;
                    effects.push(Effect::Elected(fence));
                    self.step_orders(now, order::Event::Gained(fence), effects);
                }
                claim::Effect::Renewed(_) => {}
                claim::Effect::Lost(_) => self.handle_loss(now, effects),
            }
        }
    }

    /// Stops leading after the lease was lost.
    fn handle_loss(&mut self, now: Time, effects: &mut Vec<Effect>) {
        self.fence = None;
        self.step_orders(now, order::Event::Lost, effects);
        effects.push(Effect::Deposed);
    }

    /// Steps the orders. Each carries the expiry of the lease, to be checked where it leaves the process.
    fn step_orders(&mut self, now: Time, event: order::Event, effects: &mut Vec<Effect>) {
        let mut produced = Vec::new();
        self.orders.step(now, event, &mut produced);
        let until = self.claim.valid_until();
        for effect in produced {
            match effect {
                order::Effect::Order {
                    engine,
                    fence,
                    target,
                } => {
                    if self.is_leading(now) {
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

    /// Replaces the instance list and forgets instances that are gone.
    fn handle_list(&mut self, now: Time, instances: Vec<Instance>, effects: &mut Vec<Effect>) {
        let gone: Vec<SmolStr> = self
            .instances
            .iter()
            .map(|instance| instance.incarnation.clone())
            .filter(|old| {
                !instances
                    .iter()
                    .any(|instance| instance.incarnation == *old)
            })
            .collect();
        for engine in gone {
            self.step_orders(now, order::Event::Gone(engine), effects);
        }
        self.match_arrivals(&instances);
        self.instances = instances;
        let listed = &self.instances;
        let is_listed = |engine: &str| listed.iter().any(|instance| instance.incarnation == engine);
        self.demand.retain(is_listed);
        self.rollout.retain(is_listed);
        self.set_engine_targets(now, effects);
    }

    /// Removes one pending start of the same kind for each instance that appears.
    fn match_arrivals(&mut self, instances: &[Instance]) {
        let known = &self.instances;
        let new = instances.iter().filter(|instance| {
            !known
                .iter()
                .any(|old| old.incarnation == instance.incarnation)
        });
        for instance in new {
            let matching_token = self
                .pending_starts
                .iter()
                .find(|(_, (kind, _))| *kind == instance.kind)
                .map(|(token, _)| token.clone());
            if let Some(token) = matching_token {
                self.pending_starts.remove(&token);
            }
        }
    }

    /// Records the state of an engine.
    fn handle_engine_read(
        &mut self,
        now: Time,
        engine: SmolStr,
        target: order::Target,
        running: u32,
        effects: &mut Vec<Effect>,
    ) {
        self.rollout
            .record_engine(engine.clone(), target.clone(), running);
        self.set_engine_targets(now, effects);
        let event = order::Event::Read {
            engine,
            target,
            running,
        };
        self.step_orders(now, event, effects);
    }

    /// Sets the current target of each engine. An engine that was not read yet is only read.
    fn set_engine_targets(&mut self, now: Time, effects: &mut Vec<Effect>) {
        let Some(assignment) = &self.assignment else {
            return;
        };
        let Some(target) = assignment.target.clone() else {
            return;
        };
        let checks_fencing = assignment.checks_fencing;
        let max_unavailable =
            self.instances.len() * self.settings.max_unavailable_per_mille as usize / 1_000;
        let planned: BTreeMap<SmolStr, order::Target> = self
            .rollout
            .plan(&target, max_unavailable)
            .into_iter()
            .collect();
        let engines: Vec<SmolStr> = self
            .instances
            .iter()
            .map(|instance| instance.incarnation.clone())
            .collect();
        for engine in engines {
            let target = planned.get(&engine).unwrap_or(&target).clone();
            let event = order::Event::Want {
                engine,
                checks_fencing,
                target,
            };
            self.step_orders(now, event, effects);
        }
    }

    /// Excludes a kind that the cloud refused and plans again immediately.
    fn handle_refusal(&mut self, now: Time, token: &str) {
        if let Some((kind, _)) = self.pending_starts.remove(token) {
            self.mix.refused(now, kind);
            self.next_plan = now;
        }
    }

    /// Plans the instance mix when a plan is due.
    fn plan_instances(&mut self, now: Time, effects: &mut Vec<Effect>) {
        let bounds = self
            .assignment
            .as_ref()
            .and_then(|assignment| assignment.bounds);
        let Some(bounds) = bounds else {
            return;
        };
        if now < self.next_plan || !self.is_leading(now) || self.offers.is_empty() {
            return;
        }
        self.next_plan = now + self.settings.plan_interval;
        self.pending_starts.retain(|_, (_, until)| now < *until);
        let offers: Vec<Offer> = self
            .offers
            .iter()
            .map(|offer| Offer {
                capacity: bounds.capacity,
                ..offer.clone()
            })
            .collect();
        let demand = self.bounded_demand(now, bounds);
        let plan = self.mix.plan(now, demand, &offers, &self.mix_instances());
        for order in plan.orders {
            match order {
                Order::Start(kind, count) => {
                    self.start_instances(now, kind, count, bounds, effects)
                }
                Order::Stop(id) => self.stop_instance(&id, bounds, effects),
            }
        }
    }

    /// Returns the demand in requests, limited by the bounds of the pool.
    fn bounded_demand(&mut self, now: Time, bounds: Bounds) -> u32 {
        let least = bounds.least.saturating_mul(bounds.capacity);
        let most = bounds.most.saturating_mul(bounds.capacity);
        self.demand.peak(now).clamp(least.min(most), most)
    }

    /// Returns running and starting instances in the form that the mix expects.
    fn mix_instances(&self) -> Vec<mix::Instance> {
        let running = self.instances.iter().map(|instance| mix::Instance {
            id: instance.id.clone(),
            kind: instance.kind.clone(),
            live: true,
        });
        let starting = self
            .pending_starts
            .iter()
            .map(|(token, (kind, _))| mix::Instance {
                id: token.clone(),
                kind: kind.clone(),
                live: false,
            });
        running.chain(starting).collect()
    }

    /// Requests instances from the cloud, up to the maximum of the pool.
    fn start_instances(
        &mut self,
        now: Time,
        kind: Kind,
        count: u32,
        bounds: Bounds,
        effects: &mut Vec<Effect>,
    ) {
        let total = self.instances.len() + self.pending_starts.len();
        let available = (bounds.most as usize).saturating_sub(total);
        for _ in 0..available.min(count as usize) {
            let fence = self.fence.unwrap_or_default();
            let token = format_smolstr!("{}-{fence}-{}", self.name, self.next_start_number);
            self.next_start_number += 1;
            let until = now + self.settings.start_timeout;
            self.pending_starts
                .insert(token.clone(), (kind.clone(), until));
            effects.push(Effect::Start {
                token,
                kind: kind.clone(),
                until: self.claim.valid_until(),
            });
        }
    }

    /// Stops an instance unless the pool is at its minimum.
    fn stop_instance(&mut self, id: &str, bounds: Bounds, effects: &mut Vec<Effect>) {
        if self.instances.len() <= bounds.least as usize {
            return;
        }
        let Some(index) = self.instances.iter().position(|instance| instance.id == id) else {
            return;
        };
        let instance = self.instances.remove(index);
        effects.push(Effect::Stop {
            id: instance.id,
            incarnation: instance.incarnation,
            until: self.claim.valid_until(),
        });
    }
}
