//! Replicas that set rate limits.

#![allow(clippy::unwrap_used)]

#[path = "support/small.rs"]
mod small;

use clock::Span;
use clock::Time;
use policy::configs::pace::Config;
use policy::decision::Decision;
use policy::job;
use policy::job::Job;
use policy::pace::Rate;
use policy::pace::Share;
use policy::pace::share;
use policy::pool;
use policy::replica;
use policy::scheduler::Scheduler;
use policy::version;
use small::ACCOUNT;
use smol_str::SmolStr;
use smol_str::format_smolstr;

const POOL: pool::Key = pool::Key(0);

/// Returns the rate that all entries together may send, and the number of senders.
fn total_share(limit: f64, entries: u64) -> (f64, usize) {
    let config = Config::default();
    let all_entries: Vec<u64> = (0..entries).map(|entry| entry * 7 + 3).collect();
    let limit = Rate::per_second(limit).unwrap();
    let shares = all_entries
        .iter()
        .map(|me| share(&config, 99, limit, &all_entries, *me))
        .filter_map(|share| match share {
            Share::Part(rate) => Some(rate.requests_per_second()),
            _ => None,
        });
    let shares: Vec<f64> = shares.collect();
    (shares.iter().sum(), shares.len())
}

#[test]
fn a_limit_is_dealt_whole_and_never_twice() {
    for entries in [1, 8, 75, 300, 840] {
        for limit in [0.2, 1.0, 1.9, 7.0, 250.0] {
            let (sum, senders) = total_share(limit, entries);
            assert!(sum <= limit + 1e-9, "{sum} of {limit}, {entries} entries");
            assert!(sum >= 0.99 * limit - 0.002 * senders as f64);
            assert!((1..=entries as usize).contains(&senders));
            // The bursts of all senders add up to no more than one second of the limit, or one request.
            assert!(senders <= limit.max(1.0) as usize);
        }
    }
}

#[test]
fn invalid_rates_are_rejected() {
    for requests in [f64::NAN, f64::INFINITY, -1.0] {
        assert_eq!(Rate::per_second(requests), None);
    }
    assert_eq!(Rate::per_second(1.2), Some(Rate(1_200)));
}

/// Creates a scheduler with that many replicas.
fn scheduler(replicas: u32) -> (Scheduler, Vec<replica::Key>) {
    let mut scheduler = small::scheduler();
    let keys = (0..replicas).map(|number| {
        let spec = replica::Spec {
            incarnation: format_smolstr!("r{number}"),
            pool: POOL,
            zone: SmolStr::new_static("north"),
            version: version::Key::default(),
            slots: 64,
        };
        scheduler.replica_joined(Time::ZERO, spec, &mut Vec::new())
    });
    let keys = keys.collect();
    (scheduler, keys)
}

fn job(id: u64, timeout: Span) -> Job {
    Job {
        id: job::Id(id),
        account: ACCOUNT,
        pool: POOL,
        kind: job::Kind::Plain,
        prompt_tokens: 1,
        max_new_tokens: 0,
        prefix: 0,
        fingerprint: id,
        idempotent: true,
        first_token: timeout,
        token_gap: timeout,
        terms: job::Terms {
            rank: 0,
            attempts: 2,
            queue_timeout: timeout,
            version: None,
        },
    }
}

fn started(decisions: &[Decision]) -> Vec<replica::Key> {
    let started = decisions.iter().filter_map(|decision| match decision {
        Decision::Start { replica, .. } => Some(*replica),
        _ => None,
    });
    started.collect()
}

#[test]
fn other_replicas_take_what_a_limited_one_does_not() {
    let (mut scheduler, keys) = scheduler(2);
    let mut out = Vec::new();
    scheduler.replica_paced(Time::ZERO, keys[0], Share::Nothing, &mut out);
    for id in 0..20 {
        scheduler.offer(Time::ZERO, job(id, Span::from_seconds(5)), &mut out);
    }
    let started = started(&out);
    assert!(!started.is_empty());
    assert!(started.iter().all(|replica| *replica == keys[1]));
}

/// Without a wake-up at that time, the request would wait for the next unrelated event.
#[test]
fn a_waiting_request_goes_out_when_its_replica_takes_one_again() {
    let (mut scheduler, keys) = scheduler(1);
    let mut out = Vec::new();
    let rate = Rate::per_second(2.0).unwrap();
    scheduler.replica_paced(Time::ZERO, keys[0], Share::Part(rate), &mut out);
    for id in 0..2 {
        scheduler.offer(Time::ZERO, job(id, Span::from_seconds(5)), &mut out);
    }
    assert_eq!(started(&out).len(), 1);
    let wake = scheduler.next_wake().unwrap();
    assert!(wake <= Time::from_millis(500), "woken at {wake}");
    let mut now = Time::ZERO;
    while started(&out).len() < 2 && now < Time::from_millis(1_000) {
        now = scheduler
            .next_wake()
            .unwrap()
            .max(now + Span::from_millis(1));
        scheduler.poll(now, &mut out);
    }
    assert_eq!((started(&out).len(), now), (2, Time::from_millis(500)));
}

/// Requests that can't be served in time were held until their deadlines.
#[test]
fn requests_that_no_replica_in_need_can_take_in_time_are_refused_at_once() {
    let (mut scheduler, keys) = scheduler(3);
    let mut out = Vec::new();
    let rate = Rate::per_second(1.0).unwrap();
    for key in keys {
        scheduler.replica_paced(Time::ZERO, key, Share::Part(rate), &mut out);
    }
    for id in 0..30 {
        scheduler.offer(Time::ZERO, job(id, Span::from_seconds(2)), &mut out);
    }
    let refused = out
        .iter()
        .filter(|decision| matches!(decision, Decision::Refuse { .. }));
    // Three are started at once, six more within two seconds.
    assert!(refused.count() >= 30 - 3 - 6);
}
