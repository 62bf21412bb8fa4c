//! Validation and admission of arriving requests.

use std::rc::Rc;

use clock::Span;
use clock::Time;
use line::Line;
use policy::charge::Charge;
use policy::job;
use policy::job::Job;
use policy::rendezvous;
use rand::RngExt;
use smol_str::SmolStr;
use verdict::Reason;
use verdict::Refusal;

use crate::arrival::Arrival;
use crate::arrival::Prompt;
use crate::catalog::Account;
use crate::catalog::Catalog;
use crate::catalog::Repeat;
use crate::catalog::Route;
use crate::charging::Grant;
use crate::effect::Command;
use crate::effect::Effect;
use crate::gateway::Gateway;
use crate::request::Request;
use crate::route_shares;
use crate::stop::ABOUT_TO_END;
use crate::stop::leaving_refusal;
use crate::streams;
use crate::versions::RETURN_WINDOW;
use crate::work;

/// Retry delay for callers of an entry without a configuration: about the time to read one.
const NOT_READY_RETRY: Span = Span::from_millis(300);
/// Tokens that a request without a prompt counts as in the scheduler.
const PLAIN_CALL_TOKENS: u32 = 1;
/// Name of the scheduler account for requests on public routes.
const PUBLIC_ACCOUNT: &str = "";
/// Fraction of a request's remaining time after which a silent replica is given up for another. The rest is
/// enough to be served there within the deadline.
const SILENCE_FRACTION: f64 = 0.4;
/// Longest silence within a stream, in multiples of the target for its pauses. Callers give up after eight.
const MAX_STREAM_PAUSES: u64 = 3;

impl Gateway {
    /// Opens and charges a request, or refuses it.
    pub(crate) fn handle_arrival(
        &mut self,
        now: Time,
        serial: u64,
        arrival: &Arrival,
        effects: &mut Vec<Effect>,
    ) {
        match self.validate(now, serial, arrival) {
            Ok(request) => {
                log_continuation(arrival, effects);
                self.timeouts.insert((request.deadline, serial));
                let continues = arrival.continuation.is_some() && request.repeat.is_resumable();
                self.requests.insert(serial, request);
                match continues {
                    true => self.find_version(now, serial, effects),
                    false => self.begin_charge(now, serial, effects),
                }
            }
            Err(refusal) => {
                let line = self.early_refusal_line(now, arrival);
                self.send_refusal(serial, refusal, line, effects);
            }
        }
    }

    /// Queues a request whose charge was granted.
    pub(crate) fn admit(
        &mut self,
        now: Time,
        serial: u64,
        grant: Option<Grant>,
        effects: &mut Vec<Effect>,
    ) {
        let Some(request) = self.requests.get_mut(&serial) else {
            return;
        };
        request.grant = grant;
        let (job, service) = (request.job, request.service.clone());
        let shared_parts = Rc::clone(&request.shared_parts);
        if let Some(prompt) = request.prompt.take() {
            request.work = work::request_work(&prompt);
            let work = self.work.entry(service).or_default();
            work.record_arrived(request.work);
        }
        if self.shed(now, serial, effects) {
            return;
        }
        self.with_scheduler(now, effects, |scheduler, out| {
            scheduler.offer_prompt(now, job, shared_parts, out);
        });
    }

    /// Returns the log line for a request that is refused before it is queued.
    fn early_refusal_line(&self, now: Time, arrival: &Arrival) -> Line {
        let version = self.catalog.as_ref().map_or(0, |catalog| catalog.version);
        Line::info("request_refused")
            .with("request", &arrival.id)
            .with("path", &arrival.path)
            .with("version", version)
            .with(
                "version_age_ms",
                now.since(self.configured_since).as_millis(),
            )
    }

    /// Cancels a request whose caller disconnected.
    pub(crate) fn handle_disconnect(&mut self, now: Time, serial: u64, effects: &mut Vec<Effect>) {
        let Some(request) = self.close_request(serial, effects) else {
            return;
        };
        self.with_scheduler(now, effects, |scheduler, out| {
            scheduler.cancel(now, job::Id(serial), out);
        });
        let line = Line::info("caller_gone")
            .with("request", &request.id)
            .with("age_ms", now.since(request.arrived_at).as_millis())
            .with("attempt", request.attempt);
        effects.push(Effect::Log(line));
    }

    /// Removes an open request and refunds its charge if it didn't run.
    pub(crate) fn close_request(
        &mut self,
        serial: u64,
        effects: &mut Vec<Effect>,
    ) -> Option<Request> {
        let request = self.requests.remove(&serial)?;
        self.timeouts.remove(&(request.deadline, serial));
        self.charges.cancel(serial);
        if let Some(grant) = request.grant.filter(|_| !request.execution_started) {
            self.refund_grant(grant, effects);
        }
        Some(request)
    }

    /// Sends a refusal and logs it.
    pub(crate) fn send_refusal(
        &self,
        serial: u64,
        refusal: Refusal,
        line: Line,
        effects: &mut Vec<Effect>,
    ) {
        let retry = refusal.retry_after.map_or(0, Span::as_millis);
        let line = line
            .with("reason", refusal.reason)
            .with("verdict", refusal.verdict)
            .with("retry_ms", retry)
            .with("why", &refusal.message);
        effects.push(Effect::Log(line));
        effects.push(Effect::Flight {
            serial,
            command: Command::Refuse(refusal),
        });
    }

    /// Resolves a request's route and account, and builds its open state.
    fn validate(&mut self, now: Time, serial: u64, arrival: &Arrival) -> Result<Request, Refusal> {
        let Some(catalog) = self.catalog.clone() else {
            let refusal = Refusal::not_run(Reason::NotReady, "no configuration is known here yet");
            return Err(refusal.with_retry_after(NOT_READY_RETRY));
        };
        let route = catalog.route(&arrival.host, &arrival.path);
        let route = route.ok_or_else(|| Refusal::not_run(Reason::Unknown, "no route"))?;
        let limit = route.timeout.min(arrival.deadline.unwrap_or(route.timeout));
        if self.is_ending(now, &route.name, route.repeat, limit - arrival.read_time) {
            return Err(leaving_refusal(ABOUT_TO_END));
        }
        let account = authenticate(&catalog, route, arrival)?;
        let continuation = arrival.continuation.as_ref();
        let named_as = continuation.and_then(|stream| stream.began_as.as_ref());
        let account_name = account.map_or(PUBLIC_ACCOUNT, |account| account.name.as_str());
        let stream = streams::Key::new(account_name, named_as.unwrap_or(&arrival.id));
        // A caller that returns must get the service that began its stream.
        let drawn = match route.repeat.is_resumable() {
            true => stream.fraction(),
            false => self.random.random(),
        };
        let (service, is_redrawn) = self.draw_service(now, route, drawn, continuation.is_none());
        let (pool, canary) = self.select_pool(now, &service, &route.name);
        catalog.service(&service).ok_or_else(not_configured)?;
        let mut job = self.build_job(serial, route, account, &pool, arrival)?;
        if route.repeat.is_resumable() {
            job.terms.version = self.version_in_outage(now, &service, job.pool);
        }
        let charge = account.map(|account| Charge {
            name: rendezvous::identity(&account.name),
            cost: quota_cost(account, arrival),
        });
        let engine = catalog
            .service(&service)
            .and_then(|service| service.engine.as_ref());
        let arrived_at = now - arrival.read_time;
        let deadline = arrived_at + limit;
        Ok(Request {
            id: arrival.id.clone(),
            route: route.name.clone(),
            account: account.map(|account| account.name.clone()),
            work: 0,
            continues: arrival.continuation.is_some(),
            unshared_tokens: arrival.prompt.as_ref().map_or(0, work::unshared_tokens),
            service: service.clone(),
            canary,
            tokens_per_event: engine.map_or(1, |engine| engine.tokens_per_event),
            repeat: route.repeat,
            job,
            attempt: 0,
            replica: None,
            runner: None,
            move_target: None,
            arrived_at,
            deadline,
            silence_timeout: silence_timeout(route, deadline.since(now)),
            charge,
            grant: None,
            prompt: arrival.prompt.clone(),
            failure_status: None,
            sent_at: None,
            first_response_at: None,
            attempt_began_at: None,
            shared_parts: arrival
                .prompt
                .as_ref()
                .map_or_else(Rc::default, Prompt::shared_parts),
            is_redrawn,
            stream,
            version: None,
            record: None,
            returns_until: arrived_at + arrival.deadline.unwrap_or(route.timeout) + RETURN_WINDOW,
            execution_started: false,
        })
    }

    /// Draws a service for a request; returns also whether former shares of the route lead to another one. While nothing can
    /// be recorded, a new stream begins at the service for which it would be taken without a record.
    fn draw_service(
        &mut self,
        now: Time,
        route: &Route,
        drawn: f64,
        is_new: bool,
    ) -> (SmolStr, bool) {
        let service = route_shares::choose(&route.shares, drawn);
        if !route.repeat.is_resumable() {
            return (service, false);
        }
        let former = self.route_shares.draw(now, &route.name, drawn);
        let is_redrawn = former.iter().any(|former| *former != service);
        if !is_redrawn || !is_new || self.is_recording(now) {
            return (service, is_redrawn);
        }
        let oldest = former[0].clone();
        let is_on_route = route.shares.iter().any(|share| share.service == oldest);
        match is_on_route && former.iter().all(|former| *former == oldest) {
            true => (oldest, false),
            false => (service, true),
        }
    }

    /// Builds the scheduler's view of a request.
    fn build_job(
        &self,
        serial: u64,
        route: &Route,
        account: Option<&Account>,
        pool: &str,
        arrival: &Arrival,
    ) -> Result<Job, Refusal> {
        let name = account.map_or(PUBLIC_ACCOUNT, |account| account.name.as_str());
        let account = self.accounts.get(name).ok_or_else(not_configured)?;
        let pool = self.pools.get(pool).ok_or_else(not_configured)?;
        let prompt = arrival.prompt.as_ref();
        let reading = arrival.read_time;
        let limit = route.timeout.min(arrival.deadline.unwrap_or(route.timeout));
        let left = limit - reading;
        if left == Span::ZERO {
            return Err(Refusal::not_run(Reason::TimedOut, "its time is up"));
        }
        let kind = match prompt {
            Some(_) => job::Kind::Model,
            None => job::Kind::Plain,
        };
        Ok(Job {
            id: job::Id(serial),
            account: *account,
            pool: *pool,
            kind,
            prompt_tokens: prompt.map_or(PLAIN_CALL_TOKENS, |prompt| prompt.tokens),
            max_new_tokens: prompt.map_or(0, |prompt| prompt.max_new_tokens),
            prefix: prompt.map_or(0, |prompt| prompt.shared_prefix()),
            fingerprint: arrival.fingerprint,
            idempotent: route.repeat.is_repeatable(),
            first_token: route.target - reading,
            token_gap: route.pause.unwrap_or(route.target),
            terms: job::Terms {
                rank: route.rank,
                attempts: route.attempts.max(1),
                queue_timeout: left,
                version: None,
            },
        })
    }
}

/// Logs which stream a caller takes up again.
fn log_continuation(arrival: &Arrival, effects: &mut Vec<Effect>) {
    let Some(continuation) = &arrival.continuation else {
        return;
    };
    let line = Line::info("stream_continued")
        .with("request", &arrival.id)
        .with(
            "began_as",
            continuation.began_as.as_deref().unwrap_or_default(),
        )
        .with("last_event", &continuation.last_event);
    effects.push(Effect::Log(line));
}

fn not_configured() -> Refusal {
    Refusal::not_run(Reason::NoBackend, "the service is not configured")
}

/// Returns the account that a request's key belongs to; none on public routes.
fn authenticate<'a>(
    catalog: &'a Catalog,
    route: &Route,
    arrival: &Arrival,
) -> Result<Option<&'a Account>, Refusal> {
    if route.public || catalog.accounts.is_empty() {
        return Ok(None);
    }
    let account = arrival.key.as_deref().and_then(|key| catalog.account(key));
    let refusal = || Refusal::not_run(Reason::Unauthorized, "the key belongs to no account");
    account.map(Some).ok_or_else(refusal)
}

/// Returns the cost of a request in the unit of its account's quota.
fn quota_cost(account: &Account, arrival: &Arrival) -> u64 {
    if !account.in_tokens {
        return 1;
    }
    match &arrival.prompt {
        Some(prompt) => u64::from(prompt.tokens) + u64::from(prompt.max_new_tokens),
        None => account.plain_cost,
    }
}

/// Returns how long a replica may be silent before another one is tried; none if the request can't be
/// repeated.
fn silence_timeout(route: &Route, left: Span) -> Option<Span> {
    let pauses = || route.pause.map(|pause| pause.times(MAX_STREAM_PAUSES));
    if route.attempts < 2 {
        return None;
    }
    match route.repeat {
        Repeat::Idempotent => Some(left.scaled(SILENCE_FRACTION)),
        Repeat::Stream { resumable: true } => {
            let first = left.scaled(SILENCE_FRACTION);
            Some(pauses().map_or(first, |pauses| pauses.max(route.target.times(2)).min(first)))
        }
        _ => None,
    }
}
