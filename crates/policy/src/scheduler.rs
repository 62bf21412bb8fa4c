//! Composes the policy modules for one entry.
//!
//! The embedder reports events through the methods; each appends its decisions to `out`. Between
//! events it calls [`Scheduler::poll`] at the time that [`Scheduler::next_wake`] names.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use clock::Time;
use verdict::Reason;
use verdict::Refusal;

use crate::account;
use crate::decision::Decision;
use crate::decision::Transfer;
use crate::job;
use crate::job::Job;
use crate::pool;
use crate::replica;

/// The decisions of one entry: first in first out to the replica with the fewest jobs of ours.
#[derive(Debug, Default)]
pub struct Scheduler {
    accounts: BTreeMap<account::Key, account::Spec>,
    replicas: BTreeMap<replica::Key, Replica>,
    open: BTreeMap<job::Id, Open>,
    waiting: VecDeque<job::Id>,
    next_replica: u32,
}

/// A replica and what we run there.
#[derive(Debug)]
struct Replica {
    spec: replica::Spec,
    leaving: bool,
    running: u32,
}

/// An open job.
#[derive(Debug)]
struct Open {
    job: Job,
    replica: Option<replica::Key>,
}

impl Scheduler {
    /// A scheduler without accounts and replicas; `seed` feeds every random choice.
    pub fn new(_seed: u64) -> Scheduler {
        Scheduler::default()
    }

    /// Adds an account or changes it.
    pub fn set_account(&mut self, key: account::Key, spec: account::Spec) {
        self.accounts.insert(key, spec);
    }

    /// Adds a replica.
    pub fn replica_joined(
        &mut self,
        now: Time,
        spec: replica::Spec,
        out: &mut Vec<Decision>,
    ) -> replica::Key {
        let key = replica::Key(self.next_replica);
        self.next_replica += 1;
        let replica = Replica {
            spec,
            leaving: false,
            running: 0,
        };
        self.replicas.insert(key, replica);
        self.poll(now, out);
        key
    }

    /// Notes a load report.
    pub fn replica_reported(&mut self, _now: Time, _key: replica::Key, _report: replica::Report) {}

    /// The replica gets no new work from now on; what runs there is moved before `deadline`.
    pub fn replica_leaving(
        &mut self,
        _now: Time,
        key: replica::Key,
        _deadline: Time,
        out: &mut Vec<Decision>,
    ) {
        let Some(replica) = self.replicas.get_mut(&key) else {
            return;
        };
        replica.leaving = true;
        let pool = replica.spec.pool;
        let moving: Vec<job::Id> = self
            .open
            .values()
            .filter(|open| open.replica == Some(key) && open.job.kind == job::Kind::Model)
            .map(|open| open.job.id)
            .collect();
        for id in moving {
            if let Some(to) = self.pick(pool) {
                out.push(Decision::Move {
                    job: id,
                    from: key,
                    to,
                    how: Transfer::Kv,
                });
                self.place(id, Some(to));
            }
        }
    }

    /// The replica is gone; the embedder reports the end of each attempt there by itself.
    pub fn replica_lost(&mut self, _now: Time, key: replica::Key) {
        self.replicas.remove(&key);
    }

    /// A request has arrived: it is started, kept waiting or refused.
    pub fn offer(&mut self, now: Time, job: Job, out: &mut Vec<Decision>) {
        self.open.insert(job.id, Open { job, replica: None });
        self.waiting.push_back(job.id);
        self.poll(now, out);
    }

    /// The replica began to answer: its first token (or the head of a plain answer) came.
    pub fn first_token(&mut self, _now: Time, _id: job::Id) {}

    /// More tokens came since the last report.
    pub fn progressed(&mut self, _now: Time, _id: job::Id, _tokens: u32) {}

    /// An attempt ended; `tokens` were generated in it.
    ///
    /// With [`job::End::Finished`] or [`job::End::Left`] the job is closed. After any other end it
    /// is started elsewhere, kept waiting or refused, as idempotence and budgets allow.
    pub fn attempt_ended(
        &mut self,
        now: Time,
        id: job::Id,
        end: job::End,
        _tokens: u32,
        out: &mut Vec<Decision>,
    ) {
        self.place(id, None);
        let Some(open) = self.open.get(&id) else {
            return;
        };
        let again = match end {
            job::End::Finished | job::End::Left => {
                self.open.remove(&id);
                self.poll(now, out);
                return;
            }
            job::End::NotStarted => true,
            job::End::Failed | job::End::Crashed => open.job.idempotent,
        };
        if again {
            self.waiting.push_back(id);
        } else {
            self.open.remove(&id);
            let refusal = Refusal::may_have_run(Reason::BackendFailed, "the backend server failed");
            out.push(Decision::Refuse { job: id, refusal });
        }
        self.poll(now, out);
    }

    /// The caller went away or the job was cancelled.
    pub fn cancel(&mut self, now: Time, id: job::Id, out: &mut Vec<Decision>) {
        self.waiting.retain(|waiting| *waiting != id);
        if let Some(replica) = self.open.get(&id).and_then(|open| open.replica) {
            out.push(Decision::Cancel { job: id, replica });
        }
        self.place(id, None);
        self.open.remove(&id);
        self.poll(now, out);
    }

    /// Takes whatever decisions the time allows.
    pub fn poll(&mut self, _now: Time, out: &mut Vec<Decision>) {
        let mut kept = VecDeque::new();
        while let Some(id) = self.waiting.pop_front() {
            let Some(pool) = self.open.get(&id).map(|open| open.job.pool) else {
                continue;
            };
            match self.pick(pool) {
                Some(replica) => {
                    self.place(id, Some(replica));
                    out.push(Decision::Start { job: id, replica });
                }
                None => kept.push_back(id),
            }
        }
        self.waiting = kept;
    }

    /// When [`Scheduler::poll`] wants to be called next.
    pub fn next_wake(&self) -> Option<Time> {
        None
    }

    /// The usable replica of the pool with the fewest jobs of ours, if one has a free slot.
    fn pick(&self, pool: pool::Key) -> Option<replica::Key> {
        self.replicas
            .iter()
            .filter(|(_, replica)| {
                replica.spec.pool == pool
                    && !replica.leaving
                    && replica.running < replica.spec.slots
            })
            .min_by_key(|(_, replica)| replica.running)
            .map(|(key, _)| *key)
    }

    /// Counts the job on its new replica and off its old one.
    fn place(&mut self, id: job::Id, to: Option<replica::Key>) {
        let Some(open) = self.open.get_mut(&id) else {
            return;
        };
        if let Some(replica) = open.replica.and_then(|from| self.replicas.get_mut(&from)) {
            replica.running = replica.running.saturating_sub(1);
        }
        open.replica = to;
        if let Some(replica) = to.and_then(|to| self.replicas.get_mut(&to)) {
            replica.running += 1;
        }
    }
}
