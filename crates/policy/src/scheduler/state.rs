//! Scheduler state of accounts, pools, replicas and jobs.

use std::collections::BTreeSet;
use std::rc::Rc;

use clock::Span;
use clock::Time;

use crate::account;
use crate::admission::Service;
use crate::affinity::Affinity;
use crate::brownout::Gate;
use crate::concurrency::Load;
use crate::configs::scheduler::Settings;
use crate::contention::Meter;
use crate::fair::Cost;
use crate::fair::Estimate;
use crate::fair::Place;
use crate::fair::Queue;
use crate::health::Monitor;
use crate::job;
use crate::job::Job;
use crate::pace;
use crate::pause::Pause;
use crate::rendezvous;
use crate::replica;
use crate::retry::Budget;
use crate::retry::Calendar;
use crate::size::Class;
use crate::size::Classes;
use crate::slots::Share;
use crate::tolerance;
use crate::version;
use crate::warmup::Warmup;

/// Interruptions of a job after which it may return to its replica.
const MAX_INTERRUPTIONS: u32 = 2;

/// An account and the output estimate learnt from its answers.
#[derive(Debug)]
pub(super) struct Account {
    pub spec: account::Spec,
    pub estimate: Estimate,
}

/// Returns the queue level of a job: its account's priority, then its own rank.
pub(super) fn level(spec: &account::Spec, job: &Job) -> u8 {
    const RANKS: u8 = 10;
    let rank = job.terms.rank.min(RANKS - 1);
    spec.priority.saturating_mul(RANKS).saturating_add(rank)
}

impl Account {
    pub fn new(spec: account::Spec) -> Account {
        Account {
            spec,
            estimate: Estimate::default(),
        }
    }
}

/// A set of replicas and the jobs that wait for them.
#[derive(Debug)]
pub(super) struct Pool {
    pub queue: Queue,
    pub classes: Classes,
    pub service: Service,
    pub gate: Gate,
    pub budget: Budget,
    pub calendar: Calendar,
    /// Work offered here, by level and account.
    pub offered: Meter,
    pub affinity: Affinity,
    pub monitor: Monitor,
    pub warmup: Warmup,
    /// Replicas that are neither leaving nor lost.
    pub members: BTreeSet<replica::Key>,
    /// Own attempts on its replicas, leaving ones included.
    pub running: u32,
    /// Whether members or replicas changed since the slots were divided.
    pub division_stale: bool,
    /// Jobs outside the queue, whose version has no member.
    pub stranded: BTreeSet<job::Id>,
    /// Whether the last dispatch left jobs in the queue that hold up others; reset by every change.
    pub full: bool,
}

impl Pool {
    pub fn new(settings: &Settings, seed: u64) -> Pool {
        Pool {
            queue: Queue::new(settings.fair.enabled),
            classes: Classes::default(),
            service: Service::default(),
            gate: Gate::default(),
            budget: Budget::new(&settings.retry),
            calendar: Calendar::default(),
            offered: Meter::default(),
            affinity: Affinity::new(settings.affinity, seed),
            monitor: Monitor::new(settings.health),
            warmup: Warmup::new(settings.warmup),
            members: BTreeSet::new(),
            running: 0,
            division_stale: true,
            stranded: BTreeSet::new(),
            full: false,
        }
    }

    /// Returns the mean number of own attempts per member.
    pub fn mean_own(&self) -> f64 {
        f64::from(self.running) / self.members.len().max(1) as f64
    }
}

/// A replica and the own attempts on it.
#[derive(Debug)]
pub(super) struct Replica {
    pub spec: replica::Spec,
    /// Hash of its incarnation, [`rendezvous::identity`].
    pub identity: u64,
    /// When it joined.
    pub joined_at: Time,
    /// Hash of its availability zone, [`rendezvous::identity`].
    pub zone: u64,
    /// End of the replica, once it has got notice; never cleared.
    pub leaving: Option<Time>,
    /// Whether the replica is gone and kept only until the ends of its attempts are reported.
    pub lost: bool,
    /// Whether the replica may be gone.
    pub unconfirmed: bool,
    /// Admits requests within the rate limit that the replica sets.
    pub gate: pace::Gate,
    /// Pause that the replica asked for.
    pub pause: Pause,
    /// Admits requests within the rejections that the replica bears.
    pub tolerance: tolerance::Gate,
    pub load: Load,
    pub share: Share,
    /// Own attempts.
    pub jobs: BTreeSet<job::Id>,
    /// Suspect of this entry that claims the replica or runs there as a trial.
    pub trial: Option<job::Id>,
}

impl Replica {
    pub fn new(now: Time, spec: replica::Spec, settings: &Settings) -> Replica {
        Replica {
            joined_at: now,
            identity: rendezvous::identity(&spec.incarnation),
            zone: rendezvous::identity(&spec.zone),
            load: Load::new(settings.concurrency, spec.slots),
            share: Share::new(spec.slots, settings.concurrency.entries),
            spec,
            leaving: None,
            lost: false,
            unconfirmed: false,
            gate: pace::Gate::default(),
            pause: Pause::default(),
            tolerance: tolerance::Gate::default(),
            jobs: BTreeSet::new(),
            trial: None,
        }
    }

    /// Returns whether the replica may run a job that only this version may run.
    pub fn runs(&self, version: Option<version::Key>) -> bool {
        version.is_none_or(|version| version == self.spec.version)
    }

    /// Returns whether one more attempt takes a slot that this entry has borrowed where slots are divided.
    pub fn would_borrow(&self, now: Time) -> bool {
        self.share.owned().is_some() && self.running() >= self.share.usable(now)
    }

    /// Returns whether other entries own all its slots and none may be borrowed now.
    pub fn is_foreign(&self, now: Time) -> bool {
        self.share.owned().is_some() && self.share.limit(now, self.spec.slots, 1) == 0
    }

    /// Returns the number of own attempts.
    pub fn running(&self) -> u32 {
        self.jobs.len() as u32
    }

    /// Returns whether the replica's limits and pause allow a request now.
    pub fn accepts(&self, now: Time, mean_own: f64) -> bool {
        let tolerates = || {
            let jobs = self.load.jobs(now, mean_own);
            self.tolerance
                .allows_request(now, jobs, self.spec.slots, self.running())
        };
        self.pause.allows_request(now)
            && self.gate.is_open(now)
            && (!self.tolerance.is_limited() || tolerates())
    }

    /// Returns when they allow one next; `None` while other entries use the whole limit.
    pub fn accepts_at(&self, now: Time) -> Option<Time> {
        let opens = self.gate.opens_at()?.max(self.pause.ends_at());
        Some(self.tolerance.opens_at(now).unwrap_or(opens).max(opens))
    }

    /// Returns whether the replica sets a limit or pauses.
    pub fn is_throttled(&self, now: Time) -> bool {
        self.gate.is_limited() || self.tolerance.is_limited() || self.pause.is_active(now)
    }
}

/// Tokens that make up one latency sample.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Round {
    pub started: Time,
    pub tokens: u32,
}

/// A replica claimed for a suspect.
#[derive(Clone, Copy, Debug)]
pub(super) struct Claim {
    pub replica: replica::Key,
    /// Time from which the claim is beyond dispute.
    pub valid_from: Time,
}

/// An open job.
#[derive(Debug)]
pub(super) struct Open {
    pub job: Job,
    pub class: Class,
    /// Estimated cost, charged to its account in the queue.
    pub cost: Cost,
    /// Tokens charged to its account's limit.
    pub tokens: Cost,
    /// Deadline of the first token.
    pub first_token_due: Time,
    /// Place in the queue. Invariant: not set while `replica` is.
    pub place: Option<Place>,
    /// Deadline of the start. Invariant: in `expiry` while `replica` isn't set.
    pub start_deadline: Time,
    /// Time from which the waiting job may take a borrowed slot.
    pub borrows_from: Time,
    /// Whether it leaves part of the entry's slots to other jobs.
    pub yields: bool,
    pub replica: Option<replica::Key>,
    pub started: Time,
    /// Tokens since the last latency sample.
    pub round: Round,
    /// Arrival of the last tokens of this attempt.
    pub last_token_at: Time,
    /// Estimated cost at the start of this attempt, less that of the tokens received.
    pub outstanding: u64,
    /// Whether the caller has received the first token.
    pub streaming: bool,
    /// First token of this attempt.
    pub answered_at: Option<Time>,
    /// Whether this attempt's answer was recorded as proof for the prompt.
    pub is_proven: bool,
    /// Hashes of the prompt's parts that other jobs may share.
    pub shared_parts: Rc<[u64]>,
    /// Whether the job was moved since its start, so that its duration is no valid sample.
    pub moved: bool,
    /// Tokens generated in all attempts.
    pub generated: u32,
    /// Whether bytes of it were handed to a replica that did not report "not started".
    pub may_have_run: bool,
    /// Replica claimed for a waiting suspect. Invariant: not set while `replica` is.
    pub claim: Option<Claim>,
    /// Replicas that were tried; bounded by the maximum attempts of a job.
    pub tried: Vec<replica::Key>,
    /// Attempts that may have reached a replica, without returns to one.
    pub sent: u32,
    /// Replica where the last attempt was interrupted and to which the job may return.
    pub interrupted_at: Option<replica::Key>,
    /// Whether the current attempt is such a return.
    pub returned: bool,
    /// Replica whose answer was withheld, to which the job may return once no other one is left.
    pub withheld_at: Option<replica::Key>,
    /// Interruptions after which the job was allowed to return.
    pub interruptions: u32,
    /// Last pause before all replicas were tried again.
    pub backoff: Span,
    /// End of its own queue timeout; it isn't started later.
    pub queue_deadline: Time,
    /// Wait predicted at its arrival.
    pub predicted: Span,
}

impl Open {
    /// Returns whether the job may be handed to the replica, within the replicas that it may reach.
    pub fn may_try(&self, key: replica::Key) -> bool {
        let may_reach = self.sent < self.job.terms.attempts || self.interrupted_at.is_none();
        self.interrupted_at == Some(key) || may_reach && !self.tried.contains(&key)
    }

    /// Returns the attempts so far without one that was interrupted last, to whose replica the job may return.
    pub fn used_attempts(&self) -> u32 {
        self.sent - u32::from(self.interrupted_at.is_some())
    }

    /// Allows the job to return to the replica `key`, where it was interrupted, as long as it rarely was.
    pub fn allow_return(&mut self, key: replica::Key) {
        if self.interruptions < MAX_INTERRUPTIONS {
            self.interruptions += 1;
            self.interrupted_at = Some(key);
        }
    }

    /// Records an attempt at `key`.
    pub fn record_attempt(&mut self, key: replica::Key) {
        self.returned = self.interrupted_at.take() == Some(key);
        self.tried.push(key);
        self.sent += u32::from(!self.returned);
    }

    /// Records that the attempt didn't reach its replica.
    pub fn record_not_sent(&mut self) {
        self.sent -= u32::from(!self.returned);
    }

    pub fn explain(&self) -> Explanation {
        Explanation {
            class: self.class,
            cost: self.cost,
            predicted_wait: self.predicted,
            replica: self.replica,
            attempts: self.sent as usize,
            given_up_at: self.replica.is_none().then_some(self.start_deadline),
        }
    }
}

/// State of an open job.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Explanation {
    /// Size class.
    pub class: Class,
    /// Estimated cost.
    pub cost: Cost,
    /// Wait predicted at its arrival.
    pub predicted_wait: Span,
    /// Replica that runs the job; `None` while it waits.
    pub replica: Option<replica::Key>,
    /// Attempts so far.
    pub attempts: usize,
    /// Time at which a waiting job is refused if it has not started.
    pub given_up_at: Option<Time>,
}
