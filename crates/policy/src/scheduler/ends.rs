//! First tokens and ends of attempts: measurements, retries, closing.

use clock::Time;
use verdict::Reason;

use crate::decision::Decision;
use crate::job;
use crate::scheduler::Scheduler;

impl Scheduler {
    /// Learns from the first token of an attempt.
    pub(super) fn note_first(&mut self, now: Time, id: job::Id) {
        let Some(open) = self.open.get_mut(&id) else {
            return;
        };
        let took = now.since(open.started);
        let again = std::mem::replace(&mut open.streaming, true);
        if again || open.tried.len() > 1 {
            return;
        }
        if let Some(pool) = self.pools.get_mut(&open.job.pool) {
            pool.service
                .note_first(&self.settings.admission, open.job.prompt_tokens, took);
        }
    }

    /// Closes the job or tries it again.
    pub(super) fn note_end(
        &mut self,
        now: Time,
        id: job::Id,
        end: job::End,
        tokens: u32,
        out: &mut Vec<Decision>,
    ) {
        if self.take_off(id).is_none() {
            return;
        }
        let Some(open) = self.open.get_mut(&id) else {
            return;
        };
        open.made = open.made.max(tokens);
        match end {
            job::End::Finished => {
                self.learn(now, id, tokens);
                self.close(id);
                return;
            }
            job::End::Left => {
                self.close(id);
                return;
            }
            job::End::NotStarted => {}
            job::End::Failed | job::End::Crashed => open.may_have_run = true,
        }
        self.try_again(now, id, out);
    }

    /// Puts the job back in front of its account's others, or refuses it.
    fn try_again(&mut self, now: Time, id: job::Id, out: &mut Vec<Decision>) {
        let settings = self.settings.retry;
        let Some(open) = self.open.get(&id) else {
            return;
        };
        let repeatable = open.job.idempotent || !open.may_have_run;
        let attempts = open.tried.len();
        let Some(pool) = self.pools.get_mut(&open.job.pool) else {
            return;
        };
        let tried_everywhere = pool.members.iter().all(|key| open.tried.contains(key));
        let allowed = repeatable
            && attempts < settings.attempts
            && !tried_everywhere
            && pool.budget.spend(&settings);
        if !allowed {
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

    fn learn(&mut self, now: Time, id: job::Id, tokens: u32) {
        let Some(open) = self.open.get(&id) else {
            return;
        };
        let took = now.since(open.started);
        let (job, estimated) = (open.job, open.cost);
        let actual = self.cost(job.prompt_tokens, tokens);
        let settings = self.settings;
        if let Some(account) = self.accounts.get_mut(&job.account) {
            account.estimate.note(tokens, settings.fair.smoothing);
        }
        if let Some(pool) = self.pools.get_mut(&job.pool) {
            pool.service.note_end(&settings.admission, actual, took);
            pool.budget.earn(&settings.retry);
            pool.queue.settle(job.account, estimated, actual);
        }
    }

    /// Forgets a job, wherever it is.
    pub(super) fn close(&mut self, id: job::Id) {
        self.take_off(id);
        let Some(open) = self.open.remove(&id) else {
            return;
        };
        if let Some(place) = open.place {
            self.expiry.remove(&(open.until, id));
            if let Some(pool) = self.pools.get_mut(&open.job.pool) {
                pool.queue.remove(place);
            }
        }
        let actual = if open.tried.is_empty() {
            0
        } else {
            self.cost(open.job.prompt_tokens, open.made)
        };
        self.limits.release(open.job.account, open.cost, actual);
    }
}
