//! Property tests of invariants of one scheduler.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use clock::Span;
use clock::Time;
use policy::account;
use policy::decision::Decision;
use policy::job::End;
use policy::job::Id;
use policy::job::Job;
use policy::job::Kind;
use policy::pool;
use policy::replica;
use policy::scheduler::Scheduler;
use policy::version;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use verdict::Reason;
use verdict::Verdict;

const POOL: pool::Key = pool::Key(0);
/// Software versions that replicas run in turn.
const VERSIONS: usize = 2;

/// A random event.
#[derive(Clone, Debug)]
enum Step {
    Offer {
        account: u32,
        prompt: u32,
        idempotent: bool,
    },
    End {
        index: usize,
        end: End,
    },
    Token {
        index: usize,
    },
    Cancel {
        index: usize,
    },
    Join,
    Leave {
        index: usize,
    },
    Lose {
        index: usize,
    },
    Pause {
        index: usize,
        ms: u64,
    },
    Wait {
        ms: u64,
    },
}

fn step() -> impl Strategy<Value = Step> {
    let end = prop_oneof![
        4 => Just(End::Finished),
        1 => Just(End::NotStarted),
        1 => Just(End::Failed),
        1 => Just(End::Crashed),
        1 => Just(End::Interrupted),
        1 => Just(End::Withheld),
    ];
    prop_oneof![
        8 => (0..4_u32, 1..8_000_u32, any::<bool>())
            .prop_map(|(account, prompt, idempotent)| Step::Offer { account, prompt, idempotent }),
        6 => (any::<usize>(), end).prop_map(|(index, end)| Step::End { index, end }),
        4 => any::<usize>().prop_map(|index| Step::Token { index }),
        1 => any::<usize>().prop_map(|index| Step::Cancel { index }),
        1 => Just(Step::Join),
        1 => any::<usize>().prop_map(|index| Step::Leave { index }),
        1 => any::<usize>().prop_map(|index| Step::Lose { index }),
        1 => (any::<usize>(), 1..3_000_u64).prop_map(|(index, ms)| Step::Pause { index, ms }),
        4 => (1..600_u64).prop_map(|ms| Step::Wait { ms }),
    ]
}

/// A scheduler and the effects of its decisions.
struct Harness {
    scheduler: Scheduler,
    now: Time,
    last_id: u64,
    jobs: BTreeMap<Id, Job>,
    open: BTreeSet<Id>,
    running: BTreeMap<Id, replica::Key>,
    tried: BTreeMap<Id, BTreeSet<replica::Key>>,
    /// Where a job was interrupted that may return there.
    interrupted: BTreeMap<Id, replica::Key>,
    may_have_run: BTreeSet<Id>,
    streaming: BTreeSet<Id>,
    /// Software version of each replica.
    versions: BTreeMap<replica::Key, version::Key>,
    /// The version that began each stream.
    begun_by: BTreeMap<Id, version::Key>,
    usable: Vec<replica::Key>,
    gone: BTreeSet<replica::Key>,
    paused: BTreeMap<replica::Key, Time>,
    refused: Vec<Decision>,
}

impl Harness {
    fn new(replicas: usize) -> Harness {
        let mut scheduler = Scheduler::new(7);
        scheduler.set_entries(1);
        for key in 0..4 {
            let spec = account::Spec {
                name: format!("account-{key}").into(),
                weight: key + 1,
                priority: 0,
                tokens_per_second: 0,
                concurrent: 0,
            };
            scheduler.set_account(account::Key(key), spec);
        }
        let mut harness = Harness {
            scheduler,
            now: Time::ZERO,
            last_id: 0,
            jobs: BTreeMap::new(),
            open: BTreeSet::new(),
            running: BTreeMap::new(),
            tried: BTreeMap::new(),
            interrupted: BTreeMap::new(),
            may_have_run: BTreeSet::new(),
            streaming: BTreeSet::new(),
            versions: BTreeMap::new(),
            begun_by: BTreeMap::new(),
            usable: Vec::new(),
            gone: BTreeSet::new(),
            paused: BTreeMap::new(),
            refused: Vec::new(),
        };
        for _ in 0..replicas {
            harness.join();
        }
        harness
    }

    fn apply(&mut self, action: impl FnOnce(&mut Scheduler, Time, &mut Vec<Decision>)) {
        let mut out = Vec::new();
        action(&mut self.scheduler, self.now, &mut out);
        for decision in out {
            self.carry_out(decision);
        }
    }

    /// Checks that a decision is allowed and carries it out.
    fn carry_out(&mut self, decision: Decision) {
        match decision {
            Decision::Start { job, replica } => {
                assert!(self.open.contains(&job), "started after its end");
                assert!(!self.running.contains_key(&job), "started while it runs");
                assert!(
                    self.usable.contains(&replica),
                    "started on a replica that leaves or is lost"
                );
                let paused = self.paused.get(&replica);
                assert!(
                    paused.is_none_or(|end| self.now >= *end),
                    "started on a replica that pauses"
                );
                match self.interrupted.remove(&job) {
                    Some(left) if left == replica => {
                        self.tried.entry(job).or_default().remove(&left);
                    }
                    Some(_) => self.allow_retries(job),
                    None => {}
                }
                let repeated = !self.tried.entry(job).or_default().insert(replica);
                assert!(!repeated, "tried again on the same replica");
                let began = self.begun_by.get(&job);
                assert!(
                    began.is_none_or(|began| *began == self.versions[&replica]),
                    "continued at another version"
                );
                let retryable = self.jobs[&job].idempotent || !self.may_have_run.contains(&job);
                assert!(retryable, "a non-idempotent job was started again");
                self.running.insert(job, replica);
            }
            Decision::Refuse { job, ref refusal } => {
                assert!(self.open.remove(&job), "ended twice");
                assert!(!self.running.contains_key(&job), "refused while it runs");
                let ran = self.may_have_run.contains(&job);
                assert_eq!(refusal.verdict == Verdict::MayHaveRun, ran, "{refusal:?}");
                let may_retry =
                    refusal.reason != Reason::Quarantined && (!ran || self.jobs[&job].idempotent);
                assert_eq!(refusal.retry_after.is_some(), may_retry, "{refusal:?}");
                self.refused.push(decision);
            }
            Decision::Move { job, from, to, .. } => {
                assert_eq!(self.running.insert(job, to), Some(from));
                assert!(
                    self.usable.contains(&to),
                    "moved to a replica that leaves or is lost"
                );
                assert_eq!(
                    self.versions[&from], self.versions[&to],
                    "moved to another version"
                );
                let paused = self.paused.get(&to);
                assert!(
                    paused.is_none_or(|end| self.now >= *end),
                    "moved to a replica that pauses"
                );
            }
            Decision::Cancel { job, replica } => {
                assert_eq!(self.running.get(&job), Some(&replica));
            }
        }
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Offer {
                account,
                prompt,
                idempotent,
            } => self.offer(account, prompt, idempotent),
            Step::End { index, end } => {
                if let Some(id) = nth(self.running.keys(), index) {
                    self.end(id, end);
                }
            }
            Step::Token { index } => {
                if let Some(id) = nth(self.running.keys(), index) {
                    self.streaming.insert(id);
                    let version = self.versions[&self.running[&id]];
                    self.begun_by.entry(id).or_insert(version);
                    self.scheduler.first_token(self.now, id);
                    self.scheduler.progressed(self.now, id, 1);
                }
            }
            Step::Cancel { index } => {
                if let Some(id) = nth(self.open.iter(), index) {
                    self.apply(|scheduler, now, out| scheduler.cancel(now, id, out));
                    self.running.remove(&id);
                    self.open.remove(&id);
                }
            }
            Step::Join => self.join(),
            Step::Leave { index } => {
                if let Some(key) = nth(self.usable.iter(), index) {
                    self.usable.retain(|other| *other != key);
                    let deadline = self.now + Span::from_seconds(5);
                    self.apply(|scheduler, now, out| {
                        scheduler.replica_leaving(now, key, deadline, out);
                    });
                }
            }
            Step::Lose { index } => {
                if let Some(key) = nth(self.usable.iter(), index) {
                    self.lose(key);
                }
            }
            Step::Pause { index, ms } => {
                if let Some(key) = nth(self.usable.iter(), index) {
                    let pause = Span::from_millis(ms);
                    let end = self.paused.entry(key).or_default();
                    *end = (self.now + pause).max(*end);
                    self.apply(|scheduler, now, out| {
                        scheduler.replica_paused(now, key, pause, out);
                    });
                }
            }
            Step::Wait { ms } => self.wait(ms),
        }
    }

    fn offer(&mut self, account: u32, prompt: u32, idempotent: bool) {
        self.last_id += 1;
        let job = Job {
            id: Id(self.last_id),
            account: account::Key(account),
            pool: POOL,
            kind: Kind::Model,
            prompt_tokens: prompt,
            max_new_tokens: 100,
            prefix: u64::from(prompt % 10),
            fingerprint: self.last_id,
            idempotent,
            first_token: Span::from_seconds(1),
            token_gap: Span::from_millis(60),
            terms: policy::job::Terms::default(),
        };
        self.jobs.insert(job.id, job);
        self.open.insert(job.id);
        self.apply(|scheduler, now, out| scheduler.offer(now, job, out));
    }

    /// Applies the rule that a caller that holds the head of its answer gets the rest: once all usable
    /// replicas have failed the job, and only then, they may be tried again.
    fn allow_retries(&mut self, id: Id) {
        let tried = self.tried.entry(id).or_default();
        let began = self.begun_by.get(&id).copied();
        let versions = &self.versions;
        let runs = |key: &&replica::Key| began.is_none_or(|began| began == versions[*key]);
        let mut eligible = self.usable.iter().filter(runs);
        if self.streaming.contains(&id) && eligible.all(|key| tried.contains(key)) {
            tried.clear();
        }
    }

    fn end(&mut self, id: Id, end: End) {
        let replica = self.running.remove(&id);
        if end != End::Interrupted {
            self.allow_retries(id);
        }
        match end {
            End::Finished | End::Left => {
                self.open.remove(&id);
            }
            End::Failed | End::Crashed | End::Withheld => {
                self.may_have_run.insert(id);
            }
            End::Interrupted => {
                self.may_have_run.insert(id);
                self.interrupted.extend(replica.map(|key| (id, key)));
            }
            End::NotStarted | End::NotSent => {}
        }
        self.apply(|scheduler, now, out| scheduler.attempt_ended(now, id, end, 10, out));
    }

    fn join(&mut self) {
        let version = version::Key((self.versions.len() % VERSIONS) as u64);
        let spec = replica::Spec {
            incarnation: format!("r{}", self.usable.len() + self.gone.len() * 100).into(),
            pool: POOL,
            zone: format!("zone-{}", self.usable.len() % 3).into(),
            version,
            slots: 4,
        };
        let mut out = Vec::new();
        let key = self.scheduler.replica_joined(self.now, spec, &mut out);
        self.versions.insert(key, version);
        self.usable.push(key);
        for decision in out {
            self.carry_out(decision);
        }
    }

    fn lose(&mut self, key: replica::Key) {
        self.usable.retain(|other| *other != key);
        self.gone.insert(key);
        self.scheduler.replica_lost(self.now, key);
        let lost: Vec<Id> = self
            .running
            .iter()
            .filter(|(_, replica)| **replica == key)
            .map(|(id, _)| *id)
            .collect();
        for id in lost {
            self.end(id, End::Crashed);
        }
    }

    /// Polls at each wake-up time of the scheduler.
    fn wait(&mut self, ms: u64) {
        let end = self.now + Span::from_millis(ms);
        while let Some(wake) = self.scheduler.next_wake().filter(|wake| *wake <= end) {
            self.now = self.now.max(wake);
            self.apply(|scheduler, now, out| scheduler.poll(now, out));
            if wake == self.scheduler.next_wake().unwrap_or(Time::ZERO) {
                self.now = self.now + Span::from_millis(1);
            }
        }
        self.now = self.now.max(end);
        self.apply(|scheduler, now, out| scheduler.poll(now, out));
    }
}

fn nth<'a, T: Copy + 'a>(items: impl ExactSizeIterator<Item = &'a T>, index: usize) -> Option<T> {
    let count = items.len();
    if count == 0 {
        return None;
    }
    items.copied().nth(index % count)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 200,
        rng_seed: RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Each job ends exactly once with a true verdict, and none is forgotten: at the end everything that is
    /// left runs or is refused in time.
    #[test]
    fn every_job_ends_once_with_a_true_verdict(steps in prop::collection::vec(step(), 1..120)) {
        let mut harness = Harness::new(3);
        for step in steps {
            harness.step(step);
            for id in harness.open.clone() {
                let known = harness.scheduler.explain(id).is_some();
                prop_assert!(known, "{id:?} is open and forgotten");
            }
        }
        // Running jobs finish; the rest must be refused by its deadline and queue timeout.
        let running: Vec<Id> = harness.running.keys().copied().collect();
        for id in running {
            if harness.running.contains_key(&id) {
                harness.end(id, End::Finished);
            }
        }
        while let Some(id) = harness.running.keys().next().copied() {
            harness.end(id, End::Finished);
        }
        harness.wait(40_000);
        while let Some(id) = harness.running.keys().next().copied() {
            harness.end(id, End::Finished);
            harness.wait(1_000);
        }
        prop_assert!(harness.open.is_empty(), "left open: {:?}", harness.open);
    }

    /// Nothing waits while a replica idles, for jobs of one size without failures.
    #[test]
    fn work_is_conserved(
        steps in prop::collection::vec((0..4_u32, any::<usize>(), any::<bool>()), 1..150),
    ) {
        let mut harness = Harness::new(3);
        // Warm-up compares replicas that joined together, so it holds none back.
        for (account, index, offer) in steps {
            match offer {
                true => harness.offer(account, 500, true),
                false => harness.step(Step::End { index, end: End::Finished }),
            }
            let busy: BTreeSet<replica::Key> = harness.running.values().copied().collect();
            let waits = harness.scheduler.waiting(POOL) > 0;
            prop_assert!(!waits || busy.len() == 3, "{busy:?} with work waiting");
        }
    }

    /// However much another account sends, an account's job starts before a bounded number of others.
    #[test]
    fn nobody_starves(flood in 20..60_u32, heavy in 1..4_u32) {
        let mut harness = Harness::new(1);
        for _ in 0..flood {
            harness.offer(heavy, 500, true);
        }
        harness.offer(0, 500, true);
        let lone_job = Id(harness.last_id);
        let mut ended = 0;
        while !harness.running.contains_key(&lone_job) && harness.open.contains(&lone_job) {
            harness.step(Step::End { index: 0, end: End::Finished });
            harness.offer(heavy, 500, true);
            ended += 1;
            prop_assert!(ended <= 2 * (heavy + 1), "passed over {ended} times");
        }
        prop_assert!(harness.running.contains_key(&lone_job));
    }
}
