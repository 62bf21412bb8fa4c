//! First tokens and ends of attempts: latency samples, retries and closing of jobs.

use clock::Time;
use verdict::Reason;

use crate::decision::Decision;
use crate::job;
use crate::replica;
use crate::scheduler::Scheduler;
use crate::scheduler::state::Open;
use crate::scheduler::state::level;
use crate::speed::Pace;

/// Gaps between tokens in one latency sample of a replica.
const GAPS_PER_SAMPLE: u32 = 32;

impl Scheduler {
    /// Records the first token of an attempt.
    pub(super) fn record_first_token(&mut self, now: Time, id: job::Id) {
        let Some(open) = self.open.get_mut(&id) else {
            return;
        };
        let took = now.since(open.started);
        let had_streamed = std::mem::replace(&mut open.streaming, true);
        open.answered_at.get_or_insert(now);
        let (replica, pool) = (open.replica, open.job.pool);
        let replica = replica.and_then(|key| self.replicas.get_mut(&key));
        let version = replica.as_ref().map(|replica| replica.spec.version);
        open.job.terms.version = open.job.terms.version.or(version);
        let makes_room = replica.is_some_and(|replica| replica.pause.record_response(id));
        if makes_room {
            self.mark_pool(pool);
        }
        let Some(open) = self.open.get(&id) else {
            return;
        };
        if had_streamed || open.moved || open.tried.len() > 1 {
            return;
        }
        if let Some(pool) = self.pools.get_mut(&open.job.pool) {
            pool.service.record_first_token(
                &self.settings.admission,
                open.class,
                open.job.prompt_tokens,
                took,
            );
        }
    }

    /// Records tokens that arrived: the gap between them, and the work that is left.
    pub(super) fn record_progress(&mut self, now: Time, id: job::Id, tokens: u32) {
        let weight = self.settings.fair.output_weight;
        let Some(open) = self.open.get_mut(&id) else {
            return;
        };
        let gap = now.since(open.last_token_at).as_millis() as f64 / f64::from(tokens.max(1));
        let has_gap = open.streaming && open.last_token_at > open.started;
        open.last_token_at = now;
        open.generated = open.generated.saturating_add(tokens);
        let done = open.outstanding.min(u64::from(tokens) * weight);
        open.outstanding -= done;
        let latency_ratio = sample_round(open, now, tokens);
        let Some(key) = open.replica else {
            return;
        };
        // The first token of an attempt follows its prefill: it is no sample of the gap.
        let gap = has_gap.then_some(gap);
        if let Some(replica) = self.replicas.get_mut(&key) {
            replica.load.progressed(done);
            if let Some(latency_ratio) = latency_ratio {
                replica.load.sample(now, latency_ratio);
            }
        }
        if let Some(pool) = self.pools.get_mut(&open.job.pool) {
            pool.monitor.record_progress(now, key, gap);
        }
    }

    /// Closes the job or retries it.
    pub(super) fn record_end(
        &mut self,
        now: Time,
        id: job::Id,
        end: job::End,
        tokens: u32,
        out: &mut Vec<Decision>,
    ) {
        if end == job::End::Finished {
            self.sample_plain_call(now, id);
            self.sample_speed(now, id, tokens);
            self.record_answer(now, id);
        }
        // Before the job is detached: a lost replica is removed with its last job.
        if end == job::End::Crashed {
            self.record_crash(now, id);
        }
        let Some(replica) = self.detach(now, id, end) else {
            return;
        };
        let returns = end == job::End::Interrupted && self.accepts_return(now, replica);
        let former = (end == job::End::NotStarted)
            .then(|| self.former_replica(now, id, replica))
            .flatten();
        let Some(open) = self.open.get_mut(&id) else {
            return;
        };
        open.generated = open.generated.max(tokens);
        match end {
            job::End::Finished => {
                self.record_completion(now, id, tokens);
                self.close(now, id);
                return;
            }
            job::End::Left => {
                self.close(now, id);
                return;
            }
            job::End::NotStarted => {
                if let Some(former) = former {
                    open.allow_return(former);
                }
            }
            job::End::NotSent => open.record_not_sent(),
            job::End::Failed | job::End::Crashed => open.may_have_run = true,
            job::End::Interrupted => {
                open.may_have_run = true;
                if returns {
                    open.allow_return(replica);
                }
            }
            job::End::Withheld => {
                open.may_have_run = true;
                let attempts_left = open.used_attempts() < open.job.terms.attempts;
                open.withheld_at = attempts_left.then_some(replica);
            }
        }
        self.retry(now, id, end != job::End::NotSent, out);
    }

    /// Returns whether a job that was interrupted at the replica may return there now.
    fn accepts_return(&self, now: Time, key: replica::Key) -> bool {
        let Some(replica) = self.replicas.get(&key) else {
            return false;
        };
        let Some(pool) = self.pools.get(&replica.spec.pool) else {
            return false;
        };
        pool.members.contains(&key) && self.is_open(now, pool, key, replica, pool.mean_own())
    }

    /// Returns a replica to which a broken stream may return that another one has just turned away: it reaches no further
    /// replica by that.
    fn former_replica(
        &self,
        now: Time,
        id: job::Id,
        refused_by: replica::Key,
    ) -> Option<replica::Key> {
        let open = self.open.get(&id)?;
        let attempts_left = open.used_attempts() < open.job.terms.attempts;
        if !open.streaming || !open.job.idempotent || attempts_left {
            return None;
        }
        let mut former = open.tried.iter().rev().copied();
        former.find(|key| *key != refused_by && self.accepts_return(now, *key))
    }

    /// Lets a job whose attempts are used up return to the replica whose answer was withheld.
    fn return_to_withheld(&mut self, now: Time, id: job::Id) {
        let Some(open) = self.open.get_mut(&id) else {
            return;
        };
        let attempts_left = open.used_attempts() < open.job.terms.attempts;
        if attempts_left || open.streaming {
            return;
        }
        let Some(key) = open.withheld_at.take() else {
            return;
        };
        if !self.accepts_return(now, key) {
            return;
        }
        let version = self.replicas.get(&key).map(|replica| replica.spec.version);
        if let Some(open) = self.open.get_mut(&id) {
            open.allow_return(key);
            open.job.terms.version = version;
        }
    }

    /// Queues the job ahead of its account's others, or refuses it. If something of it `reached` a replica,
    /// another attempt draws on the retry budget.
    fn retry(&mut self, now: Time, id: job::Id, reached: bool, out: &mut Vec<Decision>) {
        let settings = self.settings.retry;
        self.return_to_withheld(now, id);
        let Some(open) = self.open.get(&id) else {
            return;
        };
        let retryable = open.job.idempotent || !open.may_have_run;
        // The caller holds the head of the answer: it gets the rest, whatever the budget allows.
        let attempts_left = open.used_attempts() < open.job.terms.attempts;
        let resumable = open.streaming && retryable && attempts_left;
        let attempts = open.used_attempts() as usize;
        let version = open.job.terms.version;
        let Some(pool) = self.pools.get_mut(&open.job.pool) else {
            return;
        };
        let replicas = &self.replicas;
        let runs = |key: &&replica::Key| replicas.get(key).is_some_and(|one| one.runs(version));
        let mut eligible = pool.members.iter().filter(runs);
        let tried_everywhere =
            open.interrupted_at.is_none() && eligible.all(|key| open.tried.contains(key));
        let within_budget = !reached || pool.budget.spend(&settings);
        let allowed = retryable
            && attempts_left
            && attempts < settings.max_attempts
            && !tried_everywhere
            && within_budget;
        if resumable && tried_everywhere {
            self.forget_tried(id);
            if !reached {
                return self.back_off(now, id);
            }
        }
        if !allowed && !resumable {
            self.refuse(
                now,
                id,
                Reason::BackendFailed,
                "the backend server failed",
                out,
            );
            return;
        }
        self.enqueue(now, id, true);
    }

    /// Makes every replica eligible for the job again.
    fn forget_tried(&mut self, id: job::Id) {
        if let Some(open) = self.open.get_mut(&id) {
            open.tried.clear();
        }
    }

    fn record_completion(&mut self, now: Time, id: job::Id, tokens: u32) {
        let Some(open) = self.open.get(&id) else {
            return;
        };
        let took = now.since(open.started);
        let (job, estimated, moved) = (open.job, open.cost, open.moved);
        let actual = self.cost(job.prompt_tokens, tokens);
        let settings = self.settings;
        self.quarantine.record_completion(now, job.fingerprint);
        let mut priority = 0;
        if let Some(account) = self.accounts.get_mut(&job.account) {
            priority = level(&account.spec, &job);
            account.estimate.record(tokens, settings.fair.smoothing);
        }
        if let Some(pool) = self.pools.get_mut(&job.pool) {
            if !moved {
                pool.service.record_end(&settings.admission, actual, took);
            }
            pool.budget.earn(&settings.retry);
            pool.queue.settle(priority, job.account, estimated, actual);
        }
    }

    /// Samples the latency of a plain call, whose whole duration counts as its gap unless it was streamed.
    fn sample_plain_call(&mut self, now: Time, id: job::Id) {
        let Some(open) = self.open.get(&id).filter(|open| !open.streaming) else {
            return;
        };
        let (Some(key), job::Kind::Plain) = (open.replica, open.job.kind) else {
            return;
        };
        let took = now.since(open.started).as_millis() as f64;
        let target = open.job.first_token.as_millis().max(1) as f64;
        if let Some(replica) = self.replicas.get_mut(&key) {
            replica.load.sample(now, took / target);
        }
        if let Some(pool) = self.pools.get_mut(&open.job.pool) {
            pool.monitor.record_progress(now, key, Some(took));
        }
    }

    /// Samples the speed of the replica that answered the job.
    ///
    /// An answer of several attempts or replicas is no sample: its tokens may come from all of them.
    fn sample_speed(&mut self, now: Time, id: job::Id, tokens: u32) {
        let Some(open) = self.open.get(&id) else {
            return;
        };
        if open.moved || open.tried.len() > 1 {
            return;
        }
        let replica = open.replica.and_then(|key| self.replicas.get(&key));
        let Some(replica) = replica else {
            return;
        };
        let millis = |since: Time| u32::try_from(now.since(since).as_millis()).unwrap_or(u32::MAX);
        let pace = match (open.job.kind, open.answered_at) {
            (job::Kind::Plain, _) => Pace::of_answer(1, millis(open.started)),
            (job::Kind::Model, Some(first)) => {
                Pace::of_answer(tokens.saturating_sub(1), millis(first))
            }
            (job::Kind::Model, None) => return,
        };
        self.speeds.record(now, replica.identity, pace);
    }

    /// Removes a job, whatever its state.
    pub(super) fn close(&mut self, now: Time, id: job::Id) {
        self.detach(now, id, job::End::Left);
        self.unqueue(id);
        self.drop_trial(id);
        self.quarantine.end_probe(id.0);
        let Some(open) = self.open.remove(&id) else {
            return;
        };
        self.expiry.remove(&(open.start_deadline, id));
        let actual = match open.tried.is_empty() {
            true => 0,
            false => u64::from(open.job.prompt_tokens) + u64::from(open.generated),
        };
        self.limits.release(open.job.account, open.tokens, actual);
    }
}

/// Returns the mean token gap of a full round over its target, or `None` while the round isn't full.
///
/// The limit on a replica's jobs rises with each sample: one sample per token would raise it many times for
/// the same information.
fn sample_round(open: &mut Open, now: Time, tokens: u32) -> Option<f64> {
    if open.round.tokens == 0 {
        open.round.started = now;
    }
    open.round.tokens += tokens;
    let gaps = open.round.tokens.saturating_sub(1);
    if gaps < GAPS_PER_SAMPLE {
        return None;
    }
    let gap = now.since(open.round.started).as_millis() as f64 / f64::from(gaps);
    open.round.tokens = 1;
    open.round.started = now;
    Some(gap / open.job.token_gap.as_millis().max(1) as f64)
}
