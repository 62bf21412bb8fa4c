//! Requests that may have crashed a replica: held, run apart, or refused for good.

use clock::Time;
use verdict::Reason;

use crate::decision::Decision;
use crate::health::Allowance;
use crate::job;
use crate::pool;
use crate::quarantine::Standing;
use crate::replica;
use crate::scheduler::Scheduler;
use crate::scheduler::state::Claim;
use crate::scheduler::state::Open;

/// Trials of a stream beyond the usual attempts.
const STREAM_TRIALS: u32 = 2;

impl Scheduler {
    /// Whether the fingerprint is quarantined.
    pub(super) fn is_quarantined(&self, now: Time, fingerprint: u64) -> bool {
        let standing = self.quarantine.standing(now, fingerprint);
        self.settings.placement.quarantine && matches!(standing, Standing::Quarantined(_))
    }

    /// A replica's process died, or so it seems, while the job ran there.
    pub(super) fn blame(&mut self, now: Time, id: job::Id) {
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

    /// Stops copies of new suspects that run here, if they may run again: sent through several
    /// entries at once, each would take a replica of its own along before the first crash is known.
    /// Plain calls can't be stopped once they are handed on.
    pub(super) fn recall_suspects(&mut self, now: Time, out: &mut Vec<Decision>) {
        let accused = self.quarantine.take_suspects();
        if accused.is_empty() || !self.settings.placement.quarantine {
            return;
        }
        let running = |open: &&Open| {
            open.job.idempotent && open.job.kind == job::Kind::Model && open.replica.is_some()
        };
        let copies: Vec<job::Id> = self
            .open
            .values()
            .filter(running)
            .filter(|open| accused.contains(&open.job.fingerprint))
            .map(|open| open.job.id)
            .collect();
        for id in copies {
            // Before the job is taken off: with its last job a lost replica is forgotten.
            self.note_stopped(now, id);
            let Some(replica) = self.take_off(now, id, job::End::Left) else {
                continue;
            };
            if let Some(open) = self.open.get_mut(&id) {
                open.may_have_run = true;
            }
            out.push(Decision::Cancel { job: id, replica });
            self.enqueue(now, id, true);
        }
    }

    fn note_stopped(&mut self, now: Time, id: job::Id) {
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

    /// Takes suspects out of the queue's heads: the others go on, they wait their time.
    pub(super) fn set_suspects_aside(
        &mut self,
        now: Time,
        key: pool::Key,
        out: &mut Vec<Decision>,
    ) {
        if !self.settings.placement.quarantine {
            return;
        }
        while let Some((id, standing)) = self.first_suspect(now, key) {
            if matches!(standing, Standing::Quarantined(_)) && !self.is_owed_a_trial(id) {
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

    /// Looks again at suspects whose time has come.
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
            match self.quarantine.standing(now, fingerprint) {
                Standing::Clear => self.enqueue(now, id, true),
                Standing::Held(until) => {
                    self.held.insert((until, id));
                }
                Standing::Quarantined(_) if !self.is_owed_a_trial(id) => {
                    self.refuse(
                        now,
                        id,
                        Reason::Quarantined,
                        "it crashes backend servers",
                        out,
                    );
                }
                Standing::Quarantined(_) | Standing::Trial => self.try_apart(now, id, out),
            }
        }
    }

    /// Whether a quarantined job is tried apart all the same: its caller reads its answer already.
    ///
    /// Guards against an innocent stream that ran beside a killer twice: it was refused in mid-answer. A
    /// killer crashes what begins to run it, so one that made tokens is hardly one; should it be, what it
    /// costs is bounded by its trials.
    fn is_owed_a_trial(&self, id: job::Id) -> bool {
        let most = self.settings.retry.max_attempts as u32 + STREAM_TRIALS;
        self.open
            .get(&id)
            .is_some_and(|open| open.streaming && open.made > 0 && open.sent < most)
    }

    /// The trial is over: the replica is free for others.
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

    /// A place may be free: every held suspect is looked at in the next poll.
    pub(super) fn review_held(&mut self) {
        let held = std::mem::take(&mut self.held);
        self.held = held.into_iter().map(|(_, id)| (Time::ZERO, id)).collect();
    }

    /// Gives up a trial that has not begun.
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
        let heads = pool.queue.heads(self.settings.placement.max_heads);
        heads.into_iter().find_map(|head| {
            let open = self.open.get(&head.id)?;
            let standing = self.quarantine.standing(now, open.job.fingerprint);
            (standing != Standing::Clear).then_some((head.id, standing))
        })
    }

    /// Claims the suspect's place, if no other suspect is there, and starts it once the claim stands.
    ///
    /// What runs there already isn't waited for: hardly any suspect is a killer, and those that
    /// waited until a replica is empty would all miss their targets.
    fn try_apart(&mut self, now: Time, id: job::Id, out: &mut Vec<Decision>) {
        if let Some(claim) = self.open.get(&id).and_then(|open| open.claim) {
            return self.use_claim(now, id, claim, out);
        }
        let stands = now + self.settings.quarantine.claim_delay;
        let again = now + self.settings.health.period;
        let place = self.place_for(now, id);
        let replica = place.and_then(|key| self.replicas.get_mut(&key));
        let (Some(open), Some(key), Some(replica)) = (self.open.get_mut(&id), place, replica)
        else {
            self.held.insert((again, id));
            return;
        };
        replica.trial = Some(id);
        open.claim = Some(Claim {
            replica: key,
            stands,
        });
        self.quarantine
            .reserve(open.job.fingerprint, replica.identity);
        self.held.insert((stands, id));
    }

    /// Starts the suspect if its claim has stood for its time; gives up a claim that fell.
    fn use_claim(&mut self, now: Time, id: job::Id, claim: Claim, out: &mut Vec<Decision>) {
        if now < claim.stands {
            self.held.insert((claim.stands, id));
            return;
        }
        if !self.may_use(id, claim.replica) {
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

    /// Whether a claim holds and its replica is still there.
    fn may_use(&self, id: job::Id, key: replica::Key) -> bool {
        let open = self.open.get(&id);
        let replica = self.replicas.get(&key);
        open.zip(replica).is_some_and(|(open, replica)| {
            let gone = replica.lost || replica.leaving.is_some();
            let fingerprint = open.job.fingerprint;
            !gone && self.quarantine.holds_claim(fingerprint, replica.identity)
        })
    }

    /// The first in the suspect's order of the replicas where no other suspect is. It may be
    /// overbooked by this one job: a suspect that waited for a slot might never come to its turn.
    ///
    /// Replicas where it was tried are passed over: one that crashed under it stays in a lagging
    /// instance list, and a suspect that had its place there would wait for it for ever.
    fn place_for(&self, now: Time, id: job::Id) -> Option<replica::Key> {
        let open = self.open.get(&id)?;
        let pool = self.pools.get(&open.job.pool)?;
        let free = pool.members.iter().filter_map(|key| {
            let replica = self.replicas.get(key)?;
            let usable =
                pool.monitor.allowance(*key) != Allowance::None && replica.gate.is_open(now);
            let taken = replica.trial.is_some()
                || self.quarantine.is_reserved(now, replica.identity)
                || open.tried.contains(key);
            (usable && !taken).then_some((*key, replica.identity))
        });
        self.quarantine.choose_replica(open.job.fingerprint, free)
    }
}
