//! Waiting jobs that only some replicas may run: those of a version, or those that a job hasn't tried.
//!
//! Load pattern: replicas crash or come back at another version, and the jobs that they ran wait for the few that may run
//! them. Others must not wait behind these jobs, nor be refused for their work: the other replicas are idle.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use clock::Time;

use crate::fair::Head;
use crate::job;
use crate::pool;
use crate::replica;
use crate::scheduler::Scheduler;
use crate::scheduler::state::Pool;
use crate::version;

/// Replicas that accept one more job, by the only version that may run it.
type OpenReplicas = BTreeMap<Option<version::Key>, Vec<replica::Key>>;

/// Jobs that a dispatch passes over, so that they hold up no others.
#[derive(Debug, Default)]
pub(super) struct Passed {
    /// Versions without room.
    versions: BTreeSet<version::Key>,
    /// Jobs that have tried all replicas with room.
    jobs: BTreeSet<job::Id>,
}

impl Passed {
    pub fn is_any(&self) -> bool {
        !self.versions.is_empty() || !self.jobs.is_empty()
    }

    pub fn contains(&self, id: job::Id, version: Option<version::Key>) -> bool {
        let is_full = version.is_some_and(|version| self.versions.contains(&version));
        is_full || self.jobs.contains(&id)
    }
}

impl Scheduler {
    /// Returns whether no waiting job of the pool holds up a job that `version` may run: each waits for certain replicas
    /// that have no room.
    pub(super) fn is_queue_bypassed(
        &self,
        now: Time,
        pool: &Pool,
        version: Option<version::Key>,
    ) -> bool {
        let mut open = OpenReplicas::new();
        pool.queue.jobs().all(|id| {
            let bound = self.version_of(id);
            let is_selective = self.has_tried(id) || bound.is_some() && bound != version;
            is_selective && !self.may_start(now, pool, id, &mut open)
        })
    }

    /// Passes over those of the heads of a queue that only some replicas may run; returns whether to look for further heads.
    pub(super) fn pass_over(
        &mut self,
        now: Time,
        key: pool::Key,
        heads: &[Head],
        is_any_open: bool,
        passed: &mut Passed,
    ) -> bool {
        let (retried, fresh): (Vec<job::Id>, Vec<job::Id>) = heads
            .iter()
            .map(|head| head.id)
            .partition(|id| self.has_tried(*id));
        let versions = |ids: &[job::Id]| -> BTreeSet<version::Key> {
            let ids = ids.iter();
            ids.filter_map(|id| self.version_of(*id)).collect()
        };
        let bound = versions(&fresh);
        let bound_retries = versions(&retried);
        if self.strand_jobs(key, &bound) || self.strand_jobs(key, &bound_retries) {
            return true;
        }
        if !is_any_open || bound.is_empty() && retried.is_empty() {
            return false;
        }
        passed.versions.extend(bound);
        if !retried.is_empty() {
            passed.jobs.extend(self.blocked_retries(now, key));
            passed.jobs.extend(retried);
        }
        true
    }

    /// Returns the waiting jobs that have tried some replicas and that no other one accepts now.
    fn blocked_retries(&self, now: Time, key: pool::Key) -> Vec<job::Id> {
        let Some(pool) = self.pools.get(&key) else {
            return Vec::new();
        };
        let mut open = OpenReplicas::new();
        let mut is_blocked =
            |id: &job::Id| self.has_tried(*id) && !self.may_start(now, pool, *id, &mut open);
        pool.queue.jobs().filter(|id| is_blocked(id)).collect()
    }

    /// Returns whether the job was handed to a replica before.
    fn has_tried(&self, id: job::Id) -> bool {
        let open = self.open.get(&id);
        open.is_some_and(|open| !open.tried.is_empty())
    }

    fn may_start(&self, now: Time, pool: &Pool, id: job::Id, open: &mut OpenReplicas) -> bool {
        let Some(job) = self.open.get(&id) else {
            return false;
        };
        let version = job.job.terms.version;
        let replicas = open.entry(version).or_insert_with(|| {
            let candidates = self.candidates(now, pool, version).into_iter();
            let candidates = candidates.filter(|candidate| candidate.open);
            candidates.map(|candidate| candidate.key).collect()
        });
        replicas.iter().any(|key| job.may_try(*key))
    }
}
