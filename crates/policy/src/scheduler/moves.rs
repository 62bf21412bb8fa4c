//! Leaving replicas: their jobs are moved as planned by [`crate::wave`].

use std::collections::BTreeMap;

use clock::Span;
use clock::Time;

use crate::decision::Decision;
use crate::job;
use crate::replica;
use crate::scheduler::Scheduler;
use crate::scheduler::state::Open;
use crate::scheduler::state::Pool;
use crate::scheduler::state::Replica;
use crate::scheduler::state::Round;
use crate::version;
use crate::wave;
use crate::wave::Action;

impl Scheduler {
    /// Excludes a leaving replica from new work; moves of its jobs are planned once the wave is gathered.
    pub(super) fn begin_leave(&mut self, now: Time, key: replica::Key, deadline: Time) {
        self.remove_member(key);
        let Some(replica) = self.replicas.get_mut(&key) else {
            return;
        };
        // Several sources report the same departure; the earliest deadline counts.
        let is_earlier = replica.leaving.is_none_or(|known| deadline < known);
        if !is_earlier {
            return;
        }
        replica.leaving = Some(deadline);
        self.include_in_wave(now, key);
    }

    /// Includes the jobs of the replica in the wave's plan, if it is leaving.
    pub(super) fn include_in_wave(&mut self, now: Time, key: replica::Key) {
        let Some(replica) = self.replicas.get(&key) else {
            return;
        };
        if replica.leaving.is_none() {
            return;
        }
        if self.settings.placement.wave && !replica.jobs.is_empty() {
            self.leaving.insert(key);
            self.next_review
                .get_or_insert(now + self.settings.placement.gather_window);
        }
    }

    /// Removes a replica that is gone.
    pub(super) fn remove_replica(&mut self, key: replica::Key) {
        self.remove_member(key);
        self.leaving.remove(&key);
        self.throttled.remove(&key);
        let Some(replica) = self.replicas.get_mut(&key) else {
            return;
        };
        replica.lost = true;
        self.speeds.remove(replica.identity);
        if replica.jobs.is_empty() {
            self.replicas.remove(&key);
        }
    }

    /// Plans moves if a review is due, and makes the moves that are due.
    pub(super) fn run_moves(&mut self, now: Time, out: &mut Vec<Decision>) {
        if self.next_review.is_some_and(|review| review <= now) {
            self.plan_moves(now);
        }
        let due: Vec<wave::Step> = self
            .planned_moves
            .values()
            .filter(|step| start_of(step).is_some_and(|at| at <= now))
            .copied()
            .collect();
        for step in due {
            self.planned_moves.remove(&step.job);
            self.make_move(now, step, out);
        }
    }

    /// Returns when the next planned move is due.
    pub(super) fn next_move(&self) -> Option<Time> {
        self.planned_moves.values().filter_map(start_of).min()
    }

    fn plan_moves(&mut self, now: Time) {
        let replicas = &self.replicas;
        self.leaving.retain(|key| {
            replicas
                .get(key)
                .is_some_and(|replica| !replica.jobs.is_empty())
        });
        let next = now + self.settings.placement.replan_interval;
        self.next_review = (!self.leaving.is_empty()).then_some(next);
        let mut planned = Vec::new();
        for pool in self.pools.values() {
            for (version, sources) in self.sources(pool) {
                let jobs = self.jobs_to_move(&sources);
                let targets = self.targets(now, pool, version, &sources);
                planned.extend(wave::plan(
                    &self.settings.wave,
                    now,
                    &sources,
                    &jobs,
                    &targets,
                ));
            }
        }
        let moves = planned.into_iter().filter(|step| start_of(step).is_some());
        self.planned_moves
            .extend(moves.map(|step| (step.job, step)));
    }

    /// Returns the pool's leaving replicas by version.
    fn sources(&self, pool: &Pool) -> BTreeMap<version::Key, Vec<wave::Source>> {
        let mut sources: BTreeMap<version::Key, Vec<wave::Source>> = BTreeMap::new();
        for key in &self.leaving {
            let Some(replica) = self.replicas.get(key) else {
                continue;
            };
            let is_member = self
                .pools
                .get(&replica.spec.pool)
                .is_some_and(|other| std::ptr::eq(other, pool));
            let Some(deadline) = replica.leaving.filter(|_| is_member) else {
                continue;
            };
            let source = wave::Source {
                key: *key,
                deadline,
            };
            let of_version = sources.entry(replica.spec.version).or_default();
            of_version.push(source);
        }
        sources
    }

    /// Returns the jobs on the sources that have no planned move yet.
    fn jobs_to_move(&self, sources: &[wave::Source]) -> Vec<wave::Running> {
        let ids = sources
            .iter()
            .filter_map(|source| self.replicas.get(&source.key))
            .flat_map(|replica| &replica.jobs)
            .filter(|id| !self.planned_moves.contains_key(id));
        ids.filter_map(|id| self.running_job(self.open.get(id)?))
            .collect()
    }

    fn running_job(&self, open: &Open) -> Option<wave::Running> {
        let account = self.accounts.get(&open.job.account)?;
        let expected = account.estimate.expect(open.job.max_new_tokens);
        // An answer that has outgrown the mean goes on: what is left of it isn't next to nothing.
        let max_left = open
            .job
            .max_new_tokens
            .saturating_sub(open.generated)
            .max(1);
        let left = expected
            .saturating_sub(open.generated)
            .max(expected / 2)
            .min(max_left);
        Some(wave::Running {
            id: open.job.id,
            from: open.replica?,
            kind: open.job.kind,
            tokens: open.job.prompt_tokens.saturating_add(open.generated),
            remaining: expected_gap(open).times(u64::from(left)),
            idempotent: open.job.idempotent,
        })
    }

    /// Returns replicas of a version with room, if possible confirmed ones outside the zones that are leaving.
    fn targets(
        &self,
        now: Time,
        pool: &Pool,
        version: version::Key,
        sources: &[wave::Source],
    ) -> Vec<wave::Target> {
        let settings = &self.settings;
        let zones: Vec<u64> = sources
            .iter()
            .filter_map(|source| self.replicas.get(&source.key))
            .map(|replica| replica.zone)
            .collect();
        let soonest = sources
            .iter()
            .map(|source| source.deadline.since(now))
            .min();
        let window = settings.wave.margin + settings.placement.overbook_window;
        let overbook = soonest.is_some_and(|left| left <= window);
        let (mut outside, mut inside) = (Vec::new(), Vec::new());
        for candidate in self.candidates(now, pool, Some(version)) {
            let replica = self.replicas.get(&candidate.key);
            let Some(replica) = replica.filter(|replica| !replica.is_throttled(now)) else {
                continue;
            };
            let free = (f64::from(replica.spec.slots) - candidate.load).max(0.0) as u32;
            let slots = match (overbook, candidate.open) {
                (true, _) => replica.spec.slots,
                (false, true) if replica.share.owned().is_some() => {
                    let limit = replica.share.limit(now, replica.spec.slots, 1);
                    limit.saturating_sub(replica.running())
                }
                (false, true) => free.div_ceil(settings.concurrency.entries).max(1),
                (false, false) => 0,
            };
            let target = wave::Target {
                key: candidate.key,
                slots,
                tokens: u64::MAX,
            };
            match zones.contains(&replica.zone) || replica.unconfirmed {
                true => inside.push(target),
                false => outside.push(target),
            }
        }
        if outside.is_empty() { inside } else { outside }
    }

    fn make_move(&mut self, now: Time, step: wave::Step, out: &mut Vec<Decision>) {
        let Action::Move { to, transfer, .. } = step.action else {
            return;
        };
        let is_usable = |replica: &Replica| {
            replica.leaving.is_none() && !replica.lost && !replica.pause.is_active(now)
        };
        // If the target is gone or pauses by now, the next review plans the job again.
        if !self.replicas.get(&to).is_some_and(is_usable) {
            return;
        }
        let Some(from) = self.detach(now, step.job, job::End::Left) else {
            return;
        };
        if let Some(open) = self.open.get_mut(&step.job) {
            open.moved = true;
            open.started = now;
            open.last_token_at = now;
            open.round = Round::default();
        }
        self.attach(now, step.job, to);
        out.push(Decision::Move {
            job: step.job,
            from,
            to,
            transfer,
        });
    }
}

/// Returns when a planned move begins.
fn start_of(step: &wave::Step) -> Option<Time> {
    match step.action {
        Action::Move { start: at, .. } => Some(at),
        Action::Finish | Action::Wait => None,
    }
}

/// Returns the expected time per token: the mean so far, or the target.
fn expected_gap(open: &Open) -> Span {
    let measured =
        open.last_token_at.since(open.started).as_millis() / u64::from(open.generated.max(1));
    match open.generated {
        0 => open.job.token_gap,
        _ => Span::from_millis(measured.max(1)),
    }
}
