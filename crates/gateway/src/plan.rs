//! Cuts the offered work of model services to the capacity of their replicas, by a plan that all entries share.
//!
//! Each entry meters the work that arrives there ([`policy::demand`]) and sends its rates with its counts. From the
//! sum over all entries and the capacity of the replicas it computes the admitted fraction of each level and account
//! ([`policy::plan`]), and refuses the rest at once. Without it each entry admits what seems to fit by what it sees
//! alone; with many entries, requests of all ranks then wait inside the replicas until they are late.
//!
//! The plan is applied only while slots are mostly occupied or requests wait here, and only while the counts of the
//! others are recent. Otherwise the scheduler's own admission decides, as it does for plain calls.

use std::collections::BTreeMap;
use std::fmt::Write;

use clock::Span;
use clock::Time;
use line::Line;
use policy::demand::Class;
use policy::demand::Meter;
use policy::demand::Offered;
use policy::demand::Rates;
use policy::demand::Reports;
use policy::plan::Gate;
use policy::plan::Plan;
use policy::plan::Weights;
use policy::rendezvous;
use smol_str::SmolStr;
use verdict::Reason;
use verdict::Refusal;

use crate::effect::Effect;
use crate::gateway::Gateway;

/// Age from which a plan is computed again at an arrival.
const PLAN_INTERVAL: Span = Span::from_millis(100);
/// Shortest time between two log lines on the plan of a service.
const LOG_INTERVAL: Span = Span::from_seconds(1);
/// Milliseconds in the second that rates are stated for.
const MILLIS_PER_SECOND: f64 = 1_000.0;

/// Plans of all services at one entry.
#[derive(Debug, Default)]
pub(crate) struct Plans {
    services: BTreeMap<SmolStr, Service>,
    /// Rates that other entries reported, or a hub for all of them.
    reports: Reports,
    /// Work since the counts were last taken, by service and level.
    counts: BTreeMap<(SmolStr, u8), Count>,
}

/// Work of one service and level that arrived at this entry, in prompt tokens.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Count {
    /// Name of the service.
    pub service: SmolStr,
    /// Priority of the account and rank of the route.
    pub level: u8,
    /// All of it.
    pub offered: u64,
    /// The part of it that the plan refused.
    pub refused: u64,
}

/// The plan of one service.
#[derive(Debug, Default)]
struct Service {
    /// Work that arrives at this entry.
    meter: Meter,
    gate: Gate,
    plan: Plan,
    /// When the plan was computed.
    planned_at: Option<Time>,
    load: Load,
    /// Rate of the work that is offered to all entries.
    offered: u64,
    /// When a line was last logged, and the fractions in it.
    logged_at: Time,
    logged: String,
}

/// Capacity and load of a service's replicas.
#[derive(Clone, Copy, Debug, Default)]
struct Load {
    /// Work per second that starts in time; 0 while the speed of the replicas is unknown.
    room: f64,
    /// Occupied part of the slots, over all entries.
    occupancy: f64,
}

/// A request that the plan refuses.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Shed {
    /// Level of the request.
    pub level: u8,
    /// Its work, in prompt tokens.
    pub work: u64,
}

/// Offered work and room of all services for which there is a plan, and the age of the newest rates of other entries,
/// counted from the start if none has arrived.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Summary {
    pub offered: u64,
    pub room: u64,
    pub age: Span,
}

impl Plans {
    /// Records the rates of a sender, which replace its previous ones.
    pub fn record(&mut self, now: Time, sender: u64, offered: Offered) {
        self.reports.record(now, sender, offered);
    }

    /// Drops the rates of all senders.
    pub fn forget_peers(&mut self) {
        self.reports.clear();
    }

    /// Returns the counts of a service and level.
    fn count(&mut self, service: &SmolStr, level: u8) -> &mut Count {
        let counts = self.counts.entry((service.clone(), level));
        counts.or_insert_with(|| Count {
            service: service.clone(),
            level,
            ..Count::default()
        })
    }

    /// Returns the rates of the work that arrives at this entry.
    pub fn own_rates(&mut self, now: Time) -> Offered {
        let services = self.services.iter_mut();
        let rates = services.map(|(service, state)| (service.clone(), state.meter.rates(now)));
        rates.filter(|(_, rates)| !rates.is_empty()).collect()
    }
}

impl Gateway {
    /// Refuses a request that exceeds the plan; returns whether it did.
    pub(crate) fn shed(&mut self, now: Time, serial: u64, effects: &mut Vec<Effect>) -> bool {
        let config = self.settings.plan;
        let Some(request) = self.requests.get(&serial) else {
            return false;
        };
        // A plain call has no work in prompt tokens.
        if !config.enabled || request.work == 0 {
            return false;
        }
        let (job, work, continues) = (request.job, request.work, request.continues);
        let service = request.service.clone();
        let account = request.account.as_deref().unwrap_or_default();
        let class = Class {
            level: self.scheduler.level_of(&job),
            account: rendezvous::identity(account) as u32,
        };
        self.plans.count(&service, class.level).offered += work;
        let state = self.plans.services.entry(service.clone()).or_default();
        state.meter.record(now, class, work);
        let offer = state.gate.offer(&config, now, class, work);
        let planned_at = state.planned_at;
        if planned_at.is_none_or(|at| now.since(at) >= PLAN_INTERVAL) {
            self.compute_plan(now, &service, effects);
        }
        let waiting = self.scheduler.waiting(job.pool);
        if continues || self.plan_age(now).is_none_or(|age| age > config.max_age) {
            return false;
        }
        let Some(state) = self.plans.services.get_mut(&service) else {
            return false;
        };
        let is_late = state.load.occupancy >= config.min_occupancy || waiting > 0;
        let fraction = state.plan.fraction(class);
        if !is_late || fraction >= 1.0 {
            return false;
        }
        if state.gate.admits(now, offer, fraction, &mut self.random) {
            return false;
        }
        self.plans.count(&service, class.level).refused += work;
        let retry = self.scheduler.retry_after(now, &job);
        let refusal = Refusal::not_run(Reason::Overloaded, "shed under overload");
        let shed = Shed {
            level: class.level,
            work,
        };
        self.refuse_shed(now, serial, refusal.with_retry_after(retry), shed, effects);
        true
    }

    /// Computes the plans of all services, and forgets services without any work.
    pub(crate) fn plans_tick(&mut self, now: Time, effects: &mut Vec<Effect>) {
        if !self.settings.plan.enabled {
            return;
        }
        let max_age = self.failure_timeout();
        self.plans.reports.expire(now, max_age);
        let services: Vec<SmolStr> = self.plans.services.keys().cloned().collect();
        for service in services {
            self.compute_plan(now, &service, effects);
            if let Some(state) = self.plans.services.get_mut(&service) {
                state.gate.expire(now);
            }
        }
        self.plans.services.retain(|_, state| {
            !state.meter.is_empty() || !state.logged.is_empty() || state.offered > 0
        });
    }

    /// Returns the age of the newest counts of other entries; `None` if there are none although there are others.
    fn plan_age(&self, now: Time) -> Option<Span> {
        match self.plans.reports.newest() {
            Some(at) => Some(now.since(at)),
            None => (self.membership.peers().next().is_none()).then_some(Span::ZERO),
        }
    }

    /// Computes the plan of a service from the latest rates.
    fn compute_plan(&mut self, now: Time, service: &SmolStr, effects: &mut Vec<Effect>) {
        let load = self.replica_load(service);
        let age = self.plan_age(now);
        let config = self.settings.plan;
        let Some(state) = self.plans.services.get_mut(service) else {
            return;
        };
        let mut rates = state.meter.rates(now);
        rates.merge(&self.plans.reports.sum(service));
        state.load = load;
        state.offered = rates.total();
        state.planned_at = Some(now);
        state.plan = match load.room > 0.0 {
            // The catalog states no weights of accounts.
            true => Plan::new(&config, &Weights::new(), &rates, load.room),
            false => Plan::default(),
        };
        let fractions = level_fractions(&state.plan, &rates);
        if fractions == state.logged || now.since(state.logged_at) < LOG_INTERVAL {
            return;
        }
        let line = Line::info("plan_changed")
            .with("service", service)
            .with("offered", state.offered)
            .with("room", load.room as u64)
            .with("fractions", &fractions)
            .with("occupancy", format!("{:.2}", load.occupancy))
            .with("age_ms", age.map_or(0, Span::as_millis));
        effects.push(Effect::Log(line));
        state.logged_at = now;
        state.logged = fractions;
    }

    /// Returns the capacity and the load of a service's replicas that aren't leaving.
    fn replica_load(&self, service: &SmolStr) -> Load {
        let speed = self.replica_speed(service) * MILLIS_PER_SECOND;
        let usable = self.servers.iter().filter(|known| {
            let server = &known.server;
            server.service == *service && !self.servers.is_leaving(&server.incarnation)
        });
        let (mut slots, mut running, mut replicas) = (0, 0, 0.0);
        for known in usable {
            let identity = rendezvous::identity(&known.server.incarnation);
            let loads = self.peer_loads.values();
            let others = loads.filter_map(|load| load.running.get(&identity));
            running += others.sum::<u32>();
            slots += known.server.slots;
            replicas += self.scheduler.relative_speed(known.key);
        }
        let own = self.requests.values();
        let own = own.filter(|request| request.replica.is_some() && request.service == *service);
        running += own.count() as u32;
        Load {
            room: replicas * speed * self.settings.plan.max_utilization,
            occupancy: f64::from(running) / f64::from(slots.max(1)),
        }
    }

    /// Returns the work that arrived since the last call, by service and level.
    pub fn take_plan_counts(&mut self) -> Vec<Count> {
        std::mem::take(&mut self.plans.counts)
            .into_values()
            .collect()
    }

    /// Returns offered work, room and the age of the counts for metrics.
    pub(crate) fn plan_summary(&self, now: Time) -> Summary {
        let planned = self.plans.services.values();
        let planned = planned.filter(|state| state.load.room > 0.0);
        let mut summary = Summary {
            age: self.plan_age(now).unwrap_or(now.since(Time::ZERO)),
            ..Summary::default()
        };
        for state in planned {
            summary.offered += state.offered;
            summary.room += state.load.room as u64;
        }
        summary
    }
}

/// Returns the admitted fraction of each level in steps of 0.05; empty if everything is admitted.
fn level_fractions(plan: &Plan, rates: &Rates) -> String {
    const STEPS: f64 = 20.0;
    let mut text = String::new();
    if plan.fractions.is_empty() {
        return text;
    }
    let mut levels: BTreeMap<u8, (f64, f64)> = BTreeMap::new();
    for (class, rate) in rates.iter() {
        let (offered, admitted) = levels.entry(class.level).or_default();
        *offered += f64::from(rate);
        *admitted += f64::from(rate) * plan.fraction(class);
    }
    for (level, (offered, admitted)) in levels {
        let separator = if text.is_empty() { "" } else { "," };
        let fraction = (admitted / offered * STEPS).round() / STEPS;
        // Writing to a string can't fail.
        let _ = write!(text, "{separator}{level}:{fraction:.2}");
    }
    text
}
