//! Replicas: joins, load reports, health and room for jobs.

use clock::Time;
use rand::RngExt;

use crate::affinity::Candidate;
use crate::health::Allowance;
use crate::pool;
use crate::replica;
use crate::scheduler::Scheduler;
use crate::scheduler::state::Pool;
use crate::scheduler::state::Replica;
use crate::slots;
use crate::version;

impl Scheduler {
    /// Adds a replica.
    pub(super) fn add_replica(&mut self, now: Time, spec: replica::Spec) -> replica::Key {
        let key = replica::Key(self.next_replica);
        self.next_replica += 1;
        let replica = Replica::new(now, spec, &self.settings);
        let pool = self.pool_mut(replica.spec.pool);
        pool.members.insert(key);
        pool.monitor.add(now, key);
        pool.warmup.add(now, key);
        pool.division_stale = true;
        self.mark_pool(replica.spec.pool);
        self.speeds.add(replica.identity, replica.spec.pool.0);
        self.replicas.insert(key, replica);
        key
    }

    /// Removes a replica from its pool, if it still belongs to it.
    pub(super) fn remove_member(&mut self, key: replica::Key) {
        let Some(replica) = self.replicas.get(&key) else {
            return;
        };
        let Some(pool) = self.pools.get_mut(&replica.spec.pool) else {
            return;
        };
        if pool.members.remove(&key) {
            pool.monitor.remove(key);
            pool.warmup.remove(key);
            pool.affinity.remove_replica(key);
            pool.division_stale = true;
        }
        self.mark_pool(replica.spec.pool);
    }

    pub(super) fn record_report(&mut self, now: Time, key: replica::Key, report: replica::Report) {
        let drawn: f64 = self.random.random();
        let settings = &self.settings;
        let Some(replica) = self.replicas.get_mut(&key) else {
            return;
        };
        replica.load.reported(now, &report);
        let (slots, running) = (replica.spec.slots, replica.jobs.len() as u32);
        match replica.share.owned() {
            Some(_) => {
                let entries = self.members.len() as u32;
                let borrowed =
                    slots::draw_borrowed(&settings.division, slots, entries, &report, drawn);
                let until = now + (settings.division.max_report_age - report.age);
                replica
                    .share
                    .record_divided_report(until, slots, running, &report, borrowed);
                let lendable = slots::lendable(&settings.division, slots, &report);
                replica.share.set_mostly_free(until, lendable > 0.0);
            }
            None => replica.share.record_report(
                &settings.slots,
                slots,
                settings.concurrency.entries,
                running,
                &report,
                drawn,
            ),
        }
        let pool = replica.spec.pool;
        if let Some(pool) = self.pools.get_mut(&pool) {
            pool.monitor.record_report(now, key);
        }
        self.mark_pool(pool);
    }

    pub(super) fn set_unconfirmed(&mut self, key: replica::Key, unconfirmed: bool) {
        let Some(replica) = self.replicas.get_mut(&key) else {
            return;
        };
        replica.unconfirmed = unconfirmed;
        let pool = replica.spec.pool;
        self.mark_pool(pool);
    }

    pub(super) fn record_cache_event(
        &mut self,
        now: Time,
        key: replica::Key,
        sequence: u64,
        prefix: u64,
        stored: bool,
    ) {
        let Some(replica) = self.replicas.get(&key) else {
            return;
        };
        if let Some(pool) = self.pools.get_mut(&replica.spec.pool) {
            pool.affinity
                .cache_event(now, key, sequence, prefix, stored);
        }
    }

    /// Evaluates the health of each pool that is due.
    pub(super) fn evaluate_health(&mut self, now: Time) {
        for (key, pool) in &mut self.pools {
            if pool.monitor.next_wake() <= now {
                for member in &pool.members {
                    if let Some(replica) = self.replicas.get(member) {
                        let speed = self.speeds.settled(replica.identity);
                        let learning =
                            self.speeds
                                .is_learning(now, replica.identity, replica.joined_at);
                        pool.monitor.set_speed(*member, speed, learning);
                    }
                }
                pool.monitor.tick(now);
                pool.full = false;
                self.pending_pools.insert(*key);
            }
        }
    }

    /// Marks a pool that changed: the next poll examines its queue.
    pub(super) fn mark_pool(&mut self, key: pool::Key) {
        if let Some(pool) = self.pools.get_mut(&key) {
            pool.full = false;
            self.pending_pools.insert(key);
        }
    }

    pub(super) fn mark_all_pools(&mut self) {
        for (key, pool) in &mut self.pools {
            pool.full = false;
            self.pending_pools.insert(*key);
        }
    }

    /// Returns every member of the pool, or those of one version, with its load and whether it may take one
    /// more short job.
    pub(super) fn candidates(
        &self,
        now: Time,
        pool: &Pool,
        version: Option<version::Key>,
    ) -> Vec<Candidate> {
        let mean_own = pool.mean_own();
        let candidate = |key: &replica::Key| {
            let replica = self.replicas.get(key).filter(|one| one.runs(version))?;
            Some(Candidate {
                key: *key,
                identity: replica.identity,
                load: self.load(now, pool, *key, replica, mean_own),
                open: self.is_open(now, pool, *key, replica, mean_own),
            })
        };
        let mut candidates: Vec<Candidate> = pool.members.iter().filter_map(candidate).collect();
        self.avoid_reserved(now, &mut candidates);
        self.avoid_unconfirmed(&mut candidates);
        candidates
    }

    /// Returns whether a member of the pool runs that version, or any if it doesn't matter.
    pub(super) fn has_version(&self, pool: &Pool, version: Option<version::Key>) -> bool {
        let mut members = pool.members.iter().filter_map(|key| self.replicas.get(key));
        members.any(|replica| replica.runs(version))
    }

    /// Avoids replicas that may be gone, as long as there is room elsewhere.
    ///
    /// A replica may leave unnoticed during a partition: requests were sent to it until its absence was
    /// confirmed, and would have been lost with it. If all replicas are unconfirmed, or the others are
    /// full, they still get work: most of them are probably alive.
    fn avoid_unconfirmed(&self, candidates: &mut [Candidate]) {
        let unconfirmed = |candidate: &Candidate| {
            let replica = self.replicas.get(&candidate.key);
            replica.is_some_and(|replica| replica.unconfirmed)
        };
        avoid(candidates, unconfirmed);
    }

    /// Avoids replicas that run suspects, as long as there is room elsewhere: work that is refused for lack
    /// of room suffers more surely than work that shares a crash.
    fn avoid_reserved(&self, now: Time, candidates: &mut [Candidate]) {
        if !self.settings.placement.quarantine || self.quarantine.reserved_count(now) == 0 {
            return;
        }
        avoid(candidates, |candidate| {
            self.quarantine.is_reserved(now, candidate.identity)
        });
    }

    fn load(
        &self,
        now: Time,
        pool: &Pool,
        key: replica::Key,
        replica: &Replica,
        mean_own: f64,
    ) -> f64 {
        let load = match self.settings.placement.concurrency {
            true => replica.load.jobs(now, mean_own),
            false => f64::from(replica.running()),
        };
        let load = match self.settings.placement.warmup {
            true => pool.warmup.scaled_load(now, key, load),
            false => load,
        };
        load / self.speeds.relative(replica.identity)
    }

    /// Returns whether a replica may take one more job.
    pub(super) fn is_open(
        &self,
        now: Time,
        pool: &Pool,
        key: replica::Key,
        replica: &Replica,
        mean_own: f64,
    ) -> bool {
        let settings = &self.settings.placement;
        let healthy = match pool.monitor.allowance(key) {
            _ if !settings.health => true,
            Allowance::None => false,
            Allowance::Jobs(jobs) => replica.running() < jobs,
            Allowance::Full => true,
        };
        let has_slots = self.has_slots(now, replica, mean_own);
        let warm = !settings.warmup
            || replica.running() == 0
            || replica.load.jobs(now, mean_own)
                < f64::from(pool.warmup.max_jobs(now, key, replica.spec.slots));
        healthy && has_slots && warm && replica.accepts(now, mean_own)
    }

    /// Returns whether one more own job may run there, within the limit from its latency and within this
    /// entry's share of its slots. The entry's own slots don't depend on what others seem to run.
    fn has_slots(&self, now: Time, replica: &Replica, mean_own: f64) -> bool {
        let settings = &self.settings;
        let entries = settings.concurrency.entries;
        let (slots, running) = (replica.spec.slots, replica.running());
        let shared = settings.slots.enabled;
        if shared && running >= replica.share.limit(now, slots, entries) {
            return false;
        }
        if !settings.placement.concurrency {
            return running < slots;
        }
        if shared && replica.share.owned().is_some() {
            // What may be borrowed was drawn from a report; an estimate of the others doesn't count again.
            return running < replica.load.limit();
        }
        let owns_slot = shared && replica.share.is_within_share(slots, entries, running);
        let within_limit = running < replica.load.limit();
        owns_slot && within_limit || replica.load.is_open(now, mean_own)
    }
}

/// Closes the candidates to avoid, if any other is open.
fn avoid(candidates: &mut [Candidate], avoided: impl Fn(&Candidate) -> bool) {
    let has_alternative = candidates
        .iter()
        .any(|candidate| candidate.open && !avoided(candidate));
    if !has_alternative {
        return;
    }
    for candidate in candidates.iter_mut() {
        candidate.open &= !avoided(candidate);
    }
}
