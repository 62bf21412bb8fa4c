//! Replicas that set rate limits or ask for pauses.

use std::collections::BTreeMap;

use clock::Span;
use clock::Time;

use crate::job;
use crate::job::Job;
use crate::pace::Share;
use crate::pool;
use crate::replica;
use crate::scheduler::Scheduler;
use crate::scheduler::state::Pool;
use crate::scheduler::state::Replica;
use crate::tolerance;
use crate::version;

/// Predicted wait where the replicas accept nothing from this entry.
const CLOSED_WAIT: Span = Span::from_seconds(3_600);

impl Scheduler {
    /// Sets this entry's share of a replica's limit; returns whether the replica is or was limited.
    pub(super) fn set_share(&mut self, now: Time, key: replica::Key, share: Share) -> bool {
        let Some(replica) = self.replicas.get_mut(&key) else {
            return false;
        };
        let was_limited = replica.gate.is_limited();
        replica.gate.set(&self.settings.pace, now, share);
        let changed = was_limited || replica.gate.is_limited();
        if changed {
            let pool = replica.spec.pool;
            self.throttled.insert(key);
            self.mark_pool(pool);
        }
        changed
    }

    /// Sets this entry's share of the rejections that a replica bears.
    pub(super) fn set_tolerance(&mut self, key: replica::Key, share: Option<tolerance::Share>) {
        let Some(replica) = self.replicas.get_mut(&key) else {
            return;
        };
        if !replica.tolerance.is_limited() && share.is_none() {
            return;
        }
        replica.tolerance.set(share);
        let pool = replica.spec.pool;
        self.throttled.insert(key);
        self.mark_pool(pool);
    }

    /// Starts a replica's pause, and gives up waiting jobs that no replica accepts in time.
    pub(super) fn start_pause(&mut self, now: Time, key: replica::Key, pause: Span) {
        let Some(replica) = self.replicas.get_mut(&key) else {
            return;
        };
        replica.pause.extend(now, pause);
        let pool = replica.spec.pool;
        self.throttled.insert(key);
        self.mark_pool(pool);
        self.give_up_unservable(now, pool);
    }

    /// Marks pools in which a throttled replica accepts requests again.
    pub(super) fn mark_reopened_pools(&mut self, now: Time) {
        let reopened = self.reopenings(now).filter(|(opens, _)| *opens <= now);
        let pools: Vec<pool::Key> = reopened.map(|(_, pool)| pool).collect();
        self.throttles_checked = now;
        for pool in pools {
            self.mark_pool(pool);
        }
        let replicas = &self.replicas;
        self.throttled.retain(|key| {
            let replica = replicas.get(key);
            replica.is_some_and(|replica| replica.is_throttled(now))
        });
    }

    /// Returns when a throttled replica accepts requests again next.
    pub(super) fn next_reopening(&self) -> Option<Time> {
        self.reopenings(self.throttles_checked)
            .map(|(opens, _)| opens)
            .min()
    }

    /// Returns when throttled replicas accept requests again, with the pools whose jobs wait for that.
    fn reopenings(&self, now: Time) -> impl Iterator<Item = (Time, pool::Key)> {
        self.throttled.iter().filter_map(move |key| {
            let replica = self.replicas.get(key)?;
            let pool = self.pools.get(&replica.spec.pool)?;
            let waits = pool.members.contains(key) && !pool.queue.is_empty();
            let opens = replica.accepts_at(now).filter(|_| waits)?;
            (opens > self.throttles_checked).then_some((opens, replica.spec.pool))
        })
    }

    /// Returns the minimum wait of one more job that the replicas' limits and pauses impose.
    pub(super) fn throttled_wait(
        &self,
        now: Time,
        pool: &Pool,
        version: Option<version::Key>,
    ) -> Span {
        let pause = self.remaining_pause(now, pool, version);
        pause.max(self.paced_wait(now, pool, version))
    }

    /// Returns how long every replica that may run the job still pauses; zero if one doesn't.
    pub(super) fn pause_of(&self, now: Time, job: &Job) -> Span {
        let pool = self.pools.get(&job.pool);
        pool.map_or(Span::ZERO, |pool| {
            self.remaining_pause(now, pool, job.terms.version)
        })
    }

    /// Returns how long every replica of the pool, or of one version, still pauses; zero if one doesn't.
    fn remaining_pause(&self, now: Time, pool: &Pool, version: Option<version::Key>) -> Span {
        let members = self.members(pool, version);
        let ends = members.map(|replica| replica.pause.ends_at());
        ends.min().map_or(Span::ZERO, |end| end.since(now))
    }

    /// Returns the minimum wait of one more job if every replica that doesn't pause sets a limit; zero
    /// otherwise.
    fn paced_wait(&self, now: Time, pool: &Pool, version: Option<version::Key>) -> Span {
        let mut available = self
            .members(pool, version)
            .filter(|replica| !replica.pause.is_active(now))
            .peekable();
        if available.peek().is_none() {
            return Span::ZERO;
        }
        let Some(rate) = available
            .map(|replica| replica.gate.rate())
            .sum::<Option<f64>>()
        else {
            return Span::ZERO;
        };
        let ahead = pool.queue.len() as f64 / (rate / 1_000.0);
        match ahead.is_finite() && rate > 0.0 {
            true => Span::from_millis(ahead as u64).min(CLOSED_WAIT),
            false => CLOSED_WAIT,
        }
    }

    fn members(
        &self,
        pool: &Pool,
        version: Option<version::Key>,
    ) -> impl Iterator<Item = &Replica> {
        let members = pool.members.iter().filter_map(|key| self.replicas.get(key));
        members.filter(move |replica| replica.runs(version))
    }

    /// Makes waiting jobs due for refusal that would expire before a replica accepts requests again.
    fn give_up_unservable(&mut self, now: Time, key: pool::Key) {
        let mut pauses = BTreeMap::new();
        let mut is_unservable = |deadline: Time, job: &Job| {
            if job.pool != key {
                return false;
            }
            let pause = pauses.entry(job.terms.version);
            deadline < now + *pause.or_insert_with(|| self.pause_of(now, job))
        };
        let unservable: Vec<(Time, job::Id)> = self
            .expiry
            .iter()
            .filter(|(deadline, _)| *deadline > now)
            .filter(|(deadline, id)| {
                let open = self.open.get(id);
                open.is_some_and(|open| is_unservable(*deadline, &open.job))
            })
            .copied()
            .collect();
        for (deadline, id) in unservable {
            self.expiry.remove(&(deadline, id));
            self.expiry.insert((now, id));
            if let Some(open) = self.open.get_mut(&id) {
                open.start_deadline = now;
            }
        }
    }
}
