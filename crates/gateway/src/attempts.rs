//! Handles reports on the attempts of open requests.

use clock::Span;
use clock::Time;
use line::Line;
use policy::job;
use policy::speed::MEDIAN;
use smol_str::SmolStr;

use crate::attempt::End;
use crate::attempt::Report;
use crate::effect::Effect;
use crate::gateway::Gateway;
use crate::origins::Runner;
use crate::request::Request;

impl Gateway {
    /// Handles a report that an attempt made progress or ended.
    pub(crate) fn handle_attempt_report(
        &mut self,
        now: Time,
        serial: u64,
        attempt: u32,
        report: Report,
        effects: &mut Vec<Effect>,
    ) {
        let Some(open) = self.requests.get_mut(&serial) else {
            return;
        };
        if open.attempt != attempt {
            return;
        }
        let id = job::Id(serial);
        match report {
            Report::ResponseStarted => {
                let first_attempt = open.attempt == 1 && open.first_response_at.is_none();
                open.first_response_at.get_or_insert(now);
                open.attempt_began_at = Some(now);
                let (prompt_tokens, service) = (open.unshared_tokens, open.service.clone());
                let replica = open.replica;
                let elapsed = open.sent_at.map(|started| now.since(started));
                self.begin_stream(now, serial);
                self.record_start(now, serial);
                if let Some(elapsed) = elapsed.filter(|_| first_attempt) {
                    let speed = replica.map_or(MEDIAN, |key| self.scheduler.relative_speed(key));
                    self.work
                        .entry(service)
                        .or_default()
                        .observe_first_token(prompt_tokens, elapsed.scaled(speed));
                }
                self.scheduler.first_token(now, id);
            }
            Report::Progress { tokens } => self.scheduler.progressed(now, id, tokens),
            Report::Moved => self.complete_move(now, serial, effects),
            Report::Ended(end) => self.attempt_ended(now, serial, end, effects),
        }
    }

    /// Records that a run continues on the replica that it was moved to.
    fn complete_move(&mut self, now: Time, serial: u64, effects: &mut Vec<Effect>) {
        let Some(open) = self.requests.get_mut(&serial) else {
            return;
        };
        let Some(to) = open.move_target.take() else {
            return;
        };
        open.replica = Some(to);
        if let Some(endpoint) = self.servers.place(to) {
            let version = self.servers.version_of(to).cloned();
            open.runner = Some(Runner::new(&endpoint, version.unwrap_or_default(), now));
        }
        let line = Line::info("run_moved")
            .with("request", &open.id)
            .with("attempt", open.attempt)
            .with("to", self.servers.incarnation_of(to).unwrap_or_default());
        effects.push(Effect::Log(line));
    }

    /// Handles the end of an attempt: the request is finished, retried or refused.
    fn attempt_ended(&mut self, now: Time, serial: u64, end: End, effects: &mut Vec<Effect>) {
        self.record_answer(now, serial, &end);
        let Some(open) = self.requests.get_mut(&serial) else {
            return;
        };
        if let End::Failed { status } = end {
            open.failure_status = Some(status);
        }
        let replica = open.replica.take();

        // The source of the move ended; that is no crash of the target.
        let moving = open.move_target.take().is_some();
        let server = replica.and_then(|key| self.servers.incarnation_of(key));
        let line = end_line(&end)
            .with("request", &open.id)
            .with("attempt", open.attempt)
            .with("replica", server.unwrap_or_default())
            .with("age_ms", now.since(open.arrived_at).as_millis());
        let line = match end {
            End::Broken { .. } => with_blame(line, now, open),
            _ => line,
        };
        effects.push(Effect::Log(line));
        if !matches!(end, End::NotSent | End::Replaced | End::NotStarted) {
            self.record_start(now, serial);
        }
        if let Some(server) = replica.filter(|_| !moving) {
            self.record_failed_connection(now, server, &end, effects);
        }
        let mut longest_pause = Span::ZERO;
        let (outcome, tokens) = match end {
            End::Finished { tokens, pause, .. } => {
                longest_pause = pause;
                (job::End::Finished, tokens)
            }
            End::NotSent | End::Replaced => (job::End::NotSent, 0),
            End::NotStarted => (job::End::NotStarted, 0),
            End::Unrecorded => {
                self.avoid_records(now, serial);
                (job::End::Withheld, 0)
            }
            End::Interrupted if !moving => (job::End::Interrupted, 0),
            End::Broken { alive: false } if !moving => (job::End::Crashed, 0),
            End::Failed { .. } | End::Broken { .. } | End::Interrupted | End::TimedOut { .. } => {
                (job::End::Failed, 0)
            }
        };
        self.with_scheduler(now, effects, |scheduler, out| {
            scheduler.attempt_ended(now, job::Id(serial), outcome, tokens, out);
        });
        if outcome == job::End::Finished {
            self.finish_request(now, serial, tokens, longest_pause, effects);
        }
    }

    /// Counts a request towards usage when a replica starts to run it, at most once whatever its outcome.
    fn record_start(&mut self, now: Time, serial: u64) {
        let Some(open) = self.requests.get_mut(&serial) else {
            return;
        };
        if std::mem::replace(&mut open.execution_started, true) {
            return;
        }
        // A plain call starts when it is sent, a model call with its first token.
        let began = match open.repeat.is_stream() {
            true => now,
            false => open.sent_at.unwrap_or(now),
        };
        if let Some(account) = open.account.clone() {
            self.usage.record_start(began, &account);
        }
    }

    /// Closes a request whose whole answer was delivered.
    fn finish_request(
        &mut self,
        now: Time,
        serial: u64,
        tokens: u32,
        pause: Span,
        effects: &mut Vec<Effect>,
    ) {
        let Some(open) = self.close_request(serial, effects) else {
            return;
        };
        let took = now.since(open.arrived_at);
        self.durations.record(&open.route, took);
        let first = open.first_response_at.unwrap_or(now);
        let line = Line::info("request_done")
            .routine()
            .with("request", &open.id)
            .with("route", &open.route)
            .with("service", &open.service)
            .with("account", open.account.unwrap_or_default())
            .with("first_ms", first.since(open.arrived_at).as_millis())
            .with("total_ms", took.as_millis())
            .with("pause_ms", pause.as_millis())
            .with("tokens", tokens)
            .with("attempts", open.attempt);
        effects.push(Effect::Log(line));
    }
}

/// Adds to a log line what may have made the server crash: the shared parts of the prompt, and whether the answer began.
fn with_blame(line: Line, now: Time, open: &Request) -> Line {
    let parts: Vec<String> = open
        .shared_parts
        .iter()
        .map(|part| format!("{part:016x}"))
        .collect();
    let began = open
        .attempt_began_at
        .map(|began_at| now.since(began_at).as_millis().to_string());
    line.with("route", &open.route)
        .with("parts", parts.join(","))
        .with("began_ms", began.unwrap_or_default())
}

/// Returns the log line for an attempt's end.
fn end_line(end: &End) -> Line {
    let info = |event: &'static str| Line::info("attempt_ended").with("end", SmolStr::from(event));
    match end {
        End::Finished { status, .. } => Line::debug("attempt_ended")
            .with("end", "finished")
            .with("status", status),
        End::NotSent => info("not_sent"),
        End::Replaced => info("replaced"),
        End::NotStarted => info("not_started"),
        End::Failed { status } => info("failed").with("status", status),
        End::Interrupted => info("interrupted"),
        End::Broken { alive } => info("broken").with("alive", alive),
        End::Unrecorded => info("unrecorded"),
        End::TimedOut { waited } => info("silent").with("waited_ms", waited.as_millis()),
    }
}
