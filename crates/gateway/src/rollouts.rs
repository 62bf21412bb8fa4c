//! Roll-outs of new versions: assignment of replicas to pools, and of requests to versions.
//!
//! Canary replicas form a pool of their own, so that only requests drawn for it get there. If a service has
//! more of them than its share of requests would load, the rest stay in reserve until all requests move.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use clock::Span;
use clock::Time;
use line::Line;
use member::digest::Item;
use member::digest::Topic;
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

/// Lowest status at which an answer counts as failed.
const FAILED_STATUS: u16 = 500;

/// Roll-outs known to an entry, and the measurements that compare versions.
#[derive(Debug, Default)]
pub(crate) struct Rollouts {
    /// Ordered roll-outs by service.
    pub active: BTreeMap<SmolStr, Rollout>,
    /// The version that the last ended roll-out put into use, by service.
    in_use: BTreeMap<SmolStr, SmolStr>,
    /// Versions that get no requests, by service.
    rejected: BTreeMap<SmolStr, BTreeSet<SmolStr>>,
    /// Usual latencies by route.
    latencies: BTreeMap<SmolStr, Latencies>,
    /// Answers that this entry has counted since each order, by service.
    pub tallies: BTreeMap<SmolStr, Tally>,
    /// Answers that peers have counted, by sender and service.
    pub peer_tallies: BTreeMap<lease::holder::Id, BTreeMap<SmolStr, Tally>>,
    /// Roll-outs that this entry leads, by service.
    pub leaderships: BTreeMap<SmolStr, Leadership>,
    /// Number of the latest announcement that this entry made, by service. It outlives the order, since peers ignore
    /// lower numbers.
    pub announced: BTreeMap<SmolStr, u64>,
}

/// The roll-out of one service.
#[derive(Debug)]
pub(crate) struct Rollout {
    pub split: Split,
    /// When this entry learned of the order.
    pub ordered_at: Time,
    /// Whether any replica of the version in use has been known since the order.
    old_seen: bool,
}

/// Usual latencies of a route.
#[derive(Clone, Copy, Debug, Default)]
struct Latencies {
    /// Time to the whole answer, or to a stream's first event.
    first_response: Baseline,
    /// Time per token after the first.
    per_token: Baseline,
}

/// Role of a replica's version in its service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Generation {
    /// The version in use.
    Old,
    /// The version on order.
    New,
    /// A version that gets no requests.
    Rejected,
}

impl Rollouts {
    /// Returns the role of a replica's version in its service.
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

    /// Returns whether a version is on trial.
    pub fn is_canary(&self, service: &str, version: &str) -> bool {
        let known = self.active.get(service).map(|known| &known.split);
        known.is_some_and(|split| split.order().to == version && split.phase() == Phase::Canary)
    }

    /// Drops the led roll-outs, so that a new holder of the duties reads what former leaders saved.
    pub fn reset_leaderships(&mut self) {
        self.leaderships.clear();
    }

    /// Returns whether a replica's version is the one to keep.
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
    /// Handles an operator's order, which replaces an earlier one for the service.
    pub(crate) fn handle_rollout_order(
        &mut self,
        now: Time,
        order: Order,
        effects: &mut Vec<Effect>,
    ) {
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
        // The leader's word may have come before the order.
        if let Some(item) = self.membership.item(now, Topic::Rollout, &service) {
            self.handle_rollout_announcement(now, &item, effects);
        }
    }

    /// Handles a withdrawn order: its version gets no more requests unless it is in use by now.
    pub(crate) fn withdraw_rollout(
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

    /// Withdraws the orders of all services that aren't listed.
    pub(crate) fn retain_rollouts(
        &mut self,
        now: Time,
        services: &[SmolStr],
        effects: &mut Vec<Effect>,
    ) {
        let known: Vec<SmolStr> = self.rollouts.active.keys().cloned().collect();
        for service in known.iter().filter(|service| !services.contains(service)) {
            self.withdraw_rollout(now, service, effects);
        }
    }

    /// Ends a roll-out, with its version in use or rejected.
    fn end_rollout(&mut self, service: &SmolStr) {
        let Some(rollout) = self.rollouts.active.remove(service) else {
            return;
        };
        self.rollouts.tallies.remove(service);
        let to = rollout.split.order().to.clone();
        match rollout.split.phase() {
            Phase::Moving | Phase::Completed => {
                self.rollouts.in_use.insert(service.clone(), to);
            }
            Phase::Canary | Phase::RolledBack => {
                let rejected = self.rollouts.rejected.entry(service.clone()).or_default();
                rejected.insert(to);
            }
        }
    }

    /// Returns the name of the pool that a replica belongs to.
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

    /// Returns the name of the pool for the version in use.
    fn pool_in_use(&self, service: &SmolStr) -> SmolStr {
        match self.rollouts.in_use.get(service) {
            Some(version) => pool_of_version(service, version),
            None => service.clone(),
        }
    }

    /// Returns whether enough other replicas of the version take part: with more, each would get too few
    /// requests to show how it performs under load.
    fn is_reserve(&self, server: &Server) -> bool {
        let Some(rollout) = self.rollouts.active.get(&server.service) else {
            return false;
        };
        if rollout.split.phase() != Phase::Canary {
            return false;
        }
        let of_service = || {
            let servers = self.servers.iter().map(|record| &record.server);
            servers.filter(|other| other.service == server.service)
        };
        let old = of_service().filter(|other| self.rollouts.generation(other) == Generation::Old);
        let needed =
            (old.count() as f64 * configs::leader::Config::default().canary_share).ceil() as usize;
        let rank = |server: &Server| rendezvous::identity(&server.incarnation);
        let preceding = of_service().filter(|other| {
            self.rollouts.generation(other) == Generation::New && rank(other) < rank(server)
        });
        preceding.count() >= needed.max(1)
    }

    /// Moves each replica of a service to its present pool. Running requests go on.
    fn reassign_pools(&mut self, now: Time, service: &SmolStr, effects: &mut Vec<Effect>) {
        let servers = self.servers.iter().map(|known| known.server.clone());
        let servers: Vec<Server> = servers
            .filter(|server| server.service == *service)
            .collect();
        for server in servers {
            let pool = self.replica_pool(&server);
            if self.replica_pools.get(&server.incarnation) == Some(&pool) {
                continue;
            }
            self.replace_replica(now, server, pool, effects);
        }
    }

    /// Returns the pool for a new request, and whether that is a canary.
    pub(crate) fn select_pool(
        &mut self,
        now: Time,
        service: &SmolStr,
        route: &SmolStr,
    ) -> (SmolStr, bool) {
        let old = self.pool_in_use(service);
        let Some(rollout) = self.rollouts.active.get_mut(service) else {
            return (old, false);
        };
        let drawn = self.random.random::<f64>();
        let to = pool_of_version(service, &rollout.split.order().to);
        let has_replicas =
            |pool: &SmolStr| self.replica_pools.values().any(|assigned| assigned == pool);
        rollout.old_seen |= has_replicas(&old);
        // An entry that starts after a roll-out may know no replicas but those of the new version.
        let only_new = !rollout.old_seen && rollout.split.phase() != Phase::RolledBack;
        let side = rollout.split.side(now, route, drawn);
        match (side == Side::New || only_new) && has_replicas(&to) {
            true => (to, rollout.split.phase() == Phase::Canary),
            false => (old, false),
        }
    }

    /// Records an attempt's result, for the comparison of both versions.
    pub(crate) fn record_answer(&mut self, now: Time, serial: u64, end: &End) {
        let Some(request) = self.requests.get(&serial) else {
            return;
        };
        let (Some(sent_at), route) = (request.sent_at, &request.route) else {
            return;
        };
        let (status, tokens) = match end {
            // An interrupted way says nothing about the version.
            End::NotSent | End::Replaced | End::NotStarted | End::Interrupted | End::Unrecorded => {
                return;
            }
            End::Finished { status, tokens, .. } => (Some(*status), *tokens),
            End::Failed { .. } | End::Broken { .. } | End::TimedOut { .. } => (None, 0),
        };
        let first_response_at = request.first_response_at.unwrap_or(now);
        let latency_ms = first_response_at.since(sent_at).as_millis() as f64;
        let ms_per_token =
            now.since(first_response_at).as_millis() as f64 / f64::from(tokens.max(1));
        let latencies = self.rollouts.latencies.entry(route.clone()).or_default();
        let failed = status.is_none_or(|status| status >= FAILED_STATUS);
        let slow = latencies.first_response.is_slow(latency_ms)
            || latencies.per_token.is_long_gap(ms_per_token);
        if !request.canary && !failed {
            latencies.first_response.record(latency_ms);
            latencies.per_token.record(ms_per_token);
        }
        if let Some(tally) = self.rollouts.tallies.get_mut(&request.service) {
            tally.record(route, request.canary, failed || slow);
        }
    }

    /// Handles the leader's announcement of a roll-out's stage.
    pub(crate) fn handle_rollout_announcement(
        &mut self,
        now: Time,
        item: &Item,
        effects: &mut Vec<Effect>,
    ) {
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

/// Returns the name of the pool for a version's replicas.
fn pool_of_version(service: &SmolStr, version: &SmolStr) -> SmolStr {
    format_smolstr!("{service}@{version}")
}
