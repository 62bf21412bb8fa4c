//! Baseline balancers to compare the scheduler with.
//!
//! Like an ordinary balancer they forward each request on arrival and leave queueing to the
//! engines. Failed requests that may be retried are retried elsewhere, at most [`ATTEMPTS`] times.

use std::collections::BTreeMap;

use clock::Time;
use policy::account;
use policy::decision::Decision;
use policy::job;
use policy::job::Job;
use policy::replica;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64;
use verdict::Reason;
use verdict::Refusal;

use super::policy::Policy;

/// Maximum number of attempts of one request.
const ATTEMPTS: u32 = 3;

/// Selection of a replica.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Strategy {
    /// Each replica in turn.
    RoundRobin,
    /// The replica with the fewest outstanding requests of this entry.
    LeastOutstanding,
    /// The less loaded of two random replicas.
    RandomOfTwo,
}

/// A baseline balancer at one entry.
pub struct Baseline {
    strategy: Strategy,
    random: Pcg64,
    next_index: usize,
    next_key: u32,
    usable: Vec<replica::Key>,
    specs: BTreeMap<replica::Key, replica::Spec>,
    outstanding: BTreeMap<replica::Key, u32>,
    open: BTreeMap<job::Id, (Job, Option<replica::Key>, u32)>,
}

impl Baseline {
    /// Creates a balancer without replicas.
    pub fn new(strategy: Strategy, seed: u64) -> Baseline {
        Baseline {
            strategy,
            random: Pcg64::seed_from_u64(seed),
            next_index: seed as usize,
            next_key: 0,
            usable: Vec::new(),
            specs: BTreeMap::new(),
            outstanding: BTreeMap::new(),
            open: BTreeMap::new(),
        }
    }

    fn choose(&mut self, pool: policy::pool::Key) -> Option<replica::Key> {
        let candidates: Vec<replica::Key> = self
            .usable
            .iter()
            .copied()
            .filter(|key| self.specs[key].pool == pool)
            .collect();
        if candidates.is_empty() {
            return None;
        }
        let load = |key: &replica::Key| self.outstanding.get(key).copied().unwrap_or(0);
        match self.strategy {
            Strategy::RoundRobin => {
                self.next_index += 1;
                Some(candidates[self.next_index % candidates.len()])
            }
            Strategy::LeastOutstanding => {
                self.next_index += 1;
                let start = self.next_index % candidates.len();
                let rotated = candidates[start..].iter().chain(&candidates[..start]);
                rotated.min_by_key(|key| load(key)).copied()
            }
            Strategy::RandomOfTwo => {
                let first = candidates[self.random.random_range(0..candidates.len())];
                let second = candidates[self.random.random_range(0..candidates.len())];
                Some(if load(&second) < load(&first) {
                    second
                } else {
                    first
                })
            }
        }
    }

    fn start(&mut self, id: job::Id, out: &mut Vec<Decision>) {
        let Some(pool) = self.open.get(&id).map(|(job, _, _)| job.pool) else {
            return;
        };
        let Some(replica) = self.choose(pool) else {
            self.open.remove(&id);
            let refusal = Refusal::not_run(Reason::NoBackend, "no backend server");
            out.push(Decision::Refuse { job: id, refusal });
            return;
        };
        *self.outstanding.entry(replica).or_default() += 1;
        if let Some((_, replica_slot, attempts)) = self.open.get_mut(&id) {
            *replica_slot = Some(replica);
            *attempts += 1;
        }
        out.push(Decision::Start { job: id, replica });
    }

    fn release(&mut self, id: job::Id) -> Option<replica::Key> {
        let (_, replica_slot, _) = self.open.get_mut(&id)?;
        let replica = replica_slot.take()?;
        if let Some(count) = self.outstanding.get_mut(&replica) {
            *count = count.saturating_sub(1);
        }
        Some(replica)
    }
}

impl Policy for Baseline {
    fn set_account(&mut self, _key: account::Key, _spec: account::Spec) {}

    fn add_replica(
        &mut self,
        _now: Time,
        spec: replica::Spec,
        _: &mut Vec<Decision>,
    ) -> replica::Key {
        let key = replica::Key(self.next_key);
        self.next_key += 1;
        self.specs.insert(key, spec);
        self.usable.push(key);
        key
    }

    fn handle_report(&mut self, _now: Time, _key: replica::Key, _report: replica::Report) {}

    fn handle_notice(&mut self, _now: Time, key: replica::Key, _: Time, _: &mut Vec<Decision>) {
        self.usable.retain(|other| *other != key);
    }

    fn remove_replica(&mut self, _now: Time, key: replica::Key) {
        self.usable.retain(|other| *other != key);
    }

    fn offer(&mut self, _now: Time, job: Job, out: &mut Vec<Decision>) {
        self.open.insert(job.id, (job, None, 0));
        self.start(job.id, out);
    }

    fn first_token(&mut self, _now: Time, _id: job::Id) {}

    fn record_tokens(&mut self, _now: Time, _id: job::Id, _tokens: u32) {}

    fn handle_end(&mut self, _: Time, id: job::Id, end: job::End, _: u32, out: &mut Vec<Decision>) {
        self.release(id);
        let Some((job, _, attempts)) = self.open.get(&id) else {
            return;
        };
        let retryable = match end {
            job::End::Finished | job::End::Left => {
                self.open.remove(&id);
                return;
            }
            job::End::NotStarted | job::End::NotSent => true,
            job::End::Failed | job::End::Crashed | job::End::Interrupted | job::End::Withheld => {
                job.idempotent
            }
        };
        if retryable && *attempts < ATTEMPTS {
            self.start(id, out);
            return;
        }
        self.open.remove(&id);
        let refusal = Refusal::may_have_run(Reason::BackendFailed, "the backend server failed");
        out.push(Decision::Refuse { job: id, refusal });
    }

    fn cancel(&mut self, _now: Time, id: job::Id, out: &mut Vec<Decision>) {
        if let Some(replica) = self.release(id) {
            out.push(Decision::Cancel { job: id, replica });
        }
        self.open.remove(&id);
    }

    fn poll(&mut self, _now: Time, _out: &mut Vec<Decision>) {}

    fn next_wake(&self) -> Option<Time> {
        None
    }
}
