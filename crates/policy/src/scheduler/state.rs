//! What the scheduler keeps of accounts, pools, replicas and jobs.

use std::collections::BTreeSet;

use clock::Span;
use clock::Time;

use crate::account;
use crate::admission::Service;
use crate::affinity::Affinity;
use crate::brownout::Gate;
use crate::concurrency::Load;
use crate::configs::scheduler::Settings;
use crate::fair::Cost;
use crate::fair::Estimate;
use crate::fair::Place;
use crate::fair::Queue;
use crate::health::Monitor;
use crate::job;
use crate::job::Job;
use crate::pace;
use crate::rendezvous;
use crate::replica;
use crate::retry::Budget;
use crate::retry::Calendar;
use crate::size::Class;
use crate::size::Classes;
use crate::slots::Share;
use crate::warmup::Warmup;

/// An account and what its answers taught.
#[derive(Debug)]
pub(super) struct Account {
    pub spec: account::Spec,
    pub estimate: Estimate,
}

/// The queue's level of a job: its account's priority first, then its own rank.
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
    pub affinity: Affinity,
    pub monitor: Monitor,
    pub warmup: Warmup,
    /// Replicas that are neither leaving nor lost.
    pub members: BTreeSet<replica::Key>,
    /// Our attempts on its replicas, leaving ones included.
    pub running: u32,
    /// Whether nothing can be started, as far as the last look told; reset by every change.
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
            affinity: Affinity::new(settings.affinity, seed),
            monitor: Monitor::new(settings.health),
            warmup: Warmup::new(settings.warmup),
            members: BTreeSet::new(),
            running: 0,
            full: false,
        }
    }

    /// Our attempts on a member, on the mean.
    pub fn usual(&self) -> f64 {
        f64::from(self.running) / self.members.len().max(1) as f64
    }
}

/// A replica and what we run there.
#[derive(Debug)]
pub(super) struct Replica {
    pub spec: replica::Spec,
    /// [`rendezvous::identity`] of its incarnation and of its zone.
    pub identity: u64,
    pub zone: u64,
    /// When it is gone, if it has got its notice; sticky.
    pub leaving: Option<Time>,
    /// Kept only until the ends of its attempts are reported.
    pub lost: bool,
    /// Whether it may be gone.
    pub doubted: bool,
    /// Whether it takes requests, if it has named a limit.
    pub gate: pace::Gate,
    pub load: Load,
    pub share: Share,
    /// Our attempts there.
    pub jobs: BTreeSet<job::Id>,
    /// A suspect of ours that waits for the replica to be empty, or runs there alone.
    pub trial: Option<job::Id>,
}

impl Replica {
    pub fn new(spec: replica::Spec, settings: &Settings) -> Replica {
        Replica {
            identity: rendezvous::identity(&spec.incarnation),
            zone: rendezvous::identity(&spec.zone),
            load: Load::new(settings.concurrency, spec.slots),
            share: Share::new(spec.slots, settings.concurrency.entries),
            spec,
            leaving: None,
            lost: false,
            doubted: false,
            gate: pace::Gate::default(),
            jobs: BTreeSet::new(),
            trial: None,
        }
    }

    /// Our attempts there.
    pub fn running(&self) -> u32 {
        self.jobs.len() as u32
    }
}

/// Tokens that make up one latency sample.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Round {
    pub begun: Time,
    pub tokens: u32,
}

/// A replica claimed for a suspect.
#[derive(Clone, Copy, Debug)]
pub(super) struct Claim {
    pub replica: replica::Key,
    /// When it is beyond dispute.
    pub stands: Time,
}

/// An open job.
#[derive(Debug)]
pub(super) struct Open {
    pub job: Job,
    pub class: Class,
    /// What its account was charged.
    pub cost: Cost,
    /// What its account's limit was charged.
    pub tokens: Cost,
    /// When the first token is due.
    pub due: Time,
    /// Where it waits. Invariant: not set while `replica` is.
    pub place: Option<Place>,
    /// When it is given up if it hasn't started. Invariant: in `expiry` while `replica` isn't set.
    pub until: Time,
    pub replica: Option<replica::Key>,
    pub started: Time,
    /// Tokens since the last latency sample.
    pub round: Round,
    /// When tokens of this attempt came last.
    pub spoke: Time,
    /// Output tokens expected when this attempt was started, less those that came.
    pub outstanding: u64,
    /// Whether the caller has had its first token.
    pub streaming: bool,
    /// Whether it was moved since it was started: its duration then tells nothing.
    pub moved: bool,
    /// Tokens made in all attempts.
    pub made: u32,
    /// Whether bytes of it were handed to a replica that did not say "not started".
    pub may_have_run: bool,
    /// The place that is claimed for it, if it is a suspect that waits. Invariant: not set while
    /// `replica` is.
    pub claim: Option<Claim>,
    /// Where it was tried. Bounded by the most attempts of one job.
    pub tried: Vec<replica::Key>,
    /// Attempts of which something may have reached a replica.
    pub sent: u32,
    /// When its own terms end: it isn't started later.
    pub patience: Time,
    /// The wait predicted when it came.
    pub predicted: Span,
}

impl Open {
    pub fn explain(&self) -> Explanation {
        Explanation {
            class: self.class,
            cost: self.cost,
            predicted_wait: self.predicted,
            replica: self.replica,
            attempts: self.sent as usize,
            given_up_at: self.replica.is_none().then_some(self.until),
        }
    }
}

/// Why a job is where it is.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Explanation {
    /// Its size class.
    pub class: Class,
    /// Its estimated cost.
    pub cost: Cost,
    /// The wait predicted when it came.
    pub predicted_wait: Span,
    /// Where it runs; none while it waits.
    pub replica: Option<replica::Key>,
    /// Attempts so far.
    pub attempts: usize,
    /// While it waits: when it is refused if it has not started.
    pub given_up_at: Option<Time>,
}
