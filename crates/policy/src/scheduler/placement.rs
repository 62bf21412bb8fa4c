//! Choice of the next job and of its replica.

use clock::Time;

use crate::affinity::Candidate;
use crate::contention;
use crate::decision::Decision;
use crate::health::Allowance;
use crate::job;
use crate::job::Job;
use crate::pool;
use crate::rendezvous;
use crate::replica;
use crate::scheduler::Scheduler;
use crate::scheduler::selective::Passed;
use crate::scheduler::state::Pool;
use crate::scheduler::state::Replica;
use crate::scheduler::state::Round;
use crate::size;
use crate::size::Class;

impl Scheduler {
    /// Starts jobs of the pool while there is room.
    pub(super) fn dispatch(&mut self, now: Time, key: pool::Key, out: &mut Vec<Decision>) {
        self.requeue_stranded(now, key);
        if self
            .pools
            .get(&key)
            .is_none_or(|pool| pool.queue.is_empty())
        {
            return;
        }
        self.refresh_division(now, key);
        self.hold_suspects(now, key, out);
        let mut passed = Passed::default();
        let mut holds_up = false;
        while let Some(pool) = self.pools.get(&key).filter(|pool| !pool.queue.is_empty()) {
            let candidates = self.candidates(now, pool, None);
            let lanes = self.lanes(now, pool);
            // Suspects behind a job that is passed over haven't been held yet.
            let waits = |id| {
                passed.contains(id, self.version_of(id))
                    || passed.is_any() && self.is_suspect(now, id)
            };
            let heads = pool.queue.heads(self.settings.placement.max_heads, waits);
            let start = heads.iter().find_map(|head| {
                let bound = self.candidates_of_version(now, key, head.id);
                let candidates = bound.as_deref().unwrap_or(&candidates);
                Some((*head, self.choose(now, head.id, candidates, &lanes)?))
            });
            let Some((head, replica)) = start else {
                let is_any_open = candidates.iter().any(|candidate| candidate.open);
                if self.pass_over(now, key, &heads, is_any_open, &mut passed) {
                    continue;
                }
                holds_up = !heads.is_empty();
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
            pool.full = holds_up;
        }
    }

    /// Returns the candidates for a job whose stream a version has begun.
    fn candidates_of_version(
        &self,
        now: Time,
        key: pool::Key,
        id: job::Id,
    ) -> Option<Vec<Candidate>> {
        let version = self.version_of(id)?;
        Some(self.candidates(now, self.pools.get(&key)?, Some(version)))
    }

    /// Chooses a replica for the job among the candidates.
    pub(super) fn choose(
        &mut self,
        now: Time,
        id: job::Id,
        candidates: &[Candidate],
        lanes: &[replica::Key],
    ) -> Option<replica::Key> {
        let open = self.open.get(&id)?;
        let pool = self.pools.get(&open.job.pool)?;
        let (job, class, yields) = (open.job, open.class, open.yields);
        let may_borrow = now >= open.borrows_from;
        let may_own = !yields || self.has_spare_slots(now, pool);
        let free = |candidate: &Candidate| {
            let fits = match self.would_borrow(now, candidate) {
                true => may_borrow,
                false => may_own || self.is_mostly_free(now, candidate),
            };
            candidate.open && open.may_try(candidate.key) && fits
        };
        // The replica where the job was interrupted still has its prompt cached.
        let interrupted_at = open.interrupted_at;
        let returns = |candidate: &&Candidate| Some(candidate.key) == interrupted_at;
        if let Some(candidate) = candidates.iter().filter(returns).find(|one| one.open) {
            return Some(candidate.key);
        }
        let in_lane = |candidate: &Candidate| lanes.contains(&candidate.key);
        // The replicas of one version may all be lanes, or none of them.
        let is_bound = job.terms.version.is_some();
        let fits = |candidate: &Candidate| {
            free(candidate) && (is_bound || in_lane(candidate) == (class == Class::Long))
        };
        let narrow = |fits: &dyn Fn(&Candidate) -> bool| -> Vec<Candidate> {
            let narrowed = |candidate: &Candidate| Candidate {
                open: fits(candidate),
                ..*candidate
            };
            candidates.iter().map(narrowed).collect()
        };
        let mut narrowed = narrow(&fits);
        // Short jobs take a lane if nothing else is open; long ones leave the other replicas to them.
        if class == Class::Short && !narrowed.iter().any(|candidate| candidate.open) {
            narrowed = narrow(&free);
        }
        // An entry's home for a prefix is the first in its order of the replicas where the entry may run jobs.
        narrowed.retain(|candidate| {
            let replica = self.replicas.get(&candidate.key);
            replica.is_some_and(|replica| !replica.is_foreign(now))
        });
        self.choose_by_prefix(now, &job, &narrowed)
    }

    /// Returns whether a job that gives way may take a slot of this entry where slots are divided: enough free ones are left
    /// to others then.
    pub(super) fn has_spare_slots(&self, now: Time, pool: &Pool) -> bool {
        let (mut owned, mut free) = (0, 0);
        let members = pool.members.iter();
        for replica in members.filter_map(|key| self.replicas.get(key)) {
            let usable = replica.share.usable(now);
            owned += usable;
            free += usable.saturating_sub(replica.running());
        }
        free > contention::reserve(&self.settings.contention, owned)
    }

    /// Returns whether a job that gives way may take any slot of this entry there: slots aren't divided, or a report shows
    /// more of them free than the reserve of their owners.
    pub(super) fn is_mostly_free(&self, now: Time, candidate: &Candidate) -> bool {
        let replica = self.replicas.get(&candidate.key);
        replica.is_some_and(|one| one.share.owned().is_none() || one.share.is_mostly_free(now))
    }

    /// Returns whether a job at this candidate would take a borrowed slot where slots are divided.
    pub(super) fn would_borrow(&self, now: Time, candidate: &Candidate) -> bool {
        let replica = self.replicas.get(&candidate.key);
        replica.is_some_and(|replica| replica.would_borrow(now))
    }

    fn choose_by_prefix(
        &mut self,
        now: Time,
        job: &Job,
        candidates: &[Candidate],
    ) -> Option<replica::Key> {
        if !candidates.iter().any(|candidate| candidate.open) {
            return None;
        }
        if !self.settings.placement.affinity {
            let open = candidates.iter().filter(|candidate| candidate.open);
            return open
                .min_by(|a, b| a.load.total_cmp(&b.load))
                .map(|candidate| candidate.key);
        }
        let affinity = &mut self.pools.get_mut(&job.pool)?.affinity;
        // Plain calls share no cache: affinity would only queue all of them on one replica.
        if job.kind == job::Kind::Plain {
            return affinity.balance(candidates);
        }
        let speeds = &self.speeds;
        let share = |candidate: &Candidate| speeds.relative(candidate.identity);
        let choice = affinity.choose_weighted(now, job.prefix, candidates, share)?;
        Some(choice.replica())
    }

    /// Returns the first replica of the same version other than `chosen` in the order of the job's prefix: its
    /// home or, if that is `chosen`, its second choice, which was the home before `chosen` joined or took what
    /// the home had no room for.
    pub(super) fn other_home(
        &self,
        now: Time,
        id: job::Id,
        chosen: replica::Key,
    ) -> Option<replica::Key> {
        let job = self.open.get(&id)?.job;
        let pool = self.pools.get(&job.pool)?;
        if job.kind == job::Kind::Plain || job.prefix == 0 {
            return None;
        }
        let version = self.replicas.get(&chosen)?.spec.version;
        let usable = pool.members.iter().filter_map(|key| {
            let replica = self.replicas.get(key)?;
            let healthy = pool.monitor.allowance(*key) == Allowance::Full && !replica.unconfirmed;
            let fits = replica.spec.version == version;
            let usable = healthy && fits && !replica.pause.is_active(now);
            let share = self.speeds.relative(replica.identity);
            (usable && *key != chosen).then_some((*key, replica.identity, share))
        });
        rendezvous::top_two_weighted(job.prefix, usable).0
    }

    /// Returns the replicas that run long jobs, without unconfirmed and pausing ones if possible: long jobs
    /// would wait for those beside free replicas. Where slots are divided, only replicas where this entry owns some
    /// count, if there are any.
    pub(super) fn lanes(&self, now: Time, pool: &Pool) -> Vec<replica::Key> {
        let with_replica = |key: &replica::Key| Some((*key, self.replicas.get(key)?));
        let (usable, others): (Vec<_>, Vec<_>) = pool
            .members
            .iter()
            .filter_map(with_replica)
            .partition(|(_, replica)| !replica.unconfirmed && !replica.pause.is_active(now));
        let mut members = if usable.is_empty() { others } else { usable };
        let is_foreign = |(_, replica): &(replica::Key, &Replica)| replica.share.owned() == Some(0);
        if members.iter().all(is_foreign) {
            // All that this entry can run on is borrowed: a long job takes what it gets.
            return members.into_iter().map(|(key, _)| key).collect();
        }
        members.retain(|member| !is_foreign(member));
        let count = pool.classes.lane_count(&self.settings.size, members.len());
        let ranked = members
            .into_iter()
            .map(|(key, replica)| (key, replica.identity));
        size::select_lanes(count, ranked)
    }

    pub(super) fn start(&mut self, now: Time, id: job::Id, replica: replica::Key) {
        let Some(open) = self.open.get_mut(&id) else {
            return;
        };
        self.expiry.remove(&(open.start_deadline, id));
        open.place = None;
        open.started = now;
        open.last_token_at = now;
        open.round = Round::default();
        open.outstanding = open.cost;
        open.moved = false;
        open.answered_at = None;
        open.is_proven = false;
        open.record_attempt(replica);
        if let Some(replica) = self.replicas.get_mut(&replica) {
            replica.gate.take(now);
            replica.pause.record_start(id);
        }
        self.attach(now, id, replica);
    }

    /// Assigns the job to a replica.
    pub(super) fn attach(&mut self, now: Time, id: job::Id, key: replica::Key) {
        let Some(open) = self.open.get_mut(&id) else {
            return;
        };
        open.replica = Some(key);
        if let Some(pool) = self.pools.get_mut(&open.job.pool) {
            pool.running += 1;
            pool.monitor.record_start(now, key);
        }
        if let Some(replica) = self.replicas.get_mut(&key) {
            replica.load.started(now, open.outstanding);
            replica.jobs.insert(id);
        }
    }

    /// Detaches the job from its replica after `end`; returns the replica, if there was one.
    pub(super) fn detach(&mut self, now: Time, id: job::Id, end: job::End) -> Option<replica::Key> {
        let open = self.open.get_mut(&id)?;
        let key = open.replica.take()?;
        if let Some(pool) = self.pools.get_mut(&open.job.pool) {
            pool.running -= 1;
            pool.monitor.record_end(now, key, end);
        }
        if let Some(replica) = self.replicas.get_mut(&key) {
            replica.load.ended(now, open.outstanding);
            replica.jobs.remove(&id);
            if end == job::End::Finished {
                replica.pause.record_response(id);
            }
            replica.pause.record_end(id);
            replica.tolerance.record_end(now, end);
        }
        self.planned_moves.remove(&id);
        let pool = open.job.pool;
        self.end_trial(id, key);
        self.mark_pool(pool);
        let detached = self.replicas.get(&key);
        if detached.is_some_and(|replica| replica.lost && replica.jobs.is_empty()) {
            self.replicas.remove(&key);
        }
        Some(key)
    }
}
