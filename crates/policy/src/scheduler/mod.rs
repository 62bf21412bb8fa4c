//! Composes the policy modules for one entry.
//!
//! The embedder reports events through the methods; each appends its decisions to `out`. Between events the
//! embedder calls [`Scheduler::poll`] at the time that [`Scheduler::next_wake`] returns. Entries that share
//! accounts exchange [`Scheduler::digest`]s once a period.

mod backoff;
mod division;
mod ends;
mod fleet;
mod intake;
mod moves;
mod placement;
mod refusals;
mod selective;
mod state;
mod stranded;
mod suspects;
mod throttles;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::rc::Rc;

use clock::Span;
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
use crate::speed;
use crate::tolerance;
use crate::version;
use crate::wave;

pub use crate::scheduler::state::Explanation;

/// Scheduler of one entry.
#[derive(Debug)]
pub struct Scheduler {
    settings: Settings,
    accounts: BTreeMap<account::Key, Account>,
    pools: BTreeMap<pool::Key, Pool>,
    replicas: BTreeMap<replica::Key, Replica>,
    open: BTreeMap<job::Id, Open>,
    /// Start deadlines of waiting jobs. Invariant: holds exactly the open jobs without a replica.
    expiry: BTreeSet<(Time, job::Id)>,
    /// Planned moves off leaving replicas.
    planned_moves: BTreeMap<job::Id, wave::Step>,
    /// Leaving replicas that still run own jobs.
    leaving: BTreeSet<replica::Key>,
    /// Time of the next planning of moves.
    next_review: Option<Time>,
    /// Replicas that set a rate limit or asked for a pause.
    throttled: BTreeSet<replica::Key>,
    /// Last check whether one of them accepts requests again.
    throttles_checked: Time,
    /// Pools whose queues are examined in the next poll.
    pending_pools: BTreeSet<pool::Key>,
    /// Suspects that wait outside their queues, and until when.
    held: BTreeSet<(Time, job::Id)>,
    /// Streams that no replica accepts, and when they try again.
    backing_off: BTreeSet<(Time, job::Id)>,
    limits: limit::Limits,
    quarantine: quarantine::Quarantine,
    /// Changes of blocked parts that the embedder hasn't taken.
    part_changes: Vec<quarantine::parts::Change>,
    /// Relative speeds of the replicas.
    speeds: speed::Table,
    /// Identity of this entry, and those of all entries; empty until they are known.
    own_identity: u64,
    members: Vec<u64>,
    random: Pcg64,
    seed: u64,
    next_replica: u32,
}

/// State to gossip to the other entries, of bounded size.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Digest {
    /// Claims on account limits.
    pub limit: limit::Digest,
    /// Records of requests that crash replicas.
    pub quarantine: quarantine::Digest,
}

/// State of a pool.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Snapshot {
    /// Replicas that are neither leaving nor lost.
    pub members: usize,
    /// Members that accept one more job.
    pub open: usize,
    /// Members that are ejected as unhealthy.
    pub ejected: usize,
    /// Members that take few jobs after an ejection, to prove their health.
    pub probing: usize,
    /// Members with as many own attempts as their latency allows.
    pub at_limit: usize,
    /// Members that pause or set a rate limit.
    pub throttled: usize,
    /// Own attempts on all members.
    pub running: u32,
    /// Jobs in the queue.
    pub waiting: usize,
    /// Jobs outside the queue, whose version has no member.
    pub stranded: usize,
    /// Suspects that wait outside their queues, of all pools.
    pub held: usize,
}

impl Scheduler {
    /// Creates a scheduler without accounts and replicas; `seed` feeds every random choice.
    pub fn new(seed: u64) -> Scheduler {
        Scheduler::with_settings(seed, Settings::default())
    }

    /// Creates a scheduler with the given settings.
    pub fn with_settings(seed: u64, settings: Settings) -> Scheduler {
        Scheduler {
            limits: limit::Limits::new(settings.limit),
            quarantine: quarantine::Quarantine::new(settings.quarantine, seed),
            part_changes: Vec::new(),
            speeds: speed::Table::new(settings.speed),
            held: BTreeSet::new(),
            backing_off: BTreeSet::new(),
            settings,
            accounts: BTreeMap::new(),
            pools: BTreeMap::new(),
            replicas: BTreeMap::new(),
            open: BTreeMap::new(),
            expiry: BTreeSet::new(),
            planned_moves: BTreeMap::new(),
            leaving: BTreeSet::new(),
            next_review: None,
            throttled: BTreeSet::new(),
            throttles_checked: Time::ZERO,
            pending_pools: BTreeSet::new(),
            own_identity: 0,
            members: Vec::new(),
            random: Pcg64::seed_from_u64(seed),
            seed,
            next_replica: 0,
        }
    }

    /// Sets the number of entries that share the accounts and replicas, this one included.
    pub fn set_entries(&mut self, entries: u32) {
        self.settings.concurrency.entries = entries.max(1);
        self.limits.set_entries(entries);
        for replica in self.replicas.values_mut() {
            replica.load.set_entries(entries);
        }
    }

    /// Sets the entries that share the replicas and the evidence on crashes, by their identities; `own` is this one's.
    pub fn set_members(&mut self, own: u64, members: Vec<u64>) {
        self.quarantine.set_members(own, members.clone());
        self.set_division_members(own, members);
    }

    /// Adds or changes an account.
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
        let key = self.add_replica(now, spec);
        self.poll(now, out);
        key
    }

    /// Records a load report.
    pub fn replica_reported(&mut self, now: Time, key: replica::Key, report: replica::Report) {
        self.record_report(now, key, report);
    }

    /// Records a cache event: the replica holds a prefix, or no longer does. Events may arrive late and with
    /// gaps, which the rising sequence number shows.
    pub fn replica_cache_event(
        &mut self,
        now: Time,
        key: replica::Key,
        sequence: u64,
        prefix: u64,
        stored: bool,
    ) {
        self.record_cache_event(now, key, sequence, prefix, stored);
    }

    /// Returns whether a job that runs may be sent to a further replica of its pool.
    pub fn has_attempts_left(&self, id: job::Id) -> bool {
        let Some(open) = self.open.get(&id) else {
            return false;
        };
        let Some(pool) = self.pools.get(&open.job.pool) else {
            return false;
        };
        let is_untried = |key: &replica::Key| !open.tried.contains(key);
        open.used_attempts() < open.job.terms.attempts && pool.members.iter().any(is_untried)
    }

    /// Returns another replica that probably caches the job's prefix, for `chosen` to fetch it from instead
    /// of computing it again; `None` if KV memory can't be moved.
    pub fn cache_source(
        &self,
        now: Time,
        id: job::Id,
        chosen: replica::Key,
    ) -> Option<replica::Key> {
        match self.settings.placement.wave {
            true => self.other_home(now, id, chosen),
            false => None,
        }
    }

    /// Sets the KV tokens that move between replicas per millisecond; `None` if running jobs can't be moved.
    pub fn set_transfer_speed(&mut self, tokens_per_milli: Option<f64>) {
        self.settings.placement.wave = tokens_per_milli.is_some();
        if let Some(speed) = tokens_per_milli {
            self.settings.wave.tokens_per_milli = speed;
        }
    }

    /// Stops new work for a leaving replica; its running jobs are moved before `deadline`.
    pub fn replica_leaving(
        &mut self,
        now: Time,
        key: replica::Key,
        deadline: Time,
        out: &mut Vec<Decision>,
    ) {
        self.begin_leave(now, key, deadline);
        self.poll(now, out);
    }

    /// Marks a replica that may be gone, or clears the mark. A marked replica gets work only if no other of
    /// its pool has room.
    pub fn replica_unconfirmed(
        &mut self,
        now: Time,
        key: replica::Key,
        unconfirmed: bool,
        out: &mut Vec<Decision>,
    ) {
        self.set_unconfirmed(key, unconfirmed);
        self.poll(now, out);
    }

    /// Sets this entry's share of the rate limit that the replica sets, or lifts the limit.
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

    /// Sets this entry's share of the rejections per second that the replica bears; `None` if it bears any number.
    pub fn replica_tolerance(
        &mut self,
        now: Time,
        key: replica::Key,
        share: Option<tolerance::Share>,
        out: &mut Vec<Decision>,
    ) {
        self.set_tolerance(key, share);
        self.poll(now, out);
    }

    /// Sends the replica nothing for the time that it asked for.
    pub fn replica_paused(
        &mut self,
        now: Time,
        key: replica::Key,
        pause: Span,
        out: &mut Vec<Decision>,
    ) {
        self.start_pause(now, key, pause);
        self.poll(now, out);
    }

    /// Removes a replica that is gone; the embedder reports the end of each attempt on it separately.
    pub fn replica_lost(&mut self, _now: Time, key: replica::Key) {
        self.remove_replica(key);
    }

    /// Takes a request that arrived: it is started, queued or refused.
    pub fn offer(&mut self, now: Time, job: Job, out: &mut Vec<Decision>) {
        self.offer_prompt(now, job, Rc::default(), out);
    }

    /// Takes a request whose prompt has parts that other requests may share, given by their hashes.
    pub fn offer_prompt(
        &mut self,
        now: Time,
        job: Job,
        shared_parts: Rc<[u64]>,
        out: &mut Vec<Decision>,
    ) {
        self.accept(now, job, shared_parts, out);
        self.poll(now, out);
    }

    /// Takes over a running job that another entry started.
    ///
    /// The job is not refused: its caller was promised the rest of its answer.
    pub fn adopt(&mut self, now: Time, job: Job, replica: replica::Key, out: &mut Vec<Decision>) {
        self.register_running(now, job, replica);
        self.poll(now, out);
    }

    /// Records the first token of an attempt, or the head of a plain answer.
    pub fn first_token(&mut self, now: Time, id: job::Id) {
        self.record_first_token(now, id);
    }

    /// Records the tokens that arrived since the last call.
    pub fn progressed(&mut self, now: Time, id: job::Id, tokens: u32) {
        self.record_progress(now, id, tokens);
        self.prove_parts(now, id);
    }

    /// Records the end of an attempt that generated `tokens`.
    ///
    /// [`job::End::Finished`] and [`job::End::Left`] close the job. After any other end it is started
    /// elsewhere, queued or refused, as idempotence and budgets allow.
    pub fn attempt_ended(
        &mut self,
        now: Time,
        id: job::Id,
        end: job::End,
        tokens: u32,
        out: &mut Vec<Decision>,
    ) {
        self.record_end(now, id, end, tokens, out);
        self.poll(now, out);
    }

    /// Lets only replicas of this version run the job from now on.
    pub fn require_version(&mut self, id: job::Id, version: version::Key) {
        if let Some(open) = self.open.get_mut(&id) {
            open.job.terms.version = Some(version);
            let pool = open.job.pool;
            self.mark_pool(pool);
        }
    }

    /// Cancels a job, for example because its caller disconnected.
    pub fn cancel(&mut self, now: Time, id: job::Id, out: &mut Vec<Decision>) {
        if let Some(replica) = self.open.get(&id).and_then(|open| open.replica) {
            out.push(Decision::Cancel { job: id, replica });
        }
        self.close(now, id);
        self.poll(now, out);
    }

    /// Takes all decisions that are due.
    pub fn poll(&mut self, now: Time, out: &mut Vec<Decision>) {
        self.speeds.refresh(now);
        self.expire(now, out);
        self.evaluate_health(now);
        self.stop_suspects(now, out);
        self.review_parts(now, out);
        self.release_held(now, out);
        self.resume_backed_off(now);
        self.run_moves(now, out);
        self.mark_reopened_pools(now);
        while let Some(pool) = self.pending_pools.pop_first() {
            self.dispatch(now, pool, out);
        }
    }

    /// Returns when [`Scheduler::poll`] must be called next.
    pub fn next_wake(&self) -> Option<Time> {
        if !self.pending_pools.is_empty() {
            return Some(Time::ZERO);
        }
        let judged = self.pools.values().filter(|pool| pool.running > 0);
        let judged = judged.map(|pool| pool.monitor.next_wake()).min();
        let expiry = self.expiry.first().map(|(due, _)| *due);
        let held = self.held.first().map(|(due, _)| *due);
        let backing_off = self.backing_off.first().map(|(due, _)| *due);
        let step = self.next_move();
        [
            judged,
            expiry,
            held,
            backing_off,
            step,
            self.next_review,
            self.next_reopening(),
        ]
        .into_iter()
        .flatten()
        .min()
    }

    /// Returns the state for the other entries; called once a period of [`crate::configs::limit::Config`].
    pub fn digest(&mut self, now: Time) -> Digest {
        self.quarantine.tick(now);
        Digest {
            limit: self.limits.digest(now),
            quarantine: self.quarantine.digest(now),
        }
    }

    /// Merges the digest of the entry `peer`.
    pub fn absorb(&mut self, now: Time, peer: u64, digest: &Digest, out: &mut Vec<Decision>) {
        self.limits.merge(now, peer, &digest.limit);
        self.quarantine.merge(now, &digest.quarantine);
        self.review_held();
        self.mark_all_pools();
        self.poll(now, out);
    }

    /// Returns parts of prompts that were accused of crashes and found sound here within the last `window`, with the times
    /// since.
    pub fn recently_cleared(&self, now: Time, window: Span) -> Vec<(u64, Span)> {
        self.quarantine.recently_cleared(now, window)
    }

    /// Merges what other entries found sound.
    pub fn absorb_cleared(&mut self, now: Time, cleared: &[(u64, Span)], out: &mut Vec<Decision>) {
        self.quarantine.merge_cleared(now, cleared);
        self.poll(now, out);
    }

    /// Returns whether the digest holds state that must not wait for the period, and resets the flag.
    pub fn take_urgent(&mut self) -> bool {
        self.quarantine.take_urgent()
    }

    /// Returns the changes of what is blocked for crashing replicas since the last call.
    pub fn take_part_changes(&mut self) -> Vec<quarantine::parts::Change> {
        std::mem::take(&mut self.part_changes)
    }

    /// Returns the relative speeds of the replicas, by the identity of the incarnation.
    pub fn speeds(&self) -> &speed::Table {
        &self.speeds
    }

    /// Returns the relative speed of a replica; 1 while it isn't known.
    pub fn relative_speed(&self, key: replica::Key) -> f64 {
        self.replicas.get(&key).map_or(speed::MEDIAN, |replica| {
            self.speeds.relative(replica.identity)
        })
    }

    /// Returns this entry's samples of the replicas' speed since the last call, for the other entries.
    pub fn take_paces(&mut self) -> BTreeMap<u64, speed::Pace> {
        self.speeds.take_samples()
    }

    /// Merges samples of another entry; the embedder drops duplicates of a message.
    pub fn absorb_paces(&mut self, now: Time, paces: &BTreeMap<u64, speed::Pace>) {
        self.speeds.merge(now, paces);
    }

    /// Returns the speeds in percent of the replicas that differ from the median, for entries that don't merge
    /// samples themselves.
    pub fn publish_speeds(&mut self, now: Time) -> BTreeMap<u64, u16> {
        self.speeds.publish(now)
    }

    /// Applies speeds that another entry published, in place of own samples until they expire.
    pub fn absorb_speeds(&mut self, now: Time, speeds: &BTreeMap<u64, u16>) {
        self.speeds.absorb(now, speeds);
    }

    /// Explains the state of an open job.
    pub fn explain(&self, id: job::Id) -> Option<Explanation> {
        self.open.get(&id).map(Open::explain)
    }

    /// Returns the number of jobs that wait in a pool.
    pub fn waiting(&self, pool: pool::Key) -> usize {
        self.pools.get(&pool).map_or(0, |pool| pool.queue.len())
    }

    /// Returns the retries left in a pool's budget.
    pub fn retries_left(&self, pool: pool::Key) -> f64 {
        self.pools
            .get(&pool)
            .map_or(0.0, |pool| pool.budget.remaining())
    }

    /// Returns the state of a pool, for log lines.
    pub fn snapshot(&self, now: Time, key: pool::Key) -> Snapshot {
        let Some(pool) = self.pools.get(&key) else {
            return Snapshot::default();
        };
        let candidates = self.candidates(now, pool, None);
        let allowances = || pool.members.iter().map(|key| pool.monitor.allowance(*key));
        let replicas = || pool.members.iter().filter_map(|key| self.replicas.get(key));
        Snapshot {
            members: pool.members.len(),
            open: candidates.iter().filter(|candidate| candidate.open).count(),
            ejected: allowances()
                .filter(|allowance| *allowance == Allowance::None)
                .count(),
            probing: allowances()
                .filter(|allowance| matches!(allowance, Allowance::Jobs(_)))
                .count(),
            at_limit: replicas()
                .filter(|replica| replica.running() >= replica.load.limit())
                .count(),
            throttled: replicas()
                .filter(|replica| replica.is_throttled(now))
                .count(),
            running: pool.running,
            waiting: pool.queue.len(),
            stranded: pool.stranded.len(),
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
