//! Replicas that set rate limits.

use clock::Span;
use clock::Time;

use crate::pace::Share;
use crate::pool;
use crate::replica;
use crate::scheduler::Scheduler;
use crate::scheduler::state::Pool;

/// Predicted wait where the replicas accept nothing from this entry.
const CLOSED_WAIT: Span = Span::from_seconds(3_600);

impl Scheduler {
    /// Sets this entry's share of a replica's limit; returns whether the replica is or was limited.
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
            self.mark_pool(pool);
        }
        changed
    }

    /// Marks pools in which a limited replica accepts requests again.
    pub(super) fn mark_paced_pools(&mut self, now: Time) {
        let paced = self.paced_wakes().filter(|(opens, _)| *opens <= now);
        let pools: Vec<pool::Key> = paced.map(|(_, pool)| pool).collect();
        self.paces_checked = now;
        for pool in pools {
            self.mark_pool(pool);
        }
    }

    /// Returns when a limited replica accepts requests again next.
    pub(super) fn next_paced(&self) -> Option<Time> {
        self.paced_wakes().map(|(opens, _)| opens).min()
    }

    /// Returns when limited replicas accept requests again, with the pools whose jobs wait for that.
    fn paced_wakes(&self) -> impl Iterator<Item = (Time, pool::Key)> {
        self.limited.iter().filter_map(|key| {
            let replica = self.replicas.get(key)?;
            let pool = self.pools.get(&replica.spec.pool)?;
            let waits = pool.members.contains(key) && !pool.queue.is_empty();
            let opens = replica.gate.opens_at().filter(|_| waits)?;
            (opens > self.paces_checked).then_some((opens, replica.spec.pool))
        })
    }

    /// Returns the minimum wait of one more job if every replica of the pool sets a limit; zero otherwise.
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
            true => Span::from_millis(ahead as u64).min(CLOSED_WAIT),
            false => CLOSED_WAIT,
        }
    }
}
