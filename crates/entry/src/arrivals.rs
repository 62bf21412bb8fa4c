//! Admission of requests: authentication, grants, permits and resumption.

use clock::Span;
use clock::Time;
use config::deployment::Deployment;
use config::deployment::Grant;
use policy::job;
use policy::job::Job;
use request::id::Id;
use request::resume::Resume;
use smol_str::SmolStr;
use smol_str::ToSmolStr;
use verdict::Reason;
use verdict::Refusal;

use crate::arrival::Arrival;
use crate::arrival::Work;
use crate::arrival::leaving_refusal;
use crate::attempt::Endpoint;
use crate::effect::Command;
use crate::effect::Effect;
use crate::entry::Entry;
use crate::flight::Flight;
use crate::line::Line;

/// Retry delay for callers of a leaving entry; they then ask for other addresses.
pub(crate) const LEAVING_RETRY_DELAY: Span = Span::from_millis(100);

/// Retry delay for callers of an entry without a current configuration.
const NOT_READY_RETRY_DELAY: Span = Span::from_millis(500);

/// Prompt tokens that a plain call is counted as.
const PLAIN_TOKENS: u32 = 1;

impl Entry {
    /// Admits a request or refuses it.
    pub(crate) fn request_arrived(
        &mut self,
        now: Time,
        serial: u64,
        arrival: Arrival,
        effects: &mut Vec<Effect>,
    ) {
        let flight = match self.admit(now, serial, &arrival) {
            Ok(flight) => flight,
            Err(refusal) => {
                let refusal = correct_arrival_verdict(&arrival, refusal);
                return self.refuse_arrival(serial, refusal, effects);
            }
        };
        if let Some(signed) = &arrival.resume {
            return self.resume_flight(now, flight, signed, arrival.offset, effects);
        }
        self.begin_journal(now, &flight);
        let non_idempotent = !flight.job.idempotent;
        self.flights.insert(serial, flight);
        if non_idempotent || arrival.idempotency_key.is_some() || arrival.ticket.is_some() {
            self.request_permit(now, serial, &arrival, effects);
        } else {
            self.schedule(now, serial, effects);
        }
    }

    /// Starts the journal of a request, under the id that its caller knows.
    fn begin_journal(&mut self, now: Time, flight: &Flight) {
        let request = flight.origin.to_smolstr();
        self.journal
            .begin(now, &request, &flight.account, &flight.deployment);
    }

    /// Passes a request to the scheduler.
    pub(crate) fn schedule(&mut self, now: Time, serial: u64, effects: &mut Vec<Effect>) {
        let Some(flight) = self.flights.get_mut(&serial) else {
            return;
        };
        flight.pending_permit = None;
        let job = flight.job;
        self.with_scheduler(now, effects, |scheduler, out| {
            scheduler.offer(now, job, out)
        });
    }

    /// Refuses an open request and closes it.
    pub(crate) fn refuse(
        &mut self,
        now: Time,
        serial: u64,
        refusal: Refusal,
        effects: &mut Vec<Effect>,
    ) {
        let Some(flight) = self.flights.remove(&serial) else {
            return;
        };
        let refusal = correct_verdict(&flight, refusal);
        self.record_refused(now, &flight, &refusal);
        let line = Line::info("request_refused")
            .with("request", flight.origin)
            .with("account", &flight.account)
            .with("deployment", &flight.deployment);
        self.send_refusal(serial, refusal, line, effects);
    }

    /// Refuses a request that was not admitted.
    fn refuse_arrival(&mut self, serial: u64, refusal: Refusal, effects: &mut Vec<Effect>) {
        let id = self.id_of(serial);
        let line = Line::info("request_refused").with("request", id);
        self.send_refusal(serial, refusal, line, effects);
    }

    /// Sends a refusal and logs it.
    fn send_refusal(
        &mut self,
        serial: u64,
        refusal: Refusal,
        line: Line,
        effects: &mut Vec<Effect>,
    ) {
        let line = line
            .with("reason", refusal.reason)
            .with("verdict", refusal.verdict);
        effects.push(Effect::Log(line));
        effects.push(Effect::Flight {
            serial,
            command: Command::Refuse(refusal),
        });
    }

    /// Returns the id of a request that arrived at this entry.
    pub(crate) fn id_of(&self, serial: u64) -> Id {
        Id {
            incarnation: self.identity.incarnation,
            serial,
        }
    }

    /// Checks account, deployment and grant, and builds the open request.
    fn admit(&mut self, now: Time, serial: u64, arrival: &Arrival) -> Result<Flight, Refusal> {
        if self.stop.is_stopping() {
            return Err(leaving_refusal());
        }
        if !self.is_ready(now) {
            let refusal = Refusal::not_run(
                Reason::NotReady,
                "this entry can't be sure yet of the newest configuration",
            );
            return Err(refusal.with_retry_after(NOT_READY_RETRY_DELAY));
        }
        let account = self.account_of(arrival.key.as_ref())?;
        let deployment = self.catalog.deployment(&arrival.deployment);
        let deployment = deployment.ok_or_else(|| unknown_deployment(&arrival.deployment))?;
        let grant = self.catalog.grant(&arrival.deployment, &account);
        let grant = grant.ok_or_else(forbidden)?;
        let job = self.job_of(serial, &account, deployment, grant, arrival)?;
        Ok(Flight {
            id: self.id_of(serial),
            origin: self.id_of(serial),
            account,
            deployment: arrival.deployment.clone(),
            job,
            attempt: 0,
            replica: None,
            pending_permit: None,
            may_have_run: false,
            may_have_run_before: false,
            accepted: false,
            arrived: now,
            started: None,
            worst_gap: Span::ZERO,
            hourly_micros: 0,
            replica_slots: 1,
            first_token: None,
            tokens: 0,
            recomputed: 0,
            moves: 0,
        })
    }

    /// Returns the account of a bearer key.
    pub(crate) fn account_of(&self, key: Option<&SmolStr>) -> Result<SmolStr, Refusal> {
        let account = key.and_then(|key| self.catalog.account_by_key(key));
        account.map(|account| account.name.clone()).ok_or_else(|| {
            Refusal::not_run(
                Reason::Unauthorized,
                "the key is missing or belongs to no account",
            )
        })
    }

    /// Builds the scheduler's job for a request.
    fn job_of(
        &self,
        serial: u64,
        account: &str,
        deployment: &Deployment,
        grant: &Grant,
        arrival: &Arrival,
    ) -> Result<Job, Refusal> {
        let keys = self
            .catalog
            .account_key(account)
            .zip(self.catalog.known_pool_key(&deployment.pool));
        let (account, pool) = keys.ok_or_else(forbidden)?;
        let (kind, prompt_tokens, max_new_tokens, prefix) = sizes_of(&arrival.work);
        let at_most_once = arrival.idempotency_key.is_some() || arrival.ticket.is_some();
        Ok(Job {
            id: job::Id(serial),
            account,
            pool,
            kind,
            prompt_tokens,
            max_new_tokens,
            prefix,
            fingerprint: arrival.fingerprint,
            idempotent: !at_most_once && is_idempotent(deployment, &arrival.work),
            first_token: Span::from_millis(grant.first_token_ms),
            token_gap: Span::from_millis(grant.token_gap_ms),
            terms: job::Terms::default(),
        })
    }

    /// Resumes a stream that began at another entry, or here before its connection broke.
    fn resume_flight(
        &mut self,
        now: Time,
        mut flight: Flight,
        signed: &str,
        offset: u64,
        effects: &mut Vec<Effect>,
    ) {
        let serial = flight.id.serial;
        let token: Option<Resume> = self.signers.resume.verify(signed);
        let token = token.filter(|token| {
            token.account == flight.account && token.deployment == flight.deployment
        });
        let Some(token) = token else {
            let refusal = Refusal::not_run(Reason::Forbidden, "the resume token isn't yours");
            return self.refuse_arrival(serial, refusal, effects);
        };
        flight.origin = token.request;
        self.begin_journal(now, &flight);
        flight.may_have_run = true;
        let attempt = flight.next_stream().attempt;
        flight.replica = self.backends.key_of(&token.incarnation);
        let line = Line::info("request_resumed")
            .with("request", flight.origin)
            .with("offset", offset)
            .with("replica", &token.incarnation);
        effects.push(Effect::Log(line));
        effects.push(Effect::Flight {
            serial,
            command: Command::Attach {
                attempt,
                stream: token.stream,
                endpoint: Endpoint {
                    address: token.address,
                    incarnation: token.incarnation,
                },
                base: token.base,
                account: flight.account.clone(),
            },
        });
        let (job, replica) = (flight.job, flight.replica);
        self.flights.insert(serial, flight);
        if let Some(replica) = replica {
            self.with_scheduler(now, effects, |scheduler, out| {
                scheduler.adopt(now, job, replica, out);
            });
        }
    }
}

/// Corrects the verdict of a refusal: "not run" only if no attempt can have run.
fn correct_verdict(flight: &Flight, mut refusal: Refusal) -> Refusal {
    if flight.may_have_run && refusal.verdict == verdict::Verdict::NotRun {
        refusal.verdict = verdict::Verdict::MayHaveRun;
    }
    refusal
}

/// Corrects the verdict of a refusal before admission: a request with a resume token ran before its
/// connection broke.
fn correct_arrival_verdict(arrival: &Arrival, mut refusal: Refusal) -> Refusal {
    if arrival.resume.is_some() {
        refusal.verdict = verdict::Verdict::MayHaveRun;
    }
    refusal
}

/// Returns the kind, prompt length, maximum new tokens and prefix hash of some work.
fn sizes_of(work: &Work) -> (job::Kind, u32, u32, u64) {
    match work {
        Work::Model {
            prompt_tokens,
            max_new_tokens,
            prefix,
        } => (job::Kind::Model, *prompt_tokens, *max_new_tokens, *prefix),
        Work::Plain { .. } => (job::Kind::Plain, PLAIN_TOKENS, 0, 0),
    }
}

/// Returns whether the deployment allows this work to run more than once.
fn is_idempotent(deployment: &Deployment, work: &Work) -> bool {
    match work {
        Work::Model { .. } => true,
        Work::Plain { method, path } => !deployment
            .non_idempotent
            .iter()
            .any(|pattern| pattern.matches(method, path)),
    }
}

/// Returns the refusal for an unknown deployment.
fn unknown_deployment(name: &SmolStr) -> Refusal {
    Refusal::not_run(Reason::Unknown, format!("no deployment is named {name}"))
}

/// Returns the refusal for an account without a grant.
fn forbidden() -> Refusal {
    Refusal::not_run(
        Reason::Forbidden,
        "the account may not call this deployment",
    )
}
