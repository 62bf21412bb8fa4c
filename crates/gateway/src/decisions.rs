//! Carries out the scheduler's decisions.

use clock::Time;
use line::Line;
use policy::decision::Decision;
use policy::decision::Transfer;
use policy::job;
use policy::replica;
use policy::scheduler::Snapshot;
use smol_str::format_smolstr;
use verdict::Refusal;
use verdict::Verdict;

use crate::effect::Command;
use crate::effect::Effect;
use crate::effect::Start;
use crate::gateway::Gateway;
use crate::origins::Runner;
use crate::plan::Shed;
use crate::returns::unknown_version_refusal;
use crate::stop::ABOUT_TO_END;
use crate::stop::leaving_refusal;

/// Range of engine priorities; the lowest number is the most urgent.
const MOST_URGENT: u8 = 0;
const LEAST_URGENT: u8 = 9;
/// Engine priorities between two ranks of routes, so that others fit in between.
const RANK_STEP: u8 = 3;

impl Gateway {
    /// Carries out one decision.
    pub(crate) fn apply_decision(
        &mut self,
        now: Time,
        decision: Decision,
        effects: &mut Vec<Effect>,
    ) {
        match decision {
            Decision::Start { job, replica } => self.start(now, job, replica, effects),
            Decision::Refuse { job, refusal } => self.refuse(now, job.0, refusal, effects),
            Decision::Cancel { job, .. } => effects.push(Effect::Flight {
                serial: job.0,
                command: Command::Stop,
            }),
            Decision::Move {
                job, to, transfer, ..
            } => self.move_run(now, job, to, transfer, effects),
        }
    }

    /// Logs which parts of prompts are blocked for crashing servers, or no longer are.
    pub(crate) fn log_part_changes(&mut self, effects: &mut Vec<Effect>) {
        for change in self.scheduler.take_part_changes() {
            let line = match change.blocked {
                true => Line::warn("part_blocked")
                    .with("crashes", change.crashes)
                    .with("doubtful", change.doubtful),
                false => Line::info("part_cleared"),
            };
            let part = format_smolstr!("{:016x}", change.part);
            effects.push(Effect::Log(line.with("part", part)));
        }
    }

    /// Moves a run off a leaving server.
    ///
    /// This saves answers that can't be restarted: a stream that is unfinished when its server ends is cut.
    /// The scheduler counts the job on its new replica from now on; this entry does so when the run has
    /// arrived.
    fn move_run(
        &mut self,
        now: Time,
        job: job::Id,
        to: replica::Key,
        transfer: Transfer,
        effects: &mut Vec<Effect>,
    ) {
        let (Some(open), Some(endpoint)) = (self.requests.get_mut(&job.0), self.servers.place(to))
        else {
            return;
        };
        let Some(from) = open.replica.filter(|_| transfer == Transfer::Kv) else {
            return;
        };
        open.move_target = Some(to);
        let version = |key| self.servers.version_of(key).cloned().unwrap_or_default();
        let line = Line::info("run_moving")
            .with("request", &open.id)
            .with("attempt", open.attempt)
            .with("from_version", version(from))
            .with("to", &endpoint.incarnation)
            .with("to_version", version(to))
            .with("age_ms", now.since(open.arrived_at).as_millis());
        effects.push(Effect::Log(line));
        effects.push(Effect::Flight {
            serial: job.0,
            command: Command::Move(endpoint),
        });
    }

    /// Sends a request to a replica.
    fn start(&mut self, now: Time, job: job::Id, replica: replica::Key, effects: &mut Vec<Effect>) {
        let Some(open) = self.requests.get(&job.0) else {
            return;
        };
        let cache_source = self.scheduler.cache_source(now, job, replica);
        let Some(endpoint) = self.servers.place(replica) else {
            // The server left in the same step: the request is placed again.
            return self.with_scheduler(now, effects, |scheduler, out| {
                scheduler.attempt_ended(now, job, job::End::NotSent, 0, out);
            });
        };
        if open.is_bound_to_version() && self.may_have_restarted(replica) {
            let refusal = unknown_version_refusal();
            return self.cancel_and_refuse(now, job.0, refusal, effects);
        }
        if self.is_too_late(now, open) {
            return self.cancel_and_refuse(now, job.0, leaving_refusal(ABOUT_TO_END), effects);
        }
        let Some(open) = self.requests.get_mut(&job.0) else {
            return;
        };
        open.attempt += 1;
        open.replica = Some(replica);
        open.sent_at = Some(now);
        open.attempt_began_at = None;
        open.move_target = None;
        let version = self
            .servers
            .version_of(replica)
            .cloned()
            .unwrap_or_default();
        open.runner = Some(Runner::new(&endpoint, version.clone(), now));
        let awaits_record = self.record_version(now, job.0, version.clone());
        let record_timeout = awaits_record.then(|| self.record_timeout(job.0));
        let bound_to_process = self.is_bound_to_process(job.0);
        let Some(open) = self.requests.get(&job.0) else {
            return;
        };
        let rank = open.job.terms.rank;
        let urgency = (MOST_URGENT + rank.saturating_mul(RANK_STEP)).min(LEAST_URGENT);
        let is_model = open.job.kind == job::Kind::Model;
        let cache_source = cache_source.and_then(|key| self.servers.place(key));
        let start = Start {
            attempt: open.attempt,
            account: open.account.clone(),
            time_left: open.deadline.since(now),
            silence_timeout: open.silence_timeout,
            stream: open.repeat.is_stream(),
            repeatable: open.repeat.is_repeatable(),
            record_timeout,
            bound_to_process,
            is_model_call: is_model,
            urgency: is_model.then_some(urgency),
            tokens_per_event: open.tokens_per_event,
            fetch_from: cache_source.map(|endpoint| endpoint.address),
            limited: self.limits.is_limited(&endpoint.incarnation),
            endpoint,
        };
        let (is_first, pool) = (open.attempt == 1, open.job.pool);
        let list_age = now.since(self.servers.position().confirmed_at);
        let line = Line::info("attempt_started")
            .with("request", &open.id)
            .with("service", &open.service)
            .with("attempt", open.attempt)
            .with("replica", &start.endpoint.incarnation)
            .with("version", version)
            .with("fetch", start.fetch_from.as_deref().unwrap_or_default())
            .with("waited_ms", now.since(open.arrived_at).as_millis())
            .with("left_ms", start.time_left.as_millis())
            .with("list_age_ms", list_age.as_millis());
        let line = match self.servers.missing_since(&start.endpoint.incarnation) {
            Some(since) => line.with("missing_ms", now.since(since).as_millis()),
            None => line,
        };
        // First attempts are routine; retries are logged with the state of the pool.
        let line = match is_first {
            true => line.routine(),
            false => with_pool(line, &self.scheduler.snapshot(now, pool)),
        };
        effects.push(Effect::Log(line));
        effects.push(Effect::Flight {
            serial: job.0,
            command: Command::Start(start),
        });
    }

    /// Ends an open request with a final refusal, which states that it did not run only if no replica can have run it.
    pub(crate) fn refuse(
        &mut self,
        now: Time,
        serial: u64,
        refusal: Refusal,
        effects: &mut Vec<Effect>,
    ) {
        self.close_refused(now, serial, refusal, None, effects);
    }

    /// Ends an open request with a final refusal, wherever it waits or runs.
    pub(crate) fn cancel_and_refuse(
        &mut self,
        now: Time,
        serial: u64,
        refusal: Refusal,
        effects: &mut Vec<Effect>,
    ) {
        self.with_scheduler(now, effects, |scheduler, out| {
            scheduler.cancel(now, job::Id(serial), out);
        });
        self.refuse(now, serial, refusal, effects);
    }

    /// Ends a request that the plan refuses.
    pub(crate) fn refuse_shed(
        &mut self,
        now: Time,
        serial: u64,
        refusal: Refusal,
        shed: Shed,
        effects: &mut Vec<Effect>,
    ) {
        self.close_refused(now, serial, refusal, Some(shed), effects);
    }

    fn close_refused(
        &mut self,
        now: Time,
        serial: u64,
        mut refusal: Refusal,
        shed: Option<Shed>,
        effects: &mut Vec<Effect>,
    ) {
        let Some(open) = self.close_request(serial, effects) else {
            return;
        };
        if open.may_have_run() {
            refusal.verdict = Verdict::MayHaveRun;
        }
        if refusal.verdict == Verdict::NotRun && refusal.retry_after.is_some() {
            let work = self.work.entry(open.service.clone()).or_default();
            work.record_refused(open.work);
        }
        let line = Line::info("request_refused")
            .with("request", &open.id)
            .with("route", &open.route)
            .with("account", open.account.unwrap_or_default())
            .with("age_ms", now.since(open.arrived_at).as_millis())
            .with("attempts", open.attempt);
        let answer = match open.failure_status {
            Some(status) => format!("replica:{status}"),
            None => String::from("own"),
        };
        let line = line.with("service", &open.service).with("answer", answer);
        let line = with_pool(line, &self.scheduler.snapshot(now, open.job.pool));
        let line = match shed {
            Some(shed) => line
                .with("plan", "shed")
                .with("level", shed.level)
                .with("work", shed.work),
            None => line,
        };
        self.send_refusal(serial, refusal, line, effects);
    }
}

/// Adds the state of the pool to a log line.
fn with_pool(line: Line, pool: &Snapshot) -> Line {
    line.with("members", pool.members)
        .with("open", pool.open)
        .with("ejected", pool.ejected)
        .with("probing", pool.probing)
        .with("at_limit", pool.at_limit)
        .with("throttled", pool.throttled)
        .with("running", pool.running)
        .with("waiting", pool.waiting)
        .with("stranded", pool.stranded)
        .with("held", pool.held)
}
