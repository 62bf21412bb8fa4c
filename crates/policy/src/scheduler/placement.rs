//! Which job goes next, and to which replica.

use clock::Time;

use crate::affinity::Candidate;
use crate::decision::Decision;
use crate::fair::Head;
use crate::job;
use crate::pool;
use crate::replica;
use crate::scheduler::Scheduler;
use crate::scheduler::state::Pool;
use crate::size;
use crate::size::Class;

impl Scheduler {
    /// Starts jobs of the pool while there is room.
    pub(super) fn dispatch(&mut self, now: Time, key: pool::Key, out: &mut Vec<Decision>) {
        if self
            .pools
            .get(&key)
            .is_none_or(|pool| pool.queue.is_empty())
        {
            return;
        }
        self.set_suspects_aside(now, key, out);
        while let Some(pool) = self.pools.get(&key).filter(|pool| !pool.queue.is_empty()) {
            let candidates = self.candidates(now, pool);
            let heads = self.heads(pool);
            let start = heads
                .iter()
                .find_map(|head| Some((*head, self.choose(now, head.id, &candidates)?)));
            let Some((head, replica)) = start else {
                break;
            };
            if let Some(pool) = self.pools.get_mut(&key) {
                pool.queue.take(head.place);
            }
            self.start(now, head.id, replica);
            out.push(Decision::Start {
                job: head.id,
                replica,
            });
        }
        if let Some(pool) = self.pools.get_mut(&key) {
            pool.full = !pool.queue.is_empty();
        }
    }

    /// The jobs that may go next, in order.
    pub(super) fn heads(&self, pool: &Pool) -> Vec<Head> {
        let most = self.settings.placement.heads;
        let mut heads: Vec<(u64, Head)> = pool.queue.heads(Class::Short, most).collect();
        if self.class_has_room(pool, Class::Long) {
            heads.extend(pool.queue.heads(Class::Long, most));
            heads.sort_by_key(|(tag, head)| (*tag, head.place));
        }
        heads.into_iter().map(|(_, head)| head).collect()
    }

    /// A replica for the job among the candidates.
    pub(super) fn choose(
        &mut self,
        now: Time,
        id: job::Id,
        candidates: &[Candidate],
    ) -> Option<replica::Key> {
        let open = self.open.get(&id)?;
        let (key, prefix) = (open.job.pool, open.job.prefix);
        let fits = |candidate: &Candidate| {
            candidate.open
                && !open.tried.contains(&candidate.key)
                && self.takes_class(candidate.key, open.class)
        };
        let narrowed: Vec<Candidate> = candidates
            .iter()
            .map(|candidate| Candidate {
                open: fits(candidate),
                ..*candidate
            })
            .collect();
        if !narrowed.iter().any(|candidate| candidate.open) {
            return None;
        }
        if !self.settings.placement.affinity {
            let open = narrowed.iter().filter(|candidate| candidate.open);
            return open
                .min_by(|a, b| a.load.total_cmp(&b.load))
                .map(|candidate| candidate.key);
        }
        let affinity = &mut self.pools.get_mut(&key)?.affinity;
        affinity
            .choose(now, prefix, &narrowed)
            .map(|choice| choice.replica())
    }

    /// Whether one more job of the class may start in the pool, slots aside.
    pub(super) fn class_has_room(&self, pool: &Pool, class: Class) -> bool {
        let part = pool.part(self.settings.concurrency.entries);
        class == Class::Short || pool.long < size::cap(part, self.settings.size.pool_share)
    }

    fn takes_class(&self, key: replica::Key, class: Class) -> bool {
        let Some(replica) = self.replicas.get(&key) else {
            return false;
        };
        let part = replica
            .spec
            .slots
            .div_ceil(self.settings.concurrency.entries);
        let cap = size::cap(
            part.max(replica.running()),
            self.settings.size.replica_share,
        );
        class == Class::Short || replica.long < cap
    }

    pub(super) fn start(&mut self, now: Time, id: job::Id, replica: replica::Key) {
        let Some(open) = self.open.get_mut(&id) else {
            return;
        };
        self.expiry.remove(&(open.until, id));
        open.place = None;
        open.started = now;
        open.spoke = now;
        open.outstanding = open.cost;
        open.moved = false;
        open.tried.push(replica);
        self.put_on(now, id, replica);
    }

    /// Counts the job on the replica.
    pub(super) fn put_on(&mut self, now: Time, id: job::Id, key: replica::Key) {
        let Some(open) = self.open.get_mut(&id) else {
            return;
        };
        open.replica = Some(key);
        let long = u32::from(open.class == Class::Long);
        if let Some(pool) = self.pools.get_mut(&open.job.pool) {
            pool.running += 1;
            pool.long += long;
            pool.monitor.started(now, key);
        }
        if let Some(replica) = self.replicas.get_mut(&key) {
            replica.long += long;
            replica.load.started(now, open.outstanding);
            replica.jobs.insert(id);
        }
    }

    /// Counts the job off its replica, for that end; the replica, if there was one.
    pub(super) fn take_off(
        &mut self,
        now: Time,
        id: job::Id,
        end: job::End,
    ) -> Option<replica::Key> {
        let open = self.open.get_mut(&id)?;
        let key = open.replica.take()?;
        let long = u32::from(open.class == Class::Long);
        if let Some(pool) = self.pools.get_mut(&open.job.pool) {
            pool.running -= 1;
            pool.long -= long;
            pool.monitor.ended(now, key, end);
        }
        if let Some(replica) = self.replicas.get_mut(&key) {
            replica.long -= long;
            replica.load.ended(now, open.outstanding);
            replica.jobs.remove(&id);
        }
        self.steps.remove(&id);
        let pool = open.job.pool;
        self.end_trial(id, key);
        self.stir(pool);
        let gone = self.replicas.get(&key);
        if gone.is_some_and(|replica| replica.lost && replica.jobs.is_empty()) {
            self.replicas.remove(&key);
        }
        Some(key)
    }
}
