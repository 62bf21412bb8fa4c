//! Replicas that name how many requests they take.

use clock::Span;
use clock::Time;

use crate::pace::Share;
use crate::pool;
use crate::replica;
use crate::scheduler::Scheduler;
use crate::scheduler::state::Pool;

/// The wait for a replica that takes nothing from this entry.
const NEVER: Span = Span::from_seconds(3_600);

impl Scheduler {
    /// Sets what this entry may send to a replica; whether the replica was or is limited.
    pub(super) fn set_share(&mut self, now: Time, key: replica::Key, share: Share) -> bool {
        let Some(replica) = self.replicas.get_mut(&key) else {
            return false;
        };
        replica.gate.set(&self.settings.pace, now, share);
        let pool = replica.spec.pool;
        let changed = match share {
            Share::Unlimited => self.limited.remove(&key),
            Share::Nothing | Share::Part(_) => {
                self.limited.insert(key);
                true
            }
        };
        if changed {
            self.stir(pool);
        }
        changed
    }

    /// Looks at the queues of pools in which a limited replica takes a request again.
    pub(super) fn stir_paced(&mut self, now: Time) {
        let paced = self.paced().filter(|(opens, _)| *opens <= now);
        let pools: Vec<pool::Key> = paced.map(|(_, pool)| pool).collect();
        self.paces_seen = now;
        for pool in pools {
            self.stir(pool);
        }
    }

    /// When that is to be done next.
    pub(super) fn next_paced(&self) -> Option<Time> {
        self.paced().map(|(opens, _)| opens).min()
    }

    /// When limited replicas take a request again, and pools in which jobs wait for that.
    fn paced(&self) -> impl Iterator<Item = (Time, pool::Key)> {
        self.limited.iter().filter_map(|key| {
            let replica = self.replicas.get(key)?;
            let pool = self.pools.get(&replica.spec.pool)?;
            let waits = pool.members.contains(key) && !pool.queue.is_empty();
            let opens = replica.gate.opens_at().filter(|_| waits)?;
            (opens > self.paces_seen).then_some((opens, replica.spec.pool))
        })
    }

    /// How long one more job waits at least where every replica of the pool has named a limit.
    pub(super) fn paced_wait(&self, pool: &Pool) -> Span {
        let gates = pool
            .members
            .iter()
            .map(|key| self.replicas.get(key)?.gate.rate());
        let Some(rate) = gates
            .sum::<Option<f64>>()
            .filter(|_| !pool.members.is_empty())
        else {
            return Span::ZERO;
        };
        let ahead = pool.queue.len() as f64 / (rate / 1_000.0);
        match ahead.is_finite() && rate > 0.0 {
            true => Span::from_millis(ahead as u64).min(NEVER),
            false => NEVER,
        }
    }
}
