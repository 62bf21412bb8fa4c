//! Handlers of attempt reports, cancellations, disconnects and request timeouts.

use clock::Span;
use clock::Time;
use policy::job;
use policy::job::End;
use policy::replica;
use request::id::Id;
use smol_str::SmolStr;
use verdict::Reason;
use verdict::Refusal;

use crate::attempt::Report;
use crate::effect::Command;
use crate::effect::Effect;
use crate::entry::Entry;
use crate::flight::Flight;
use crate::line::Line;

impl Entry {
    /// Processes a report on the current attempt; reports on earlier attempts are ignored.
    pub(crate) fn attempt_reported(
        &mut self,
        now: Time,
        serial: u64,
        attempt: u32,
        report: Report,
        effects: &mut Vec<Effect>,
    ) {
        let Some(flight) = self.flights.get_mut(&serial) else {
            return;
        };
        if flight.attempt != attempt {
            return;
        }
        match report {
            Report::Head => {
                flight.accepted = true;
                flight.first_token.get_or_insert(now);
                self.scheduler.first_token(now, job::Id(serial));
            }
            Report::Tokens { tokens, worst_gap } => {
                flight.worst_gap = flight.worst_gap.max(worst_gap);
                flight.tokens += u64::from(tokens);
                self.scheduler.progressed(now, job::Id(serial), tokens);
            }
            Report::Moved {
                transfer,
                recomputed,
            } => {
                flight.recomputed += u64::from(recomputed);
                let line = Line::info("request_moved")
                    .with("request", flight.origin)
                    .with("how", format_args!("{transfer:?}"))
                    .with("recomputed", recomputed);
                effects.push(Effect::Log(line));
            }
            Report::PauseRequested { pause } => {
                if let Some(replica) = flight.replica {
                    self.pause_replica(now, replica, pause, effects);
                }
            }
            Report::AttachFailed => self.attach_failed(now, serial, effects),
            Report::Ended { end, tokens } => self.attempt_ended(now, serial, end, tokens, effects),
        }
    }

    /// Sends a replica nothing for the time that it asked for.
    fn pause_replica(
        &mut self,
        now: Time,
        replica: replica::Key,
        pause: Span,
        effects: &mut Vec<Effect>,
    ) {
        if let Some(instance) = self.backends.instance(replica) {
            let line = Line::info("backend_paused")
                .with("backend", &instance.incarnation)
                .with("pause_ms", pause.as_millis());
            effects.push(Effect::Log(line));
        }
        self.with_scheduler(now, effects, |scheduler, out| {
            scheduler.replica_paused(now, replica, pause, out);
        });
    }

    /// Handles the end of an attempt: the request is done, or the scheduler decides how to continue.
    fn attempt_ended(
        &mut self,
        now: Time,
        serial: u64,
        end: End,
        tokens: u32,
        effects: &mut Vec<Effect>,
    ) {
        let Some(flight) = self.flights.get_mut(&serial) else {
            return;
        };
        flight.tokens += u64::from(tokens);
        flight.replica = None;
        if end == End::NotStarted {
            flight.may_have_run = flight.may_have_run_before;
        }
        if matches!(end, End::Finished | End::Left) {
            effects.push(Effect::Log(finished_line(now, flight)));
            if let Some(flight) = self.flights.remove(&serial) {
                self.record_answered(now, &flight);
            }
        }
        let job = job::Id(serial);
        self.with_scheduler(now, effects, |scheduler, out| {
            scheduler.attempt_ended(now, job, end, tokens, out);
        });
    }

    /// Handles a failed resumption: the prompt and the text so far are run again.
    fn attach_failed(&mut self, now: Time, serial: u64, effects: &mut Vec<Effect>) {
        let Some(flight) = self.flights.get_mut(&serial) else {
            return;
        };
        let adopted = flight.replica.take().is_some();
        if adopted {
            let job = job::Id(serial);
            self.with_scheduler(now, effects, |scheduler, out| {
                scheduler.attempt_ended(now, job, End::NotStarted, 0, out);
            });
        } else {
            self.schedule(now, serial, effects);
        }
    }

    /// Handles the loss of a caller's connection.
    ///
    /// A plain call that was dispatched runs to completion, so that its outcome becomes known. The
    /// engine keeps a model stream for the resume window, in case the caller reconnects.
    pub(crate) fn caller_gone(&mut self, now: Time, serial: u64, effects: &mut Vec<Effect>) {
        let Some(flight) = self.flights.get(&serial) else {
            return;
        };
        if flight.job.kind == job::Kind::Plain && flight.may_have_run {
            return;
        }
        self.drop_flight(now, serial, Command::Drop, effects);
    }

    /// Answers a caller's request to cancel one of its own requests.
    pub(crate) fn cancel_requested(
        &mut self,
        now: Time,
        call: u64,
        key: Option<SmolStr>,
        request: &str,
        effects: &mut Vec<Effect>,
    ) {
        let refusal = self.cancel(now, key.as_ref(), request, effects).err();
        effects.push(Effect::CancelAnswer { call, refusal });
    }

    /// Cancels a request if it is open here and belongs to the account of the key.
    fn cancel(
        &mut self,
        now: Time,
        key: Option<&SmolStr>,
        request: &str,
        effects: &mut Vec<Effect>,
    ) -> Result<(), Refusal> {
        let account = self.account_of(key)?;
        let found = Id::parse(request).and_then(|id| self.find(id, &account));
        let Some(serial) = found else {
            // The same answer for missing and foreign requests, so as not to reveal the latter.
            return Err(Refusal::not_run(
                Reason::Unknown,
                "no such request is open here",
            ));
        };
        let refusal = Refusal::not_run(Reason::Cancelled, "cancelled by its caller");
        let job = job::Id(serial);
        self.with_scheduler(now, effects, |scheduler, out| {
            scheduler.cancel(now, job, out)
        });
        self.refuse(now, serial, refusal, effects);
        Ok(())
    }

    /// Returns the serial of an account's open request.
    fn find(&self, id: Id, account: &str) -> Option<u64> {
        let mut flights = self.flights.values();
        flights
            .find(|flight| (flight.origin == id || flight.id == id) && flight.account == account)
            .map(|flight| flight.id.serial)
    }

    /// Closes a request without a final answer to its caller; the engine keeps its stream.
    pub(crate) fn drop_flight(
        &mut self,
        now: Time,
        serial: u64,
        command: Command,
        effects: &mut Vec<Effect>,
    ) {
        let Some(flight) = self.flights.remove(&serial) else {
            return;
        };
        let line = Line::debug("request_left").with("request", flight.origin);
        effects.push(Effect::Log(line));
        effects.push(Effect::Flight { serial, command });
        let job = job::Id(serial);
        self.with_scheduler(now, effects, |scheduler, out| {
            scheduler.cancel(now, job, out)
        });
    }

    /// Refuses requests that exceed the request timeout.
    pub(crate) fn flights_tick(&mut self, now: Time, effects: &mut Vec<Effect>) {
        let limit = self.settings.request_timeout;
        // Serials increase with arrival time, so the first that is in time ends the search.
        while let Some((serial, flight)) = self.flights.first_key_value() {
            if now.since(flight.arrived) < limit {
                return;
            }
            let serial = *serial;
            let refusal = Refusal::not_run(Reason::TimedOut, "the time for a request has passed");
            self.refuse(now, serial, refusal, effects);
            let job = job::Id(serial);
            self.with_scheduler(now, effects, |scheduler, out| {
                scheduler.cancel(now, job, out)
            });
        }
    }
}

/// Returns the log line of a finished request.
fn finished_line(now: Time, flight: &Flight) -> Line {
    let first_token = flight.first_token.unwrap_or(now).since(flight.arrived);
    Line::info("request_done")
        .with("request", flight.origin)
        .with("account", &flight.account)
        .with("deployment", &flight.deployment)
        .with("first_token_ms", first_token.as_millis())
        .with("total_ms", now.since(flight.arrived).as_millis())
        .with("tokens", flight.tokens)
        .with("recomputed", flight.recomputed)
        .with("moves", flight.moves)
}
