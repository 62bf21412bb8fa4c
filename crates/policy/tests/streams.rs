//! Streams whose requests don't describe a prompt.

#![allow(clippy::unwrap_used)]

#[path = "support/small.rs"]
mod small;

use clock::Span;
use clock::Time;
use policy::decision::Decision;
use policy::job;
use policy::job::Job;
use policy::pool;
use policy::replica;
use policy::scheduler::Scheduler;
use policy::version;
use small::ACCOUNT;
use smol_str::SmolStr;

const POOL: pool::Key = pool::Key(0);
const TARGET: Span = Span::from_millis(500);
/// Time until the first event, well within the target.
const FIRST_EVENT: Span = Span::from_millis(50);
/// Duration of a stream, beyond the target for its first event.
const DURATION: Span = Span::from_millis(1_200);

fn job(id: u64) -> Job {
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
        first_token: TARGET,
        token_gap: Span::from_millis(300),
        terms: job::Terms {
            rank: 0,
            attempts: 2,
            queue_timeout: Span::from_seconds(5),
            version: None,
        },
    }
}

fn scheduler() -> Scheduler {
    let mut scheduler = small::scheduler();
    let spec = replica::Spec {
        incarnation: SmolStr::new_static("r0"),
        pool: POOL,
        zone: SmolStr::new_static("north"),
        version: version::Key::default(),
        slots: 32,
    };
    scheduler.replica_joined(Time::ZERO, spec, &mut Vec::new());
    scheduler
}

/// Requests were refused beside idle replicas: the duration of their streams counted as the time until their
/// first event, which cut the jobs that a replica may run to one.
#[test]
fn long_streams_do_not_lower_the_number_of_concurrent_jobs() {
    let mut scheduler = scheduler();
    let mut now = Time::ZERO;
    for id in 0..60 {
        let mut out = Vec::new();
        scheduler.offer(now, job(id), &mut out);
        assert!(matches!(out[..], [Decision::Start { .. }]), "{id}: {out:?}");
        scheduler.first_token(now + FIRST_EVENT, job::Id(id));
        now = now + DURATION;
        scheduler.attempt_ended(now, job::Id(id), job::End::Finished, 20, &mut out);
    }
    let mut out = Vec::new();
    for id in 100..108 {
        scheduler.offer(now, job(id), &mut out);
    }
    let started = out
        .iter()
        .filter(|decision| matches!(decision, Decision::Start { .. }));
    assert_eq!(started.count(), 8);
}

/// Guards against a broken stream that tries replicas without pause while all of them refuse connections.
#[test]
fn a_broken_stream_pauses_before_it_tries_replicas_again_that_refused_it() {
    let mut scheduler = scheduler();
    let second = replica::Spec {
        incarnation: SmolStr::new_static("r1"),
        pool: POOL,
        zone: SmolStr::new_static("north"),
        version: version::Key::default(),
        slots: 32,
    };
    scheduler.replica_joined(Time::ZERO, second, &mut Vec::new());
    let mut out = Vec::new();
    scheduler.offer(Time::ZERO, job(1), &mut out);
    scheduler.first_token(Time::ZERO + FIRST_EVENT, job::Id(1));
    let broken_at = Time::ZERO + FIRST_EVENT + FIRST_EVENT;
    scheduler.attempt_ended(broken_at, job::Id(1), job::End::Failed, 1, &mut out);
    let mut starts = out.split_off(1);
    let mut refused = 0;
    for millis in 0..3_000 {
        let now = broken_at + Span::from_millis(millis);
        let mut out = Vec::new();
        scheduler.poll(now, &mut out);
        starts.append(&mut out);
        while let Some(decision) = starts.pop() {
            assert!(matches!(decision, Decision::Start { .. }), "{decision:?}");
            refused += 1;
            let mut out = Vec::new();
            scheduler.attempt_ended(now, job::Id(1), job::End::NotSent, 0, &mut out);
            starts.append(&mut out);
            assert!(refused < 100, "{refused} attempts within {millis} ms");
        }
    }
    assert!((4..=20).contains(&refused), "{refused} attempts");
    let woken = scheduler.next_wake().expect("another try");
    scheduler.poll(woken, &mut starts);
    assert!(matches!(starts[..], [Decision::Start { .. }]), "{starts:?}");
}
