//! Refusals: which are due, and when the refused callers should retry.

use clock::Span;
use clock::Time;
use rand::RngExt;
use verdict::Reason;
use verdict::Refusal;
use verdict::Verdict;

use crate::admission;
use crate::decision::Decision;
use crate::fair::Cost;
use crate::job;
use crate::job::Job;
use crate::retry::Refused;
use crate::scheduler::Scheduler;
use crate::scheduler::state::level;

impl Scheduler {
    /// Refuses a job and closes it.
    pub(super) fn refuse(
        &mut self,
        now: Time,
        id: job::Id,
        reason: Reason,
        message: &'static str,
        out: &mut Vec<Decision>,
    ) {
        let Some(open) = self.open.get(&id) else {
            return;
        };
        let (job, cost, may_have_run) = (open.job, open.cost, open.may_have_run);
        let mut refusal = Refusal::not_run(reason, message);
        if may_have_run {
            refusal.verdict = Verdict::MayHaveRun;
        }
        // A caller that must not repeat its request has no use for a retry time, nor has one whose request
        // crashes replicas.
        if reason != Reason::Quarantined && (!may_have_run || job.idempotent) {
            refusal.retry_after = Some(self.retry_time(now, &job, cost));
        }
        self.close(now, id);
        out.push(Decision::Refuse { job: id, refusal });
    }

    /// Refuses waiting jobs that can no longer be answered in time.
    pub(super) fn expire(&mut self, now: Time, out: &mut Vec<Decision>) {
        while let Some((until, id)) = self.expiry.first().copied() {
            if until > now {
                return;
            }
            let no_members = self
                .open
                .get(&id)
                .and_then(|open| self.pools.get(&open.job.pool))
                .is_none_or(|pool| pool.members.is_empty());
            let reason = if no_members {
                Reason::NoBackend
            } else {
                Reason::Overloaded
            };
            self.refuse(now, id, reason, "the latency target can't be met", out);
        }
    }

    /// Returns the time after which the caller of a job that is refused before it is offered should retry.
    pub fn retry_after(&mut self, now: Time, job: &Job) -> Span {
        let cost = self.estimate(job).unwrap_or(1);
        self.retry_time(now, job, cost)
    }

    /// Returns the queue level of a job; 0 for an unknown account.
    pub fn level_of(&self, job: &Job) -> u8 {
        let account = self.accounts.get(&job.account);
        account.map_or(0, |account| level(&account.spec, job))
    }

    /// Returns the time after which a refused caller should retry.
    fn retry_time(&mut self, now: Time, job: &Job, cost: Cost) -> Span {
        let settings = self.settings.retry;
        let spec = self.accounts.get(&job.account).map(|account| &account.spec);
        let (weight, priority) = spec.map_or((1, 0), |spec| (spec.weight, level(spec, job)));
        let pause = self.pause_of(now, job);
        let Some(pool) = self.pools.get_mut(&job.pool) else {
            return settings.min_delay;
        };
        let rate = pool.service.drain_rate(pool.running);
        let ahead = pool.queue.cost_ahead(priority, job.account, weight);
        let refused = Refused {
            account: job.account,
            weight,
            cost,
            wait: admission::wait_time(ahead, rate),
            pause,
            rate,
        };
        pool.calendar
            .book(&settings, now, &refused, &mut self.random)
    }

    pub(super) fn jittered(&mut self, span: Span) -> Span {
        span.scaled(self.random.random_range(1.0..1.5))
    }
}
