//! Relative speeds of replicas from the samples of several entries.

#[path = "support/small.rs"]
mod small;

use std::collections::BTreeMap;

use clock::Span;
use clock::Time;
use policy::configs::speed::Config;
use policy::decision::Decision;
use policy::job;
use policy::job::Job;
use policy::pool;
use policy::rendezvous;
use policy::replica;
use policy::scheduler::Scheduler;
use policy::speed::MEDIAN;
use policy::speed::Pace;
use policy::speed::Table;
use policy::version;
use small::ACCOUNT;

/// Milliseconds per unit of the median type.
const MEDIAN_MILLIS: f64 = 20.0;
/// Units of an answer.
const UNITS: u32 = 60;
/// Differences of single answers from their replica's mean, which add up to none over 20 answers.
const NOISE: [f64; 5] = [0.7, 1.2, 1.0, 0.85, 1.25];

fn table(replicas: u64) -> Table {
    let mut table = Table::new(Config::default());
    for identity in 0..replicas {
        table.add(identity, 0);
    }
    table
}

/// Returns the sample of the `index`th answer of a replica of that speed.
fn answer(speed: f64, index: usize) -> Pace {
    let millis = f64::from(UNITS) * MEDIAN_MILLIS / speed * NOISE[index % NOISE.len()];
    Pace::of_answer(UNITS, millis as u32)
}

/// Speeds of three types: the median one, one faster and one slower.
fn type_of(identity: u64) -> f64 {
    [1.0, 1.6, 0.6][identity as usize % 3]
}

fn assert_near(actual: f64, expected: f64) {
    let ratio = actual / expected;
    assert!((0.85..=1.15).contains(&ratio), "{actual} for {expected}");
}

/// Lets every entry see its part of 20 answers of each replica, and each merge the samples of the others.
fn exchange(entries: &mut [Table], replicas: u64) {
    for index in 0..20 {
        for identity in 0..replicas {
            let entry = (index + identity as usize) % entries.len();
            let pace = answer(type_of(identity), index);
            entries[entry].record(Time::from_millis(50 * index as u64), identity, pace);
        }
    }
    let now = Time::from_millis(1_500);
    let samples: Vec<BTreeMap<u64, Pace>> = entries.iter_mut().map(Table::take_samples).collect();
    for (entry, table) in entries.iter_mut().enumerate() {
        for (_, samples) in samples
            .iter()
            .enumerate()
            .filter(|(from, _)| *from != entry)
        {
            table.merge(now, samples);
        }
        table.refresh(now);
    }
}

#[test]
fn speeds_are_known_everywhere_after_20_answers_at_any_entries() {
    // 73 entries see one answer of a replica in some seconds each: none of them knew which replicas are slow.
    for count in [1, 8, 73] {
        let mut entries: Vec<Table> = (0..count).map(|_| table(9)).collect();
        exchange(&mut entries, 9);
        for table in &entries {
            for identity in 0..9 {
                assert_near(table.relative(identity), type_of(identity));
            }
        }
    }
}

#[test]
fn a_speed_isnt_used_before_20_answers() {
    // Guards against a replica that gets less work for the chance of a few slow answers.
    let mut table = table(3);
    for index in 0..19 {
        for identity in 0..3 {
            table.record(Time::ZERO, identity, answer(type_of(identity), index));
        }
    }
    table.refresh(Time::from_millis(200));
    assert_eq!(table.relative(1), MEDIAN);
    for identity in 0..3 {
        table.record(Time::ZERO, identity, answer(type_of(identity), 19));
    }
    table.refresh(Time::from_millis(400));
    assert_near(table.relative(1), 1.6);
}

#[test]
fn few_answers_count_towards_the_median_in_proportion() {
    // Guards against new replicas that shift the median by their first answers.
    let mut table = table(5);
    for identity in 0..3 {
        table.record(
            Time::ZERO,
            identity,
            Pace {
                units: 1_200,
                millis: 24_000,
                answers: 20,
            },
        );
    }
    // Two replicas with two answers each weigh as much as a fifth of one.
    for identity in 3..5 {
        table.record(
            Time::ZERO,
            identity,
            Pace {
                units: 120,
                millis: 240,
                answers: 2,
            },
        );
    }
    table.refresh(Time::ZERO);
    for identity in 0..3 {
        assert_eq!(table.relative(identity), MEDIAN);
    }
}

#[test]
fn a_new_incarnation_starts_at_the_median() {
    // Guards against a replica that restarts on a faster machine and gets the work of the slow one.
    let mut entries = [table(9)];
    exchange(&mut entries, 9);
    let [table] = &mut entries;
    assert_near(table.relative(2), 0.6);
    table.remove(2);
    table.add(102, 0);
    table.refresh(Time::from_millis(2_000));
    assert_eq!(table.relative(102), MEDIAN);
    // Late samples of the earlier incarnation have no effect on it, and aren't kept.
    table.merge(
        Time::from_millis(2_100),
        &BTreeMap::from([(2, answer(0.6, 0))]),
    );
    table.refresh(Time::from_millis(2_200));
    assert_eq!((table.relative(2), table.relative(102)), (MEDIAN, MEDIAN));
    assert_eq!(table.answers(2), 0);
}

#[test]
fn replicas_near_the_median_are_treated_alike() {
    // Guards against uneven shares of even replicas by the spread of their answers.
    let mut table = table(5);
    for (identity, speed) in [0.9, 0.95, 1.0, 1.08, 1.13].into_iter().enumerate() {
        for _ in 0..30 {
            table.record(Time::ZERO, identity as u64, answer(speed, 2));
        }
    }
    table.refresh(Time::ZERO);
    for identity in 0..5 {
        assert_eq!(table.relative(identity), MEDIAN);
    }
    assert!(table.publish(Time::ZERO).is_empty());
}

#[test]
fn replicas_are_compared_within_their_group_and_range() {
    // Guards against plain calls of seconds beside tokens of milliseconds, and against one replica that gets all.
    let mut table = table(3);
    table.add(10, 1);
    for (identity, millis) in [(0, 100), (1, 1_000), (2, 100_000), (10, 90_000)] {
        let pace = Pace {
            units: 100,
            millis,
            answers: 20,
        };
        table.record(Time::ZERO, identity, pace);
    }
    table.refresh(Time::ZERO);
    let speeds: Vec<f64> = [0, 1, 2, 10]
        .map(|identity| table.relative(identity))
        .into();
    assert_eq!(speeds, [4.0, MEDIAN, 0.25, MEDIAN]);
}

#[test]
fn a_change_of_speed_shows_within_seconds() {
    // At 7 answers a second; with an average over all time the replica would be called slow for a minute.
    let mut table = table(3);
    let mut index = 0;
    let mut feed = |table: &mut Table, from_ms: u64, to_ms: u64, speed: f64| {
        for ms in (from_ms..to_ms).step_by(1_000 / 7) {
            for identity in 0..3 {
                let speed = if identity == 0 { speed } else { 1.0 };
                table.record(Time::from_millis(ms), identity, answer(speed, index));
            }
            index += 1;
        }
        table.refresh(Time::from_millis(to_ms));
    };
    feed(&mut table, 0, 20_000, 0.5);
    assert_near(table.relative(0), 0.5);
    feed(&mut table, 20_000, 26_000, 1.0);
    assert_eq!(table.relative(0), MEDIAN);
}

#[test]
fn published_speeds_expire_and_own_samples_stay() {
    // A hub that ends publishes nothing more; its last speeds must not stay for good.
    let mut table = table(3);
    for index in 0..20 {
        for identity in 0..3 {
            table.record(Time::ZERO, identity, answer(type_of(identity), index));
        }
    }
    table.absorb(Time::from_millis(1_000), &BTreeMap::from([(0, 50)]));
    let speeds = |table: &Table| [0, 1, 2].map(|identity| table.relative(identity));
    assert_eq!(speeds(&table), [0.5, MEDIAN, MEDIAN]);
    table.refresh(Time::from_millis(10_900));
    assert_eq!(speeds(&table), [0.5, MEDIAN, MEDIAN]);
    table.refresh(Time::from_millis(11_000));
    assert_eq!(table.relative(0), MEDIAN);
    assert_near(table.relative(1), 1.6);
    assert_near(table.relative(2), 0.6);
    // Own samples expire too, when a replica gets no work for long.
    table.refresh(Time::ZERO + Span::from_seconds(61));
    assert_eq!(speeds(&table), [MEDIAN; 3]);
}

#[test]
fn an_entry_that_begins_to_publish_keeps_known_speeds() {
    // Guards against a change of hub after which all replicas count as equal until they are sampled again.
    let mut table = table(3);
    let known = BTreeMap::from([(1, 160), (2, 60)]);
    table.absorb(Time::ZERO, &known);
    assert_eq!(table.publish(Time::from_millis(3_000)), known);
    assert_eq!(table.publish(Time::from_millis(10_000)), BTreeMap::new());
}

#[test]
fn lost_messages_dont_shift_speeds_and_samples_are_sent_once() {
    // Guards against a bias by loss: every third message is lost here.
    let mut sender = table(9);
    let mut receiver = table(9);
    for index in 0..60 {
        let now = Time::from_millis(index as u64 * 100);
        for identity in 0..9 {
            sender.record(now, identity, answer(type_of(identity), index));
        }
        let samples = sender.take_samples();
        assert_eq!(samples.len(), 9);
        assert!(sender.take_samples().is_empty());
        if index % 3 != 0 {
            receiver.merge(now, &samples);
        }
    }
    receiver.refresh(Time::from_millis(6_000));
    for identity in 0..9 {
        assert_near(receiver.relative(identity), type_of(identity));
    }
}

#[test]
fn a_doubled_message_shifts_no_speed() {
    // The exchange drops duplicates; one that comes through must do no lasting harm.
    let mut sender = table(9);
    let mut receiver = table(9);
    for index in 0..40 {
        let now = Time::from_millis(index as u64 * 100);
        for identity in 0..9 {
            sender.record(now, identity, answer(type_of(identity), index));
        }
        let samples = sender.take_samples();
        for _ in 0..=index % 2 {
            receiver.merge(now, &samples);
        }
    }
    receiver.refresh(Time::from_millis(4_000));
    for identity in 0..9 {
        assert_near(receiver.relative(identity), type_of(identity));
        assert!(receiver.answers(identity) <= Config::default().memory_answers);
    }
}

#[test]
fn a_sudden_failure_isnt_taken_for_a_slow_type() {
    // A replica that becomes six times slower must be found by its health before its speed hides it.
    let mut table = table(3);
    let feed = |table: &mut Table, from_s: u64, to_s: u64, speed: f64| {
        for second in from_s..to_s {
            let now = Time::ZERO + Span::from_seconds(second);
            for index in 0..7 {
                table.record(now, 0, answer(speed, index));
                table.record(now, 1, answer(1.0, index));
                table.record(now, 2, answer(1.0, index));
            }
            table.refresh(now);
        }
    };
    feed(&mut table, 0, 10, 0.5);
    assert_near(table.settled(0), 0.5);
    feed(&mut table, 10, 14, 0.3);
    assert!(table.relative(0) < 0.4);
    assert_near(table.settled(0), 0.5);
    feed(&mut table, 14, 30, 0.1);
    assert_eq!((table.relative(0), table.settled(0)), (0.25, MEDIAN));
}

#[test]
fn nothing_is_learned_while_disabled() {
    let mut table = Table::new(Config {
        enabled: false,
        ..Config::default()
    });
    table.add(0, 0);
    table.record(
        Time::ZERO,
        0,
        Pace {
            units: 100,
            millis: 100,
            answers: 20,
        },
    );
    table.absorb(Time::ZERO, &BTreeMap::from([(0, 50)]));
    table.refresh(Time::ZERO);
    assert_eq!(table.relative(0), MEDIAN);
    assert!(table.take_samples().is_empty());
}

/// Returns a scheduler with replicas of 64 slots.
fn scheduler(replicas: u64) -> Scheduler {
    let mut scheduler = small::scheduler();
    for index in 0..replicas {
        let spec = replica::Spec {
            incarnation: incarnation(index).into(),
            pool: pool::Key(0),
            zone: "z".into(),
            version: version::Key::default(),
            slots: 64,
        };
        scheduler.replica_joined(Time::ZERO, spec, &mut Vec::new());
    }
    scheduler
}

fn incarnation(index: u64) -> String {
    format!("r{index}.1")
}

fn request(id: u64, kind: job::Kind) -> Job {
    Job {
        id: job::Id(id),
        account: ACCOUNT,
        pool: pool::Key(0),
        kind,
        prompt_tokens: 500,
        max_new_tokens: 50,
        prefix: id,
        fingerprint: id,
        idempotent: true,
        first_token: Span::from_millis(800),
        token_gap: Span::from_millis(100),
        terms: job::Terms::default(),
    }
}

/// Offers a request and returns the replica at which it starts.
fn start(scheduler: &mut Scheduler, now: Time, job: Job) -> Option<replica::Key> {
    let mut out = Vec::new();
    scheduler.offer(now, job, &mut out);
    out.iter().find_map(|decision| match decision {
        Decision::Start { replica, .. } => Some(*replica),
        _ => None,
    })
}

fn finish(scheduler: &mut Scheduler, now: Time, id: u64, tokens: u32) {
    let end = job::End::Finished;
    scheduler.attempt_ended(now, job::Id(id), end, tokens, &mut Vec::new());
}

#[test]
fn samples_leave_out_the_wait_before_the_start() {
    // A replica with long prompts, or with a queue, would be called slow for them.
    let mut scheduler = scheduler(1);
    let replica = rendezvous::identity(&incarnation(0));
    start(&mut scheduler, Time::ZERO, request(1, job::Kind::Model));
    scheduler.first_token(Time::from_millis(700), job::Id(1));
    scheduler.progressed(Time::from_millis(700), job::Id(1), 1);
    scheduler.progressed(Time::from_millis(1_300), job::Id(1), 30);
    finish(&mut scheduler, Time::from_millis(1_300), 1, 31);
    let model = Pace::of_answer(30, 600);
    assert_eq!(scheduler.take_paces(), BTreeMap::from([(replica, model)]));

    let now = Time::from_millis(2_000);
    start(&mut scheduler, now, request(2, job::Kind::Plain));
    finish(&mut scheduler, Time::from_millis(2_090), 2, 0);
    let plain = Pace::of_answer(1, 90);
    assert_eq!(scheduler.take_paces(), BTreeMap::from([(replica, plain)]));
}

#[test]
fn work_is_divided_by_speed() {
    // A third of the replicas ran at 0.6 of the speed and received as many requests as the others.
    for kind in [job::Kind::Model, job::Kind::Plain] {
        let mut scheduler = scheduler(3);
        let slow = rendezvous::identity(&incarnation(0));
        scheduler.absorb_speeds(Time::ZERO, &BTreeMap::from([(slow, 50)]));
        let mut counts: BTreeMap<replica::Key, u32> = BTreeMap::new();
        for id in 0..100 {
            let started = start(&mut scheduler, Time::from_millis(id), request(id, kind));
            let Some(replica) = started else {
                panic!("request {id} wasn't started");
            };
            *counts.entry(replica).or_default() += 1;
        }
        let at_slow = counts[&replica::Key(0)];
        assert!((15..=25).contains(&at_slow), "{kind:?}: {counts:?}");
    }
}
