//! What callers and replicas saw, and which faults were on meanwhile.

use std::collections::BTreeMap;

use clock::Time;
use smol_str::SmolStr;

use crate::caller::Class;
use crate::configs::bounds::Bounds;
use crate::promises;

/// What a fault is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Target {
    /// An entry, or a way to or from it.
    Entry(usize),
    /// A replica or the way to it.
    Replica(usize),
    /// The table service, for everyone.
    Tables,
}

/// Something was wrong for a time.
#[derive(Clone, Copy, Debug)]
struct Disturbance {
    target: Target,
    from: Time,
    /// None while it lasts.
    to: Option<Time>,
}

/// One attempt of a caller.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// Its name.
    pub id: SmolStr,
    /// What it asks for.
    pub class: Class,
    /// The entry that it was sent to.
    pub entry: usize,
    /// Whether its connection served another one before.
    pub reused: bool,
    /// When it was sent.
    pub sent: Time,
    /// When and how it ended for its caller.
    pub ended: Option<(Time, End)>,
}

/// How an attempt ended for its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum End {
    /// An answer came whole.
    Answered(u16),
    /// An answer looked whole and wasn't the replica's.
    Wrong(SmolStr),
    /// No connection came about.
    NotSent,
    /// The connection ended before the answer did.
    Broken,
    /// The caller gave up as it had planned to.
    Left,
    /// Nothing final came in all the caller's time.
    Waited,
}

/// A replica's work on an attempt.
#[derive(Clone, Debug)]
pub struct Run {
    /// The attempt.
    pub attempt: SmolStr,
    /// The replica.
    pub replica: usize,
    /// The replica's service.
    pub service: SmolStr,
    /// When it began.
    pub began: Time,
    /// When the work ended, done or given up.
    pub ended: Option<Time>,
}

/// A promise that was broken.
#[derive(Clone, Debug)]
pub struct Breach {
    /// Which promise.
    pub promise: &'static str,
    /// When it showed.
    pub at: Time,
    /// What showed it.
    pub detail: String,
}

/// Everything that was seen in one run.
#[derive(Debug, Default)]
pub struct Ledger {
    /// What is promised.
    pub bounds: Bounds,
    /// Attempts by name.
    pub attempts: BTreeMap<SmolStr, Attempt>,
    /// Runs in the order in which they began.
    pub runs: Vec<Run>,
    /// Which version of the configuration named which service, when: in order.
    pub configured: Vec<(Time, SmolStr)>,
    /// When replicas said that they leave, by replica.
    pub leaving: BTreeMap<usize, Time>,
    /// Broken promises.
    pub breaches: Vec<Breach>,
    by_attempt: BTreeMap<SmolStr, Vec<usize>>,
    disturbances: Vec<Disturbance>,
}

impl Ledger {
    /// An attempt is sent.
    pub fn sent(&mut self, attempt: Attempt) {
        self.attempts.insert(attempt.id.clone(), attempt);
    }

    /// An attempt ended for its caller.
    pub fn ended(&mut self, id: &SmolStr, at: Time, end: End) {
        let Some(attempt) = self.attempts.get_mut(id) else {
            return;
        };
        attempt.ended = Some((at, end));
        let attempt = attempt.clone();
        promises::check_end(self, &attempt);
    }

    /// A replica begins to work on an attempt; names the run.
    pub fn began(&mut self, run: Run) -> usize {
        let index = self.runs.len();
        self.by_attempt
            .entry(run.attempt.clone())
            .or_default()
            .push(index);
        self.runs.push(run);
        promises::check_run(self, index);
        index
    }

    /// A replica's work is done or given up.
    pub fn finished(&mut self, run: usize, at: Time) {
        if let Some(run) = self.runs.get_mut(run) {
            run.ended = Some(at);
        }
    }

    /// The runs of an attempt, in order.
    pub fn runs_of(&self, attempt: &str) -> impl Iterator<Item = &Run> {
        let runs = self.by_attempt.get(attempt).into_iter().flatten();
        runs.map(|index| &self.runs[*index])
    }

    /// Something begins to be wrong; names it for [`Ledger::heal`].
    pub fn disturb(&mut self, target: Target, at: Time) -> usize {
        self.disturbances.push(Disturbance {
            target,
            from: at,
            to: None,
        });
        self.disturbances.len() - 1
    }

    /// It is well again.
    pub fn heal(&mut self, disturbance: usize, at: Time) {
        if let Some(disturbance) = self.disturbances.get_mut(disturbance) {
            disturbance.to = Some(at);
        }
    }

    /// Whether nothing was wrong there from `contact` before the first moment until the second.
    pub fn is_calm(&self, target: Target, from: Time, to: Time) -> bool {
        let contact = self.bounds.contact;
        self.disturbances.iter().all(|one| {
            let over = one.to.is_some_and(|end| end + contact < from);
            one.target != target || one.from > to || over
        })
    }

    /// Notes a broken promise.
    pub fn breach(&mut self, promise: &'static str, at: Time, detail: String) {
        self.breaches.push(Breach {
            promise,
            at,
            detail,
        });
    }
}
