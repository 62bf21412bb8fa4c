//! Jobs that only one software version may run.

#![allow(clippy::unwrap_used)]

#[path = "support/small.rs"]
mod small;

use clock::Span;
use clock::Time;
use policy::configs::scheduler::Settings;
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
/// A version that no replica runs.
const GONE: version::Key = version::Key(3);
/// Time from the start of a job until its end.
const ANSWER_TIME: Span = Span::from_millis(1_000);
/// Time between two offers.
const OFFER_INTERVAL: Span = Span::from_millis(100);
/// Pause of a replica, longer than each test.
const PAUSE: Span = Span::from_seconds(10);
/// Length of a prompt that is long beside the usual ones.
const LONG_PROMPT: u32 = 60_000;

fn spec(version: version::Key, number: usize) -> replica::Spec {
    replica::Spec {
        incarnation: format_smolstr!("r{}-{number}", version.0),
        pool: POOL,
        zone: SmolStr::new_static("north"),
        version,
        slots: 8,
    }
}

/// A scheduler with replicas of two versions.
struct World {
    scheduler: Scheduler,
    old: Vec<replica::Key>,
    new: Vec<replica::Key>,
    now: Time,
    last_id: u64,
}

impl World {
    fn new(old: usize, new: usize) -> World {
        let mut settings = Settings::default();
        settings.placement.blame_streams = false;
        let mut scheduler = small::scheduler_with(settings);
        let mut join = |version: version::Key, number: usize| {
            let spec = spec(version, number);
            scheduler.replica_joined(Time::ZERO, spec, &mut Vec::new())
        };
        let old = (0..old).map(|number| join(OLD, number)).collect();
        let new = (0..new).map(|number| join(NEW, number)).collect();
        World {
            scheduler,
            old,
            new,
            now: NOW,
            last_id: 0,
        }
    }

    /// Serves jobs one after the other, so that their durations are known.
    fn serve_jobs(&mut self) {
        for _ in 0..10 {
            let started = self.offer(None, 100);
            replica_of(&started);
            let id = job::Id(self.last_id);
            self.scheduler.first_token(self.now, id);
            self.now = self.now + ANSWER_TIME;
            self.end(id, job::End::Finished);
        }
    }

    /// Begins a stream at the old version.
    fn begin_stream(&mut self) -> job::Id {
        let started = self.offer(Some(OLD), 100);
        assert!(self.old.contains(&replica_of(&started)));
        let id = job::Id(self.last_id);
        self.scheduler.first_token(self.now, id);
        self.scheduler.progressed(self.now, id, 4);
        id
    }

    /// Breaks streams at a replica of the old version while the other one pauses.
    fn break_streams_beside_a_pause(&mut self) {
        self.pause(self.old[0]);
        let streams = [self.begin_stream(), self.begin_stream()];
        for stream in streams {
            self.end(stream, job::End::Crashed);
        }
    }

    fn pause(&mut self, key: replica::Key) {
        self.scheduler
            .replica_paused(self.now, key, PAUSE, &mut Vec::new());
    }

    /// Ends an attempt, after which no job starts.
    fn end(&mut self, id: job::Id, end: job::End) {
        let mut out = Vec::new();
        self.scheduler
            .attempt_ended(self.now, id, end, 50, &mut out);
        assert!(out.is_empty(), "{out:?}");
    }

    /// Offers jobs that any version may run, each after the one before has ended; returns how many were started.
    fn serve_others(&mut self, jobs: usize) -> usize {
        let mut started = 0;
        for _ in 0..jobs {
            self.now = self.now + OFFER_INTERVAL;
            if let Some(Decision::Start { job, .. }) = self.offer(None, 100) {
                started += 1;
                self.end(job, job::End::Finished);
            }
        }
        started
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
        self.scheduler.offer(self.now, job, &mut out);
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
    world
        .scheduler
        .replica_paused(world.now, key, pause, &mut out);
    let refused = world.offer(Some(OLD), 100);
    let soon = world.now + Span::from_millis(2);
    world.scheduler.poll(soon, &mut out);
    let refused = refused.or_else(|| out.pop());
    assert!(
        matches!(refused, Some(Decision::Refuse { .. })),
        "{refused:?}"
    );
}

/// Guards against refusals beside idle replicas while broken streams wait for a version that no replica runs.
#[test]
fn streams_that_no_replica_may_resume_hold_up_no_others() {
    let mut world = World::new(1, 3);
    world.serve_jobs();
    let streams = [world.begin_stream(), world.begin_stream()];
    for stream in streams {
        world.scheduler.require_version(stream, GONE);
        world.end(stream, job::End::Crashed);
    }
    assert_eq!(world.serve_others(30), 30);
}

/// Guards against the same while the only replica of the streams' version accepts nothing.
#[test]
fn streams_whose_version_pauses_hold_up_no_others() {
    let mut world = World::new(1, 3);
    world.serve_jobs();
    let streams = [world.begin_stream(), world.begin_stream()];
    world.pause(world.old[0]);
    for stream in streams {
        world.end(stream, job::End::Crashed);
    }
    assert_eq!(world.serve_others(30), 30);
}

/// Guards against streams that are forgotten while no replica may resume them.
#[test]
fn a_stream_goes_on_when_its_version_is_back() {
    let mut world = World::new(1, 3);
    world.serve_jobs();
    let stream = world.begin_stream();
    world.scheduler.replica_lost(world.now, world.old[0]);
    world.end(stream, job::End::Crashed);
    world.serve_others(30);
    let mut out = Vec::new();
    let back = world
        .scheduler
        .replica_joined(world.now, spec(OLD, 1), &mut out);
    assert_eq!(
        out,
        [Decision::Start {
            job: stream,
            replica: back
        }]
    );
}

/// Guards against the same while broken streams wait for a replica that they haven't tried, beside those that they have.
#[test]
fn streams_that_have_tried_the_open_replicas_hold_up_no_others() {
    let mut world = World::new(2, 3);
    world.serve_jobs();
    world.break_streams_beside_a_pause();
    assert_eq!(world.serve_others(30), 30);
}

/// Guards against jobs that wait behind one that has tried the only open replica.
#[test]
fn a_job_that_has_tried_the_open_replica_holds_up_no_others() {
    let mut world = World::new(0, 3);
    world.serve_jobs();
    for key in [world.new[0], world.new[1]] {
        world.pause(key);
    }
    let started = world.offer(None, 100);
    assert_eq!(replica_of(&started), world.new[2]);
    world.end(job::Id(world.last_id), job::End::NotStarted);
    assert_eq!(world.serve_others(3), 3);
}
