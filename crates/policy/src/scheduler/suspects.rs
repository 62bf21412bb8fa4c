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
use crate::scheduler::state::Open;

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
        let replica = open.replica.and_then(|key| self.replicas.get(&key));
        let Some(replica) = replica.filter(|replica| replica.leaving.is_none()) else {
            return;
        };
        let (identity, zone) = (replica.identity, replica.zone);
        self.quarantine
            .crashed(now, identity, zone, &[open.job.fingerprint]);
    }

    /// Stops copies of new suspects that run here, if they may run again: sent through several
    /// entries at once, each would take a replica of its own along before the first crash is known.
    /// Plain calls can't be stopped once they are handed on.
    pub(super) fn recall_suspects(&mut self, now: Time, out: &mut Vec<Decision>) {
        let accused = self.quarantine.take_accused();
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
            if matches!(standing, Standing::Quarantined(_)) {
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
                Standing::Quarantined(_) => {
                    self.refuse(
                        now,
                        id,
                        Reason::Quarantined,
                        "it crashes backend servers",
                        out,
                    );
                }
                Standing::Trial => self.try_alone(now, id, out),
            }
        }
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
            self.quarantine.trial_ended(open.job.fingerprint);
        }
    }

    /// A place may be free: every held suspect is looked at in the next poll.
    pub(super) fn review_held(&mut self) {
        let held = std::mem::take(&mut self.held);
        self.held = held.into_iter().map(|(_, id)| (Time::ZERO, id)).collect();
    }

    /// Gives up a trial that has not begun.
    pub(super) fn drop_trial(&mut self, id: job::Id) {
        // A trial that has not begun belongs to a held suspect: mostly there is none to search for.
        if self.held.is_empty() {
            return;
        }
        let waits = |replica: &crate::scheduler::state::Replica| replica.trial == Some(id);
        let found = self.replicas.iter().find(|(_, replica)| waits(replica));
        if let Some(key) = found.map(|(key, _)| *key) {
            self.end_trial(id, key);
        }
    }

    fn first_suspect(&self, now: Time, key: pool::Key) -> Option<(job::Id, Standing)> {
        let pool = self.pools.get(&key)?;
        let heads = pool.queue.heads(self.settings.placement.heads);
        heads.into_iter().find_map(|head| {
            let open = self.open.get(&head.id)?;
            let standing = self.quarantine.standing(now, open.job.fingerprint);
            (standing != Standing::Clear).then_some((head.id, standing))
        })
    }

    /// Starts the suspect at its place, if no other suspect runs there.
    ///
    /// What runs there already isn't waited for: hardly any suspect is a killer, and those that
    /// waited until a replica is empty would all miss their targets.
    fn try_alone(&mut self, now: Time, id: job::Id, out: &mut Vec<Decision>) {
        let Some(key) = self.place_for(now, id) else {
            let again = now + self.settings.health.period;
            self.held.insert((again, id));
            return;
        };
        let Some(fingerprint) = self.open.get(&id).map(|open| open.job.fingerprint) else {
            return;
        };
        let Some(replica) = self.replicas.get_mut(&key) else {
            return;
        };
        replica.trial = Some(id);
        self.quarantine.trial_started(fingerprint, replica.identity);
        self.start(now, id, key);
        out.push(Decision::Start {
            job: id,
            replica: key,
        });
    }

    /// The suspect's place, if no other suspect is there. It may be overbooked by this one job:
    /// a suspect that waited for a free slot at one certain replica might never come to its turn.
    fn place_for(&self, now: Time, id: job::Id) -> Option<replica::Key> {
        let open = self.open.get(&id)?;
        let pool = self.pools.get(&open.job.pool)?;
        let members = pool.members.iter().filter_map(|key| {
            let replica = self.replicas.get(key)?;
            let usable = pool.monitor.allowance(*key) != Allowance::None;
            usable.then_some((*key, replica.identity))
        });
        let key = self.quarantine.place(open.job.fingerprint, members)?;
        let replica = self.replicas.get(&key)?;
        let taken = replica.trial.is_some()
            || self.quarantine.is_reserved(now, replica.identity)
            || open.tried.contains(&key);
        (!taken).then_some(key)
    }
}
