//! Composes the policy modules for one entry.
//!
//! The embedder reports events through the methods; each appends its decisions to `out`. Between
//! events it calls [`Scheduler::poll`] at the time that [`Scheduler::next_wake`] names. Entries that
//! share accounts pass [`Scheduler::digest`]s to each other once a period.

mod ends;
mod fleet;
mod intake;
mod moves;
mod paces;
mod placement;
mod refusals;
mod state;
mod suspects;

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use clock::Time;
use rand::SeedableRng;
use rand_pcg::Pcg64;

use crate::account;
use crate::configs::scheduler::Settings;
use crate::decision::Decision;
use crate::health::Allowance;
use crate::job;
use crate::job::Job;
use crate::limit;
use crate::pace::Share;
use crate::pool;
use crate::quarantine;
use crate::replica;
use crate::scheduler::state::Account;
use crate::scheduler::state::Open;
use crate::scheduler::state::Pool;
use crate::scheduler::state::Replica;
use crate::wave;

pub use crate::scheduler::state::Explanation;

/// The decisions of one entry.
#[derive(Debug)]
pub struct Scheduler {
    settings: Settings,
    accounts: BTreeMap<account::Key, Account>,
    pools: BTreeMap<pool::Key, Pool>,
    replicas: BTreeMap<replica::Key, Replica>,
    open: BTreeMap<job::Id, Open>,
    /// When each waiting job is given up. Invariant: holds exactly the open jobs without a replica.
    expiry: BTreeSet<(Time, job::Id)>,
    /// Planned moves off leaving replicas.
    steps: BTreeMap<job::Id, wave::Step>,
    /// Leaving replicas that still hold jobs of ours.
    leaving: BTreeSet<replica::Key>,
    /// When moves are planned next.
    review: Option<Time>,
    /// Replicas that named a limit.
    limited: BTreeSet<replica::Key>,
    /// When it was looked whether one of them takes a request again.
    paces_seen: Time,
    /// Pools to look at in the next poll.
    stirred: BTreeSet<pool::Key>,
    /// Suspects that wait outside their queue, and until when.
    held: BTreeSet<(Time, job::Id)>,
    limits: limit::Limits,
    quarantine: quarantine::Quarantine,
    random: Pcg64,
    seed: u64,
    next_replica: u32,
}

/// News for the other entries, of bounded size.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Digest {
    /// Claims on account limits.
    pub limit: limit::Digest,
    /// Killer requests.
    pub quarantine: quarantine::Digest,
}

/// How a pool stands.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Snapshot {
    /// Replicas that neither leave nor are lost.
    pub members: usize,
    /// Those of them that may take one more job.
    pub open: usize,
    /// Those that are taken out for their health.
    pub ejected: usize,
    /// Our attempts on all of them.
    pub running: u32,
    /// Jobs in the queue.
    pub waiting: usize,
    /// Suspects that wait outside the queue, of all pools.
    pub held: usize,
}

impl Scheduler {
    /// A scheduler without accounts and replicas; `seed` feeds every random choice.
    pub fn new(seed: u64) -> Scheduler {
        Scheduler::with_settings(seed, Settings::default())
    }

    /// The same with other settings than the defaults.
    pub fn with_settings(seed: u64, settings: Settings) -> Scheduler {
        Scheduler {
            limits: limit::Limits::new(settings.limit),
            quarantine: quarantine::Quarantine::new(settings.quarantine, seed),
            held: BTreeSet::new(),
            settings,
            accounts: BTreeMap::new(),
            pools: BTreeMap::new(),
            replicas: BTreeMap::new(),
            open: BTreeMap::new(),
            expiry: BTreeSet::new(),
            steps: BTreeMap::new(),
            leaving: BTreeSet::new(),
            review: None,
            limited: BTreeSet::new(),
            paces_seen: Time::ZERO,
            stirred: BTreeSet::new(),
            random: Pcg64::seed_from_u64(seed),
            seed,
            next_replica: 0,
        }
    }

    /// How many entries share the accounts and the replicas, this one included.
    pub fn set_entries(&mut self, entries: u32) {
        self.settings.concurrency.entries = entries.max(1);
        self.limits.set_entries(entries);
        for replica in self.replicas.values_mut() {
            replica.load.set_entries(entries);
        }
    }

    /// Adds an account or changes it.
    pub fn set_account(&mut self, key: account::Key, spec: account::Spec) {
        self.limits.set_account(key, &spec);
        match self.accounts.get_mut(&key) {
            Some(account) => account.spec = spec,
            None => {
                self.accounts.insert(key, Account::new(spec));
            }
        }
    }

    /// Adds a replica.
    pub fn replica_joined(
        &mut self,
        now: Time,
        spec: replica::Spec,
        out: &mut Vec<Decision>,
    ) -> replica::Key {
        let key = self.join(now, spec);
        self.poll(now, out);
        key
    }

    /// Notes a load report.
    pub fn replica_reported(&mut self, now: Time, key: replica::Key, report: replica::Report) {
        self.note_report(now, key, report);
    }

    /// Notes a cache event of the replica: that it holds a prefix, or no longer does. Events may come
    /// late and with gaps, which the rising sequence number shows.
    pub fn replica_cache_event(
        &mut self,
        now: Time,
        key: replica::Key,
        sequence: u64,
        prefix: u64,
        stored: bool,
    ) {
        self.note_cached(now, key, sequence, prefix, stored);
    }

    /// Another replica that is likely to keep what the job shares with others, for `chosen` to fetch it from; none
    /// where memory can't be moved.
    ///
    /// Gains the time to read it again: half of the shared tokens that were read twice, 0.013 of what served requests
    /// are worth, mean of 15 days with faults.
    pub fn cache_source(&self, id: job::Id, chosen: replica::Key) -> Option<replica::Key> {
        match self.settings.placement.wave {
            true => self.other_home(id, chosen),
            false => None,
        }
    }

    /// Tokens of memory that move between replicas in a millisecond; none if runs can't be moved.
    pub fn set_transfer_speed(&mut self, tokens_per_milli: Option<f64>) {
        self.settings.placement.wave = tokens_per_milli.is_some();
        if let Some(speed) = tokens_per_milli {
            self.settings.wave.tokens_per_milli = speed;
        }
    }

    /// The replica gets no new work from now on; what runs there is moved before `deadline`.
    pub fn replica_leaving(
        &mut self,
        now: Time,
        key: replica::Key,
        deadline: Time,
        out: &mut Vec<Decision>,
    ) {
        self.leave(now, key, deadline);
        self.poll(now, out);
    }

    /// The replica may be gone, or is known again to be there: while it is doubted it gets work only if no other of
    /// its pool has room.
    pub fn replica_unconfirmed(
        &mut self,
        now: Time,
        key: replica::Key,
        doubted: bool,
        out: &mut Vec<Decision>,
    ) {
        self.doubt(key, doubted);
        self.poll(now, out);
    }

    /// The replica has named a limit, of which this entry has a share, or its limit is lifted.
    pub fn replica_paced(
        &mut self,
        now: Time,
        key: replica::Key,
        share: Share,
        out: &mut Vec<Decision>,
    ) {
        if self.set_share(now, key, share) {
            self.poll(now, out);
        }
    }

    /// The replica is gone; the embedder reports the end of each attempt there by itself.
    pub fn replica_lost(&mut self, _now: Time, key: replica::Key) {
        self.forget(key);
    }

    /// A request has arrived: it is started, kept waiting or refused.
    pub fn offer(&mut self, now: Time, job: Job, out: &mut Vec<Decision>) {
        self.take_in(now, job, out);
        self.poll(now, out);
    }

    /// A job that was started by another entry runs on and is this one's from now on.
    ///
    /// It is not refused: its caller was promised the rest of its answer.
    pub fn adopt(&mut self, now: Time, job: Job, replica: replica::Key, out: &mut Vec<Decision>) {
        self.take_over(now, job, replica);
        self.poll(now, out);
    }

    /// The replica began to answer: its first token (or the head of a plain answer) came.
    pub fn first_token(&mut self, now: Time, id: job::Id) {
        self.note_first(now, id);
    }

    /// More tokens came since the last report.
    pub fn progressed(&mut self, now: Time, id: job::Id, tokens: u32) {
        self.note_progress(now, id, tokens);
    }

    /// An attempt ended; `tokens` were generated in it.
    ///
    /// With [`job::End::Finished`] or [`job::End::Left`] the job is closed. After any other end it
    /// is started elsewhere, kept waiting or refused, as idempotence and budgets allow.
    pub fn attempt_ended(
        &mut self,
        now: Time,
        id: job::Id,
        end: job::End,
        tokens: u32,
        out: &mut Vec<Decision>,
    ) {
        self.note_end(now, id, end, tokens, out);
        self.poll(now, out);
    }

    /// The caller went away or the job was cancelled.
    pub fn cancel(&mut self, now: Time, id: job::Id, out: &mut Vec<Decision>) {
        if let Some(replica) = self.open.get(&id).and_then(|open| open.replica) {
            out.push(Decision::Cancel { job: id, replica });
        }
        self.close(now, id);
        self.poll(now, out);
    }

    /// Takes whatever decisions the time allows.
    pub fn poll(&mut self, now: Time, out: &mut Vec<Decision>) {
        self.expire(now, out);
        self.judge(now);
        self.recall_suspects(now, out);
        self.release_held(now, out);
        self.move_on(now, out);
        self.stir_paced(now);
        while let Some(pool) = self.stirred.pop_first() {
            self.dispatch(now, pool, out);
        }
    }

    /// When [`Scheduler::poll`] wants to be called next.
    pub fn next_wake(&self) -> Option<Time> {
        if !self.stirred.is_empty() {
            return Some(Time::ZERO);
        }
        let judged = self.pools.values().filter(|pool| pool.running > 0);
        let judged = judged.map(|pool| pool.monitor.next_wake()).min();
        let expiry = self.expiry.first().map(|(at, _)| *at);
        let held = self.held.first().map(|(at, _)| *at);
        let step = self.next_step();
        [judged, expiry, held, step, self.review, self.next_paced()]
            .into_iter()
            .flatten()
            .min()
    }

    /// What to tell the other entries; called once a period of [`crate::configs::limit::Config`].
    pub fn digest(&mut self, now: Time) -> Digest {
        self.quarantine.tick(now);
        Digest {
            limit: self.limits.digest(now),
            quarantine: self.quarantine.digest(now),
        }
    }

    /// Takes in what the entry `peer` told.
    pub fn absorb(&mut self, now: Time, peer: u64, digest: &Digest, out: &mut Vec<Decision>) {
        self.limits.merge(now, peer, &digest.limit);
        self.quarantine.merge(now, &digest.quarantine);
        self.review_held();
        self.stir_all();
        self.poll(now, out);
    }

    /// Whether the digest holds news that shouldn't wait for the period; asking resets it.
    pub fn take_urgent(&mut self) -> bool {
        self.quarantine.take_urgent()
    }

    /// Why an open job is where it is.
    pub fn explain(&self, id: job::Id) -> Option<Explanation> {
        self.open.get(&id).map(Open::explain)
    }

    /// Jobs waiting in the pool.
    pub fn waiting(&self, pool: pool::Key) -> usize {
        self.pools.get(&pool).map_or(0, |pool| pool.queue.len())
    }

    /// Repeats that may still be made in a pool.
    pub fn retries_left(&self, pool: pool::Key) -> f64 {
        self.pools
            .get(&pool)
            .map_or(0.0, |pool| pool.budget.remaining())
    }

    /// How a pool stands, for the log's line on a refusal.
    pub fn snapshot(&self, now: Time, key: pool::Key) -> Snapshot {
        let Some(pool) = self.pools.get(&key) else {
            return Snapshot::default();
        };
        let candidates = self.candidates(now, pool);
        let allowed = pool.members.iter().map(|key| pool.monitor.allowance(*key));
        Snapshot {
            members: pool.members.len(),
            open: candidates.iter().filter(|one| one.open).count(),
            ejected: allowed.filter(|one| *one == Allowance::None).count(),
            running: pool.running,
            waiting: pool.queue.len(),
            held: self.held.len(),
        }
    }

    fn pool_mut(&mut self, key: pool::Key) -> &mut Pool {
        let settings = &self.settings;
        let seed = self.seed ^ u64::from(key.0);
        self.pools
            .entry(key)
            .or_insert_with(|| Pool::new(settings, seed))
    }
}
