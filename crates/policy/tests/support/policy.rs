//! Interface of the simulation to a policy, and its implementation by the scheduler.

use clock::Time;
use policy::account;
use policy::decision::Decision;
use policy::job;
use policy::job::Job;
use policy::replica;
use policy::scheduler::Scheduler;

use crate::support::engine::CacheEvent;

/// Decisions of one entry.
pub trait Policy {
    /// Adds an account.
    fn set_account(&mut self, key: account::Key, spec: account::Spec);
    /// Adds a replica.
    fn add_replica(
        &mut self,
        now: Time,
        spec: replica::Spec,
        out: &mut Vec<Decision>,
    ) -> replica::Key;
    /// Handles a load report.
    fn handle_report(&mut self, now: Time, key: replica::Key, report: replica::Report);
    /// Handles a cache event; baselines ignore it.
    fn handle_cache_event(&mut self, _: Time, _: replica::Key, _: &CacheEvent) {}
    /// Handles the notice of a replica.
    fn handle_notice(
        &mut self,
        now: Time,
        key: replica::Key,
        deadline: Time,
        out: &mut Vec<Decision>,
    );
    /// Removes a lost replica.
    fn remove_replica(&mut self, now: Time, key: replica::Key);
    /// Handles a new request.
    fn offer(&mut self, now: Time, job: Job, out: &mut Vec<Decision>);
    /// Handles the first token of a request.
    fn first_token(&mut self, now: Time, id: job::Id);
    /// Handles further tokens.
    fn record_tokens(&mut self, now: Time, id: job::Id, tokens: u32);
    /// Handles the end of an attempt.
    fn handle_end(
        &mut self,
        now: Time,
        id: job::Id,
        end: job::End,
        made: u32,
        out: &mut Vec<Decision>,
    );
    /// Cancels a request whose caller is gone.
    fn cancel(&mut self, now: Time, id: job::Id, out: &mut Vec<Decision>);
    /// Handles due timers.
    fn poll(&mut self, now: Time, out: &mut Vec<Decision>);
    /// Returns when to poll next.
    fn next_wake(&self) -> Option<Time>;
    /// Returns the scheduler, if this is one, to exchange digests between entries.
    fn scheduler(&mut self) -> Option<&mut Scheduler> {
        None
    }
}

impl Policy for Scheduler {
    fn set_account(&mut self, key: account::Key, spec: account::Spec) {
        Scheduler::set_account(self, key, spec);
    }

    fn add_replica(
        &mut self,
        now: Time,
        spec: replica::Spec,
        out: &mut Vec<Decision>,
    ) -> replica::Key {
        self.replica_joined(now, spec, out)
    }

    fn handle_report(&mut self, now: Time, key: replica::Key, report: replica::Report) {
        self.replica_reported(now, key, report);
    }

    fn handle_cache_event(&mut self, now: Time, key: replica::Key, event: &CacheEvent) {
        self.replica_cache_event(now, key, event.sequence, event.prefix, event.stored);
    }

    fn handle_notice(
        &mut self,
        now: Time,
        key: replica::Key,
        deadline: Time,
        out: &mut Vec<Decision>,
    ) {
        self.replica_leaving(now, key, deadline, out);
    }

    fn remove_replica(&mut self, now: Time, key: replica::Key) {
        self.replica_lost(now, key);
    }

    fn offer(&mut self, now: Time, job: Job, out: &mut Vec<Decision>) {
        Scheduler::offer(self, now, job, out);
    }

    fn first_token(&mut self, now: Time, id: job::Id) {
        Scheduler::first_token(self, now, id);
    }

    fn record_tokens(&mut self, now: Time, id: job::Id, tokens: u32) {
        Scheduler::progressed(self, now, id, tokens);
    }

    fn handle_end(
        &mut self,
        now: Time,
        id: job::Id,
        end: job::End,
        made: u32,
        out: &mut Vec<Decision>,
    ) {
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
