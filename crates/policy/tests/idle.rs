//! Idle replicas serve whatever arrives.

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

const POOL: pool::Key = pool::Key(1);

fn scheduler() -> Scheduler {
    let mut scheduler = small::scheduler();
    let replica = replica::Spec {
        incarnation: "r".into(),
        pool: POOL,
        zone: "z".into(),
        version: version::Key::default(),
        slots: 64,
    };
    scheduler.replica_joined(Time::ZERO, replica, &mut Vec::new());
    scheduler
}

fn job(id: u64) -> Job {
    Job {
        id: job::Id(id),
        account: ACCOUNT,
        pool: POOL,
        kind: job::Kind::Model,
        prompt_tokens: 2_000,
        max_new_tokens: 50,
        prefix: id,
        fingerprint: id,
        idempotent: true,
        first_token: Span::from_millis(800),
        token_gap: Span::from_millis(100),
        terms: job::Terms::default(),
    }
}

fn starts(out: &[Decision]) -> usize {
    let started = |decision: &&Decision| matches!(decision, Decision::Start { .. });
    out.iter().filter(started).count()
}

/// In an overload every first token is seconds late. When it ends nothing runs any more, and yet
/// each request is refused for a target that can't be met: estimates from the overload persist,
/// since nothing is started that could correct them.
#[test]
fn estimates_from_an_overload_refuse_nobody_afterwards() {
    let mut scheduler = scheduler();
    let mut out = Vec::new();
    let mut now = Time::from_millis(1_000);
    for id in 0..60 {
        let late = if id < 20 { 50 } else { 3_000 };
        let first = now + Span::from_millis(late);
        scheduler.offer(now, job(id), &mut out);
        scheduler.first_token(first, job::Id(id));
        let end = first + Span::from_millis(500);
        scheduler.attempt_ended(end, job::Id(id), job::End::Finished, 50, &mut out);
        now = end;
    }
    out.clear();
    scheduler.offer(now + Span::from_seconds(10), job(1_000), &mut out);
    assert_eq!(starts(&out), 1, "{out:?}");
}
