//! Orders replicas by the plan of [`policy::cover`], with as few changes as possible.
//!
//! The platform takes a number for each service, zone and market. Answers get lost, orders take effect
//! late, and reclaims take ordered replicas, so orders are compared with the live replicas and repeated
//! while they differ.

use std::collections::BTreeMap;

use clock::Span;
use clock::Time;
use line::Line;
use policy::configs::cover::Config;
use policy::cover;
use policy::mix::Market;
use smol_str::SmolStr;

use crate::catalog::Scaling;
use crate::catalog::Service;
use crate::duty;
use crate::duty::Lease;
use crate::effect::Effect;
use crate::gateway::Gateway;
use crate::work::Work;

/// Time between two plans: a small part of the shortest reclaim notice.
const PLAN_INTERVAL: Span = Span::from_millis(250);
/// Time added to a replica's boot time before an order without effect is repeated.
const START_MARGIN: Span = Span::from_millis(3_000);
/// Delay before an order that the platform refused or left unanswered is retried.
const RETRY_DELAY: Span = Span::from_millis(700);
/// Time that a new holder observes before it orders: its view of servers and work must be complete.
const OBSERVATION: Span = Span::from_millis(3_000);
/// The same for one that has known the servers for a while: its predecessor's last order may be in flight.
const SHORT_OBSERVATION: Span = Span::from_millis(300);
/// Assumed utilization of the initial replicas while no work has been measured.
const DEFAULT_UTILIZATION: f64 = 0.3;

/// Orders of the duties' holder.
#[derive(Debug)]
pub(crate) struct Fleet {
    config: Config,
    services: BTreeMap<SmolStr, Orders>,
    next_plan: Time,
}

/// Orders for one service.
#[derive(Debug, Default)]
struct Orders {
    targets: BTreeMap<Target, State>,
    /// Largest number of live replicas while no work had been measured.
    initial_replicas: u32,
}

/// What an order sets the number of.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Target {
    zone: SmolStr,
    market: Market,
}

/// State of one target.
#[derive(Clone, Copy, Debug, Default)]
struct State {
    /// Live replicas that aren't leaving.
    live: u32,
    /// Last order; `None` if there is none or it no longer counts.
    order: Option<Order>,
    /// Since when fewer replicas are wanted than ordered.
    surplus_since: Option<Time>,
    /// Time before which the platform has no capacity here.
    unavailable_until: Time,
}

/// Last order for a target.
#[derive(Clone, Copy, Debug)]
struct Order {
    count: u32,
    issued_at: Time,
    /// Identifier of the call, until it is answered.
    call: Option<u64>,
    /// Whether the platform accepted it.
    accepted: bool,
    /// Whether the ordered number has been live since.
    fulfilled: bool,
    /// Time before which it isn't repeated.
    retry_at: Time,
}

impl Fleet {
    /// Creates a fleet without orders.
    pub fn new(config: Config) -> Fleet {
        Fleet {
            config,
            services: BTreeMap::new(),
            next_plan: Time::ZERO,
        }
    }

    /// Starts over when the lease is gained: the predecessor's orders are unknown.
    pub fn gained(&mut self, now: Time, settled: bool) {
        self.services.clear();
        self.next_plan = match settled {
            true => now + SHORT_OBSERVATION,
            false => now + OBSERVATION,
        };
    }
}

impl State {
    /// Returns the replicas to count on: live ones, and ordered ones that are starting.
    fn expected(&self, now: Time, boot: Span) -> u32 {
        let starting = self.order.filter(|order| {
            let recent = now.since(order.issued_at) < boot + START_MARGIN;
            order.accepted && !order.fulfilled && recent
        });
        self.live.max(starting.map_or(0, |order| order.count))
    }

    /// Updates the number of live replicas.
    fn observe(&mut self, live: u32) {
        if live < self.live {
            // Replicas were lost that weren't returned: a reclaim may have taken ordered ones as well.
            self.order = self.order.filter(|order| order.count <= live);
        }
        self.live = live;
        if let Some(order) = &mut self.order {
            order.fulfilled |= order.accepted && live == order.count;
        }
    }

    /// Returns the number to order now, if any. It is lowered only after a surplus of `linger`.
    fn next_order(&mut self, now: Time, wanted: u32, boot: Span, linger: Span) -> Option<u32> {
        let expected = self.expected(now, boot);
        if wanted >= expected {
            self.surplus_since = None;
        } else if now.since(*self.surplus_since.get_or_insert(now)) < linger {
            return None;
        }
        match self.order {
            Some(order) if order.call.is_some() || now < order.retry_at => None,
            Some(order) if order.accepted && order.count == wanted => {
                let late = now.since(order.issued_at) >= boot + START_MARGIN;
                (late && self.live != wanted).then_some(wanted)
            }
            _ => (wanted != self.live).then_some(wanted),
        }
    }
}

impl Gateway {
    /// Plans all services and sends the resulting orders.
    pub(crate) fn fleet_tick(&mut self, now: Time, lease: Lease, effects: &mut Vec<Effect>) {
        if !self.settings.order_replicas || now < self.duties.fleet.next_plan {
            return;
        }
        self.duties.fleet.next_plan = now + PLAN_INTERVAL;
        let Some(catalog) = self.catalog.clone() else {
            return;
        };
        for service in &catalog.services {
            if let Some(scaling) = &service.scaling {
                self.plan_service(now, service, scaling, lease, effects);
            }
        }
    }

    fn plan_service(
        &mut self,
        now: Time,
        service: &Service,
        scaling: &Scaling,
        lease: Lease,
        effects: &mut Vec<Effect>,
    ) {
        let counts = self.live_replicas(service);
        let live_replicas: u32 = counts.values().sum();
        let busy_replicas = self.busy_replicas(&service.name);
        let fleet = &mut self.duties.fleet;
        let config = fleet.config;
        let orders = fleet.services.entry(service.name.clone()).or_default();
        let ordered = orders.targets.values().any(|state| state.order.is_some());
        if busy_replicas.is_none() && !ordered {
            orders.initial_replicas = orders.initial_replicas.max(live_replicas);
        }
        let busy_replicas =
            busy_replicas.unwrap_or(f64::from(orders.initial_replicas) * DEFAULT_UTILIZATION);
        let wanted = orders.plan(now, &config, busy_replicas, &counts, scaling);
        let mut due = Vec::new();
        for (target, count) in wanted {
            let state = orders.targets.entry(target.clone()).or_default();
            let linger = match target.market {
                Market::OnDemand => config.on_demand_hold,
                Market::Reclaimable => config.reclaimable_hold,
            };
            if let Some(count) = state.next_order(now, count, scaling.boot, linger) {
                due.push((target, count, state.live));
            }
        }
        for (target, count, live) in due {
            let line = Line::info("replicas_ordered")
                .with("service", &service.name)
                .with("zone", &target.zone)
                .with("market", format!("{:?}", target.market))
                .with("count", count)
                .with("have", live)
                .with("busy", format!("{busy_replicas:.2}"))
                .with("fence", lease.fence);
            effects.push(Effect::Log(line));
            self.order(now, &service.name, target, count, lease, effects);
        }
    }

    fn order(
        &mut self,
        now: Time,
        service: &SmolStr,
        target: Target,
        count: u32,
        lease: Lease,
        effects: &mut Vec<Effect>,
    ) {
        let call = duty::Call::Replicas {
            service: service.clone(),
            zone: target.zone.clone(),
            market: target.market,
            count,
        };
        let id = self.call_platform(call, lease, effects);
        let orders = self.duties.fleet.services.get_mut(service);
        if let Some(state) = orders.and_then(|orders| orders.targets.get_mut(&target)) {
            state.order = Some(Order {
                count,
                issued_at: now,
                call: Some(id),
                accepted: false,
                fulfilled: false,
                retry_at: now,
            });
        }
    }

    /// Handles the platform's answer to an order.
    pub(crate) fn handle_order_answer(&mut self, now: Time, id: u64, outcome: duty::Outcome) {
        let fleet = &mut self.duties.fleet;
        let refusal = now + fleet.config.refusal_hold;
        let targets = fleet.services.values_mut();
        let mut states = targets.flat_map(|orders| orders.targets.values_mut());
        let answered = states.find(|state| state.order.is_some_and(|order| order.call == Some(id)));
        let Some(state) = answered else {
            return;
        };
        if outcome == duty::Outcome::Unavailable {
            state.order = None;
            state.unavailable_until = refusal;
            fleet.next_plan = now;
            return;
        }
        if let Some(order) = &mut state.order {
            order.call = None;
            order.accepted = outcome == duty::Outcome::Done;
            order.retry_at = match order.accepted {
                true => now,
                false => now + RETRY_DELAY,
            };
        }
    }

    /// Counts a service's replicas that aren't leaving, by target.
    fn live_replicas(&self, service: &Service) -> BTreeMap<Target, u32> {
        let mut counts = BTreeMap::new();
        for listed in self.servers.iter() {
            let server = &listed.server;
            let leaves = self.servers.is_leaving(&server.incarnation);
            if server.service != service.name || leaves || !self.rollouts.is_permanent(server) {
                continue;
            }
            let market = match server.reclaimable {
                true => Market::Reclaimable,
                false => Market::OnDemand,
            };
            let zone = server.zone.clone();
            *counts.entry(Target { zone, market }).or_default() += 1;
        }
        counts
    }

    /// Records the work that arrived at all entries. Every entry does, so that a new holder knows it.
    pub(crate) fn record_demand(&mut self, now: Time) {
        let Some(catalog) = self.catalog.clone() else {
            return;
        };
        for service in catalog
            .services
            .iter()
            .filter(|service| service.scaling.is_some())
        {
            let own = self.work.get(&service.name).map_or(0, Work::net_tokens);
            self.demand.sample(now, &service.name, own);
        }
    }

    /// Returns how many replicas the work keeps busy, once known.
    fn busy_replicas(&self, service: &SmolStr) -> Option<f64> {
        let speed = self.replica_speed(service);
        let busy_replicas = self.demand.replicas(service, speed);
        busy_replicas.filter(|busy_replicas| *busy_replicas > 0.0)
    }
}

impl Orders {
    /// Returns the wanted number of replicas for each target.
    fn plan(
        &mut self,
        now: Time,
        config: &Config,
        busy_replicas: f64,
        counts: &BTreeMap<Target, u32>,
        scaling: &Scaling,
    ) -> Vec<(Target, u32)> {
        let target = |zone: &SmolStr, market: Market| Target {
            zone: zone.clone(),
            market,
        };
        let mut zones = Vec::new();
        for (name, price) in &scaling.prices {
            let mut stock_of = |market: Market| {
                let target = target(name, market);
                let live = counts.get(&target).copied().unwrap_or(0);
                let state = self.targets.entry(target).or_default();
                state.observe(live);
                let expected = state.expected(now, scaling.boot);
                (
                    cover::Stock { live, expected },
                    now >= state.unavailable_until,
                )
            };
            let (on_demand, _) = stock_of(Market::OnDemand);
            let (reclaimable, open) = stock_of(Market::Reclaimable);
            zones.push(cover::Zone {
                price: *price,
                reclaimable,
                on_demand,
                open,
            });
        }
        let bounds = cover::Bounds {
            min: scaling.least,
            max: scaling.most,
            reclaimable: scaling.reclaimable_price.is_some(),
        };
        let wanted = cover::plan(config, busy_replicas, &zones, bounds);
        let zones_and_counts = scaling.prices.iter().zip(wanted);
        let counts_by_target = zones_and_counts.flat_map(|((zone, _), wanted)| {
            [
                (target(zone, Market::Reclaimable), wanted.reclaimable),
                (target(zone, Market::OnDemand), wanted.on_demand),
            ]
        });
        counts_by_target.collect()
    }
}
