//! Attempts whose connections break on the way while their replicas are sound.

#![allow(clippy::unwrap_used)]

#[path = "support/small.rs"]
mod small;

use clock::Span;
use clock::Time;
use policy::decision::Decision;
use policy::job;
use policy::job::End;
use policy::job::Job;
use policy::pool;
use policy::replica;
use policy::scheduler::Scheduler;
use policy::version;
use small::ACCOUNT;
use smol_str::SmolStr;
use smol_str::format_smolstr;

const POOL: pool::Key = pool::Key(0);
const ID: job::Id = job::Id(1);
const NOW: Time = Time::from_millis(1_000);
/// Replicas that the job may reach.
const ATTEMPTS: u32 = 2;

/// A scheduler with one running stream.
struct World {
    scheduler: Scheduler,
    out: Vec<Decision>,
}

impl World {
    fn new() -> World {
        let mut scheduler = small::scheduler();
        let mut out = Vec::new();
        for number in 0..4 {
            let spec = replica::Spec {
                incarnation: format_smolstr!("r{number}"),
                pool: POOL,
                zone: SmolStr::new_static("north"),
                version: version::Key::default(),
                slots: 8,
            };
            scheduler.replica_joined(Time::ZERO, spec, &mut out);
        }
        World { scheduler, out }
    }

    /// Offers a stream that may be resumed, and returns its replica.
    fn offer(&mut self) -> replica::Key {
        let job = Job {
            id: ID,
            account: ACCOUNT,
            pool: POOL,
            kind: job::Kind::Model,
            prompt_tokens: 100,
            max_new_tokens: 50,
            prefix: 9,
            fingerprint: 1,
            idempotent: true,
            first_token: Span::from_millis(500),
            token_gap: Span::from_millis(100),
            terms: job::Terms {
                rank: 0,
                attempts: ATTEMPTS,
                queue_timeout: Span::from_seconds(5),
                version: None,
            },
        };
        self.scheduler.offer(NOW, job, &mut self.out);
        let replica = self.started().unwrap();
        self.scheduler.first_token(NOW, ID);
        replica
    }

    /// Ends the attempt and returns the replica of the next one.
    fn end(&mut self, end: End) -> Option<replica::Key> {
        self.scheduler.attempt_ended(NOW, ID, end, 1, &mut self.out);
        self.started()
    }

    fn started(&mut self) -> Option<replica::Key> {
        self.out.drain(..).find_map(|decision| match decision {
            Decision::Start { replica, .. } => Some(replica),
            _ => None,
        })
    }
}

/// Guards against streams that break off since faults of the way used up the attempts that a fault of the
/// replica needs.
#[test]
fn an_interrupted_stream_returns_to_its_replica_and_keeps_its_attempts() {
    let mut world = World::new();
    let first = world.offer();
    assert_eq!(world.end(End::Interrupted), Some(first));
    let second = world.end(End::Failed).unwrap();
    assert_ne!(second, first);
    assert_eq!(world.end(End::Failed), None);
}

/// Guards against a request that reaches more replicas than it may, since an interrupted attempt didn't count.
#[test]
fn an_interrupted_stream_reaches_no_more_replicas_than_allowed() {
    let mut world = World::new();
    let mut reached = vec![world.offer()];
    for _ in 0..10 {
        let Some(next) = world.end(End::Interrupted) else {
            break;
        };
        // The replica announces that it leaves, so that the stream can't return there.
        let leaves_at = NOW + Span::from_seconds(2);
        world
            .scheduler
            .replica_leaving(NOW, next, leaves_at, &mut world.out);
        reached.push(next);
    }
    reached.sort_unstable();
    reached.dedup();
    assert_eq!(reached.len(), ATTEMPTS as usize);
}

/// Guards against a stream that is interrupted again and again and never ends.
#[test]
fn interruptions_of_a_stream_are_bounded() {
    let mut world = World::new();
    world.offer();
    let mut attempts = 1;
    while world.end(End::Interrupted).is_some() {
        attempts += 1;
        assert!(attempts < 10, "the stream goes on");
    }
}

/// Guards against a request that reaches one more replica than it may, since it returned in vain.
#[test]
fn a_return_that_reaches_nobody_gives_no_attempt_back() {
    let mut world = World::new();
    let first = world.offer();
    assert_eq!(world.end(End::Interrupted), Some(first));
    let second = world.end(End::NotSent).unwrap();
    assert_ne!(second, first);
    assert_eq!(world.end(End::Failed), None);
}

/// Guards against a stream that breaks off since its last replica turned it away, although one that has run it accepts it.
#[test]
fn a_stream_that_is_turned_away_returns_to_a_replica_that_has_run_it() {
    let mut world = World::new();
    let first = world.offer();
    let second = world.end(End::Failed).unwrap();
    assert_eq!(world.end(End::NotStarted), Some(first));
    assert_ne!(second, first);
    assert_eq!(world.end(End::Failed), None);
}

/// Guards against a stream that is turned away again and again and never ends.
#[test]
fn returns_of_a_stream_that_is_turned_away_are_bounded() {
    let mut world = World::new();
    let mut reached = vec![world.offer()];
    reached.extend(world.end(End::Failed));
    while let Some(next) = world.end(End::NotStarted) {
        reached.push(next);
        assert!(reached.len() < 10, "the stream goes on");
    }
    reached.sort_unstable();
    reached.dedup();
    assert_eq!(reached.len(), ATTEMPTS as usize);
}
