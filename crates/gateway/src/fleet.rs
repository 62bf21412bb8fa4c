//! Orders for replicas: the plan of [`policy::cover`], carried out with the least change.
//!
//! The platform takes a number for each service, zone and market. Answers get lost, orders take effect
//! late, and a reclaim takes replicas that were ordered; so what is ordered is compared with what stands
//! there, and ordered again while they differ.

use std::collections::BTreeMap;

use clock::Span;
use clock::Time;
use line::Line;
use policy::configs::cover::Config;
use policy::cover;
use policy::mix::Market;
use smol_str::SmolStr;

use crate::book::Scaling;
use crate::book::Service;
use crate::duty;
use crate::duty::Warrant;
use crate::effect::Effect;
use crate::gateway::Gateway;
use crate::work::Work;

/// Time between two plans: a small part of the shortest notice of a reclaim.
const REVIEW: Span = Span::from_millis(250);
/// An order whose effect isn't seen after the time to start a replica and this much more is given again.
const PATIENCE: Span = Span::from_millis(3_000);
/// Time before an order that the platform refused or left unanswered is given again.
const RETRY: Span = Span::from_millis(700);
/// A new holder watches for so long before it orders: its picture of servers and work must be whole.
const LOOK_AROUND: Span = Span::from_millis(3_000);
/// The same if it has known the servers for a while: what its predecessor ordered last may be under way.
const SHORT_LOOK: Span = Span::from_millis(300);
/// Work that the replicas standing at the start are taken to be made for, while none was measured.
const USUAL_FILL: f64 = 0.3;

/// What the holder of the duty knows of its orders.
#[derive(Debug)]
pub(crate) struct Fleet {
    config: Config,
    services: BTreeMap<SmolStr, Orders>,
    next: Time,
}

/// One service's orders.
#[derive(Debug, Default)]
struct Orders {
    targets: BTreeMap<Target, State>,
    /// Most replicas that stood there while no work was measured.
    first: u32,
}

/// What an order is about.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Target {
    zone: SmolStr,
    market: Market,
}

/// How a target stands.
#[derive(Clone, Copy, Debug, Default)]
struct State {
    /// Replicas that stand there and don't leave.
    have: u32,
    /// The last order; none once it doesn't count any more.
    given: Option<Given>,
    /// Since when fewer are wanted than ordered.
    surplus: Option<Time>,
    /// None are to be had before this time.
    refused: Time,
}

/// The last order on a target.
#[derive(Clone, Copy, Debug)]
struct Given {
    count: u32,
    at: Time,
    /// Number of the call, until it is answered.
    call: Option<u64>,
    /// Whether the platform took it.
    taken: bool,
    /// Whether as many were seen since.
    fulfilled: bool,
    /// It isn't given again before.
    next: Time,
}

impl Fleet {
    /// No orders yet.
    pub fn new(config: Config) -> Fleet {
        Fleet {
            config,
            services: BTreeMap::new(),
            next: Time::ZERO,
        }
    }

    /// The duty was gained: what others ordered isn't known.
    pub fn gained(&mut self, now: Time, settled: bool) {
        self.services.clear();
        self.next = match settled {
            true => now + SHORT_LOOK,
            false => now + LOOK_AROUND,
        };
    }
}

impl State {
    /// Replicas to count on: those that stand there, and those that were ordered and start.
    fn expected(&self, now: Time, boot: Span) -> u32 {
        let starting = self.given.filter(|given| {
            let young = now.since(given.at) < boot + PATIENCE;
            given.taken && !given.fulfilled && young
        });
        self.have.max(starting.map_or(0, |given| given.count))
    }

    /// Takes in how many stand there now.
    fn see(&mut self, have: u32) {
        if have < self.have {
            // Some went that weren't given back: a reclaim may have taken what was ordered as well.
            self.given = self.given.filter(|given| given.count <= have);
        }
        self.have = have;
        if let Some(given) = &mut self.given {
            given.fulfilled |= given.taken && have == given.count;
        }
    }

    /// The number to order now, if any: fewer only once that was wanted for `linger`.
    fn due(&mut self, now: Time, wanted: u32, boot: Span, linger: Span) -> Option<u32> {
        let expected = self.expected(now, boot);
        if wanted >= expected {
            self.surplus = None;
        } else if now.since(*self.surplus.get_or_insert(now)) < linger {
            return None;
        }
        match self.given {
            Some(given) if given.call.is_some() || now < given.next => None,
            Some(given) if given.taken && given.count == wanted => {
                let late = now.since(given.at) >= boot + PATIENCE;
                (late && self.have != wanted).then_some(wanted)
            }
            _ => (wanted != self.have).then_some(wanted),
        }
    }
}

impl Gateway {
    /// Plans all services and gives the orders that follow.
    pub(crate) fn fleet_tick(&mut self, now: Time, warrant: Warrant, effects: &mut Vec<Effect>) {
        if !self.settings.order_replicas || now < self.duties.fleet.next {
            return;
        }
        self.duties.fleet.next = now + REVIEW;
        let Some(book) = self.book.clone() else {
            return;
        };
        for service in &book.services {
            if let Some(scaling) = &service.scaling {
                self.plan_service(now, service, scaling, warrant, effects);
            }
        }
    }

    fn plan_service(
        &mut self,
        now: Time,
        service: &Service,
        scaling: &Scaling,
        warrant: Warrant,
        effects: &mut Vec<Effect>,
    ) {
        let counts = self.standing(service);
        let standing: u32 = counts.values().sum();
        let busy = self.busy(&service.name);
        let fleet = &mut self.duties.fleet;
        let config = fleet.config;
        let orders = fleet.services.entry(service.name.clone()).or_default();
        let ordered = orders.targets.values().any(|state| state.given.is_some());
        if busy.is_none() && !ordered {
            orders.first = orders.first.max(standing);
        }
        let busy = busy.unwrap_or(f64::from(orders.first) * USUAL_FILL);
        let wanted = orders.plan(now, &config, busy, &counts, scaling);
        let mut due = Vec::new();
        for (target, count) in wanted {
            let state = orders.targets.entry(target.clone()).or_default();
            let linger = match target.market {
                Market::OnDemand => config.linger,
                Market::Reclaimable => config.cheap_linger,
            };
            if let Some(count) = state.due(now, count, scaling.boot, linger) {
                due.push((target, count, state.have));
            }
        }
        for (target, count, have) in due {
            let line = Line::info("replicas_ordered")
                .with("service", &service.name)
                .with("zone", &target.zone)
                .with("market", format!("{:?}", target.market))
                .with("count", count)
                .with("have", have)
                .with("busy", format!("{busy:.2}"))
                .with("fence", warrant.fence);
            effects.push(Effect::Log(line));
            self.order(now, &service.name, target, count, warrant, effects);
        }
    }

    fn order(
        &mut self,
        now: Time,
        service: &SmolStr,
        target: Target,
        count: u32,
        warrant: Warrant,
        effects: &mut Vec<Effect>,
    ) {
        let call = duty::Call::Replicas {
            service: service.clone(),
            zone: target.zone.clone(),
            market: target.market,
            count,
        };
        let id = self.call_platform(call, warrant, effects);
        let orders = self.duties.fleet.services.get_mut(service);
        if let Some(state) = orders.and_then(|orders| orders.targets.get_mut(&target)) {
            state.given = Some(Given {
                count,
                at: now,
                call: Some(id),
                taken: false,
                fulfilled: false,
                next: now,
            });
        }
    }

    /// The platform answered an order.
    pub(crate) fn order_answered(&mut self, now: Time, id: u64, outcome: duty::Outcome) {
        let fleet = &mut self.duties.fleet;
        let refusal = now + fleet.config.refusal;
        let targets = fleet.services.values_mut();
        let mut states = targets.flat_map(|orders| orders.targets.values_mut());
        let answered = states.find(|state| state.given.is_some_and(|one| one.call == Some(id)));
        let Some(state) = answered else {
            return;
        };
        if outcome == duty::Outcome::Unavailable {
            state.given = None;
            state.refused = refusal;
            fleet.next = now;
            return;
        }
        if let Some(given) = &mut state.given {
            given.call = None;
            given.taken = outcome == duty::Outcome::Done;
            given.next = match given.taken {
                true => now,
                false => now + RETRY,
            };
        }
    }

    /// Replicas of a service that don't leave, by target.
    fn standing(&self, service: &Service) -> BTreeMap<Target, u32> {
        let mut counts = BTreeMap::new();
        for known in self.servers.iter() {
            let server = &known.server;
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

    /// Notes how much work has arrived at all entries; every entry does, so that one that gains the duty knows.
    pub(crate) fn note_demand(&mut self, now: Time) {
        let Some(book) = self.book.clone() else {
            return;
        };
        for service in book.services.iter().filter(|one| one.scaling.is_some()) {
            let own = self.work.get(&service.name).map_or(0, Work::net_tokens);
            self.demand.sample(now, &service.name, own);
        }
    }

    /// Replicas that the work keeps busy, once that is known.
    fn busy(&self, service: &SmolStr) -> Option<f64> {
        let speed = self.replica_speed(service);
        let busy = self.demand.replicas(service, speed);
        busy.filter(|busy| *busy > 0.0)
    }
}

impl Orders {
    /// How many there should be of each target.
    fn plan(
        &mut self,
        now: Time,
        config: &Config,
        busy: f64,
        counts: &BTreeMap<Target, u32>,
        scaling: &Scaling,
    ) -> Vec<(Target, u32)> {
        let target = |zone: &SmolStr, market: Market| Target {
            zone: zone.clone(),
            market,
        };
        let mut zones = Vec::new();
        for (name, price) in &scaling.prices {
            let mut look = |market: Market| {
                let target = target(name, market);
                let live = counts.get(&target).copied().unwrap_or(0);
                let state = self.targets.entry(target).or_default();
                state.see(live);
                let expected = state.expected(now, scaling.boot);
                (cover::Stock { live, expected }, now >= state.refused)
            };
            let (on_demand, _) = look(Market::OnDemand);
            let (reclaimable, open) = look(Market::Reclaimable);
            zones.push(cover::Zone {
                price: *price,
                reclaimable,
                on_demand,
                open,
            });
        }
        let bounds = cover::Bounds {
            least: scaling.least,
            most: scaling.most,
            reclaimable: scaling.reclaimable_price.is_some(),
        };
        let wanted = cover::plan(config, busy, &zones, bounds);
        let named = scaling.prices.iter().zip(wanted);
        let both = named.flat_map(|((zone, _), wanted)| {
            [
                (target(zone, Market::Reclaimable), wanted.reclaimable),
                (target(zone, Market::OnDemand), wanted.on_demand),
            ]
        });
        both.collect()
    }
}
