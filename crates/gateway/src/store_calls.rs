//! Calls of the table service: throttling and dispatch of their outcomes.

use clock::Time;
use line::Line;
use smol_str::SmolStr;
use store::budget::Priority;
use store::call;
use store::call::Call;
use store::call::Outcome;

use crate::effect::Effect;
use crate::gateway::Gateway;

/// Who awaits the outcome of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Waiter {
    /// The membership, by its own id of the call.
    Membership(call::Id),
    /// The claim on the duties' lease, by its own id of the call.
    Claim(call::Id),
    /// The usage report of a window.
    Report(u64),
    /// The saved usage counts of open windows.
    Progress,
    /// The stage of a service's roll-out.
    Stage(SmolStr),
    /// The default software version of a service.
    DefaultVersion(SmolStr),
    /// A request whose stream's version is looked up.
    Stream(u64),
    /// The records of streams in one table.
    Records(u64),
    /// Nobody: outdated records that aren't removed now are swept later.
    RemovedRecords,
    /// The sweep of one table.
    SweptRecords(u64),
}

impl Gateway {
    /// Queues a call of the table service; its outcome is delivered to `waiter`.
    pub(crate) fn call_store(&mut self, waiter: Waiter, call: Call) {
        let id = call::Id(self.next_store_call);
        self.next_store_call += 1;
        let priority = match waiter {
            Waiter::Membership(_) | Waiter::Claim(_) => Priority::Lease,
            Waiter::Report(_) | Waiter::Stage(_) | Waiter::DefaultVersion(_) => Priority::Config,
            Waiter::Stream(_) | Waiter::Records(_) => Priority::Intent,
            Waiter::Progress | Waiter::RemovedRecords | Waiter::SweptRecords(_) => {
                Priority::Summary
            }
        };
        let refused = self.throttle.push(priority, id, call);
        self.store_calls.insert(id, waiter);
        if let Some((id, _)) = refused {
            self.store_rejected.push(id);
        }
    }

    /// Makes the calls that the throttle admits, and fails those that found the queue full.
    pub(crate) fn dispatch_store_calls(&mut self, now: Time, effects: &mut Vec<Effect>) {
        while let Some(id) = self.store_rejected.pop() {
            self.deliver_outcome(now, id, Outcome::Unavailable, effects);
        }
        while let Some((id, call)) = self.throttle.pop(now) {
            effects.push(Effect::Store { id, call });
        }
    }

    /// Handles the outcome of a call.
    pub(crate) fn handle_store_outcome(
        &mut self,
        now: Time,
        id: call::Id,
        outcome: Outcome,
        effects: &mut Vec<Effect>,
    ) {
        if let Some(revision) = outcome.revision() {
            self.observe_era(now, revision, effects);
        }
        let failed = matches!(outcome, Outcome::Unavailable | Outcome::Unknown);
        let was_lost = self.store_health.is_unavailable();
        if failed {
            self.store_failed_at = Some(now);
            if self.store_health.record_failure(now) {
                self.log_connectivity(Line::warn("dependency_lost"), id, &outcome, effects);
            }
        } else if let Some(since) = self.store_health.record_answer() {
            self.refresh_after_outage(since, effects);
            self.log_connectivity(Line::info("dependency_regained"), id, &outcome, effects);
        }
        let lost = self.store_health.is_unavailable();
        if lost != was_lost {
            self.step_membership(now, member::event::Event::StoreLost(lost), effects);
        }
        self.deliver_outcome(now, id, outcome, effects);
    }

    fn log_connectivity(
        &self,
        line: Line,
        id: call::Id,
        outcome: &Outcome,
        effects: &mut Vec<Effect>,
    ) {
        let cause = match outcome {
            Outcome::Unavailable => "refused",
            Outcome::Unknown => "no_answer",
            _ => "answered",
        };
        let waiter = self.store_calls.get(&id);
        let line = line
            .with("name", "table_service")
            .with("call", format!("{waiter:?}"))
            .with("outcome", cause);
        effects.push(Effect::Log(line));
    }

    /// Reads the feeds again when the table service answers after having failed since `since`.
    ///
    /// Guards against long polls that it lost meanwhile: they only end after 11.5 s, and until then the entry
    /// knows neither which servers left nor which configuration is in force. A list that was confirmed since
    /// then needs no new read.
    fn refresh_after_outage(&mut self, since: Time, effects: &mut Vec<Effect>) {
        if self.servers.position().confirmed_at < since {
            effects.push(Effect::ReadServers);
            effects.push(Effect::ReadConfiguration);
        }
    }

    /// Delivers an outcome to whoever awaits it.
    fn deliver_outcome(
        &mut self,
        now: Time,
        id: call::Id,
        outcome: Outcome,
        effects: &mut Vec<Effect>,
    ) {
        match self.store_calls.remove(&id) {
            Some(Waiter::Membership(id)) => {
                self.step_membership(now, member::event::Event::Store { id, outcome }, effects);
            }
            Some(Waiter::Claim(id)) => self.handle_claim_answer(now, id, outcome, effects),
            Some(Waiter::Report(window)) => {
                self.handle_counts_written(now, window, outcome, effects)
            }
            Some(Waiter::Stage(service)) => self.handle_stage_answer(now, &service, outcome),
            Some(Waiter::Progress) => self.handle_progress_answer(now, outcome, effects),
            Some(Waiter::DefaultVersion(service)) => {
                self.handle_default_version(now, &service, outcome, effects);
            }
            Some(Waiter::Stream(serial)) => {
                self.handle_stream_record(now, serial, &outcome, effects)
            }
            Some(Waiter::Records(table)) => {
                self.handle_records_written(now, table, &outcome, effects);
            }
            Some(Waiter::SweptRecords(table)) => self.handle_swept_records(now, table, &outcome),
            Some(Waiter::RemovedRecords) | None => {}
        }
    }
}
