//! What holds whatever happens: property tests over one scheduler.

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
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use verdict::Reason;
use verdict::Verdict;

const POOL: pool::Key = pool::Key(0);

/// One thing that happens.
#[derive(Clone, Debug)]
enum Step {
    Offer {
        account: u32,
        prompt: u32,
        idempotent: bool,
    },
    End {
        which: usize,
        end: End,
    },
    Token {
        which: usize,
    },
    Cancel {
        which: usize,
    },
    Join,
    Leave {
        which: usize,
    },
    Lose {
        which: usize,
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
    ];
    prop_oneof![
        8 => (0..4_u32, 1..8_000_u32, any::<bool>())
            .prop_map(|(account, prompt, idempotent)| Step::Offer { account, prompt, idempotent }),
        6 => (any::<usize>(), end).prop_map(|(which, end)| Step::End { which, end }),
        4 => any::<usize>().prop_map(|which| Step::Token { which }),
        1 => any::<usize>().prop_map(|which| Step::Cancel { which }),
        1 => Just(Step::Join),
        1 => any::<usize>().prop_map(|which| Step::Leave { which }),
        1 => any::<usize>().prop_map(|which| Step::Lose { which }),
        4 => (1..600_u64).prop_map(|ms| Step::Wait { ms }),
    ]
}

/// A scheduler and what its decisions brought about.
struct Bench {
    scheduler: Scheduler,
    now: Time,
    next: u64,
    jobs: BTreeMap<Id, Job>,
    open: BTreeSet<Id>,
    running: BTreeMap<Id, replica::Key>,
    tried: BTreeMap<Id, BTreeSet<replica::Key>>,
    may_have_run: BTreeSet<Id>,
    streaming: BTreeSet<Id>,
    usable: Vec<replica::Key>,
    gone: BTreeSet<replica::Key>,
    refused: Vec<Decision>,
}

impl Bench {
    fn new(replicas: usize) -> Bench {
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
        let mut bench = Bench {
            scheduler,
            now: Time::ZERO,
            next: 0,
            jobs: BTreeMap::new(),
            open: BTreeSet::new(),
            running: BTreeMap::new(),
            tried: BTreeMap::new(),
            may_have_run: BTreeSet::new(),
            streaming: BTreeSet::new(),
            usable: Vec::new(),
            gone: BTreeSet::new(),
            refused: Vec::new(),
        };
        for _ in 0..replicas {
            bench.join();
        }
        bench
    }

    fn act(&mut self, act: impl FnOnce(&mut Scheduler, Time, &mut Vec<Decision>)) {
        let mut out = Vec::new();
        act(&mut self.scheduler, self.now, &mut out);
        for decision in out {
            self.check(decision);
        }
    }

    /// Carries one decision out, having checked that it may be taken.
    fn check(&mut self, decision: Decision) {
        match decision {
            Decision::Start { job, replica } => {
                assert!(self.open.contains(&job), "started after its end");
                assert!(!self.running.contains_key(&job), "started while it runs");
                assert!(
                    self.usable.contains(&replica),
                    "started on a replica that leaves or is lost"
                );
                let again = !self.tried.entry(job).or_default().insert(replica);
                assert!(!again, "tried again on the same replica");
                let repeatable = self.jobs[&job].idempotent || !self.may_have_run.contains(&job);
                assert!(repeatable, "a non-idempotent job was started again");
                self.running.insert(job, replica);
            }
            Decision::Refuse { job, ref refusal } => {
                assert!(self.open.remove(&job), "ended twice");
                assert!(!self.running.contains_key(&job), "refused while it runs");
                let ran = self.may_have_run.contains(&job);
                assert_eq!(refusal.verdict == Verdict::MayHaveRun, ran, "{refusal:?}");
                let helps =
                    refusal.reason != Reason::Quarantined && (!ran || self.jobs[&job].idempotent);
                assert_eq!(refusal.retry_after.is_some(), helps, "{refusal:?}");
                self.refused.push(decision);
            }
            Decision::Move { job, from, to, .. } => {
                assert_eq!(self.running.insert(job, to), Some(from));
                assert!(
                    self.usable.contains(&to),
                    "moved to a replica that leaves or is lost"
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
            Step::End { which, end } => {
                if let Some(id) = nth(self.running.keys(), which) {
                    self.end(id, end);
                }
            }
            Step::Token { which } => {
                if let Some(id) = nth(self.running.keys(), which) {
                    self.streaming.insert(id);
                    self.scheduler.first_token(self.now, id);
                    self.scheduler.progressed(self.now, id, 1);
                }
            }
            Step::Cancel { which } => {
                if let Some(id) = nth(self.open.iter(), which) {
                    self.act(|scheduler, now, out| scheduler.cancel(now, id, out));
                    self.running.remove(&id);
                    self.open.remove(&id);
                }
            }
            Step::Join => self.join(),
            Step::Leave { which } => {
                if let Some(key) = nth(self.usable.iter(), which) {
                    self.usable.retain(|held| *held != key);
                    let deadline = self.now + Span::from_seconds(5);
                    self.act(|scheduler, now, out| {
                        scheduler.replica_leaving(now, key, deadline, out);
                    });
                }
            }
            Step::Lose { which } => {
                if let Some(key) = nth(self.usable.iter(), which) {
                    self.lose(key);
                }
            }
            Step::Wait { ms } => self.wait(ms),
        }
    }

    fn offer(&mut self, account: u32, prompt: u32, idempotent: bool) {
        self.next += 1;
        let job = Job {
            id: Id(self.next),
            account: account::Key(account),
            pool: POOL,
            kind: Kind::Model,
            prompt_tokens: prompt,
            max_new_tokens: 100,
            prefix: u64::from(prompt % 10),
            fingerprint: self.next,
            idempotent,
            first_token: Span::from_seconds(1),
            token_gap: Span::from_millis(60),
            terms: policy::job::Terms::default(),
        };
        self.jobs.insert(job.id, job);
        self.open.insert(job.id);
        self.act(|scheduler, now, out| scheduler.offer(now, job, out));
    }

    fn end(&mut self, id: Id, end: End) {
        self.running.remove(&id);
        // A caller that has the head of its answer is owed the rest: when all usable replicas have
        // failed it, and only then, they may be tried once more.
        let tried = self.tried.entry(id).or_default();
        if self.streaming.contains(&id) && self.usable.iter().all(|key| tried.contains(key)) {
            tried.clear();
        }
        match end {
            End::Finished | End::Left => {
                self.open.remove(&id);
            }
            End::Failed | End::Crashed => {
                self.may_have_run.insert(id);
            }
            End::NotStarted | End::NotSent => {}
        }
        self.act(|scheduler, now, out| scheduler.attempt_ended(now, id, end, 10, out));
    }

    fn join(&mut self) {
        let spec = replica::Spec {
            incarnation: format!("r{}", self.usable.len() + self.gone.len() * 100).into(),
            pool: POOL,
            zone: format!("zone-{}", self.usable.len() % 3).into(),
            slots: 4,
        };
        let mut out = Vec::new();
        let key = self.scheduler.replica_joined(self.now, spec, &mut out);
        self.usable.push(key);
        for decision in out {
            self.check(decision);
        }
    }

    fn lose(&mut self, key: replica::Key) {
        self.usable.retain(|held| *held != key);
        self.gone.insert(key);
        self.scheduler.replica_lost(self.now, key);
        let lost: Vec<Id> = self
            .running
            .iter()
            .filter(|(_, at)| **at == key)
            .map(|(id, _)| *id)
            .collect();
        for id in lost {
            self.end(id, End::Crashed);
        }
    }

    /// Polls whenever the scheduler wants it.
    fn wait(&mut self, ms: u64) {
        let end = self.now + Span::from_millis(ms);
        while let Some(wake) = self.scheduler.next_wake().filter(|wake| *wake <= end) {
            self.now = self.now.max(wake);
            self.act(|scheduler, now, out| scheduler.poll(now, out));
            if wake == self.scheduler.next_wake().unwrap_or(Time::ZERO) {
                self.now = self.now + Span::from_millis(1);
            }
        }
        self.now = self.now.max(end);
        self.act(|scheduler, now, out| scheduler.poll(now, out));
    }
}

fn nth<'a, T: Copy + 'a>(items: impl ExactSizeIterator<Item = &'a T>, which: usize) -> Option<T> {
    let count = items.len();
    if count == 0 {
        return None;
    }
    items.copied().nth(which % count)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 200,
        rng_seed: RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Whatever happens, each job ends exactly once, with a true verdict, and none is forgotten: at the
    /// end everything that is left runs or is refused in time.
    #[test]
    fn every_job_ends_once_and_truly(steps in prop::collection::vec(step(), 1..120)) {
        let mut bench = Bench::new(3);
        for step in steps {
            bench.step(step);
            for id in bench.open.clone() {
                let known = bench.scheduler.explain(id).is_some();
                prop_assert!(known, "{id:?} is open and forgotten");
            }
        }
        // No replica answers any more; what waits must be refused within its time and patience.
        let running: Vec<Id> = bench.running.keys().copied().collect();
        for id in running {
            if bench.running.contains_key(&id) {
                bench.end(id, End::Finished);
            }
        }
        while let Some(id) = bench.running.keys().next().copied() {
            bench.end(id, End::Finished);
        }
        bench.wait(40_000);
        while let Some(id) = bench.running.keys().next().copied() {
            bench.end(id, End::Finished);
            bench.wait(1_000);
        }
        prop_assert!(bench.open.is_empty(), "left open: {:?}", bench.open);
    }

    /// Nothing waits while a replica idles: jobs of one size, no failures.
    #[test]
    fn work_is_conserved(
        steps in prop::collection::vec((0..4_u32, any::<usize>(), any::<bool>()), 1..150),
    ) {
        let mut bench = Bench::new(3);
        // Warm-up compares replicas that joined together: none is held back.
        for (account, which, offer) in steps {
            match offer {
                true => bench.offer(account, 500, true),
                false => bench.step(Step::End { which, end: End::Finished }),
            }
            let busy: BTreeSet<replica::Key> = bench.running.values().copied().collect();
            let waits = bench.scheduler.waiting(POOL) > 0;
            prop_assert!(!waits || busy.len() == 3, "{busy:?} with work waiting");
        }
    }

    /// However much another account sends, an account's job starts before a bounded number of others.
    #[test]
    fn nobody_starves(flood in 20..60_u32, heavy in 1..4_u32) {
        let mut bench = Bench::new(1);
        for _ in 0..flood {
            bench.offer(heavy, 500, true);
        }
        bench.offer(0, 500, true);
        let lone = Id(bench.next);
        let mut ended = 0;
        while !bench.running.contains_key(&lone) && bench.open.contains(&lone) {
            bench.step(Step::End { which: 0, end: End::Finished });
            bench.offer(heavy, 500, true);
            ended += 1;
            prop_assert!(ended <= 2 * (heavy + 1), "passed over {ended} times");
        }
        prop_assert!(bench.running.contains_key(&lone));
    }
}
