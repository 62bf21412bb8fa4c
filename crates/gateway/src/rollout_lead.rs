//! The leader's part in roll-outs, which the holder of the duties carries out.
//!
//! A stage is written to the table service before the status that the operator reads, and announced to all entries: a
//! next leader goes on from what is written.

use clock::Span;
use clock::Time;
use line::Line;
use member::digest::Item;
use member::digest::Topic;
use rollout::configs;
use rollout::lead::Fleet;
use rollout::lead::Lead;
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

use crate::duty::Warrant;
use crate::effect::Effect;
use crate::gateway::Gateway;
use crate::rollouts::Part;
use crate::store_calls::Waiter;

/// Bits of an announcement's number below the leader's fencing number.
const NUMBER_BITS: u32 = 20;
/// Time between two announcements of a roll-out that has ended, for entries that start.
const FINAL_REPEAT: Span = Span::from_seconds(5);
/// Time before a stage that could not be written is tried again.
const RETRY: Span = Span::from_millis(500);

/// A roll-out that this entry leads.
#[derive(Debug)]
pub(crate) struct Led {
    order: Order,
    /// None until a former leader's stage was asked for.
    lead: Option<Lead>,
    /// The call of the table service that is under way.
    asked: Option<Asked>,
    /// It isn't asked or written again before.
    next_call: Time,
    /// The phase in the stage for a next leader, as far as known.
    saved: Option<Phase>,
    /// The phase in the status for the operator, as far as known. Invariant: it was saved before.
    shown: Option<Phase>,
    next_announcement: Time,
    announcements: u64,
}

/// A call of the table service.
#[derive(Clone, Copy, Debug)]
enum Asked {
    /// What a former leader saved.
    Stage,
    /// The stage of that phase is written for a next leader.
    Save(Phase),
    /// The status of that phase is written for the operator.
    Show(Phase),
}

impl Led {
    /// What is to be written next: only what can be gone on from is shown.
    fn next_write(&self, phase: Phase) -> Option<Asked> {
        match phase {
            _ if self.saved != Some(phase) => Some(Asked::Save(phase)),
            _ if self.shown != Some(phase) => Some(Asked::Show(phase)),
            _ => None,
        }
    }
}

impl Gateway {
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
                asked: None,
                next_call: now,
                saved: None,
                shown: None,
                next_announcement: now,
                announcements: 0,
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
        let may_call = led.asked.is_none() && now >= led.next_call;
        let Some(lead) = &mut led.lead else {
            if may_call {
                led.asked = Some(Asked::Stage);
                let at = Address::new(status::STAGES, service.clone());
                self.call_store(Waiter::Stage(service.clone()), Call::Get { at });
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
        if may_call {
            led.asked = led.next_write(stage.phase);
        }
        let call = led.asked.filter(|_| may_call);
        let call = call.and_then(|asked| write_of(service, &stage, asked));
        if changed || now >= led.next_announcement {
            led.next_announcement = now + pause;
            led.announcements += 1;
            let number = warrant.fence << NUMBER_BITS | led.announcements;
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
        self.rollout_announced(now, &item, effects);
    }

    /// The table service answered a question for a stage, or its writing.
    pub(crate) fn stage_answered(&mut self, now: Time, service: &SmolStr, outcome: Outcome) {
        let since = self.rollouts.splits.get(service).map(|known| known.since);
        let (Some(led), Some(since)) = (self.rollouts.leads.get_mut(service), since) else {
            return;
        };
        let asked = led.asked.take();
        match (outcome, asked) {
            (Outcome::Row(row), _) => {
                let stage = row.and_then(|row| serde_json::from_value::<Stage>(row.value).ok());
                let elapsed = stage.as_ref().map_or(0, |stage| stage.elapsed_ms);
                let elapsed = Span::from_millis(elapsed).max(now.since(since));
                let begun = Time::from_millis(now.as_millis().saturating_sub(elapsed.as_millis()));
                led.saved = stage.as_ref().map(|stage| stage.phase);
                led.lead = Some(Lead::new(
                    configs::lead::Config::default(),
                    configs::judge::Config::default(),
                    led.order.clone(),
                    begun,
                    stage.as_ref(),
                ));
            }
            (Outcome::Committed(_), Some(Asked::Save(phase))) => led.saved = Some(phase),
            (Outcome::Committed(_), Some(Asked::Show(phase))) => led.shown = Some(phase),
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

/// The writing of a stage or status.
fn write_of(service: &SmolStr, stage: &Stage, asked: Asked) -> Option<Call> {
    let table = match asked {
        Asked::Stage => return None,
        Asked::Save(_) => status::STAGES,
        Asked::Show(_) => status::TABLE,
    };
    Some(Call::Transact(Transaction {
        token: service.clone(),
        checks: Vec::new(),
        writes: vec![Write {
            at: Address::new(table, service.clone()),
            value: serde_json::to_value(stage).unwrap_or(Value::Null),
        }],
    }))
}

fn phase_line(service: &SmolStr, lead: &Lead, tally: &Tally) -> Line {
    let total = tally.total();
    Line::info("rollout_decided")
        .with("service", service)
        .with("to", &lead.order().to)
        .with("phase", format!("{:?}", lead.phase()))
        .with("finding", format!("{:?}", lead.finding()))
        .with("old", format!("{}/{}", total.old.bad, total.old.answers))
        .with("new", format!("{}/{}", total.new.bad, total.new.answers))
}
