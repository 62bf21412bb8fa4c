//! Ejection and gradual readmission of replicas that stand out against their peers.

use clock::Span;
use clock::Time;
use policy::configs::health::Config;
use policy::health::Allowance;
use policy::health::Monitor;
use policy::job::End;
use policy::replica::Key;
use proptest::prelude::*;
use proptest::test_runner::Config as Proptest;
use proptest::test_runner::RngSeed;

const STEP: Span = Span::from_millis(50);

/// A pool whose replicas each have one stream open.
struct Pool {
    now: Time,
    monitor: Monitor,
    replicas: u32,
}

impl Pool {
    fn new(replicas: u32) -> Pool {
        let mut monitor = Monitor::new(Config::default());
        for key in 0..replicas {
            monitor.add(Time::ZERO, Key(key));
            monitor.record_start(Time::ZERO, Key(key));
        }
        Pool {
            now: Time::ZERO,
            monitor,
            replicas,
        }
    }

    /// Lets each replica that may be used do one piece of work per step.
    fn run(&mut self, span: Span, work: impl Fn(u32) -> Work) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + STEP;
            for key in 0..self.replicas {
                if self.monitor.allowance(Key(key)) != Allowance::None {
                    self.work(Key(key), work(key));
                }
            }
            self.monitor.tick(self.now);
        }
    }

    fn work(&mut self, key: Key, work: Work) {
        let end = match work {
            Work::Gap(gap) => {
                self.monitor.record_progress(self.now, key, Some(gap));
                End::Finished
            }
            Work::Fail => End::Failed,
            Work::Silence => return,
        };
        self.monitor.record_end(self.now, key, end);
        self.monitor.record_start(self.now, key);
    }

    fn ejected(&self) -> Vec<u32> {
        (0..self.replicas)
            .filter(|key| self.monitor.allowance(Key(*key)) == Allowance::None)
            .collect()
    }
}

/// Work of one replica in one step.
#[derive(Clone, Copy)]
enum Work {
    Gap(f64),
    Fail,
    Silence,
}

/// One replica becomes five times slower than its peers; requests that go there miss their target
/// until it is ejected.
#[test]
fn only_a_slow_replica_is_ejected() {
    let mut pool = Pool::new(9);
    pool.run(Span::from_seconds(4), |key| {
        Work::Gap(if key == 4 { 150.0 } else { 30.0 })
    });
    assert_eq!(pool.ejected(), [4]);
}

/// A process freezes with streams open: no token, no report, no error, and the callers' streams
/// hang.
#[test]
fn frozen_replica_is_ejected() {
    let mut pool = Pool::new(9);
    pool.run(Span::from_seconds(4), |key| match key {
        2 => Work::Silence,
        _ => Work::Gap(30.0),
    });
    assert_eq!(pool.ejected(), [2]);
}

/// An engine computes a long prompt alone: its one stream is silent for ten seconds while its load
/// reports keep coming. It must not be ejected.
#[test]
fn long_prefill_is_not_frozen() {
    let mut pool = Pool::new(3);
    for _ in 0..10 {
        pool.monitor.record_report(pool.now, Key(0));
        pool.run(Span::from_seconds(1), |key| match key {
            0 => Work::Silence,
            _ => Work::Gap(30.0),
        });
        assert_eq!(pool.ejected(), []);
    }
}

/// A replica fails every request in a millisecond. As the least loaded it would attract all work.
#[test]
fn fast_failing_replica_is_ejected_within_five_failures() {
    let mut pool = Pool::new(3);
    pool.run(Span::from_millis(500), |key| match key {
        1 => Work::Fail,
        _ => Work::Gap(30.0),
    });
    assert_eq!(pool.ejected(), [1]);
}

/// A bad version fails, or overload slows, every replica alike: ejecting some helps nobody.
#[test]
fn common_fault_ejects_nobody() {
    let mut pool = Pool::new(9);
    pool.run(Span::from_seconds(5), |_| Work::Fail);
    assert_eq!(pool.ejected(), []);
    pool.run(Span::from_seconds(5), |_| Work::Gap(900.0));
    assert_eq!(pool.ejected(), []);
}

/// A recovered replica that got its whole share at once, with a cold cache, would be slow again; it
/// gets one job, then twice as many after each successful round.
#[test]
fn recovered_replica_is_readmitted_gradually() {
    let mut pool = Pool::new(9);
    pool.run(Span::from_seconds(2), |key| {
        if key == 0 {
            Work::Fail
        } else {
            Work::Gap(30.0)
        }
    });
    assert_eq!(pool.ejected(), [0]);
    let mut seen = Vec::new();
    for _ in 0..200 {
        pool.run(STEP, |_| Work::Gap(30.0));
        let allowance = pool.monitor.allowance(Key(0));
        if seen.last() != Some(&allowance) {
            seen.push(allowance);
        }
    }
    let steps = [1, 2, 4, 8, 16].map(Allowance::Jobs);
    assert_eq!(seen[0], Allowance::None);
    assert_eq!(seen[1..6], steps);
    assert_eq!(seen[6], Allowance::Full);
}

/// A replica that relapses at each probe costs a late request each time, so ejections get longer.
#[test]
fn relapses_are_probed_ever_more_rarely() {
    let mut pool = Pool::new(3);
    let mut probes = 0;
    let mut was_ejected = false;
    for _ in 0..20 * 600 {
        pool.run(STEP, |key| {
            if key == 0 {
                Work::Fail
            } else {
                Work::Gap(30.0)
            }
        });
        let ejected = pool.ejected() == [0];
        probes += u32::from(was_ejected && !ejected);
        was_ejected = ejected;
    }
    // Ejections of 5, 10, 20, ... 300 s: seven of them fit into ten minutes.
    assert!((5..=7).contains(&probes), "probed {probes} times");
}

/// A replica of a slower type has longer gaps for good. One that is as slow but was known to be of the median
/// speed is unhealthy.
#[test]
fn slower_types_stay_and_failing_replicas_go() {
    const TYPE: f64 = 0.375;
    let mut pool = Pool::new(9);
    pool.monitor.set_speed(Key(4), TYPE, false);
    let gap = |key: u32| if key == 4 || key == 7 { 90.0 } else { 20.0 };
    pool.run(Span::from_seconds(4), |key| Work::Gap(gap(key)));
    assert_eq!(pool.ejected(), [7]);
    for _ in 0..60 {
        pool.run(Span::from_seconds(1), |key| Work::Gap(gap(key)));
        assert!(!pool.ejected().contains(&4));
    }
    // Its own speed protects it only up to its type.
    let gap = |key: u32| if key == 4 { 300.0 } else { 20.0 };
    let mut was_ejected = false;
    for _ in 0..20 {
        pool.run(Span::from_seconds(1), |key| Work::Gap(gap(key)));
        was_ejected |= pool.ejected().contains(&4);
    }
    assert!(was_ejected);
}

/// A cold pool of several types: the slowest computed prompts all the time, and was ejected before its speed was
/// known. Failures and silence count from the start.
#[test]
fn gaps_arent_judged_while_a_speed_is_learned() {
    let gap = |key: u32| Work::Gap(if key == 7 { 90.0 } else { 20.0 });
    let mut pool = Pool::new(9);
    pool.monitor.set_speed(Key(7), 1.0, true);
    pool.run(Span::from_seconds(8), gap);
    assert!(pool.ejected().is_empty());
    pool.monitor.set_speed(Key(7), 1.0, false);
    pool.run(Span::from_seconds(1), gap);
    assert_eq!(pool.ejected(), [7]);

    let mut pool = Pool::new(9);
    pool.monitor.set_speed(Key(7), 1.0, true);
    pool.run(Span::from_seconds(2), |key| match key {
        7 => Work::Fail,
        _ => Work::Gap(20.0),
    });
    assert_eq!(pool.ejected(), [7]);
}

/// Guards against ejecting a sound replica of a quick service: the clock counts whole milliseconds, and any time is a
/// multiple of none.
#[test]
fn times_of_a_few_milliseconds_eject_nobody() {
    for slowest in [1.0, 2.0, 4.0] {
        let mut pool = Pool::new(3);
        for _ in 0..8 {
            pool.run(Span::from_seconds(1), |key| {
                Work::Gap(if key == 2 { slowest } else { 0.0 })
            });
            assert!(pool.ejected().is_empty(), "{slowest}");
        }
    }
}

/// Guards against a replica that fails each request and keeps its share, since a slow one was ejected before.
#[test]
fn a_failing_replica_is_ejected_in_place_of_a_slow_one() {
    let slow = |key: u32| Work::Gap(if key == 1 { 300.0 } else { 30.0 });
    let mut pool = Pool::new(3);
    pool.run(Span::from_seconds(3), slow);
    assert_eq!(pool.ejected(), [1]);
    pool.run(Span::from_seconds(1), |key| match key {
        2 => Work::Fail,
        _ => slow(key),
    });
    assert_eq!(pool.ejected(), [2]);
    // Replicas don't take turns.
    pool.run(Span::from_seconds(3), |key| match key {
        2 => Work::Fail,
        _ => slow(key),
    });
    assert_eq!(pool.ejected(), [2]);
}

proptest! {
    #![proptest_config(Proptest {
        cases: 64,
        rng_seed: RngSeed::Fixed(5),
        failure_persistence: None,
        ..Proptest::default()
    })]

    /// Whatever the replicas do, at most a third of the pool is ejected.
    #[test]
    fn at_most_a_third_is_ejected(
        replicas in 1_u32..15,
        work in proptest::collection::vec((0_u32..3, 1.0_f64..1_000.0), 15),
        leaves in 0_u32..15,
    ) {
        let mut pool = Pool::new(replicas);
        for round in 0..20 {
            pool.run(Span::from_millis(500), |key| match work[key as usize] {
                (0, _) => Work::Fail,
                (1, _) => Work::Silence,
                (_, gap) => Work::Gap(gap),
            });
            prop_assert!(pool.ejected().len() as u32 <= replicas / 3);
            if round == 10 && leaves < replicas {
                pool.monitor.remove(Key(leaves));
                break;
            }
        }
        pool.monitor.tick(pool.now + Span::from_seconds(1));
        let left = replicas - u32::from(leaves < replicas);
        let has_left = leaves < replicas;
        let ejected = pool.ejected().iter().filter(|key| !(has_left && **key == leaves)).count() as u32;
        prop_assert!(ejected <= left / 3);
    }
}
