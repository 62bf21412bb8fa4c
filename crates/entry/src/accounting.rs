//! Records finished requests: samples for the burn report and the journal that `explain` reads.

use burn::collector;
use burn::collector::Collector;
use burn::ledger::Ledger;
use burn::sample::Cause;
use burn::sample::Outcome;
use burn::sample::Sample;
use clock::Span;
use clock::Time;
use config::deployment::Grant;
use config::snapshot::Snapshot;
use ops::reply::Reply;
use smol_str::SmolStr;
use smol_str::ToSmolStr;
use smol_str::format_smolstr;
use verdict::Reason;
use verdict::Refusal;
use verdict::Verdict;

use crate::effect::Effect;
use crate::entry::Entry;
use crate::flight::Flight;
use crate::identity::Identity;
use crate::line::Line;
use crate::store_calls::Waiter;

/// Milliseconds per hour.
const HOUR_MILLIS: u64 = 3_600_000;

impl Entry {
    /// Wakes the collector when its summary is due.
    pub(crate) fn accounting_tick(&mut self, now: Time, effects: &mut Vec<Effect>) {
        if self.collector.next_wake().is_some_and(|wake| wake <= now) {
            self.step_collector(now, collector::Event::Wake, effects);
        }
    }

    /// Passes an event to the collector and performs its effects.
    pub(crate) fn step_collector(
        &mut self,
        now: Time,
        event: collector::Event,
        effects: &mut Vec<Effect>,
    ) {
        let mut outputs = Vec::new();
        self.collector.step(now, event, &mut outputs);
        for effect in outputs {
            match effect {
                collector::Effect::Store { id, call } => {
                    self.queue_store_call(Waiter::Collector(id), call);
                }
                collector::Effect::Report { requester, report } => effects.push(Effect::Operator {
                    call: requester,
                    reply: Ok(Reply::Report(report)),
                }),
            }
        }
    }

    /// Sets the latency targets of the configuration in force.
    pub(crate) fn set_targets(&mut self, now: Time) {
        let targets = targets_of(self.catalog.snapshot());
        self.collector.ledger.set_targets(now, targets);
    }

    /// Records an answered request.
    pub(crate) fn record_answered(&mut self, now: Time, flight: &Flight) {
        let sample = Sample {
            outcome: Outcome::Answered,
            cause: self.cause_of(now, flight),
            ..sample_of(now, flight)
        };
        self.collector.ledger.record(now, &sample);
        let request = flight.origin.to_smolstr();
        self.journal.end(&request, Verdict::Done);
    }

    /// Records a refused request.
    pub(crate) fn record_refused(&mut self, now: Time, flight: &Flight, refusal: &Refusal) {
        let (outcome, cause) = outcome_of(refusal.reason);
        let sample = Sample {
            outcome,
            cause,
            ..sample_of(now, flight)
        };
        self.collector.ledger.record(now, &sample);
        let request = flight.origin.to_smolstr();
        self.journal.end(&request, refusal.verdict);
    }

    /// Copies log lines of requests into the journal, so that `explain` shows the same lines.
    pub(crate) fn journal_lines(&mut self, now: Time, effects: &[Effect]) {
        for effect in effects {
            let Effect::Log(line) = effect else {
                continue;
            };
            let request = line.fields.iter().find(|(name, _)| *name == "request");
            if let Some((_, request)) = request {
                self.journal
                    .record(now, request, line.event, &detail_of(line));
            }
        }
    }

    /// Returns the likely cause if an answered request missed its targets.
    fn cause_of(&self, now: Time, flight: &Flight) -> Cause {
        if flight.moves > 0 || flight.recomputed > 0 {
            return Cause::Reclaim;
        }
        let waited = flight.started.unwrap_or(now).since(flight.arrived);
        let took = flight.first_token.unwrap_or(now).since(flight.arrived);
        if waited + waited > took {
            return Cause::Waiting;
        }
        Cause::SlowBackend
    }
}

/// Returns an entry's new collector.
pub(crate) fn collector(identity: &Identity, zero_unix_ms: u64) -> Collector {
    let incarnation = format_smolstr!("{}", identity.incarnation);
    let ledger = Ledger::new(identity.name.clone(), incarnation, zero_unix_ms);
    Collector::new(Time::ZERO, ledger)
}

/// Returns the targets of all grants, by deployment and account.
fn targets_of(snapshot: &Snapshot) -> Vec<((SmolStr, SmolStr), burn::report::Target)> {
    let deployments = snapshot.deployments.iter();
    deployments
        .flat_map(|deployment| {
            let grants = deployment.grants.iter();
            grants.map(|grant| {
                let pair = (deployment.name.clone(), grant.account.clone());
                (pair, target_of(grant))
            })
        })
        .collect()
}

fn target_of(grant: &Grant) -> burn::report::Target {
    burn::report::Target {
        first_token_ms: grant.first_token_ms,
        token_gap_ms: grant.token_gap_ms,
        share_per_mille: grant.share_per_mille,
    }
}

/// Returns a sample with the fields that don't depend on the outcome.
fn sample_of(now: Time, flight: &Flight) -> Sample {
    let first_token = flight.first_token.map(|time| time.since(flight.arrived));
    Sample {
        deployment: flight.deployment.clone(),
        account: flight.account.clone(),
        first_token,
        worst_gap: flight.worst_gap,
        outcome: Outcome::Failed,
        cause: Cause::Other,
        recomputed: flight.recomputed,
        cost_micros: cost_of(now, flight),
    }
}

/// Returns a request's share of its replica's cost: time there, divided by the replica's slots.
fn cost_of(now: Time, flight: &Flight) -> u64 {
    let Some(started) = flight.started else {
        return 0;
    };
    let busy: Span = now.since(started);
    busy.as_millis().saturating_mul(flight.hourly_micros)
        / HOUR_MILLIS
        / flight.replica_slots.max(1)
}

/// Returns the outcome and cause that a refusal is counted under.
fn outcome_of(reason: Reason) -> (Outcome, Cause) {
    match reason {
        Reason::Malformed
        | Reason::TooLarge
        | Reason::Unauthorized
        | Reason::Forbidden
        | Reason::Unknown
        | Reason::Repeated
        | Reason::Cancelled => (Outcome::EndedByCaller, Cause::Other),
        Reason::OverLimit | Reason::Overloaded | Reason::NoBackend => {
            (Outcome::Failed, Cause::Refused)
        }
        Reason::StoreUnavailable | Reason::NotReady => (Outcome::Failed, Cause::Store),
        Reason::BackendFailed | Reason::TimedOut => (Outcome::Failed, Cause::SlowBackend),
        Reason::Leaving | Reason::Quarantined => (Outcome::Failed, Cause::Other),
    }
}

/// Returns a line's fields as text, without the request id.
fn detail_of(line: &Line) -> String {
    let fields = line.fields.iter().filter(|(name, _)| *name != "request");
    let pairs: Vec<String> = fields
        .map(|(name, value)| format!("{name}={value}"))
        .collect();
    pairs.join(" ")
}
