//! Requests that may have crashed a replica: held, run as trials, or refused for good.

use clock::Span;
use clock::Time;
use verdict::Reason;

use crate::decision::Decision;
use crate::health::Allowance;
use crate::job;
use crate::pool;
use crate::quarantine::Standing;
use crate::quarantine::parts;
use crate::replica;
use crate::scheduler::Scheduler;
use crate::scheduler::state::Claim;
use crate::scheduler::state::Open;
use crate::scheduler::state::Pool;

/// Message of refusals for a part of the prompt.
pub(super) const BLOCKED_PART: &str = "a part of its prompt crashes backend servers";
/// Trials of a stream beyond the usual attempts.
const STREAM_TRIALS: u32 = 2;

impl Scheduler {
    /// Returns whether the fingerprint is quarantined.
    pub(super) fn is_quarantined(&self, now: Time, fingerprint: u64) -> bool {
        let standing = self.quarantine.standing(now, fingerprint);
        self.settings.placement.quarantine && matches!(standing, Standing::Quarantined(_))
    }

    /// Takes a prompt with blocked parts if it is the one to try them; otherwise returns for how long it is refused.
    pub(super) fn admit_parts(
        &mut self,
        now: Time,
        id: job::Id,
        shared_parts: &[u64],
    ) -> Option<Span> {
        if !self.settings.placement.quarantine {
            return None;
        }
        match self.quarantine.prompt_standing(now, shared_parts) {
            parts::Standing::Clear => None,
            parts::Standing::Probe(part) => {
                self.quarantine.begin_probe(now, part, id.0);
                None
            }
            parts::Standing::Blocked(wait) => Some(wait),
        }
    }

    /// Records the whole answer to a job's prompt.
    pub(super) fn record_answer(&mut self, now: Time, id: job::Id) {
        let Some(open) = self.open.get(&id) else {
            return;
        };
        let replica = open.replica.and_then(|key| self.replicas.get(&key));
        if let Some(replica) = replica {
            self.quarantine
                .record_answer(now, replica.identity, &open.shared_parts);
        }
    }

    /// Records an answer that is long enough to prove its prompt sound, once per attempt.
    pub(super) fn prove_parts(&mut self, now: Time, id: job::Id) {
        let window = self.settings.quarantine.parts.answer_window;
        let Some(open) = self.open.get_mut(&id) else {
            return;
        };
        let is_long = open.answered_at.is_some_and(|at| now.since(at) > window);
        if !open.is_proven && is_long {
            open.is_proven = true;
            self.record_answer(now, id);
        }
    }

    /// Holds a crash against the shared parts of a job's prompt, unless its answer began long before.
    fn accuse_parts(&mut self, now: Time, id: job::Id) {
        let Some(open) = self.open.get(&id) else {
            return;
        };
        let replica = open.replica.and_then(|key| self.replicas.get(&key));
        let Some(replica) = replica.filter(|replica| replica.leaving.is_none()) else {
            return;
        };
        if !self.may_crash(now, open) || open.shared_parts.is_empty() {
            return;
        }
        let (identity, zone) = (replica.identity, replica.zone);
        self.quarantine
            .accuse_parts(now, identity, zone, id.0, &open.shared_parts);
    }

    /// Returns whether a crash of the job's replica may be due to its prompt.
    fn may_crash(&self, now: Time, open: &Open) -> bool {
        let window = self.settings.quarantine.parts.answer_window;
        open.answered_at.is_none_or(|at| now.since(at) <= window)
    }

    /// Stops and refuses jobs with parts that were found to crash replicas.
    pub(super) fn review_parts(&mut self, now: Time, out: &mut Vec<Decision>) {
        self.quarantine.judge_parts(now);
        let changes = self.quarantine.take_changes();
        let guilty = |change: &&parts::Change| change.blocked && !change.doubtful;
        let guilty: Vec<u64> = changes
            .iter()
            .filter(guilty)
            .map(|change| change.part)
            .collect();
        self.part_changes.extend(changes);
        if guilty.is_empty() || !self.settings.placement.quarantine {
            return;
        }
        let has_guilty_part = |open: &&Open| {
            let is_guilty = |part| guilty.contains(part);
            open.shared_parts.iter().any(is_guilty) && self.may_crash(now, open)
        };
        let affected = self.open.values().filter(has_guilty_part);
        let affected: Vec<job::Id> = affected.map(|open| open.job.id).collect();
        for id in affected {
            if let Some(replica) = self.detach(now, id, job::End::Left) {
                if let Some(open) = self.open.get_mut(&id) {
                    open.may_have_run = true;
                }
                out.push(Decision::Cancel { job: id, replica });
            }
            self.refuse(now, id, Reason::Quarantined, BLOCKED_PART, out);
        }
    }

    /// Returns whether a part of the job's prompt is blocked.
    fn is_blocked(&self, id: job::Id) -> bool {
        let open = self.open.get(&id);
        open.is_some_and(|open| self.quarantine.blocks(&open.shared_parts, id.0))
    }

    /// Records that a replica crashed, or seems to have, while the job ran there.
    pub(super) fn record_crash(&mut self, now: Time, id: job::Id) {
        self.accuse_parts(now, id);
        let Some(open) = self.open.get(&id) else {
            return;
        };
        if open.streaming && !self.settings.placement.blame_streams {
            return;
        }
        if open.replica.is_none() {
            self.quarantine
                .record_crash_after_cancel(now, open.job.fingerprint);
            return;
        }
        let replica = open.replica.and_then(|key| self.replicas.get(&key));
        let Some(replica) = replica.filter(|replica| replica.leaving.is_none()) else {
            return;
        };
        let (identity, zone) = (replica.identity, replica.zone);
        self.quarantine
            .record_crash(now, identity, zone, &[open.job.fingerprint]);
    }

    /// Stops running copies of new suspects that may be repeated: copies sent through several entries at
    /// once would each crash a replica of their own before the first crash is known. Plain calls can't be
    /// stopped once they are sent.
    pub(super) fn stop_suspects(&mut self, now: Time, out: &mut Vec<Decision>) {
        let new_suspects = self.quarantine.take_suspects();
        if new_suspects.is_empty() || !self.settings.placement.quarantine {
            return;
        }
        let running = |open: &&Open| {
            open.job.idempotent && open.job.kind == job::Kind::Model && open.replica.is_some()
        };
        let copies: Vec<job::Id> = self
            .open
            .values()
            .filter(running)
            .filter(|open| new_suspects.contains(&open.job.fingerprint))
            .map(|open| open.job.id)
            .collect();
        for id in copies {
            // Before the job is detached: a lost replica is removed with its last job.
            self.record_stopped(now, id);
            let Some(replica) = self.detach(now, id, job::End::Left) else {
                continue;
            };
            if let Some(open) = self.open.get_mut(&id) {
                open.may_have_run = true;
            }
            out.push(Decision::Cancel { job: id, replica });
            self.enqueue(now, id, true);
        }
    }

    fn record_stopped(&mut self, now: Time, id: job::Id) {
        let Some(open) = self.open.get(&id) else {
            return;
        };
        let replica = open.replica.and_then(|key| self.replicas.get(&key));
        if let Some(replica) = replica {
            let (identity, zone) = (replica.identity, replica.zone);
            self.quarantine
                .record_cancellation(now, open.job.fingerprint, identity, zone);
        }
    }

    /// Moves suspects from the heads of the queue to the held jobs, so that the others don't wait behind
    /// them.
    pub(super) fn hold_suspects(&mut self, now: Time, key: pool::Key, out: &mut Vec<Decision>) {
        if !self.settings.placement.quarantine {
            return;
        }
        while let Some((id, standing)) = self.first_suspect(now, key) {
            if matches!(standing, Standing::Quarantined(_)) && !self.may_try_quarantined(id) {
                self.refuse(
                    now,
                    id,
                    Reason::Quarantined,
                    "it crashes backend servers",
                    out,
                );
                continue;
            }
            self.unqueue(id);
            let until = match standing {
                Standing::Held(until) => until,
                _ => now,
            };
            self.held.insert((until, id));
        }
    }

    /// Reviews held suspects that are due.
    pub(super) fn release_held(&mut self, now: Time, out: &mut Vec<Decision>) {
        let due: Vec<(Time, job::Id)> = self
            .held
            .iter()
            .take_while(|(until, _)| *until <= now)
            .copied()
            .collect();
        for (until, id) in due {
            self.held.remove(&(until, id));
            let Some(fingerprint) = self.open.get(&id).map(|open| open.job.fingerprint) else {
                continue;
            };
            let standing = match self.is_blocked(id) {
                true => Standing::Quarantined(Span::ZERO),
                false => self.quarantine.standing(now, fingerprint),
            };
            match standing {
                Standing::Clear => self.enqueue(now, id, true),
                Standing::Held(until) => {
                    self.held.insert((until, id));
                }
                Standing::Quarantined(_) if !self.may_try_quarantined(id) => {
                    self.refuse(
                        now,
                        id,
                        Reason::Quarantined,
                        "it crashes backend servers",
                        out,
                    );
                }
                Standing::Quarantined(_) | Standing::Trial => self.run_trial(now, id, out),
            }
        }
    }

    /// Returns whether a quarantined job is still tried, because its caller already reads its answer.
    ///
    /// An innocent stream that ran beside a killer twice was refused in mid-answer. A killer crashes the
    /// replica that starts to run it, so a job that has generated tokens is hardly one; if it is, the
    /// number of trials bounds the damage.
    fn may_try_quarantined(&self, id: job::Id) -> bool {
        if self.is_blocked(id) {
            return false;
        }
        let max_attempts = self.settings.retry.max_attempts as u32 + STREAM_TRIALS;
        self.open.get(&id).is_some_and(|open| {
            open.streaming && open.generated > 0 && open.used_attempts() < max_attempts
        })
    }

    /// Ends a trial and frees the replica for other jobs.
    pub(super) fn end_trial(&mut self, id: job::Id, key: replica::Key) {
        let Some(replica) = self.replicas.get_mut(&key) else {
            return;
        };
        if replica.trial != Some(id) {
            return;
        }
        replica.trial = None;
        self.review_held();
        if let Some(open) = self.open.get(&id) {
            self.quarantine.end_trial(open.job.fingerprint);
        }
    }

    /// Makes every held suspect due for review in the next poll, since a replica may be free.
    pub(super) fn review_held(&mut self) {
        let held = std::mem::take(&mut self.held);
        self.held = held.into_iter().map(|(_, id)| (Time::ZERO, id)).collect();
    }

    /// Drops a trial that has not begun.
    pub(super) fn drop_trial(&mut self, id: job::Id) {
        let claim = self.open.get_mut(&id).and_then(|open| open.claim.take());
        let Some(claim) = claim else {
            return;
        };
        if let Some(open) = self.open.get(&id) {
            self.quarantine.end_trial(open.job.fingerprint);
        }
        self.end_trial(id, claim.replica);
    }

    fn first_suspect(&self, now: Time, key: pool::Key) -> Option<(job::Id, Standing)> {
        let pool = self.pools.get(&key)?;
        let heads = pool
            .queue
            .heads(self.settings.placement.max_heads, |_| false);
        heads
            .into_iter()
            .find_map(|head| Some((head.id, self.suspicion(now, head.id)?)))
    }

    /// Returns whether the job must not be started like others.
    pub(super) fn is_suspect(&self, now: Time, id: job::Id) -> bool {
        self.settings.placement.quarantine && self.suspicion(now, id).is_some()
    }

    fn suspicion(&self, now: Time, id: job::Id) -> Option<Standing> {
        if self.is_blocked(id) {
            return Some(Standing::Quarantined(Span::ZERO));
        }
        let open = self.open.get(&id)?;
        let standing = self.quarantine.standing(now, open.job.fingerprint);
        (standing != Standing::Clear).then_some(standing)
    }

    /// Claims a replica for the suspect, if no other suspect uses it, and schedules the start for when the
    /// claim is beyond dispute.
    ///
    /// Jobs that already run there are not waited for: hardly any suspect is a killer, and suspects that
    /// waited for an empty replica would all miss their targets.
    fn run_trial(&mut self, now: Time, id: job::Id, out: &mut Vec<Decision>) {
        if let Some(claim) = self.open.get(&id).and_then(|open| open.claim) {
            return self.start_trial(now, id, claim, out);
        }
        let valid_from = now + self.settings.quarantine.claim_delay;
        let retry_at = now + self.settings.health.period;
        let target = self.trial_replica(now, id);
        let replica = target.and_then(|key| self.replicas.get_mut(&key));
        let (Some(open), Some(key), Some(replica)) = (self.open.get_mut(&id), target, replica)
        else {
            self.held.insert((retry_at, id));
            return;
        };
        replica.trial = Some(id);
        open.claim = Some(Claim {
            replica: key,
            valid_from,
        });
        self.quarantine
            .reserve(open.job.fingerprint, replica.identity);
        self.held.insert((valid_from, id));
    }

    /// Starts the suspect if its claim is beyond dispute; drops a claim that was lost.
    fn start_trial(&mut self, now: Time, id: job::Id, claim: Claim, out: &mut Vec<Decision>) {
        if now < claim.valid_from {
            self.held.insert((claim.valid_from, id));
            return;
        }
        if !self.is_claim_valid(now, id, claim.replica) {
            self.drop_trial(id);
            self.held.insert((now + self.settings.health.period, id));
            return;
        }
        if let Some(replica) = self.replicas.get(&claim.replica) {
            self.quarantine.start_trial(replica.identity);
        }
        if let Some(open) = self.open.get_mut(&id) {
            open.claim = None;
        }
        self.start(now, id, claim.replica);
        out.push(Decision::Start {
            job: id,
            replica: claim.replica,
        });
    }

    /// Returns whether a claim holds and its replica is still usable.
    fn is_claim_valid(&self, now: Time, id: job::Id, key: replica::Key) -> bool {
        let open = self.open.get(&id);
        let replica = self.replicas.get(&key);
        open.zip(replica).is_some_and(|(open, replica)| {
            let leaving = replica.lost || replica.leaving.is_some();
            let pool = self.pools.get(&replica.spec.pool);
            let mean_own = pool.map_or(0.0, Pool::mean_own);
            let usable = !leaving && replica.accepts(now, mean_own);
            let fingerprint = open.job.fingerprint;
            usable && self.quarantine.holds_claim(fingerprint, replica.identity)
        })
    }

    /// Returns the first replica in the suspect's order that no other suspect uses. It may be overbooked by
    /// this one job: a suspect that waited for a slot might never start.
    ///
    /// Replicas where it was tried are skipped: one that crashed stays in a lagging instance list, and a
    /// suspect assigned to it would wait for ever.
    fn trial_replica(&self, now: Time, id: job::Id) -> Option<replica::Key> {
        let open = self.open.get(&id)?;
        let pool = self.pools.get(&open.job.pool)?;
        let mean_own = pool.mean_own();
        let free = pool.members.iter().filter_map(|key| {
            let replica = self.replicas.get(key)?;
            let healthy = pool.monitor.allowance(*key) != Allowance::None;
            let fits = replica.runs(open.job.terms.version);
            let usable = healthy && fits && replica.accepts(now, mean_own);
            let excluded = replica.trial.is_some()
                || self.quarantine.is_reserved(now, replica.identity)
                || !open.may_try(*key);
            (usable && !excluded).then_some((*key, replica.identity))
        });
        self.quarantine.choose_replica(open.job.fingerprint, free)
    }
}
