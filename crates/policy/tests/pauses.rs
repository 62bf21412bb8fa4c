//! Replicas that turn requests away and ask for pauses.

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
use verdict::Refusal;
use verdict::Verdict;

const POOL: pool::Key = pool::Key(0);
const PAUSE: Span = Span::from_millis(3_000);

/// A scheduler with its decisions.
struct Run {
    scheduler: Scheduler,
    replicas: Vec<replica::Key>,
    decisions: Vec<Decision>,
    next_id: u64,
    now: Time,
}

impl Run {
    fn new(replicas: u32) -> Run {
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
        let replicas = keys.collect();
        Run {
            scheduler,
            replicas,
            decisions: Vec::new(),
            next_id: 0,
            now: Time::ZERO,
        }
    }

    fn offer(&mut self, now: u64, timeout: u64) -> job::Id {
        self.next_id += 1;
        self.now = Time::from_millis(now);
        let job = job(self.next_id, Span::from_millis(timeout));
        self.scheduler.offer(self.now, job, &mut self.decisions);
        job.id
    }

    fn pause(&mut self, now: u64, replica: usize, pause: Span) {
        self.now = Time::from_millis(now);
        let key = self.replicas[replica];
        self.scheduler
            .replica_paused(self.now, key, pause, &mut self.decisions);
    }

    fn end(&mut self, now: u64, id: job::Id, end: job::End) {
        self.now = Time::from_millis(now);
        self.scheduler
            .attempt_ended(self.now, id, end, 0, &mut self.decisions);
    }

    /// Polls whenever the scheduler asks for it, until `end`; returns the last time of a decision.
    fn poll_until(&mut self, end: u64) -> Time {
        let mut last = Time::ZERO;
        while let Some(wake) = self.scheduler.next_wake() {
            let next = wake.max(self.now + Span::from_millis(1));
            if next > Time::from_millis(end) {
                break;
            }
            self.now = next;
            let before = self.decisions.len();
            self.scheduler.poll(self.now, &mut self.decisions);
            if self.decisions.len() > before {
                last = self.now;
            }
        }
        last
    }

    fn started(&self) -> Vec<replica::Key> {
        let started = self.decisions.iter().filter_map(|decision| match decision {
            Decision::Start { replica, .. } => Some(*replica),
            _ => None,
        });
        started.collect()
    }

    fn refusals(&self) -> Vec<&Refusal> {
        let refusals = self.decisions.iter().filter_map(|decision| match decision {
            Decision::Refuse { refusal, .. } => Some(refusal),
            _ => None,
        });
        refusals.collect()
    }
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

/// A replica that turns requests away has no work, so it would get the next one too.
#[test]
fn others_get_what_a_pausing_replica_does_not_take() {
    let mut run = Run::new(2);
    run.pause(0, 0, PAUSE);
    for _ in 0..20 {
        run.offer(10, 1_000);
    }
    assert_eq!(run.started(), vec![run.replicas[1]; 20]);
}

/// Without a wake-up at the end of the pause, the request would wait for the next unrelated event.
#[test]
fn a_waiting_request_goes_out_when_the_pause_ends() {
    let mut run = Run::new(1);
    run.pause(0, 0, PAUSE);
    run.offer(2_500, 1_000);
    assert!(run.started().is_empty() && run.refusals().is_empty());
    let started_at = run.poll_until(4_000);
    assert_eq!(
        (run.started().len(), started_at),
        (1, Time::from_millis(3_000))
    );
}

/// Guards against callers that wait until their deadlines for replicas which won't take their requests.
#[test]
fn requests_are_refused_at_once_if_all_replicas_pause_beyond_their_deadlines() {
    let mut run = Run::new(2);
    run.pause(0, 0, PAUSE);
    run.pause(0, 1, PAUSE);
    for _ in 0..50 {
        run.offer(100, 1_000);
    }
    run.poll_until(102);
    let refusals = run.refusals();
    assert_eq!(refusals.len(), 50);
    for refusal in refusals {
        assert_eq!(refusal.verdict, Verdict::NotRun);
        let retry_after = refusal.retry_after.unwrap();
        assert!(retry_after >= Span::from_millis(2_900), "{retry_after}");
    }
}

/// Requests that waited when the last replica asked for its pause were refused one by one as they expired.
#[test]
fn waiting_requests_are_refused_at_once_when_the_last_replica_pauses() {
    let mut run = Run::new(1);
    let first: Vec<job::Id> = (0..200).map(|_| run.offer(0, 1_000)).collect();
    let running = run.started().len();
    assert!(running < first.len(), "all {running} were started");
    run.pause(100, 0, PAUSE);
    run.poll_until(110);
    assert_eq!(run.refusals().len(), first.len() - running);
}

/// A request that was turned away by the last replica waited for its deadline.
#[test]
fn a_request_that_all_replicas_turned_away_is_refused_at_once() {
    let mut run = Run::new(2);
    let id = run.offer(0, 1_000);
    run.pause(3, 0, PAUSE);
    run.pause(3, 1, PAUSE);
    run.end(3, id, job::End::NotStarted);
    run.poll_until(10);
    assert_eq!(run.refusals().len(), 1);
}

/// All requests that had waited for the end of a pause were turned away together.
#[test]
fn one_request_probes_a_replica_after_its_pause() {
    let mut run = Run::new(1);
    run.pause(0, 0, PAUSE);
    let ids: Vec<job::Id> = (0..10).map(|_| run.offer(2_800, 1_000)).collect();
    run.poll_until(3_100);
    assert_eq!(run.started().len(), 1);

    run.scheduler.first_token(run.now, ids[0]);
    run.poll_until(3_200);
    assert_eq!(run.started().len(), 10);
}

/// A probe that ends without an answer must not block the replica.
#[test]
fn the_next_request_probes_a_replica_whose_probe_failed() {
    let mut run = Run::new(1);
    run.pause(0, 0, PAUSE);
    let first = run.offer(2_900, 1_000);
    run.poll_until(3_010);
    run.end(3_020, first, job::End::Failed);
    run.offer(3_030, 1_000);
    assert_eq!(run.started().len(), 2);
}

/// Answers to requests in flight arrive out of order.
#[test]
fn a_shorter_pause_does_not_end_a_longer_one() {
    let mut run = Run::new(1);
    run.pause(0, 0, PAUSE);
    run.pause(10, 0, Span::from_millis(100));
    run.offer(2_500, 1_000);
    let started_at = run.poll_until(4_000);
    assert_eq!(started_at, Time::from_millis(3_000));
}
