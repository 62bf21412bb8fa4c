//! Which job goes next, and to which replica.

use clock::Time;
use rand::RngExt;

use crate::decision::Decision;
use crate::fair::Head;
use crate::job;
use crate::pool;
use crate::replica;
use crate::scheduler::Scheduler;
use crate::size;
use crate::size::Class;

/// Loads are kept in this many parts of a replica's slots.
const LOAD_PARTS: u32 = 1_000;

impl Scheduler {
    /// Starts jobs of the pool while there is room.
    pub(super) fn dispatch(&mut self, now: Time, key: pool::Key, out: &mut Vec<Decision>) {
        while let Some((head, replica)) = self.next_start(key) {
            if let Some(pool) = self.pools.get_mut(&key) {
                pool.queue.take(head.place);
            }
            self.start(now, head.id, replica);
            out.push(Decision::Start {
                job: head.id,
                replica,
            });
        }
    }

    /// The next job that can be placed, and where.
    fn next_start(&self, key: pool::Key) -> Option<(Head, replica::Key)> {
        let pool = self.pools.get(&key)?;
        if pool.queue.is_empty() || pool.roomy.is_empty() {
            return None;
        }
        let most = self.settings.placement.heads;
        let mut heads: Vec<(u64, Head)> = pool.queue.heads(Class::Short, most).collect();
        if self.class_has_room(pool, Class::Long) {
            heads.extend(pool.queue.heads(Class::Long, most));
            heads.sort_by_key(|(tag, head)| (*tag, head.place));
        }
        heads
            .iter()
            .find_map(|(_, head)| Some((*head, self.choose(head.id)?)))
    }

    /// The least loaded replica that may take the job.
    pub(super) fn choose(&self, id: job::Id) -> Option<replica::Key> {
        let open = self.open.get(&id)?;
        let pool = self.pools.get(&open.job.pool)?;
        let candidates = pool.roomy.iter().take(self.settings.placement.candidates);
        candidates
            .map(|(_, key)| *key)
            .find(|key| !open.tried.contains(key) && self.takes_class(*key, open.class))
    }

    fn takes_class(&self, key: replica::Key, class: Class) -> bool {
        let Some(replica) = self.replicas.get(&key) else {
            return false;
        };
        let cap = size::cap(replica.limit, self.settings.size.replica_share);
        class == Class::Short || replica.long < cap
    }

    fn start(&mut self, now: Time, id: job::Id, replica: replica::Key) {
        let Some(open) = self.open.get_mut(&id) else {
            return;
        };
        self.expiry.remove(&(open.until, id));
        open.place = None;
        open.started = now;
        open.tried.push(replica);
        self.put_on(id, replica);
    }

    /// Counts the job on the replica.
    pub(super) fn put_on(&mut self, id: job::Id, key: replica::Key) {
        let Some(open) = self.open.get_mut(&id) else {
            return;
        };
        open.replica = Some(key);
        let long = u32::from(open.class == Class::Long);
        if let Some(pool) = self.pools.get_mut(&open.job.pool) {
            pool.running += 1;
            pool.long += long;
        }
        if let Some(replica) = self.replicas.get_mut(&key) {
            replica.running += 1;
            replica.long += long;
            replica.jobs.insert(id);
        }
        self.index(key);
    }

    /// Counts the job off its replica; the replica, if there was one.
    pub(super) fn take_off(&mut self, id: job::Id) -> Option<replica::Key> {
        let open = self.open.get_mut(&id)?;
        let key = open.replica.take()?;
        let long = u32::from(open.class == Class::Long);
        if let Some(pool) = self.pools.get_mut(&open.job.pool) {
            pool.running -= 1;
            pool.long -= long;
        }
        if let Some(replica) = self.replicas.get_mut(&key) {
            replica.running -= 1;
            replica.long -= long;
            replica.jobs.remove(&id);
        }
        self.moving.remove(&id);
        self.stirred.insert(open.job.pool);
        self.index(key);
        Some(key)
    }

    /// Brings the pool's index in step with the replica.
    pub(super) fn index(&mut self, key: replica::Key) {
        let Some(replica) = self.replicas.get_mut(&key) else {
            return;
        };
        let Some(pool) = self.pools.get_mut(&replica.spec.pool) else {
            return;
        };
        let load = replica.running * LOAD_PARTS / replica.limit.max(1);
        let indexed = replica.has_room().then_some(load);
        let counted = if replica.leaving { 0 } else { replica.limit };
        pool.slots = pool.slots + counted - replica.counted;
        replica.counted = counted;
        if let Some(load) = replica.indexed {
            pool.roomy.remove(&(load, key));
        }
        if let Some(load) = indexed {
            pool.roomy.insert((load, key));
        }
        replica.indexed = indexed;
    }

    /// Sets how much we may run on the replica by what it reports.
    ///
    /// Each entry always has its equal part. Of slots that the report shows free it may take its equal
    /// part once more, so that all entries together overbook by no more than the free slots; while
    /// work waits inside the replica the limit falls back towards the equal part.
    pub(super) fn note_report(&mut self, _now: Time, key: replica::Key, report: replica::Report) {
        let entries = self.settings.placement.entries;
        let drawn: f64 = self.random.random();
        let Some(replica) = self.replicas.get_mut(&key) else {
            return;
        };
        let part = replica.part(entries);
        let busy = report.running + report.waiting;
        let free = replica.spec.slots.saturating_sub(busy);
        let more = f64::from(free) * 2.0 / f64::from(entries);
        replica.limit = if report.waiting > 0 {
            part.max(replica.limit.min(replica.running).saturating_sub(1))
        } else {
            part.max(replica.running + (more + drawn) as u32)
                .min(replica.spec.slots)
        };
        self.stirred.insert(replica.spec.pool);
        self.index(key);
    }
}
