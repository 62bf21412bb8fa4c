//! Arrivals: limits, shedding, admission and queueing.

use std::rc::Rc;

use clock::Span;
use clock::Time;
use verdict::Reason;
use verdict::Refusal;

use crate::admission;
use crate::affinity::Candidate;
use crate::decision::Decision;
use crate::fair::Cost;
use crate::fair::Entrant;
use crate::job;
use crate::job::Job;
use crate::replica;
use crate::scheduler::Scheduler;
use crate::scheduler::state::Open;
use crate::scheduler::state::Pool;
use crate::scheduler::state::Round;
use crate::scheduler::state::level;
use crate::scheduler::suspects::BLOCKED_PART;
use crate::size::Class;
use crate::version;

/// Minimum wait of a job, in which it is placed if there is room.
const MIN_WAIT: Span = Span::from_millis(1);

/// Maximum wait of a job when admission control is off.
const MAX_WAIT: Span = Span::from_seconds(3_600);

impl Scheduler {
    /// Queues the job in its pool or refuses it.
    pub(super) fn accept(
        &mut self,
        now: Time,
        job: Job,
        shared_parts: Rc<[u64]>,
        out: &mut Vec<Decision>,
    ) {
        let Some(cost) = self.estimate(&job) else {
            let refusal = Refusal::not_run(Reason::Unauthorized, "no such account");
            out.push(Decision::Refuse {
                job: job.id,
                refusal,
            });
            return;
        };
        if self.is_quarantined(now, job.fingerprint) {
            let refusal = Refusal::not_run(Reason::Quarantined, "it crashes backend servers");
            out.push(Decision::Refuse {
                job: job.id,
                refusal,
            });
            return;
        }
        if let Some(wait) = self.admit_parts(now, job.id, &shared_parts) {
            let refusal =
                Refusal::not_run(Reason::Quarantined, BLOCKED_PART).with_retry_after(wait);
            out.push(Decision::Refuse {
                job: job.id,
                refusal,
            });
            return;
        }
        let output = self.expected_output(&job).unwrap_or(0);
        let tokens = u64::from(job.prompt_tokens) + u64::from(output);
        if let Err(after) = self.limits.admit(now, job.account, tokens) {
            let refusal = Refusal::not_run(Reason::OverLimit, "the account is over its limit");
            let refusal = refusal.with_retry_after(self.jittered(after));
            out.push(Decision::Refuse {
                job: job.id,
                refusal,
            });
            return;
        }
        let refused = self.open_job(now, job, shared_parts, cost, tokens);
        if let Err((reason, message)) = refused {
            self.refuse(now, job.id, reason, message, out);
        }
    }

    /// Returns the weighted cost of prompt and expected output, or `None` for an unknown account.
    pub(super) fn estimate(&self, job: &Job) -> Option<Cost> {
        let output = self.expected_output(job)?;
        Some(self.cost(job.prompt_tokens, output))
    }

    fn expected_output(&self, job: &Job) -> Option<u32> {
        let account = self.accounts.get(&job.account)?;
        Some(match job.kind {
            job::Kind::Model => account.estimate.expect(job.max_new_tokens),
            job::Kind::Plain => 0,
        })
    }

    pub(super) fn cost(&self, prompt: u32, output: u32) -> Cost {
        (u64::from(prompt) + u64::from(output) * self.settings.fair.output_weight).max(1)
    }

    fn open_job(
        &mut self,
        now: Time,
        job: Job,
        shared_parts: Rc<[u64]>,
        cost: Cost,
        tokens: Cost,
    ) -> Result<(), (Reason, &'static str)> {
        self.refresh_division(now, job.pool);
        let (allowed, predicted) = self.register(now, job, cost, tokens);
        if let Some(open) = self.open.get_mut(&job.id) {
            open.shared_parts = shared_parts;
        }
        self.admit(now, &job, allowed, predicted)?;
        self.enqueue(now, job.id, false);
        Ok(())
    }

    /// Registers the job as open; returns the time allowed until its first token and the predicted wait.
    fn register(&mut self, now: Time, job: Job, cost: Cost, tokens: Cost) -> (Span, Span) {
        let sizes = self.settings.size;
        let class = self.pool_mut(job.pool).classes.classify(&sizes, cost);
        let allowed = self.allowed(&job);
        let yields = self.record_offer(now, &job, cost);
        let predicted = self.predicted_wait(now, &job, class, yields);
        self.open.insert(
            job.id,
            Open {
                job,
                class,
                cost,
                tokens,
                first_token_due: now + allowed,
                place: None,
                start_deadline: now,
                borrows_from: now,
                yields,
                replica: None,
                started: now,
                last_token_at: now,
                round: Round::default(),
                outstanding: 0,
                streaming: false,
                answered_at: None,
                is_proven: false,
                shared_parts: Rc::default(),
                moved: false,
                generated: 0,
                may_have_run: false,
                claim: None,
                tried: Vec::new(),
                interrupted_at: None,
                returned: false,
                withheld_at: None,
                interruptions: 0,
                backoff: Span::ZERO,
                sent: 0,
                queue_deadline: now + job.terms.queue_timeout,
                predicted,
            },
        );
        (allowed, predicted)
    }

    /// Records the job as offered and returns whether it gives way.
    fn record_offer(&mut self, now: Time, job: &Job, cost: Cost) -> bool {
        let config = self.settings.contention;
        let spec = self.accounts.get(&job.account).map(|account| &account.spec);
        let (weight, level) = spec.map_or((1, 0), |spec| (spec.weight, level(spec, job)));
        let Some(pool) = self.pools.get_mut(&job.pool) else {
            return false;
        };
        pool.offered
            .record(&config, now, level, job.account, weight, cost);
        pool.offered.yields(&config, now, level, job.account)
    }

    /// Registers a job that runs already and whose caller holds the head of its answer.
    pub(super) fn register_running(&mut self, now: Time, job: Job, replica: replica::Key) {
        let Some(cost) = self.estimate(&job) else {
            return;
        };
        let output = self.expected_output(&job).unwrap_or(0);
        let tokens = u64::from(job.prompt_tokens) + u64::from(output);
        self.limits.take_over(job.account, tokens);
        self.register(now, job, cost, tokens);
        self.start(now, job.id, replica);
        if let Some(open) = self.open.get_mut(&job.id) {
            open.streaming = true;
        }
        self.include_in_wave(now, replica);
    }

    /// Checks whether the job may wait.
    fn admit(
        &mut self,
        now: Time,
        job: &Job,
        allowed: Span,
        predicted: Span,
    ) -> Result<(), (Reason, &'static str)> {
        let settings = self.settings;
        let Some((class, cost)) = self.open.get(&job.id).map(|open| (open.class, open.cost)) else {
            return Ok(());
        };
        let Some(account) = self.accounts.get(&job.account) else {
            return Ok(());
        };
        let pool = self.pools.get(&job.pool);
        let has_version = pool.is_none_or(|pool| self.has_version(pool, job.terms.version));
        let Some(pool) = self.pools.get_mut(&job.pool) else {
            return Ok(());
        };
        if pool.members.is_empty() {
            return Err((Reason::NoBackend, "no backend server"));
        }
        if !has_version {
            return Err((
                Reason::NoBackend,
                "no backend server of the stream's version",
            ));
        }
        let rate = pool.service.drain_rate(pool.running);
        pool.gate.offer(
            &settings.brownout,
            now,
            job.account,
            &account.spec,
            cost,
            rate,
        );
        if predicted == Span::ZERO {
            return Ok(());
        }
        if settings.admission.enabled && pool.queue.len() >= settings.admission.max_waiting {
            return Err((Reason::Overloaded, "the queue is full"));
        }
        let slack = allowed - pool.service.first_token_time(class, job.prompt_tokens);
        let backlog = admission::wait_time(pool.queue.cost(), rate);
        let idle = pool
            .queue
            .waiting_jobs(level(&account.spec, job), job.account)
            == 0;
        if settings.brownout.enabled
            && backlog > slack.scaled(settings.brownout.pressure)
            && !pool.gate.admits(job.account, idle)
        {
            return Err((Reason::Overloaded, "shed under overload"));
        }
        if settings.admission.enabled && predicted > slack.scaled(settings.admission.wait_share) {
            return Err((Reason::Overloaded, "the latency target can't be met"));
        }
        Ok(())
    }

    /// Returns the time that a job has for its first token.
    fn allowed(&self, job: &Job) -> Span {
        let service = self.pools.get(&job.pool).map(|pool| &pool.service);
        service.map_or(job.first_token, |service| {
            service.allowed_time(&self.settings.admission, job.first_token, job.prompt_tokens)
        })
    }

    /// Predicts the time in the queue; zero if the job can start at once.
    fn predicted_wait(&self, now: Time, job: &Job, class: Class, yields: bool) -> Span {
        let Some(pool) = self.pools.get(&job.pool) else {
            return Span::ZERO;
        };
        let version = job.terms.version;
        if self.has_room(now, pool, class, version, yields) {
            return Span::ZERO;
        }
        let Some(account) = self.accounts.get(&job.account) else {
            return Span::ZERO;
        };
        let ahead =
            pool.queue
                .cost_ahead(level(&account.spec, job), job.account, account.spec.weight);
        let rate = pool.service.drain_rate(pool.running);

        // Even the next in line waits until a running job ends.
        let wait = admission::wait_time(ahead, rate).max(self.throttled_wait(now, pool, version));
        wait.max(Span::from_millis(1))
    }

    /// Returns whether a job of the class can start at once, on one version if its stream has begun there.
    fn has_room(
        &self,
        now: Time,
        pool: &Pool,
        class: Class,
        version: Option<version::Key>,
        yields: bool,
    ) -> bool {
        if pool.full || !self.is_queue_bypassed(now, pool, version) {
            return false;
        }
        let may_own = !yields || self.has_spare_slots(now, pool);
        let lanes = self.lanes(now, pool);
        let anywhere = class == Class::Short || version.is_some();
        let fits = |candidate: &Candidate| anywhere || lanes.contains(&candidate.key);
        self.candidates(now, pool, version).iter().any(|candidate| {
            let owns = !self.would_borrow(now, candidate)
                && (may_own || self.is_mostly_free(now, candidate));
            candidate.open && fits(candidate) && owns
        })
    }

    /// Removes a job from its queue for any reason but its start.
    pub(super) fn unqueue(&mut self, id: job::Id) {
        let Some(open) = self.open.get_mut(&id) else {
            return;
        };
        let Some(pool) = self.pools.get_mut(&open.job.pool) else {
            return;
        };
        pool.stranded.remove(&id);
        if let Some(place) = open.place.take() {
            pool.queue.remove(place);
        }
    }

    /// Queues an open job; with `front`, ahead of its account's others.
    pub(super) fn enqueue(&mut self, now: Time, id: job::Id, front: bool) {
        let settings = self.settings;
        let job = self.open.get(&id).map(|open| open.job);
        let pause = job.map_or(Span::ZERO, |job| self.pause_of(now, &job));
        let Some(open) = self.open.get_mut(&id) else {
            return;
        };
        let Some(pool) = self.pools.get_mut(&open.job.pool) else {
            return;
        };
        let spec = self
            .accounts
            .get(&open.job.account)
            .map(|account| &account.spec);
        let entrant = Entrant {
            id,
            account: open.job.account,
            weight: spec.map_or(1, |spec| spec.weight),
            priority: spec.map_or(0, |spec| level(spec, &open.job)),
            class: open.class,
            cost: open.cost,
        };
        let place = match front {
            true => pool.queue.push_front(&entrant),
            false => pool.queue.push(&entrant),
        };
        open.place = Some(place);
        self.expiry.remove(&(open.start_deadline, id));
        open.start_deadline = match (open.streaming, settings.admission.enabled) {
            // The caller already reads the answer: the target for the first token is behind it.
            (true, _) => now + settings.placement.resume_timeout,
            (false, true) => last_start(
                now,
                open.first_token_due,
                pool.service
                    .first_token_time(open.class, open.job.prompt_tokens),
            ),
            (false, false) => now + MAX_WAIT,
        };
        // Whatever is predicted, a job is given up only after one attempt to place it. Predictions learnt
        // in an overload would otherwise refuse all jobs beside idle replicas for good, since nothing would
        // run that could correct them.
        open.start_deadline = open.start_deadline.min(open.queue_deadline);
        if now + pause > open.start_deadline {
            // No replica accepts it in time: it is refused at once.
            open.start_deadline = now;
        }
        open.start_deadline = open.start_deadline.max(now + MIN_WAIT);
        open.borrows_from = match open.streaming {
            true => now,
            false => {
                let wait = open.start_deadline.since(now);
                now + wait.scaled(settings.division.borrowing_wait)
            }
        };
        self.expiry.insert((open.start_deadline, id));
        let pool = open.job.pool;
        self.mark_pool(pool);
    }
}

/// Returns the latest start at which the first token still arrives in time.
fn last_start(now: Time, deadline: Time, first_token: Span) -> Time {
    let remaining = deadline.since(now);
    now + (remaining - first_token)
}
