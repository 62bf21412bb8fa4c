//! Executes the scheduler's decisions.

use clock::Time;
use policy::decision::Decision;
use policy::decision::Transfer;
use policy::job;
use policy::job::End;
use policy::replica;

use crate::effect::Command;
use crate::effect::Effect;
use crate::entry::Entry;
use crate::line::Line;
use crate::platform::ASSUMED_SLOTS;

impl Entry {
    /// Executes a decision.
    pub(crate) fn execute(&mut self, now: Time, decision: Decision, effects: &mut Vec<Effect>) {
        match decision {
            Decision::Start { job, replica } => self.start_attempt(now, job, replica, effects),
            Decision::Refuse { job, refusal } => self.refuse(now, job.0, refusal, effects),
            Decision::Move {
                job, to, transfer, ..
            } => self.move_flight(job, to, transfer, effects),
            Decision::Cancel { job, .. } => {
                self.catch_up.forget(job);
                effects.push(Effect::Flight {
                    serial: job.0,
                    command: Command::Stop,
                });
            }
        }
    }

    /// Dispatches a request to a backend server.
    ///
    /// If the server was reported as leaving since the scheduler chose it, nothing is sent and the
    /// scheduler chooses again.
    pub(crate) fn start_attempt(
        &mut self,
        now: Time,
        job: job::Id,
        replica: replica::Key,
        effects: &mut Vec<Effect>,
    ) {
        if self.catch_up.defer(job, replica) {
            return;
        }
        let endpoint = self.backends.endpoint(replica);
        let endpoint = endpoint.filter(|endpoint| !self.backends.is_leaving(&endpoint.incarnation));
        let Some(endpoint) = endpoint else {
            return self.with_scheduler(now, effects, |scheduler, out| {
                scheduler.attempt_ended(now, job, End::NotStarted, 0, out);
            });
        };
        let instance = self.backends.instance(replica);
        let hourly_micros = instance.map_or(0, |instance| instance.hourly_micros);
        let Some(flight) = self.flights.get_mut(&job.0) else {
            return self.with_scheduler(now, effects, |scheduler, out| {
                scheduler.attempt_ended(now, job, End::Left, 0, out);
            });
        };
        let restarted = flight.may_have_run;
        let stream = flight.next_stream();
        flight.replica = Some(replica);
        flight.started.get_or_insert(now);
        flight.hourly_micros = hourly_micros;
        flight.replica_slots = u64::from(ASSUMED_SLOTS);
        if restarted {
            flight.recomputed += u64::from(flight.job.prompt_tokens) + flight.tokens;
        }
        let line = Line::debug("request_started")
            .with("request", flight.origin)
            .with("attempt", flight.attempt)
            .with("replica", &endpoint.incarnation);
        let account = flight.account.clone();
        let snapshot = self.catalog.snapshot();
        let priority = snapshot
            .account(&account)
            .map_or(0, |account| account.priority);
        effects.push(Effect::Log(line));
        effects.push(Effect::Flight {
            serial: job.0,
            command: Command::Start {
                stream,
                endpoint,
                priority,
                account,
            },
        });
    }

    /// Moves a running stream to another replica.
    fn move_flight(
        &mut self,
        job: job::Id,
        to: replica::Key,
        transfer: Transfer,
        effects: &mut Vec<Effect>,
    ) {
        if self.catch_up.redirect(job, to) {
            return;
        }
        let Some(endpoint) = self.backends.endpoint(to) else {
            return;
        };
        let Some(flight) = self.flights.get_mut(&job.0) else {
            return;
        };
        let stream = flight.next_stream();
        flight.replica = Some(to);
        flight.moves += 1;
        effects.push(Effect::Flight {
            serial: job.0,
            command: Command::Move {
                stream,
                endpoint,
                transfer,
            },
        });
    }
}
