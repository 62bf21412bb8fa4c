//! Replicas that leave: their jobs move on, the replica is forgotten.

use clock::Time;

use crate::decision::Decision;
use crate::decision::Transfer;
use crate::job;
use crate::replica;
use crate::scheduler::Scheduler;

impl Scheduler {
    /// Gives the replica no more work and marks its model jobs for moving.
    pub(super) fn leave(&mut self, _now: Time, key: replica::Key, _deadline: Time) {
        let Some(replica) = self.replicas.get_mut(&key) else {
            return;
        };
        replica.leaving = true;
        for id in &replica.jobs {
            let kind = self.open.get(id).map(|open| open.job.kind);
            if kind == Some(job::Kind::Model) {
                self.moving.insert(*id);
            }
        }
        self.drop_member(key);
    }

    /// Moves what must move, while there is room for it.
    pub(super) fn move_on(&mut self, now: Time, out: &mut Vec<Decision>) {
        let moving: Vec<job::Id> = self.moving.iter().copied().collect();
        for id in moving {
            let pool = self
                .open
                .get(&id)
                .and_then(|open| self.pools.get(&open.job.pool));
            let Some(candidates) = pool.map(|pool| self.candidates(now, pool)) else {
                continue;
            };
            let Some(to) = self.choose(now, id, &candidates) else {
                continue;
            };
            let Some(from) = self.take_off(now, id, job::End::Left) else {
                continue;
            };
            self.put_on(now, id, to);
            out.push(Decision::Move {
                job: id,
                from,
                to,
                how: Transfer::Kv,
            });
        }
    }

    /// Drops a replica that is gone.
    pub(super) fn forget(&mut self, key: replica::Key) {
        self.drop_member(key);
        let Some(replica) = self.replicas.get_mut(&key) else {
            return;
        };
        replica.lost = true;
        if replica.jobs.is_empty() {
            self.replicas.remove(&key);
        }
    }
}
