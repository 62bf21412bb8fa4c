//! Jobs that only one version may run, of which the pool has no replica.
//!
//! Load pattern: a replica comes back at another version and the streams that it had begun break. No other replica may
//! resume them, so they wait for their version to return, for seconds. In the queue they would count as work ahead of
//! every new job: beside idle replicas the new ones would be refused for a wait that nobody has.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use clock::Time;

use crate::job;
use crate::pool;
use crate::scheduler::Scheduler;
use crate::version;

impl Scheduler {
    /// Takes waiting jobs out of the queue that only one of these versions may run, if it has no replica; returns whether
    /// there were any.
    pub(super) fn strand_jobs(
        &mut self,
        key: pool::Key,
        versions: &BTreeSet<version::Key>,
    ) -> bool {
        let Some(pool) = self.pools.get(&key) else {
            return false;
        };
        let absent = versions.iter().copied();
        let absent: BTreeSet<version::Key> = absent
            .filter(|version| !self.has_version(pool, Some(*version)))
            .collect();
        if absent.is_empty() {
            return false;
        }
        let is_stranded = |id: &job::Id| {
            let version = self.version_of(*id);
            version.is_some_and(|version| absent.contains(&version))
        };
        let stranded: Vec<job::Id> = pool.queue.jobs().filter(is_stranded).collect();
        for id in &stranded {
            self.unqueue(*id);
        }
        let is_any = !stranded.is_empty();
        if let Some(pool) = self.pools.get_mut(&key) {
            pool.stranded.extend(stranded);
        }
        is_any
    }

    /// Queues stranded jobs again whose version has replicas.
    pub(super) fn requeue_stranded(&mut self, now: Time, key: pool::Key) {
        let Some(pool) = self.pools.get(&key) else {
            return;
        };
        let mut present = BTreeMap::new();
        let mut is_present = |id: &job::Id| {
            let version = self.version_of(*id);
            let is_present = present.entry(version);
            *is_present.or_insert_with(|| self.has_version(pool, version))
        };
        let stranded = pool.stranded.iter().copied();
        let usable: Vec<job::Id> = stranded.filter(|id| is_present(id)).collect();
        // Each goes to the front, so the first of them goes last.
        for id in usable.into_iter().rev() {
            self.unqueue(id);
            self.enqueue(now, id, true);
        }
    }

    /// Returns the only version that may run the job, if any.
    pub(super) fn version_of(&self, id: job::Id) -> Option<version::Key> {
        self.open.get(&id)?.job.terms.version
    }
}
