//! What the fakes ask of a policy, and the scheduler under test in that form.

use clock::Time;
use policy::account;
use policy::decision::Decision;
use policy::job;
use policy::job::Job;
use policy::replica;
use policy::scheduler::Scheduler;

use crate::support::engine::CacheEvent;

/// One entry's decisions.
pub trait Policy {
    /// Adds an account.
    fn set_account(&mut self, key: account::Key, spec: account::Spec);
    /// Adds a replica.
    fn joined(&mut self, now: Time, spec: replica::Spec, out: &mut Vec<Decision>) -> replica::Key;
    /// A load report came.
    fn reported(&mut self, now: Time, key: replica::Key, report: replica::Report);
    /// A cache event came; a plain balancer has no use for it.
    fn cached(&mut self, _: Time, _: replica::Key, _: &CacheEvent) {}
    /// A replica got its notice.
    fn leaving(&mut self, now: Time, key: replica::Key, deadline: Time, out: &mut Vec<Decision>);
    /// A replica is gone.
    fn lost(&mut self, now: Time, key: replica::Key);
    /// A request came.
    fn offer(&mut self, now: Time, job: Job, out: &mut Vec<Decision>);
    /// Its first token came.
    fn first_token(&mut self, now: Time, id: job::Id);
    /// More tokens came.
    fn progressed(&mut self, now: Time, id: job::Id, tokens: u32);
    /// An attempt ended.
    fn ended(&mut self, now: Time, id: job::Id, end: job::End, made: u32, out: &mut Vec<Decision>);
    /// The caller went away.
    fn cancel(&mut self, now: Time, id: job::Id, out: &mut Vec<Decision>);
    /// Time passed.
    fn poll(&mut self, now: Time, out: &mut Vec<Decision>);
    /// When to poll next.
    fn next_wake(&self) -> Option<Time>;
    /// The scheduler under test, if this is one, for news between entries.
    fn scheduler(&mut self) -> Option<&mut Scheduler> {
        None
    }
}

impl Policy for Scheduler {
    fn set_account(&mut self, key: account::Key, spec: account::Spec) {
        Scheduler::set_account(self, key, spec);
    }

    fn joined(&mut self, now: Time, spec: replica::Spec, out: &mut Vec<Decision>) -> replica::Key {
        self.replica_joined(now, spec, out)
    }

    fn reported(&mut self, now: Time, key: replica::Key, report: replica::Report) {
        self.replica_reported(now, key, report);
    }

    fn cached(&mut self, now: Time, key: replica::Key, event: &CacheEvent) {
        self.replica_cache_event(now, key, event.sequence, event.prefix, event.stored);
    }

    fn leaving(&mut self, now: Time, key: replica::Key, deadline: Time, out: &mut Vec<Decision>) {
        self.replica_leaving(now, key, deadline, out);
    }

    fn lost(&mut self, now: Time, key: replica::Key) {
        self.replica_lost(now, key);
    }

    fn offer(&mut self, now: Time, job: Job, out: &mut Vec<Decision>) {
        Scheduler::offer(self, now, job, out);
    }

    fn first_token(&mut self, now: Time, id: job::Id) {
        Scheduler::first_token(self, now, id);
    }

    fn progressed(&mut self, now: Time, id: job::Id, tokens: u32) {
        Scheduler::progressed(self, now, id, tokens);
    }

    fn ended(&mut self, now: Time, id: job::Id, end: job::End, made: u32, out: &mut Vec<Decision>) {
        self.attempt_ended(now, id, end, made, out);
    }

    fn cancel(&mut self, now: Time, id: job::Id, out: &mut Vec<Decision>) {
        Scheduler::cancel(self, now, id, out);
    }

    fn poll(&mut self, now: Time, out: &mut Vec<Decision>) {
        Scheduler::poll(self, now, out);
    }

    fn next_wake(&self) -> Option<Time> {
        Scheduler::next_wake(self)
    }

    fn scheduler(&mut self) -> Option<&mut Scheduler> {
        Some(self)
    }
}
