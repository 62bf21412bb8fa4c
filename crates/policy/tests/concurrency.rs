//! Load estimates from lagging reports, and limits that entries share without communication.

use clock::Span;
use clock::Time;
use policy::concurrency::Load;
use policy::configs::concurrency::Config;
use policy::replica::Report;
use proptest::prelude::*;
use proptest::test_runner::Config as Proptest;
use proptest::test_runner::RngSeed;

fn report(running: u32, age: u64) -> Report {
    Report {
        running,
        waiting: 0,
        kv_used: 0.0,
        age: Span::from_millis(age),
    }
}

fn time(millis: u64) -> Time {
    Time::from_millis(millis)
}

/// A report that was made before the last four own starts doesn't include them. Subtracting them from it
/// would count the jobs of others as own ones and underestimate the load.
#[test]
fn report_is_corrected_for_what_was_started_since() {
    let config = Config {
        herd: 0.0,
        ..Config::default()
    };
    let mut load = Load::new(config, 32);
    for start in [100, 200, 900, 920, 940, 960] {
        load.started(time(start), 10);
    }
    load.reported(time(1_000), &report(8, 500));
    assert_eq!(load.own_jobs(), 6);
    let others = load.jobs(time(500), 0.0) - f64::from(load.own_jobs());
    assert!((others - 6.0).abs() < 1e-9, "others {others}");
}

/// Reports overtake each other; the older one must not replace the newer.
#[test]
fn late_report_is_dropped() {
    let mut load = Load::new(Config::default(), 32);
    load.reported(time(2_000), &report(20, 100));
    load.reported(time(2_100), &report(3, 900));
    assert!(load.jobs(time(2_000), 0.0) > 19.0);
}

/// Reports stop for a minute after one that said "idle". If it stayed valid, every entry would fill that
/// replica without end. The estimate converges to the own jobs there times the number of entries.
#[test]
fn stale_report_gives_way_to_what_others_must_have() {
    let mut load = Load::new(Config::default(), 32);
    load.reported(time(1_000), &report(0, 0));
    let fresh = load.jobs(time(1_000), 2.0);
    let stale = load.jobs(time(61_000), 2.0);
    assert!(fresh < 0.1 && (stale - 14.0).abs() < 0.1, "{fresh} {stale}");
}

/// Eight entries share a replica whose token gap doubles beyond 16 jobs; at first one has it to itself.
/// Without communication all entries get about equal shares.
#[test]
fn limits_of_entries_become_equal() {
    let mut loads = vec![Load::new(Config::default(), 64); 8];
    for _ in 0..40 {
        loads[0].started(time(1), 10);
    }
    for round in 0..20_000_u64 {
        let now = time(round * 20);
        let total: u32 = loads.iter().map(Load::own_jobs).sum();
        let latency_ratio = if total > 16 { 1.6 } else { 0.8 };
        for load in &mut loads {
            load.sample(now, latency_ratio);
            while load.own_jobs() < load.limit() {
                load.started(now, 10);
            }
            while load.own_jobs() > load.limit() {
                load.ended(now, 10);
            }
        }
    }
    let own: Vec<u32> = loads.iter().map(Load::own_jobs).collect();
    let spread = own.iter().max().copied().unwrap_or(0) - own.iter().min().copied().unwrap_or(0);
    assert!(spread <= 1, "own jobs {own:?}");
}

proptest! {
    #![proptest_config(Proptest {
        cases: 128,
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..Proptest::default()
    })]

    /// In any order of events the limit stays from 1 to the slots, estimates are finite and never below the
    /// own jobs, and an entry without a job there may always start one.
    #[test]
    fn estimates_stay_within_bounds(events in proptest::collection::vec((0_u8..5, 0_u32..50, 0_u64..3_000), 1..200)) {
        let mut load = Load::new(Config::default(), 16);
        let mut now = Time::ZERO;
        for (kind, number, millis) in events {
            now = now + Span::from_millis(millis);
            match kind {
                0 => load.started(now, u64::from(number)),
                1 => load.ended(now, u64::from(number)),
                2 => load.reported(now, &report(number, millis)),
                3 => load.sample(now, f64::from(number) / 10.0),
                _ => load.progressed(u64::from(number)),
            }
            prop_assert!((1..=16).contains(&load.limit()));
            let jobs = load.jobs(now, 1.0);
            prop_assert!(jobs.is_finite() && jobs >= f64::from(load.own_jobs()));
            prop_assert!(load.own_jobs() > 0 || load.is_open(now, 100.0));
        }
    }
}
