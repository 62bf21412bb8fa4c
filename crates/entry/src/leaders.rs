//! Fleet leaders: assigns deployments to this entry and performs the leaders' effects.
//!
//! Rendezvous hashing over the live members picks the entry that should lead a deployment; that entry
//! claims the lease. A former leader holds its lease until it lapses, so that two entries with
//! different views of the members never act at the same time.

use std::collections::BTreeMap;

use clock::Span;
use clock::Time;
use config::deployment::Deployment;
use config::deployment::Kind;
use fleet::event::Assignment;
use fleet::event::Bounds;
use fleet::event::Effect as FleetEffect;
use fleet::event::Event as FleetEvent;
use fleet::event::Instance as FleetInstance;
use fleet::leader::Leader;
use lease::holder;
use lease::order::Target;
use policy::mix::Offer;
use smol_str::SmolStr;
use smol_str::ToSmolStr;
use xxhash_rust::xxh3::xxh3_64;

use crate::effect::Effect;
use crate::entry::Entry;
use crate::instance::Instance;
use crate::line::Line;
use crate::store_calls::Waiter;

/// Time between two assignments of leaders.
const ASSIGN_INTERVAL: Span = Span::from_seconds(1);

/// Time for the requests of a released instance to finish or move.
const RELEASE_GRACE: Span = Span::from_seconds(30);

/// The fleet leaders of this entry.
#[derive(Debug, Default)]
pub(crate) struct Leaders {
    by_deployment: BTreeMap<SmolStr, Leader>,
    next_assign: Time,
    instances: Vec<Instance>,
}

impl Entry {
    /// Wakes leaders that are due and reassigns deployments periodically.
    pub(crate) fn leaders_tick(&mut self, now: Time, effects: &mut Vec<Effect>) {
        if now >= self.leaders.next_assign {
            self.leaders.next_assign = now + ASSIGN_INTERVAL;
            self.assign_leaders(now, effects);
        }
        let due: Vec<SmolStr> = self
            .leaders
            .by_deployment
            .iter()
            .filter(|(_, lead)| lead.next_wake(now).is_some_and(|wake| wake <= now))
            .map(|(name, _)| name.clone())
            .collect();
        for name in due {
            self.step_leader(now, &name, FleetEvent::Wake, effects);
        }
    }

    /// Passes an event to a leader and performs its effects.
    pub(crate) fn step_leader(
        &mut self,
        now: Time,
        name: &SmolStr,
        event: FleetEvent,
        effects: &mut Vec<Effect>,
    ) {
        let Some(lead) = self.leaders.by_deployment.get_mut(name) else {
            return;
        };
        let mut outputs = Vec::new();
        lead.step(now, event, &mut outputs);
        for effect in outputs {
            self.perform_leader_effect(now, name, effect, effects);
        }
    }

    /// Passes the instance list to all leaders.
    pub(crate) fn update_leader_instances(
        &mut self,
        now: Time,
        list: &[Instance],
        effects: &mut Vec<Effect>,
    ) {
        self.leaders.instances = list.to_vec();
        let names: Vec<SmolStr> = self.leaders.by_deployment.keys().cloned().collect();
        for name in names {
            let event = FleetEvent::Listed(self.pool_instances(&name));
            self.step_leader(now, &name, event, effects);
        }
    }

    /// Passes new prices to all leaders.
    pub(crate) fn update_leader_prices(
        &mut self,
        now: Time,
        offers: &[Offer],
        effects: &mut Vec<Effect>,
    ) {
        let names: Vec<SmolStr> = self.leaders.by_deployment.keys().cloned().collect();
        for name in names {
            self.step_leader(now, &name, FleetEvent::Priced(offers.to_vec()), effects);
        }
    }

    /// Passes an engine's load to the leaders of its pool, which size their fleets by it.
    pub(crate) fn update_leader_load(
        &mut self,
        now: Time,
        incarnation: &str,
        requests: u32,
        effects: &mut Vec<Effect>,
    ) {
        let pool = self
            .leaders
            .instances
            .iter()
            .find(|instance| instance.incarnation == incarnation)
            .map(|instance| instance.pool.clone());
        let Some(pool) = pool else {
            return;
        };
        let deployments = self.catalog.snapshot().deployments.iter();
        let names: Vec<SmolStr> = deployments
            .filter(|deployment| deployment.pool == pool)
            .map(|deployment| deployment.name.clone())
            .collect();
        for name in names {
            let engine = incarnation.to_smolstr();
            let event = FleetEvent::LoadReported { engine, requests };
            self.step_leader(now, &name, event, effects);
        }
    }

    /// Assigns deployments to this entry or withdraws them, by the current members.
    fn assign_leaders(&mut self, now: Time, effects: &mut Vec<Effect>) {
        let deployments = self.catalog.snapshot().deployments.clone();
        let removed: Vec<SmolStr> = self
            .leaders
            .by_deployment
            .keys()
            .filter(|name| {
                !deployments
                    .iter()
                    .any(|deployment| deployment.name == **name)
            })
            .cloned()
            .collect();
        for name in removed {
            self.step_leader(now, &name, FleetEvent::Assigned(None), effects);
            self.leaders.by_deployment.remove(&name);
        }
        for deployment in deployments {
            let assignment = self
                .should_lead(now, &deployment.name)
                .then(|| assignment_of(&deployment))
                .filter(|assignment| assignment.target.is_some() || assignment.bounds.is_some());
            self.create_leader(now, &deployment.name, assignment.is_some(), effects);
            self.step_leader(
                now,
                &deployment.name,
                FleetEvent::Assigned(assignment),
                effects,
            );
        }
    }

    /// Creates a leader, if it is needed and doesn't exist, and passes it the known state.
    fn create_leader(
        &mut self,
        now: Time,
        name: &SmolStr,
        wanted: bool,
        effects: &mut Vec<Effect>,
    ) {
        if !wanted || self.leaders.by_deployment.contains_key(name) {
            return;
        }
        let me = holder::Id(self.identity.incarnation.0);
        let settings = fleet::configs::leader::Settings::default();
        let seed = self.identity.incarnation.0 ^ xxh3_64(name.as_bytes());
        let lead = Leader::new(me, name.clone(), settings, seed);
        self.leaders.by_deployment.insert(name.clone(), lead);
        let offers = self.offers.clone();
        self.step_leader(now, name, FleetEvent::Priced(offers), effects);
        let event = FleetEvent::Listed(self.pool_instances(name));
        self.step_leader(now, name, event, effects);
    }

    /// Returns whether this entry should lead a deployment; a leaving entry leads none.
    fn should_lead(&self, now: Time, name: &str) -> bool {
        let key = xxh3_64(name.as_bytes());
        !self.stop.is_stopping()
            && self.membership.forward_target(now, key, false).is_none()
            && self.is_ready(now)
    }

    /// Returns the instances of a deployment's pool that are not leaving.
    fn pool_instances(&self, name: &str) -> Vec<FleetInstance> {
        let Some(deployment) = self.catalog.deployment(name) else {
            return Vec::new();
        };
        let list = self.leaders.instances.iter();
        list.filter(|instance| instance.pool == deployment.pool && !instance.leaving)
            .filter(|instance| !self.backends.is_leaving(&instance.incarnation))
            .map(|instance| FleetInstance {
                id: instance.id.clone(),
                incarnation: instance.incarnation.clone(),
                kind: instance.kind.clone(),
            })
            .collect()
    }

    /// Performs an effect of a leader.
    fn perform_leader_effect(
        &mut self,
        now: Time,
        name: &SmolStr,
        effect: FleetEffect,
        effects: &mut Vec<Effect>,
    ) {
        match effect {
            FleetEffect::Store { id, call } => {
                let deployment = name.clone();
                self.queue_store_call(Waiter::Leader { deployment, id }, call);
            }
            FleetEffect::Order {
                engine,
                fence,
                target,
                until: lease_end,
            } => self.order_engine(name, &engine, fence, target, lease_end, effects),
            FleetEffect::Read(engine) => {
                if let Some(address) = self.address_of(&engine) {
                    effects.push(Effect::ReadEngine {
                        deployment: name.clone(),
                        engine,
                        address,
                    });
                }
            }
            FleetEffect::Start {
                token,
                kind,
                until: lease_end,
            } => self.request_instance(name, token, kind, lease_end, effects),
            FleetEffect::Stop {
                id,
                incarnation,
                until: lease_end,
            } => self.release_instance(now, id, &incarnation, lease_end, effects),
            FleetEffect::Elected(fence) => {
                let line = Line::info("fleet_leads").with("deployment", name);
                effects.push(Effect::Log(line.with("fence", fence)));
            }
            FleetEffect::Deposed => {
                let line = Line::info("fleet_deposed").with("deployment", name);
                effects.push(Effect::Log(line));
            }
        }
    }

    /// Sends an order to an engine.
    fn order_engine(
        &mut self,
        name: &SmolStr,
        engine: &SmolStr,
        fence: u64,
        target: Target,
        lease_end: Time,
        effects: &mut Vec<Effect>,
    ) {
        let Some(address) = self.address_of(engine) else {
            return;
        };
        let line = Line::info("engine_ordered")
            .with("replica", engine)
            .with("version", &target.version)
            .with("role", &target.role)
            .with("fence", fence);
        effects.push(Effect::Log(line));
        effects.push(Effect::OrderEngine {
            deployment: name.clone(),
            engine: engine.clone(),
            address,
            fence,
            target,
            lease_end,
        });
    }

    /// Requests an instance from the cloud.
    fn request_instance(
        &mut self,
        name: &SmolStr,
        token: SmolStr,
        kind: policy::mix::Kind,
        lease_end: Time,
        effects: &mut Vec<Effect>,
    ) {
        let Some(pool) = self
            .catalog
            .deployment(name)
            .map(|deployment| deployment.pool.clone())
        else {
            return;
        };
        let line = Line::info("instance_wished")
            .with("deployment", name)
            .with("zone", &kind.zone)
            .with("class", &kind.class)
            .with("market", format_args!("{:?}", kind.market));
        effects.push(Effect::Log(line));
        effects.push(Effect::StartInstance {
            deployment: name.clone(),
            token,
            kind,
            pool,
            lease_end,
        });
    }

    /// Releases an instance: all entries stop dispatching to it and move its requests; the cloud is
    /// notified after the grace period.
    fn release_instance(
        &mut self,
        now: Time,
        id: SmolStr,
        incarnation: &SmolStr,
        lease_end: Time,
        effects: &mut Vec<Effect>,
    ) {
        let line = Line::info("instance_given_back").with("replica", incarnation);
        effects.push(Effect::Log(line));
        if self.backends.mark_leaving(incarnation.clone()) {
            self.publish_leaving(now, incarnation, RELEASE_GRACE, effects);
            self.backend_leaving(now, incarnation, now + RELEASE_GRACE, effects);
        }
        effects.push(Effect::StopInstance {
            id,
            delay: RELEASE_GRACE,
            lease_end,
        });
    }

    fn address_of(&self, incarnation: &str) -> Option<SmolStr> {
        let list = self.leaders.instances.iter();
        let mut found = list.filter(|instance| instance.incarnation == incarnation);
        found.next().map(|instance| instance.address.clone())
    }
}

/// Returns the assignment of a deployment's leader: what its engines serve and the fleet's size.
fn assignment_of(deployment: &Deployment) -> Assignment {
    let target = match &deployment.kind {
        Kind::Model {
            model,
            adapter,
            version,
        } => Some(Target {
            model: model.clone(),
            adapter: adapter.clone(),
            version: version.clone(),
            role: SmolStr::new_static(fleet::rollout::SERVE_ROLE),
        }),
        Kind::Service => None,
    };
    let fleet = deployment.fleet;
    let bounds = Bounds {
        capacity: fleet.capacity,
        least: fleet.least,
        most: fleet.most,
    };
    Assignment {
        target,
        checks_fencing: deployment.checks_fencing,
        bounds: (fleet.most > 0).then_some(bounds),
    }
}
