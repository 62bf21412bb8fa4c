//! The leader's state machine, which advances a roll-out through its phases.

use std::collections::BTreeMap;

use clock::Span;
use clock::Time;
use smol_str::SmolStr;

use crate::configs;
use crate::judge;
use crate::judge::Finding;
use crate::order::Order;
use crate::stage::Phase;
use crate::stage::Stage;
use crate::tally::Tally;

/// Requests and slots of both versions' replicas, summed over all entries.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Fleet {
    /// Requests that run on the old version's replicas.
    pub running_old: u32,
    /// Slots of the old version's replicas.
    pub slots_old: u32,
    /// Slots of the new version's ready replicas.
    pub slots_new: u32,
}

/// One service's roll-out at the leading entry.
#[derive(Clone, Debug)]
pub struct Leader {
    config: configs::leader::Config,
    judge: configs::judge::Config,
    order: Order,
    /// When the order was given, by this entry's clock.
    started: Time,
    phase: Phase,
    /// The latest result of the test, for the log.
    finding: Finding,
}

impl Leader {
    /// Leads an order given at `started`, resuming from the stage that an earlier leader stored, if any.
    pub fn new(
        config: configs::leader::Config,
        judge: configs::judge::Config,
        order: Order,
        started: Time,
        previous: Option<&Stage>,
    ) -> Leader {
        let previous = previous.filter(|stage| stage.order == order.revision);
        Leader {
            config,
            judge,
            started,
            phase: previous.map_or(Phase::Canary, |stage| stage.phase),
            finding: Finding::Open,
            order,
        }
    }

    /// Returns the order.
    pub fn order(&self) -> &Order {
        &self.order
    }

    /// Returns the current phase.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Returns the latest result of the test.
    pub fn finding(&self) -> &Finding {
        &self.finding
    }

    /// Judges the summed counts and advances the phase; returns whether it changed.
    pub fn step(&mut self, now: Time, tally: &Tally, fleet: Fleet) -> bool {
        let before = self.phase;
        if !before.is_final() {
            self.finding = judge::judge(&self.judge, tally);
            self.phase = self.next_phase(now, fleet);
        }
        self.phase != before
    }

    fn next_phase(&self, now: Time, fleet: Fleet) -> Phase {
        if matches!(self.finding, Finding::Bad { .. }) {
            return Phase::RolledBack;
        }
        let left = self.order.within - now.since(self.started);
        match self.phase {
            Phase::Canary if left > self.config.move_reserve => Phase::Canary,
            Phase::Canary if self.finding == Finding::Good && self.has_capacity(fleet) => {
                Phase::Moving
            }
            Phase::Canary if left > self.config.decision_reserve => Phase::Canary,
            Phase::Canary if self.finding == Finding::Likely && self.has_capacity(fleet) => {
                Phase::Moving
            }
            // A version that isn't known to be good must not be used.
            Phase::Canary => Phase::RolledBack,
            // Old replicas are stopped on completion, which would cut off requests that still run there.
            Phase::Moving if fleet.running_old == 0 => Phase::Completed,
            other => other,
        }
    }

    fn has_capacity(&self, fleet: Fleet) -> bool {
        f64::from(fleet.slots_new) >= f64::from(fleet.slots_old) * self.config.min_capacity_ratio
    }

    /// Ends the roll-out because its order was withdrawn or replaced.
    pub fn withdraw(&mut self) {
        if !self.phase.is_final() {
            self.phase = Phase::RolledBack;
        }
    }

    /// Returns the stage to announce to all entries.
    pub fn stage(&self, now: Time, tally: &Tally) -> Stage {
        Stage {
            order: self.order.revision,
            to: self.order.to.clone(),
            phase: self.phase,
            shares: match self.phase {
                Phase::Canary => self.canary_shares(tally),
                _ => BTreeMap::new(),
            },
            elapsed_ms: now.since(self.started).as_millis(),
        }
    }

    /// Returns the time between two announcements.
    pub fn announcement_interval(&self) -> Span {
        self.config.announcement_interval
    }

    /// Returns the share of each route's requests for the canary replicas. All routes send an equal
    /// number, as far as each has requests.
    ///
    /// Guards against a version that is bad on a route with little traffic: with one share for all
    /// routes, that route would send too few requests to find it.
    fn canary_shares(&self, tally: &Tally) -> BTreeMap<SmolStr, f64> {
        let requests = |route: &SmolStr| {
            let pair = tally.routes[route];
            (pair.old.answers + pair.new.answers) as f64
        };
        let total: f64 = tally.routes.keys().map(requests).sum();
        let tested = tally.total().new.answers as f64;
        let limit = total * self.config.max_exposure + self.config.exposure_allowance as f64;
        if total == 0.0 || tested >= limit {
            return BTreeMap::new();
        }
        let mut left = total * self.config.canary_share;
        let mut routes: Vec<&SmolStr> = tally.routes.keys().collect();
        routes.sort_by(|one, other| requests(one).total_cmp(&requests(other)));
        let mut shares = BTreeMap::new();
        for (index, route) in routes.iter().enumerate() {
            let part = left / (routes.len() - index) as f64;
            let allotted = part.min(requests(route) * self.config.max_route_share);
            left -= allotted;
            shares.insert((*route).clone(), allotted / requests(route).max(1.0));
        }
        shares
    }
}
