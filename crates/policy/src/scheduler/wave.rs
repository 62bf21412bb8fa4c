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
        let pool = replica.spec.pool;
        for id in &replica.jobs {
            let kind = self.open.get(id).map(|open| open.job.kind);
            if kind == Some(job::Kind::Model) {
                self.moving.insert(*id);
            }
        }
        self.index(key);
        if let Some(pool) = self.pools.get_mut(&pool) {
            pool.members.remove(&key);
        }
    }

    /// Moves what must move, while there is room for it.
    pub(super) fn move_on(&mut self, _now: Time, out: &mut Vec<Decision>) {
        let moving: Vec<job::Id> = self.moving.iter().copied().collect();
        for id in moving {
            let Some(to) = self.choose(id) else {
                continue;
            };
            let Some(from) = self.take_off(id) else {
                continue;
            };
            self.put_on(id, to);
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
        let Some(replica) = self.replicas.get_mut(&key) else {
            return;
        };
        replica.leaving = true;
        self.index(key);
        let Some(replica) = self.replicas.remove(&key) else {
            return;
        };
        if let Some(pool) = self.pools.get_mut(&replica.spec.pool) {
            pool.members.remove(&key);
        }
    }
}
