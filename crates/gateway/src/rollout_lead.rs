//! The leader's part in roll-outs, carried out by the holder of the duties.
//!
//! A stage is saved to the table service before the operator's status is written and before it is announced
//! to all entries, so that the next leader continues from what others have seen.

use clock::Span;
use clock::Time;
use line::Line;
use member::digest::Item;
use member::digest::Topic;
use rollout::configs;
use rollout::leader::Fleet;
use rollout::leader::Leader;
use rollout::order::Order;
use rollout::stage::Phase;
use rollout::stage::Stage;
use rollout::status;
use rollout::tally::Tally;
use serde_json::Value;
use smol_str::SmolStr;
use store::call::Address;
use store::call::Call;
use store::call::Outcome;
use store::call::Transaction;
use store::call::Write;

use crate::duty::Lease;
use crate::effect::Effect;
use crate::gateway::Gateway;
use crate::rollouts::Generation;
use crate::store_calls::Waiter;

/// Low bits of an announcement's version, for a sequence number below the leader's fencing number.
const SEQUENCE_BITS: u32 = 20;
/// Time between two announcements of a finished roll-out, for entries that start later.
const FINAL_ANNOUNCEMENT_INTERVAL: Span = Span::from_seconds(5);
/// Time before a failed call of the table service is retried.
const RETRY_INTERVAL: Span = Span::from_millis(500);

/// State of a roll-out that this entry leads.
#[derive(Debug)]
pub(crate) struct Leadership {
    order: Order,
    /// None until the stage saved by a former leader was read.
    leader: Option<Leader>,
    /// The pending call of the table service.
    pending: Option<Pending>,
    /// Earliest time of the next call.
    next_call: Time,
    /// The phase last saved for the next leader.
    saved_phase: Option<Phase>,
    /// The phase last written to the operator's status. Invariant: it was saved before.
    published_phase: Option<Phase>,
    next_announcement: Time,
}

/// A call of the table service.
#[derive(Clone, Copy, Debug)]
enum Pending {
    /// Reads the stage saved by a former leader.
    ReadStage,
    /// Saves the stage for the next leader.
    SaveStage(Phase),
    /// Writes the status for the operator.
    PublishStatus(Phase),
}

impl Leadership {
    /// Returns the next write: a phase is published only after it was saved.
    fn next_write(&self, phase: Phase) -> Option<Pending> {
        match phase {
            _ if self.saved_phase != Some(phase) => Some(Pending::SaveStage(phase)),
            _ if self.published_phase != Some(phase) => Some(Pending::PublishStatus(phase)),
            _ => None,
        }
    }
}

impl Gateway {
    /// Advances all roll-outs, as the holder of the duties.
    pub(crate) fn rollouts_tick(&mut self, now: Time, lease: Lease, effects: &mut Vec<Effect>) {
        self.sync_leaderships(now);
        let services: Vec<SmolStr> = self.rollouts.leaderships.keys().cloned().collect();
        for service in services {
            self.lead_rollout(now, &service, lease, effects);
        }
    }

    /// Starts leading new orders, and stops leading those withdrawn or replaced.
    fn sync_leaderships(&mut self, now: Time) {
        let active = &self.rollouts.active;
        self.rollouts.leaderships.retain(|service, leadership| {
            let known = active.get(service);
            known.is_some_and(|known| *known.split.order() == leadership.order)
        });
        for (service, known) in active {
            self.rollouts
                .leaderships
                .entry(service.clone())
                .or_insert(Leadership {
                    order: known.split.order().clone(),
                    leader: None,
                    pending: None,
                    next_call: now,
                    saved_phase: None,
                    published_phase: None,
                    next_announcement: now,
                });
        }
    }

    fn lead_rollout(
        &mut self,
        now: Time,
        service: &SmolStr,
        lease: Lease,
        effects: &mut Vec<Effect>,
    ) {
        let fleet = self.rollout_fleet(service);
        let tally = self.total_tally(service);
        let Some(leadership) = self.rollouts.leaderships.get_mut(service) else {
            return;
        };
        let may_call = leadership.pending.is_none() && now >= leadership.next_call;
        let Some(leader) = &mut leadership.leader else {
            if may_call {
                leadership.pending = Some(Pending::ReadStage);
                let at = Address::new(status::STAGES, service.clone());
                self.call_store(Waiter::Stage(service.clone()), Call::Get { address: at });
            }
            return;
        };
        let changed = leader.step(now, &tally, fleet);
        if changed {
            effects.push(Effect::Log(phase_line(service, leader, &tally)));
        }
        let stage = leader.stage(now, &tally);
        let pause = match stage.phase.is_final() {
            true => FINAL_ANNOUNCEMENT_INTERVAL,
            false => leader.announcement_interval(),
        };
        if may_call {
            leadership.pending = leadership.next_write(stage.phase);
        }
        let call = leadership.pending.filter(|_| may_call);
        let call = call.and_then(|pending| write_call(service, &stage, pending));
        if changed || now >= leadership.next_announcement {
            leadership.next_announcement = now + pause;
            let announced = self.rollouts.announced.entry(service.clone()).or_default();
            let number = (lease.fence << SEQUENCE_BITS).max(*announced + 1);
            *announced = number;
            self.publish_stage(now, service, number, &stage, effects);
        }
        if let Some(call) = call {
            self.call_store(Waiter::Stage(service.clone()), call);
        }
    }

    fn publish_stage(
        &mut self,
        now: Time,
        service: &SmolStr,
        number: u64,
        stage: &Stage,
        effects: &mut Vec<Effect>,
    ) {
        let item = Item {
            topic: Topic::Rollout,
            key: service.clone(),
            version: number,
            age_ms: 0,
            payload: serde_json::to_vec(stage).unwrap_or_default(),
        };
        self.step_membership(now, member::event::Event::Publish(item.clone()), effects);
        self.handle_rollout_announcement(now, &item, effects);
    }

    /// Handles the table service's answer to a read or write of a stage.
    pub(crate) fn handle_stage_answer(&mut self, now: Time, service: &SmolStr, outcome: Outcome) {
        let Some(known) = self.rollouts.active.get(service) else {
            return;
        };
        let since = known.ordered_at;
        let announced = known.split.announced_stage().cloned();
        let Some(leadership) = self.rollouts.leaderships.get_mut(service) else {
            return;
        };
        let pending = leadership.pending.take();
        match (outcome, pending) {
            (Outcome::Row(row), _) => {
                let stage = row.and_then(|row| serde_json::from_value::<Stage>(row.value).ok());
                let elapsed = stage.as_ref().map_or(0, |stage| stage.elapsed_ms);
                let elapsed = Span::from_millis(elapsed).max(now.since(since));
                let begun = Time::from_millis(now.as_millis().saturating_sub(elapsed.as_millis()));
                leadership.saved_phase = stage.as_ref().map(|stage| stage.phase);
                // A restore may have lost what a former leader saved before it announced it.
                let latest = stage
                    .into_iter()
                    .chain(announced)
                    .max_by_key(|stage| stage.phase);
                leadership.leader = Some(Leader::new(
                    configs::leader::Config::default(),
                    configs::judge::Config::default(),
                    leadership.order.clone(),
                    begun,
                    latest.as_ref(),
                ));
            }
            (Outcome::Committed(_), Some(Pending::SaveStage(phase))) => {
                leadership.saved_phase = Some(phase)
            }
            (Outcome::Committed(_), Some(Pending::PublishStatus(phase))) => {
                leadership.published_phase = Some(phase)
            }
            _ => leadership.next_call = now + RETRY_INTERVAL,
        }
    }

    /// Saves and publishes all stages again, which a restore of the table service may have lost.
    pub(crate) fn rewrite_stages(&mut self) {
        for leadership in self.rollouts.leaderships.values_mut() {
            leadership.saved_phase = None;
            leadership.published_phase = None;
        }
    }

    /// Returns the answers that all entries have counted since an order.
    fn total_tally(&self, service: &SmolStr) -> Tally {
        let mut sum = self
            .rollouts
            .tallies
            .get(service)
            .cloned()
            .unwrap_or_default();
        for tallies in self.rollouts.peer_tallies.values() {
            if let Some(tally) = tallies
                .get(service)
                .filter(|tally| tally.order == sum.order)
            {
                sum.add(tally);
            }
        }
        sum
    }

    /// Returns the capacity and load of both versions' replicas.
    fn rollout_fleet(&self, service: &SmolStr) -> Fleet {
        let mut fleet = Fleet::default();
        for known in self
            .servers
            .iter()
            .filter(|known| known.server.service == *service)
        {
            let server = &known.server;
            match self.rollouts.generation(server) {
                Generation::Old => {
                    fleet.slots_old += server.slots;
                    fleet.running_old += self.running_requests(known.key, &server.incarnation);
                }
                Generation::New if !self.servers.is_leaving(&server.incarnation) => {
                    fleet.slots_new += server.slots;
                }
                Generation::New | Generation::Rejected => {}
            }
        }
        fleet
    }
}

/// Returns the call that writes a stage or status.
fn write_call(service: &SmolStr, stage: &Stage, pending: Pending) -> Option<Call> {
    let table = match pending {
        Pending::ReadStage => return None,
        Pending::SaveStage(_) => status::STAGES,
        Pending::PublishStatus(_) => status::TABLE,
    };
    Some(Call::Transact(Transaction {
        token: service.clone(),
        checks: Vec::new(),
        writes: vec![Write {
            address: Address::new(table, service.clone()),
            value: serde_json::to_value(stage).unwrap_or(Value::Null),
        }],
    }))
}

fn phase_line(service: &SmolStr, leader: &Leader, tally: &Tally) -> Line {
    let total = tally.total();
    Line::info("rollout_decided")
        .with("service", service)
        .with("to", &leader.order().to)
        .with("phase", format!("{:?}", leader.phase()))
        .with("finding", format!("{:?}", leader.finding()))
        .with("old", format!("{}/{}", total.old.bad, total.old.answers))
        .with("new", format!("{}/{}", total.new.bad, total.new.answers))
}
