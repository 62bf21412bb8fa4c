//! Planned actions for running jobs in a wave of reclaims.

use clock::Span;
use clock::Time;
use policy::configs::wave::Config;
use policy::decision::Transfer;
use policy::job;
use policy::replica::Key;
use policy::wave;
use policy::wave::Action;
use policy::wave::Running;
use policy::wave::Source;
use policy::wave::Step;
use policy::wave::Target;
use proptest::prelude::*;
use proptest::test_runner::Config as Proptest;
use proptest::test_runner::RngSeed;

const NOTICE: Time = Time::from_millis(10_000);

fn running(id: u64, tokens: u32) -> Running {
    Running {
        id: job::Id(id),
        from: Key(0),
        kind: job::Kind::Model,
        tokens,
        remaining: Span::from_seconds(60),
        idempotent: true,
    }
}

fn source(key: u32) -> Source {
    Source {
        key: Key(key),
        deadline: NOTICE,
    }
}

fn target(key: u32, slots: u32) -> Target {
    Target {
        key: Key(key),
        slots,
        tokens: 1_000_000,
    }
}

fn action(steps: &[Step], id: u64) -> Action {
    let step = steps.iter().find(|step| step.job == job::Id(id));
    step.expect("each job has an action").action
}

fn transfer(steps: &[Step], id: u64) -> Option<Transfer> {
    match action(steps, id) {
        Action::Move { transfer, .. } => Some(transfer),
        Action::Finish | Action::Wait => None,
    }
}

/// A replica with ten seconds left runs two jobs of 100,000 tokens and many small ones. The link
/// carries two large jobs within the notice; in order of arrival the small ones would take that
/// time, and a large job would be recomputed.
#[test]
fn long_jobs_are_moved_before_short_ones() {
    let mut jobs: Vec<Running> = (0..40).map(|id| running(id, 500)).collect();
    jobs.push(running(100, 100_000));
    jobs.push(running(101, 100_000));
    let steps = wave::plan(
        &Config::default(),
        Time::ZERO,
        &[source(0)],
        &jobs,
        &[target(1, 64)],
    );
    assert_eq!(transfer(&steps, 100), Some(Transfer::Kv));
    assert_eq!(transfer(&steps, 101), Some(Transfer::Kv));
    let rerun: u32 = jobs
        .iter()
        .filter(|job| transfer(&steps, job.id.0) == Some(Transfer::Rerun))
        .map(|job| job.tokens)
        .sum();
    assert!(rerun <= 20_000, "{rerun} tokens are recomputed");
}

/// A job that ends in time stays, a plain call can't be moved, and a job that must not run twice is
/// moved first and never rerun, even if nothing can take it.
#[test]
fn each_job_gets_a_permitted_action() {
    let ending = Running {
        remaining: Span::from_seconds(5),
        ..running(1, 9_000)
    };
    let plain = Running {
        kind: job::Kind::Plain,
        ..running(2, 0)
    };
    let filing = Running {
        idempotent: false,
        ..running(3, 100)
    };
    let large = running(4, 150_000);
    let jobs = [large, ending, plain, filing];
    let steps = wave::plan(
        &Config::default(),
        Time::ZERO,
        &[source(0)],
        &jobs,
        &[target(1, 9)],
    );
    assert_eq!(action(&steps, 1), Action::Finish);
    assert_eq!(action(&steps, 2), Action::Wait);
    assert!(matches!(
        action(&steps, 3),
        Action::Move {
            transfer: Transfer::Kv,
            start: Time::ZERO,
            ..
        }
    ));
    assert_eq!(transfer(&steps, 4), Some(Transfer::Kv));
    let full = wave::plan(&Config::default(), Time::ZERO, &[source(0)], &jobs, &[]);
    assert_eq!(action(&full, 3), Action::Wait);
}

/// A zone is reclaimed: three replicas leave, six stay. All moves together must not overfill any of
/// them, and the costliest jobs of the whole zone get the room there is.
#[test]
fn moves_of_a_zone_fit_into_the_remaining_replicas() {
    let mut jobs = Vec::new();
    for id in 0..48 {
        let from = Key(id as u32 % 3);
        jobs.push(Running {
            from,
            ..running(id, 100 + 100 * id as u32)
        });
    }
    let sources = [source(0), source(1), source(2)];
    let targets: Vec<Target> = (3..9).map(|key| target(key, 4)).collect();
    let steps = wave::plan(&Config::default(), Time::ZERO, &sources, &jobs, &targets);
    let moved = |id: &u64| transfer(&steps, *id).is_some();
    assert_eq!((0..48).filter(moved).count(), 24);
    assert!((24..48).all(|id| moved(&id)));
}

proptest! {
    #![proptest_config(Proptest {
        cases: 128,
        rng_seed: RngSeed::Fixed(8),
        failure_persistence: None,
        ..Proptest::default()
    })]

    /// In any wave each job has one action, targets take no more than they can, transfers of a link
    /// don't overlap and end within its notice, and jobs that must not be rerun aren't.
    #[test]
    fn plans_are_feasible(
        jobs in proptest::collection::vec((0_u32..3, 1_u32..80_000, 0_u64..40_000, any::<bool>()), 0..60),
        room in proptest::collection::vec((0_u32..8, 0_u64..200_000), 0..6),
    ) {
        let config = Config::default();
        let jobs: Vec<Running> = jobs.iter().enumerate().map(|(id, (from, tokens, rest, idempotent))| Running {
            from: Key(*from),
            remaining: Span::from_millis(*rest),
            idempotent: *idempotent,
            ..running(id as u64, *tokens)
        }).collect();
        let targets: Vec<Target> = room.iter().enumerate().map(|(index, (slots, tokens))| Target {
            tokens: *tokens,
            ..target(10 + index as u32, *slots)
        }).collect();
        let sources = [source(0), source(1), source(2)];
        let steps = wave::plan(&config, Time::ZERO, &sources, &jobs, &targets);
        prop_assert_eq!(steps.len(), jobs.len());
        let mut free = [Time::ZERO; 3];
        let mut left = targets.clone();
        for step in &steps {
            let job = jobs[step.job.0 as usize];
            let Action::Move { to, transfer, start } = step.action else { continue };
            let target = left.iter_mut().find(|target| target.key == to).expect("a target");
            prop_assert!(target.slots >= 1 && target.tokens >= u64::from(job.tokens));
            target.slots -= 1;
            target.tokens -= u64::from(job.tokens);
            if transfer == Transfer::Rerun {
                prop_assert!(job.idempotent);
                continue;
            }
            let link = &mut free[step.from.0 as usize];
            prop_assert!(start >= *link);
            let carried = f64::from(job.tokens) / config.tokens_per_milli;
            *link = start + config.setup + Span::from_millis(carried.ceil() as u64);
            prop_assert!(*link + config.margin <= NOTICE);
        }
    }

    /// On one link with enough room at the target the plan saves at least four fifths of the
    /// optimum.
    #[test]
    fn plan_is_near_the_optimum(sizes in proptest::collection::vec(1_000_u32..120_000, 1..12)) {
        let config = Config::default();
        let jobs: Vec<Running> = sizes.iter().enumerate().map(|(id, tokens)| running(id as u64, *tokens)).collect();
        let steps = wave::plan(&config, Time::ZERO, &[source(0)], &jobs, &[target(1, 64)]);
        let saved: u32 = jobs.iter().filter(|job| transfer(&steps, job.id.0) == Some(Transfer::Kv)).map(|job| job.tokens).sum();
        let notice = NOTICE.as_millis() - config.margin.as_millis();
        let cost = |tokens: u32| config.setup.as_millis() + (f64::from(tokens) / config.tokens_per_milli).ceil() as u64;
        let best = (0..1_u32 << sizes.len()).filter_map(|chosen| {
            let picked = || sizes.iter().enumerate().filter(|(index, _)| chosen >> index & 1 == 1);
            let fits = picked().map(|(_, tokens)| cost(*tokens)).sum::<u64>() <= notice;
            fits.then(|| picked().map(|(_, tokens)| tokens).sum::<u32>())
        }).max().unwrap_or(0);
        prop_assert!(f64::from(saved) >= 0.8 * f64::from(best), "saved {} of {}", saved, best);
    }
}
