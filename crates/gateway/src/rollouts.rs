//! Roll-outs by the operator's order: which replicas take part, and which requests go to the new version.
//!
//! Canary replicas stand in a pool of their own, so that only requests drawn for it get there. Where a
//! service has more of them than its share of requests would load, the rest stay in reserve until all requests move.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use clock::Span;
use clock::Time;
use line::Line;
use member::digest::Item;
use policy::rendezvous;
use rand::RngExt;
use rollout::baseline::Baseline;
use rollout::configs;
use rollout::order::Order;
use rollout::split::Side;
use rollout::split::Split;
use rollout::stage::Phase;
use rollout::stage::Stage;
use rollout::tally::Tally;
use smol_str::SmolStr;
use smol_str::format_smolstr;
use watch::server::Server;

use crate::attempt::End;
use crate::effect::Effect;
use crate::gateway::Gateway;
use crate::rollout_lead::Leadership;

/// Status from which on a plain answer counts as failed.
const FAILED_STATUS: u16 = 500;

/// What an entry knows of roll-outs.
#[derive(Debug, Default)]
pub(crate) struct Rollouts {
    /// By service.
    pub active: BTreeMap<SmolStr, Rollout>,
    /// The version that a finished roll-out has put into use, by service.
    in_use: BTreeMap<SmolStr, SmolStr>,
    /// Versions that get nothing, by service.
    rejected: BTreeMap<SmolStr, BTreeSet<SmolStr>>,
    /// How long answers usually take, by route.
    latencies: BTreeMap<SmolStr, Latencies>,
    /// What this entry has counted since each order, by service.
    pub tallies: BTreeMap<SmolStr, Tally>,
    /// The same of peers, by the sender.
    pub peer_tallies: BTreeMap<lease::holder::Id, BTreeMap<SmolStr, Tally>>,
    /// The roll-outs that this entry leads.
    pub leads: BTreeMap<SmolStr, Leadership>,
}

/// One service's roll-out.
#[derive(Debug)]
pub(crate) struct Rollout {
    pub split: Split,
    /// When the order was seen here.
    pub ordered_at: Time,
    /// Whether replicas of the version in use were ever known since.
    old_seen: bool,
}

/// How long answers of a route usually take.
#[derive(Clone, Copy, Debug, Default)]
struct Latencies {
    /// The whole answer, or a stream's first event.
    first_response: Baseline,
    /// A token after the first.
    per_token: Baseline,
}

/// What of a service a replica belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Generation {
    /// The version in use.
    Old,
    /// The version that is ordered.
    New,
    /// A version that gets nothing.
    Rejected,
}

impl Rollouts {
    /// What of its service a replica belongs to.
    pub fn generation(&self, server: &Server) -> Generation {
        let rejected = self.rejected.get(&server.service);
        if rejected.is_some_and(|versions| versions.contains(&server.version)) {
            return Generation::Rejected;
        }
        let known = self.active.get(&server.service);
        match known.is_some_and(|known| known.split.order().to == server.version) {
            true => Generation::New,
            false => Generation::Old,
        }
    }

    /// The duties were gained: what former leaders wrote is read anew.
    pub fn reset_leads(&mut self) {
        self.leads.clear();
    }

    /// Whether a replica is of those that stay.
    pub fn is_permanent(&self, server: &Server) -> bool {
        let new = self
            .active
            .get(&server.service)
            .is_some_and(|known| matches!(known.split.phase(), Phase::Moving | Phase::Completed));
        match self.generation(server) {
            Generation::Old => !new,
            Generation::New => new,
            Generation::Rejected => false,
        }
    }
}

impl Gateway {
    /// The operator orders a roll-out. A second order for a service takes the place of the first.
    pub(crate) fn rollout_ordered(&mut self, now: Time, order: Order, effects: &mut Vec<Effect>) {
        let service = order.service.clone();
        if let Some(known) = self.rollouts.active.get(&service) {
            if known.split.order() == &order {
                return;
            }
            self.end_rollout(&service);
        }
        let line = Line::info("rollout_ordered")
            .with("service", &service)
            .with("to", &order.to)
            .with("within_ms", order.within.as_millis());
        effects.push(Effect::Log(line));
        if let Some(versions) = self.rollouts.rejected.get_mut(&service) {
            versions.remove(&order.to);
        }
        let tally = Tally::new(order.revision);
        self.rollouts.tallies.insert(service.clone(), tally);
        let known = Rollout {
            split: Split::new(order),
            ordered_at: now,
            old_seen: false,
        };
        self.rollouts.active.insert(service.clone(), known);
        self.reassign_pools(now, &service, effects);
    }

    /// The operator takes an order back: the version gets nothing more, unless it is in use by now.
    pub(crate) fn rollout_withdrawn(
        &mut self,
        now: Time,
        service: &SmolStr,
        effects: &mut Vec<Effect>,
    ) {
        if !self.rollouts.active.contains_key(service) {
            return;
        }
        let line = Line::info("rollout_withdrawn").with("service", service);
        effects.push(Effect::Log(line));
        self.end_rollout(service);
        self.reassign_pools(now, service, effects);
    }

    /// Orders for all other services are withdrawn.
    pub(crate) fn rollouts_known(
        &mut self,
        now: Time,
        services: &[SmolStr],
        effects: &mut Vec<Effect>,
    ) {
        let known: Vec<SmolStr> = self.rollouts.active.keys().cloned().collect();
        for service in known.iter().filter(|service| !services.contains(service)) {
            self.rollout_withdrawn(now, service, effects);
        }
    }

    fn end_rollout(&mut self, service: &SmolStr) {
        let Some(known) = self.rollouts.active.remove(service) else {
            return;
        };
        self.rollouts.tallies.remove(service);
        let to = known.split.order().to.clone();
        match known.split.phase() {
            Phase::Moving | Phase::Completed => {
                self.rollouts.in_use.insert(service.clone(), to);
            }
            Phase::Canary | Phase::RolledBack => {
                let rejected = self.rollouts.rejected.entry(service.clone()).or_default();
                rejected.insert(to);
            }
        }
    }

    /// The pool that a replica stands in.
    pub(crate) fn replica_pool(&self, server: &Server) -> SmolStr {
        let service = &server.service;
        match self.rollouts.generation(server) {
            Generation::Old => self.pool_in_use(service),
            Generation::Rejected => format_smolstr!("{service}!"),
            Generation::New if self.is_reserve(server) => {
                format_smolstr!("{service}@{}+", server.version)
            }
            Generation::New => pool_of_version(service, &server.version),
        }
    }

    fn pool_in_use(&self, service: &SmolStr) -> SmolStr {
        match self.rollouts.in_use.get(service) {
            Some(version) => pool_of_version(service, version),
            None => service.clone(),
        }
    }

    /// Whether enough other replicas of the version take part: more would each get too few requests to show how they do under
    /// load.
    fn is_reserve(&self, server: &Server) -> bool {
        let Some(known) = self.rollouts.active.get(&server.service) else {
            return false;
        };
        if known.split.phase() != Phase::Canary {
            return false;
        }
        let of_service = || {
            let servers = self.servers.iter().map(|known| &known.server);
            servers.filter(|one| one.service == server.service)
        };
        let old = of_service().filter(|one| self.rollouts.generation(one) == Generation::Old);
        let enough =
            (old.count() as f64 * configs::leader::Config::default().canary_share).ceil() as usize;
        let rank = |one: &Server| rendezvous::identity(&one.incarnation);
        let before = of_service().filter(|one| {
            self.rollouts.generation(one) == Generation::New && rank(one) < rank(server)
        });
        before.count() >= enough.max(1)
    }

    /// Puts each replica of a service into the pool that it belongs to by now. What runs there goes on.
    fn reassign_pools(&mut self, now: Time, service: &SmolStr, effects: &mut Vec<Effect>) {
        let servers = self.servers.iter().map(|known| known.server.clone());
        let servers: Vec<Server> = servers.filter(|one| one.service == *service).collect();
        for server in servers {
            let pool = self.replica_pool(&server);
            if self.replica_pools.get(&server.incarnation) == Some(&pool) {
                continue;
            }
            if let Some(known) = self.servers.remove(&server.incarnation) {
                self.scheduler.replica_lost(now, known.key);
                self.join(now, server, pool, effects);
            }
        }
    }

    /// The pool that a new request goes to, and whether it tries a version.
    pub(crate) fn select_pool(
        &mut self,
        now: Time,
        service: &SmolStr,
        route: &SmolStr,
    ) -> (SmolStr, bool) {
        let old = self.pool_in_use(service);
        let Some(known) = self.rollouts.active.get_mut(service) else {
            return (old, false);
        };
        let drawn = self.random.random::<f64>();
        let to = pool_of_version(service, &known.split.order().to);
        let has_replicas = |pool: &SmolStr| self.replica_pools.values().any(|known| known == pool);
        known.old_seen |= has_replicas(&old);
        // An entry that starts once a roll-out is over may meet the new version alone.
        let only = !known.old_seen && known.split.phase() != Phase::RolledBack;
        let side = known.split.side(now, route, drawn);
        match (side == Side::New || only) && has_replicas(&to) {
            true => (to, known.split.phase() == Phase::Canary),
            false => (old, false),
        }
    }

    /// Counts how an attempt ended, for the comparison of both versions.
    pub(crate) fn record_answer(&mut self, now: Time, serial: u64, end: &End) {
        let Some(request) = self.requests.get(&serial) else {
            return;
        };
        let (Some(started), route) = (request.sent_at, &request.route) else {
            return;
        };
        let (status, tokens) = match end {
            End::NotSent | End::NotStarted => return,
            End::Finished { status, tokens, .. } => (Some(*status), *tokens),
            End::Failed { .. } | End::Broken { .. } | End::TimedOut { .. } => (None, 0),
        };
        let first = request.first_response_at.unwrap_or(now);
        let took = first.since(started).as_millis() as f64;
        let token = now.since(first).as_millis() as f64 / f64::from(tokens.max(1));
        let latencies = self.rollouts.latencies.entry(route.clone()).or_default();
        let failed = status.is_none_or(|status| status >= FAILED_STATUS);
        let slow = latencies.first_response.is_slow(took) || latencies.per_token.is_long_gap(token);
        if !request.canary && !failed {
            latencies.first_response.record(took);
            latencies.per_token.record(token);
        }
        if let Some(tally) = self.rollouts.tallies.get_mut(&request.service) {
            tally.record(route, request.canary, failed || slow);
        }
    }

    /// The leader announced the stage of a roll-out.
    pub(crate) fn rollout_announced(&mut self, now: Time, item: &Item, effects: &mut Vec<Effect>) {
        let stage: Stage = match serde_json::from_slice(&item.payload) {
            Ok(stage) => stage,
            Err(error) => {
                let line = Line::warn("stage_unreadable").with("error", error);
                return effects.push(Effect::Log(line));
            }
        };
        let Some(known) = self.rollouts.active.get_mut(&item.key) else {
            return;
        };
        let age = Span::from_millis(item.age_ms);
        if !known.split.apply_stage(now, item.version, age, &stage) {
            return;
        }
        let line = Line::info("rollout_phase")
            .with("service", &item.key)
            .with("to", &stage.to)
            .with("phase", format!("{:?}", stage.phase))
            .with("age_ms", item.age_ms);
        effects.push(Effect::Log(line));
        let service = item.key.clone();
        self.reassign_pools(now, &service, effects);
    }
}

/// The pool of a version's replicas.
fn pool_of_version(service: &SmolStr, version: &SmolStr) -> SmolStr {
    format_smolstr!("{service}@{version}")
}
