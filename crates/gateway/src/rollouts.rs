//! Roll-outs by the operator's order: which replicas take part, which requests try a version, and the leader's work.
//!
//! The replicas of a version on trial stand in a pool of their own, so that only requests drawn for it get there. Where a
//! service has more of them than its share of requests would load, the rest stay in reserve until all requests move.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use clock::Span;
use clock::Time;
use line::Line;
use member::digest::Item;
use member::digest::Topic;
use policy::rendezvous;
use rand::RngExt;
use rollout::configs;
use rollout::lead::Fleet;
use rollout::lead::Lead;
use rollout::order::Order;
use rollout::pace::Pace;
use rollout::split::Side;
use rollout::split::Split;
use rollout::stage::Phase;
use rollout::stage::Stage;
use rollout::status;
use rollout::tally::Tally;
use serde_json::Value;
use smol_str::SmolStr;
use smol_str::format_smolstr;
use store::call::Address;
use store::call::Call;
use store::call::Outcome;
use store::call::Transaction;
use store::call::Write;
use watch::server::Server;

use crate::attempt::End;
use crate::duty::Warrant;
use crate::effect::Effect;
use crate::gateway::Gateway;
use crate::store_calls::Waiter;

/// Bits of a word's number below the leader's fencing number.
const WORD_BITS: u32 = 20;
/// Time between two words on a roll-out that has ended, for entries that start.
const FINAL_REPEAT: Span = Span::from_seconds(5);
/// Time before a stage that could not be written is tried again.
const RETRY: Span = Span::from_millis(500);
/// Status from which on a plain answer counts as failed.
const FAILED_STATUS: u16 = 500;

/// What an entry knows of roll-outs.
#[derive(Debug, Default)]
pub(crate) struct Rollouts {
    /// By service.
    splits: BTreeMap<SmolStr, Known>,
    /// The version that a finished roll-out has put into use, by service.
    in_use: BTreeMap<SmolStr, SmolStr>,
    /// Versions that get nothing, by service.
    rejected: BTreeMap<SmolStr, BTreeSet<SmolStr>>,
    /// How long answers usually take, by route.
    paces: BTreeMap<SmolStr, Paces>,
    /// What this entry has counted since each order, by service.
    pub tallies: BTreeMap<SmolStr, Tally>,
    /// What peers have, by who told it.
    pub told: BTreeMap<lease::holder::Id, BTreeMap<SmolStr, Tally>>,
    /// The roll-outs that this entry leads.
    leads: BTreeMap<SmolStr, Led>,
}

/// One service's roll-out.
#[derive(Debug)]
struct Known {
    split: Split,
    /// When the order was seen here.
    since: Time,
    /// Whether replicas of the version in use were ever known since.
    had_old: bool,
}

/// How long answers of a route usually take.
#[derive(Clone, Copy, Debug, Default)]
struct Paces {
    /// The whole answer, or a stream's first event.
    first: Pace,
    /// A token after the first.
    token: Pace,
}

/// A roll-out that this entry leads.
#[derive(Debug)]
struct Led {
    order: Order,
    /// None until a former leader's stage was asked for.
    lead: Option<Lead>,
    /// Whether that question, or the writing of a stage, is under way.
    asking: bool,
    /// It isn't asked or written again before.
    next_call: Time,
    /// The phase that stands in the table service.
    written: Option<Phase>,
    next_word: Time,
    words: u64,
}

/// What of a service a replica belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Part {
    /// The version in use.
    Old,
    /// The version that is ordered.
    New,
    /// A version that gets nothing.
    Rejected,
}

impl Rollouts {
    /// What of its service a replica belongs to.
    fn part(&self, server: &Server) -> Part {
        let rejected = self.rejected.get(&server.service);
        if rejected.is_some_and(|versions| versions.contains(&server.version)) {
            return Part::Rejected;
        }
        let known = self.splits.get(&server.service);
        match known.is_some_and(|known| known.split.order().to == server.version) {
            true => Part::New,
            false => Part::Old,
        }
    }

    /// The duties were gained: what former leaders wrote is read anew.
    pub fn gained(&mut self) {
        self.leads.clear();
    }

    /// Whether a replica is of those that stay.
    pub fn is_lasting(&self, server: &Server) -> bool {
        let new = self
            .splits
            .get(&server.service)
            .is_some_and(|known| matches!(known.split.phase(), Phase::Moving | Phase::Completed));
        match self.part(server) {
            Part::Old => !new,
            Part::New => new,
            Part::Rejected => false,
        }
    }
}

impl Gateway {
    /// The operator orders a roll-out. A second order for a service takes the place of the first.
    pub(crate) fn rollout_ordered(&mut self, now: Time, order: Order, effects: &mut Vec<Effect>) {
        let service = order.service.clone();
        if let Some(known) = self.rollouts.splits.get(&service) {
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
        let known = Known {
            split: Split::new(order),
            since: now,
            had_old: false,
        };
        self.rollouts.splits.insert(service.clone(), known);
        self.regroup(now, &service, effects);
    }

    /// The operator takes an order back: the version gets nothing more, unless it is in use by now.
    pub(crate) fn rollout_withdrawn(
        &mut self,
        now: Time,
        service: &SmolStr,
        effects: &mut Vec<Effect>,
    ) {
        if !self.rollouts.splits.contains_key(service) {
            return;
        }
        let line = Line::info("rollout_withdrawn").with("service", service);
        effects.push(Effect::Log(line));
        self.end_rollout(service);
        self.regroup(now, service, effects);
    }

    /// Orders for all other services are withdrawn.
    pub(crate) fn rollouts_known(
        &mut self,
        now: Time,
        services: &[SmolStr],
        effects: &mut Vec<Effect>,
    ) {
        let known: Vec<SmolStr> = self.rollouts.splits.keys().cloned().collect();
        for service in known.iter().filter(|service| !services.contains(service)) {
            self.rollout_withdrawn(now, service, effects);
        }
    }

    fn end_rollout(&mut self, service: &SmolStr) {
        let Some(known) = self.rollouts.splits.remove(service) else {
            return;
        };
        self.rollouts.tallies.remove(service);
        let to = known.split.order().to.clone();
        match known.split.phase() {
            Phase::Moving | Phase::Completed => {
                self.rollouts.in_use.insert(service.clone(), to);
            }
            Phase::Trial | Phase::RolledBack => {
                let rejected = self.rollouts.rejected.entry(service.clone()).or_default();
                rejected.insert(to);
            }
        }
    }

    /// The pool that a replica stands in.
    pub(crate) fn pool_of(&self, server: &Server) -> SmolStr {
        let service = &server.service;
        match self.rollouts.part(server) {
            Part::Old => self.pool_in_use(service),
            Part::Rejected => format_smolstr!("{service}!"),
            Part::New if self.is_reserve(server) => {
                format_smolstr!("{service}@{}+", server.version)
            }
            Part::New => pool_of_version(service, &server.version),
        }
    }

    fn pool_in_use(&self, service: &SmolStr) -> SmolStr {
        match self.rollouts.in_use.get(service) {
            Some(version) => pool_of_version(service, version),
            None => service.clone(),
        }
    }

    /// Whether a replica on trial would find the others with too few requests to show how they do under load.
    fn is_reserve(&self, server: &Server) -> bool {
        let Some(known) = self.rollouts.splits.get(&server.service) else {
            return false;
        };
        if known.split.phase() != Phase::Trial {
            return false;
        }
        let of_service = || {
            let servers = self.servers.iter().map(|known| &known.server);
            servers.filter(|one| one.service == server.service)
        };
        let old = of_service().filter(|one| self.rollouts.part(one) == Part::Old);
        let enough = (old.count() as f64 * configs::lead::Config::default().share).ceil() as usize;
        let rank = |one: &Server| rendezvous::identity(&one.incarnation);
        let before = of_service()
            .filter(|one| self.rollouts.part(one) == Part::New && rank(one) < rank(server));
        before.count() >= enough.max(1)
    }

    /// Puts each replica of a service into the pool that it belongs to by now. What runs there goes on.
    fn regroup(&mut self, now: Time, service: &SmolStr, effects: &mut Vec<Effect>) {
        let servers = self.servers.iter().map(|known| known.server.clone());
        let servers: Vec<Server> = servers.filter(|one| one.service == *service).collect();
        for server in servers {
            let pool = self.pool_of(&server);
            if self.grouped.get(&server.incarnation) == Some(&pool) {
                continue;
            }
            if let Some(known) = self.servers.remove(&server.incarnation) {
                self.scheduler.replica_lost(now, known.key);
                self.join(now, server, pool, effects);
            }
        }
    }

    /// The pool that a new request goes to, and whether it tries a version.
    pub(crate) fn draw_pool(
        &mut self,
        now: Time,
        service: &SmolStr,
        route: &SmolStr,
    ) -> (SmolStr, bool) {
        let old = self.pool_in_use(service);
        let Some(known) = self.rollouts.splits.get_mut(service) else {
            return (old, false);
        };
        let drawn = self.random.random::<f64>();
        let to = pool_of_version(service, &known.split.order().to);
        let is_there = |pool: &SmolStr| self.grouped.values().any(|grouped| grouped == pool);
        known.had_old |= is_there(&old);
        // An entry that starts once a roll-out is over may meet the new version alone.
        let only = !known.had_old && known.split.phase() != Phase::RolledBack;
        let side = known.split.side(now, route, drawn);
        match (side == Side::New || only) && is_there(&to) {
            true => (to, known.split.phase() == Phase::Trial),
            false => (old, false),
        }
    }

    /// Counts how an attempt ended, for the comparison of both versions.
    pub(crate) fn note_answer(&mut self, now: Time, serial: u64, end: &End) {
        let Some(open) = self.open.get(&serial) else {
            return;
        };
        let (Some(started), route) = (open.started, &open.route) else {
            return;
        };
        let (status, tokens) = match end {
            End::NotSent | End::NotStarted => return,
            End::Finished { status, tokens, .. } => (Some(*status), *tokens),
            End::Failed { .. } | End::Broken { .. } | End::Silent { .. } => (None, 0),
        };
        let first = open.first.unwrap_or(now);
        let took = first.since(started).as_millis() as f64;
        let token = now.since(first).as_millis() as f64 / f64::from(tokens.max(1));
        let paces = self.rollouts.paces.entry(route.clone()).or_default();
        let failed = status.is_none_or(|status| status >= FAILED_STATUS);
        let slow = paces.first.is_far_slower(took) || paces.token.is_far_longer(token);
        if !open.trial && !failed {
            paces.first.learn(took);
            paces.token.learn(token);
        }
        if let Some(tally) = self.rollouts.tallies.get_mut(&open.service) {
            tally.answered(route, open.trial, failed || slow);
        }
    }

    /// The leader's word on a roll-out.
    pub(crate) fn rollout_told(&mut self, now: Time, item: &Item, effects: &mut Vec<Effect>) {
        let stage: Stage = match serde_json::from_slice(&item.payload) {
            Ok(stage) => stage,
            Err(error) => {
                let line = Line::warn("stage_unreadable").with("error", error);
                return effects.push(Effect::Log(line));
            }
        };
        let Some(known) = self.rollouts.splits.get_mut(&item.key) else {
            return;
        };
        let age = Span::from_millis(item.age_ms);
        if !known.split.heard(now, item.version, age, &stage) {
            return;
        }
        let line = Line::info("rollout_phase")
            .with("service", &item.key)
            .with("to", &stage.to)
            .with("phase", format!("{:?}", stage.phase))
            .with("age_ms", item.age_ms);
        effects.push(Effect::Log(line));
        let service = item.key.clone();
        self.regroup(now, &service, effects);
    }

    /// Leads the roll-outs, as the holder of the duties.
    pub(crate) fn rollouts_tick(&mut self, now: Time, warrant: Warrant, effects: &mut Vec<Effect>) {
        self.follow_orders(now);
        let services: Vec<SmolStr> = self.rollouts.leads.keys().cloned().collect();
        for service in services {
            self.lead_rollout(now, &service, warrant, effects);
        }
    }

    /// Leads what is ordered, and gives up what isn't any more.
    fn follow_orders(&mut self, now: Time) {
        let splits = &self.rollouts.splits;
        self.rollouts.leads.retain(|service, led| {
            let known = splits.get(service);
            known.is_some_and(|known| *known.split.order() == led.order)
        });
        for (service, known) in splits {
            self.rollouts.leads.entry(service.clone()).or_insert(Led {
                order: known.split.order().clone(),
                lead: None,
                asking: false,
                next_call: now,
                written: None,
                next_word: now,
                words: 0,
            });
        }
    }

    fn lead_rollout(
        &mut self,
        now: Time,
        service: &SmolStr,
        warrant: Warrant,
        effects: &mut Vec<Effect>,
    ) {
        let fleet = self.fleet_of(service);
        let tally = self.tally_of(service);
        let Some(led) = self.rollouts.leads.get_mut(service) else {
            return;
        };
        let may_call = !led.asking && now >= led.next_call;
        let Some(lead) = &mut led.lead else {
            if may_call {
                led.asking = true;
                let at = Address::new(status::STAGES, service.clone());
                self.ask_store(Waiter::Stage(service.clone()), Call::Get { at });
            }
            return;
        };
        let changed = lead.step(now, &tally, fleet);
        if changed {
            effects.push(Effect::Log(phase_line(service, lead, &tally)));
        }
        let stage = lead.stage(now, &tally);
        let pause = match stage.phase.is_final() {
            true => FINAL_REPEAT,
            false => lead.repeat(),
        };
        let calls: Vec<Call> = match may_call && led.written != Some(stage.phase) {
            true => {
                led.asking = true;
                writes_of(service, &stage).into_iter().collect()
            }
            false => Vec::new(),
        };
        if changed || now >= led.next_word {
            led.next_word = now + pause;
            led.words += 1;
            let word = warrant.fence << WORD_BITS | led.words;
            self.publish_stage(now, service, word, &stage, effects);
        }
        for call in calls {
            self.ask_store(Waiter::Stage(service.clone()), call);
        }
    }

    fn publish_stage(
        &mut self,
        now: Time,
        service: &SmolStr,
        word: u64,
        stage: &Stage,
        effects: &mut Vec<Effect>,
    ) {
        let item = Item {
            topic: Topic::Rollout,
            key: service.clone(),
            version: word,
            age_ms: 0,
            payload: serde_json::to_vec(stage).unwrap_or_default(),
        };
        self.attend(now, member::event::Event::Publish(item.clone()), effects);
        self.rollout_told(now, &item, effects);
    }

    /// The table service answered a question for a stage, or its writing.
    pub(crate) fn stage_answered(&mut self, now: Time, service: &SmolStr, outcome: Outcome) {
        let since = self.rollouts.splits.get(service).map(|known| known.since);
        let (Some(led), Some(since)) = (self.rollouts.leads.get_mut(service), since) else {
            return;
        };
        led.asking = false;
        match outcome {
            Outcome::Row(row) => {
                let stage = row.and_then(|row| serde_json::from_value::<Stage>(row.value).ok());
                let elapsed = stage.as_ref().map_or(0, |stage| stage.elapsed_ms);
                let elapsed = Span::from_millis(elapsed).max(now.since(since));
                let begun = Time::from_millis(now.as_millis().saturating_sub(elapsed.as_millis()));
                led.written = stage.as_ref().map(|stage| stage.phase);
                led.lead = Some(Lead::new(
                    configs::lead::Config::default(),
                    configs::judge::Config::default(),
                    led.order.clone(),
                    begun,
                    stage.as_ref(),
                ));
            }
            Outcome::Committed(_) => {
                led.written = led.lead.as_ref().map(Lead::phase);
            }
            _ => led.next_call = now + RETRY,
        }
    }

    /// What all entries have counted since an order.
    fn tally_of(&self, service: &SmolStr) -> Tally {
        let mut sum = self
            .rollouts
            .tallies
            .get(service)
            .cloned()
            .unwrap_or_default();
        for tallies in self.rollouts.told.values() {
            if let Some(tally) = tallies
                .get(service)
                .filter(|tally| tally.order == sum.order)
            {
                sum.add(tally);
            }
        }
        sum
    }

    /// What is known of both versions' replicas.
    fn fleet_of(&self, service: &SmolStr) -> Fleet {
        let mut fleet = Fleet::default();
        for known in self
            .servers
            .iter()
            .filter(|one| one.server.service == *service)
        {
            let server = &known.server;
            match self.rollouts.part(server) {
                Part::Old => {
                    fleet.slots_old += server.slots;
                    fleet.running_old += self.running_at(known.key, &server.incarnation);
                }
                Part::New if !self.servers.is_leaving(&server.incarnation) => {
                    fleet.slots_new += server.slots;
                }
                Part::New | Part::Rejected => {}
            }
        }
        fleet
    }
}

/// The pool of a version's replicas.
fn pool_of_version(service: &SmolStr, version: &SmolStr) -> SmolStr {
    format_smolstr!("{service}@{version}")
}

/// The stage for a next leader, then the status for the operator: only what can be gone on from is said.
fn writes_of(service: &SmolStr, stage: &Stage) -> [Call; 2] {
    [status::STAGES, status::TABLE].map(|table| {
        Call::Transact(Transaction {
            token: service.clone(),
            checks: Vec::new(),
            writes: vec![Write {
                at: Address::new(table, service.clone()),
                value: serde_json::to_value(stage).unwrap_or(Value::Null),
            }],
        })
    })
}

fn phase_line(service: &SmolStr, lead: &Lead, tally: &Tally) -> Line {
    let total = tally.total();
    Line::info("rollout_decided")
        .with("service", service)
        .with("to", &lead.order().to)
        .with("phase", format!("{:?}", lead.phase()))
        .with("finding", format!("{:?}", lead.finding()))
        .with("old", format!("{}/{}", total.old.spoilt, total.old.answers))
        .with("new", format!("{}/{}", total.new.spoilt, total.new.answers))
}
