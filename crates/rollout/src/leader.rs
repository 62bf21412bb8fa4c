//! The leader's part: how a roll-out goes on.

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

/// What is known of both versions' replicas, over all entries.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Fleet {
    /// Requests that the old version's replicas run.
    pub running_old: u32,
    /// Slots of the old version's replicas.
    pub slots_old: u32,
    /// Slots of the new version's replicas that are ready.
    pub slots_new: u32,
}

/// One service's roll-out, at the entry that leads.
#[derive(Clone, Debug)]
pub struct Leader {
    config: configs::leader::Config,
    judge: configs::judge::Config,
    order: Order,
    /// When the order was given, by our clock.
    started: Time,
    phase: Phase,
    /// What was found, for the log.
    finding: Finding,
}

impl Leader {
    /// Leads an order that was given at `begun`, from the stage that a former leader wrote, if one did.
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

    /// The order.
    pub fn order(&self) -> &Order {
        &self.order
    }

    /// What becomes of new requests.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// What was found last.
    pub fn finding(&self) -> &Finding {
        &self.finding
    }

    /// Goes on by what all entries have counted; whether the phase changed.
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
            // What isn't known to be good isn't used.
            Phase::Canary => Phase::RolledBack,
            // Old replicas stop at once when it is completed, and what runs there would be cut.
            Phase::Moving if fleet.running_old == 0 => Phase::Completed,
            other => other,
        }
    }

    fn has_capacity(&self, fleet: Fleet) -> bool {
        f64::from(fleet.slots_new) >= f64::from(fleet.slots_old) * self.config.min_capacity_ratio
    }

    /// The order was withdrawn, or another one took its place: the version gets nothing more.
    pub fn withdraw(&mut self) {
        if !self.phase.is_final() {
            self.phase = Phase::RolledBack;
        }
    }

    /// The stage to announce to all entries.
    pub fn stage(&self, now: Time, tally: &Tally) -> Stage {
        Stage {
            order: self.order.revision,
            to: self.order.to.clone(),
            phase: self.phase,
            shares: match self.phase {
                Phase::Canary => self.shares(tally),
                _ => BTreeMap::new(),
            },
            elapsed_ms: now.since(self.started).as_millis(),
        }
    }

    /// Time between two announcements.
    pub fn announcement_interval(&self) -> Span {
        self.config.announcement_interval
    }

    /// Share of each route that goes to the canary replicas: all routes get an equal number, as far as each has requests.
    ///
    /// Guards against a version that is bad on a route with little traffic: by one share for all routes it would be seen
    /// too seldom to be found.
    fn shares(&self, tally: &Tally) -> BTreeMap<SmolStr, f64> {
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
