//! What the scheduler keeps of accounts, pools, replicas and jobs.

use std::collections::BTreeSet;

use clock::Span;
use clock::Time;

use crate::account;
use crate::admission::Service;
use crate::brownout::Gate;
use crate::configs::scheduler::Settings;
use crate::fair::Cost;
use crate::fair::Estimate;
use crate::fair::Place;
use crate::fair::Queue;
use crate::job;
use crate::job::Job;
use crate::replica;
use crate::retry::Budget;
use crate::retry::Calendar;
use crate::size::Class;
use crate::size::Classes;

/// An account and what its answers taught.
#[derive(Debug)]
pub(super) struct Account {
    pub spec: account::Spec,
    pub estimate: Estimate,
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
    pub members: BTreeSet<replica::Key>,
    /// Members that take new work and have room, least loaded first.
    ///
    /// Invariant: holds `(load, key)` exactly where `Replica::indexed` is `Some(load)`.
    pub roomy: BTreeSet<(u32, replica::Key)>,
    /// Our attempts on its replicas.
    pub running: u32,
    /// Of them long ones.
    pub long: u32,
    /// What our limits on its replicas add up to.
    pub slots: u32,
}

impl Pool {
    pub fn new(settings: &Settings) -> Pool {
        Pool {
            queue: Queue::new(settings.fair.enabled),
            classes: Classes::default(),
            service: Service::default(),
            gate: Gate::default(),
            budget: Budget::new(&settings.retry),
            calendar: Calendar::default(),
            members: BTreeSet::new(),
            roomy: BTreeSet::new(),
            running: 0,
            long: 0,
            slots: 0,
        }
    }
}

/// A replica and what we run there.
#[derive(Debug)]
pub(super) struct Replica {
    pub spec: replica::Spec,
    pub leaving: bool,
    /// Our attempts there. Invariant: the number of ids in `jobs`.
    pub running: u32,
    /// Of them long ones.
    pub long: u32,
    /// Most attempts of ours at once.
    pub limit: u32,
    pub jobs: BTreeSet<job::Id>,
    /// Its load in the pool's index, if it is there.
    pub indexed: Option<u32>,
    /// What it adds to the pool's slots.
    pub counted: u32,
}

impl Replica {
    pub fn new(spec: replica::Spec, entries: u32) -> Replica {
        let mut replica = Replica {
            spec,
            leaving: false,
            running: 0,
            long: 0,
            limit: 0,
            jobs: BTreeSet::new(),
            indexed: None,
            counted: 0,
        };
        replica.limit = replica.part(entries);
        replica
    }

    /// The slots that are this entry's whatever the others do.
    pub fn part(&self, entries: u32) -> u32 {
        self.spec.slots.div_ceil(entries).max(1)
    }

    pub fn has_room(&self) -> bool {
        !self.leaving && self.running < self.limit
    }
}

/// An open job.
#[derive(Debug)]
pub(super) struct Open {
    pub job: Job,
    pub class: Class,
    /// What its account was charged.
    pub cost: Cost,
    /// When the first token is due.
    pub due: Time,
    /// Where it waits. Invariant: set exactly while `replica` is not, and then in `expiry` at `until`.
    pub place: Option<Place>,
    pub until: Time,
    pub replica: Option<replica::Key>,
    pub started: Time,
    /// Whether the caller has had its first token.
    pub streaming: bool,
    /// Tokens made in all attempts.
    pub made: u32,
    /// Whether bytes of it were handed to a replica that did not say "not started".
    pub may_have_run: bool,
    /// Where it was tried. Bounded by the most attempts of one job.
    pub tried: Vec<replica::Key>,
    /// The wait predicted when it came.
    pub predicted: Span,
}

impl Open {
    pub fn explain(&self) -> Explain {
        Explain {
            class: self.class,
            cost: self.cost,
            predicted_wait: self.predicted,
            replica: self.replica,
            attempts: self.tried.len(),
            given_up_at: self.place.map(|_| self.until),
        }
    }
}

/// Why a job is where it is.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Explain {
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
