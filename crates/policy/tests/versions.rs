//! Jobs that only one software version may run.

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
use smol_str::format_smolstr;
use verdict::Reason;

const POOL: pool::Key = pool::Key(0);
const NOW: Time = Time::from_millis(1_000);
const OLD: version::Key = version::Key(1);
const NEW: version::Key = version::Key(2);
/// Length of a prompt that is long beside the usual ones.
const LONG_PROMPT: u32 = 60_000;

/// A scheduler with replicas of two versions.
struct World {
    scheduler: Scheduler,
    old: Vec<replica::Key>,
    new: Vec<replica::Key>,
    last_id: u64,
}

impl World {
    fn new(old: usize, new: usize) -> World {
        let mut scheduler = small::scheduler();
        let mut join = |version: version::Key, number: usize| {
            let spec = replica::Spec {
                incarnation: format_smolstr!("r{}-{number}", version.0),
                pool: POOL,
                zone: SmolStr::new_static("north"),
                version,
                slots: 8,
            };
            scheduler.replica_joined(Time::ZERO, spec, &mut Vec::new())
        };
        let old = (0..old).map(|number| join(OLD, number)).collect();
        let new = (0..new).map(|number| join(NEW, number)).collect();
        World {
            scheduler,
            old,
            new,
            last_id: 0,
        }
    }

    /// Offers a job that only `version` may run, and returns the decision.
    fn offer(&mut self, version: Option<version::Key>, prompt_tokens: u32) -> Option<Decision> {
        self.last_id += 1;
        let job = Job {
            id: job::Id(self.last_id),
            account: ACCOUNT,
            pool: POOL,
            kind: job::Kind::Model,
            prompt_tokens,
            max_new_tokens: 50,
            prefix: self.last_id,
            fingerprint: self.last_id,
            idempotent: true,
            first_token: Span::from_millis(500),
            token_gap: Span::from_millis(100),
            terms: job::Terms {
                version,
                ..job::Terms::default()
            },
        };
        let mut out = Vec::new();
        self.scheduler.offer(NOW, job, &mut out);
        out.pop()
    }
}

fn replica_of(decision: &Option<Decision>) -> replica::Key {
    match decision {
        Some(Decision::Start { replica, .. }) => *replica,
        other => panic!("not started: {other:?}"),
    }
}

/// Guards against long jobs that wait for ever, since the replicas set apart for them run another version.
#[test]
fn long_jobs_of_a_version_run_wherever_it_runs() {
    let mut world = World::new(2, 6);
    for _ in 0..20 {
        world.offer(None, 100);
    }
    for _ in 0..3 {
        let started = world.offer(Some(OLD), LONG_PROMPT);
        assert!(world.old.contains(&replica_of(&started)), "{started:?}");
    }
}

/// Guards against holding a caller until its time is up when no replica can resume its stream.
#[test]
fn a_stream_whose_version_is_gone_is_refused_at_once() {
    let mut world = World::new(0, 3);
    match world.offer(Some(OLD), 100) {
        Some(Decision::Refuse { refusal, .. }) => {
            assert_eq!(refusal.reason, Reason::NoBackend);
            assert!(refusal.retry_after.is_some(), "{refusal:?}");
        }
        other => panic!("not refused: {other:?}"),
    }
}

/// Guards against new jobs that wait behind a stream whose version has no room.
#[test]
fn jobs_of_a_full_version_hold_up_no_others() {
    let mut world = World::new(1, 3);
    while let Some(Decision::Start { .. }) = world.offer(Some(OLD), 100) {}
    let started = world.offer(None, 100);
    assert!(world.new.contains(&replica_of(&started)), "{started:?}");
}

/// Guards against callers that wait for a pause of their version's replicas to end after their time is up.
#[test]
fn a_stream_whose_version_pauses_too_long_is_refused_at_once() {
    let mut world = World::new(1, 3);
    let mut out = Vec::new();
    let pause = Span::from_seconds(30);
    let key = world.old[0];
    world.scheduler.replica_paused(NOW, key, pause, &mut out);
    let refused = world.offer(Some(OLD), 100);
    let soon = NOW + Span::from_millis(2);
    world.scheduler.poll(soon, &mut out);
    let refused = refused.or_else(|| out.pop());
    assert!(
        matches!(refused, Some(Decision::Refuse { .. })),
        "{refused:?}"
    );
}
