//! Records what callers and replicas observed, and which faults were active.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use clock::Span;
use clock::Time;
use smol_str::SmolStr;

use crate::caller::Class;
use crate::configs::bounds::Bounds;
use crate::notices;
use crate::notices::Notices;
use crate::passages::Passage;
use crate::promises;
use crate::stall::Stall;

/// Target of a fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Target {
    /// An entry, or its connections.
    Entry(usize),
    /// A replica, or the connections to it.
    Replica(usize),
    /// The table service, for everyone.
    Tables,
}

/// What a fault does to its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Harm {
    /// Its process is killed.
    Killed,
    /// Connections from callers to it misbehave.
    CallersWay,
    /// Other connections from or to it misbehave.
    OtherWay,
    /// Its process stands still, in one piece or in slices.
    Paused,
    /// It misbehaves towards those that call it, or is refused by the table service.
    Failing,
}

/// A period during which a target was faulty.
#[derive(Clone, Copy, Debug)]
struct Disturbance {
    target: Target,
    harm: Harm,
    start: Time,
    /// None while the fault lasts.
    end: Option<Time>,
}

impl Disturbance {
    /// Returns whether the fault, or the `settle_time` after it, falls into that time.
    fn overlaps(&self, from: Time, to: Time, settle_time: Span) -> bool {
        self.start <= to && self.end.is_none_or(|end| from <= end + settle_time)
    }
}

/// One attempt of a caller.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// Id of the attempt.
    pub id: SmolStr,
    /// Kind of request.
    pub class: Class,
    /// Index of the entry to which it was sent.
    pub entry: usize,
    /// Whether its prompt crashes replicas, so that nobody misses its answer.
    pub crashes: bool,
    /// Whether its connection carried an earlier attempt.
    pub reused: bool,
    /// Time at which it was sent.
    pub sent_at: Time,
    /// Time since the first attempt of its stream, if it goes on with one.
    pub returns_after: Option<Span>,
    /// Software version of the events that its caller already has; empty for none.
    pub version: SmolStr,
    /// Time and kind of its end, as its caller saw it.
    pub ended: Option<(Time, End)>,
}

/// End of an attempt, as its caller saw it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum End {
    /// A complete answer with this status.
    Answered(u16),
    /// A complete answer with a wrong content.
    Wrong(SmolStr),
    /// No connection could be opened.
    NotSent,
    /// The connection ended with no byte of an answer.
    Unanswered,
    /// The connection ended within the answer.
    Broken,
    /// The caller cancelled the attempt, as planned.
    Left,
    /// No complete answer arrived in the caller's time.
    Waited,
}

/// A replica's work on an attempt.
#[derive(Clone, Debug)]
pub struct Run {
    /// Id of the attempt.
    pub attempt: SmolStr,
    /// Index of the replica.
    pub replica: usize,
    /// Service of the replica.
    pub service: SmolStr,
    /// Time at which the work began.
    pub began_at: Time,
    /// Time at which the work was completed or aborted.
    pub ended_at: Option<Time>,
}

/// An ordered stop of an entry.
#[derive(Clone, Copy, Debug)]
pub struct Stop {
    /// Index of the entry.
    pub entry: usize,
    /// Time of SIGTERM.
    pub asked_at: Time,
    /// Time at which the process was found to have ended.
    pub ended_at: Option<Time>,
}

/// A time in which an entry was cut off from all replicas.
#[derive(Clone, Copy, Debug)]
pub struct Cut {
    /// Index of the entry.
    pub entry: usize,
    /// Start of the cut.
    pub start: Time,
    /// End of the cut, as planned.
    pub end: Time,
}

/// A promise that was broken.
#[derive(Clone, Debug)]
pub struct Breach {
    /// Name of the promise.
    pub promise: &'static str,
    /// Time from which the soak had to be prompt for this check; none if the check doesn't depend on that.
    pub prompt_since: Option<Time>,
    /// Time at which the breach was detected.
    pub detected_at: Time,
    /// Evidence of the breach.
    pub detail: String,
}

/// Everything that was observed in one run.
#[derive(Debug, Default)]
pub struct Ledger {
    /// Bounds of the promises.
    pub bounds: Bounds,
    /// Attempts by id.
    pub attempts: BTreeMap<SmolStr, Attempt>,
    /// Runs in order of their start.
    pub runs: Vec<Run>,
    /// Service of the route that changes, with the time of each version, in order.
    pub configured_services: Vec<(Time, SmolStr)>,
    /// Time at which a replica announced that it leaves, by its index.
    pub leaving_since: BTreeMap<usize, Time>,
    /// Ordered stops of entries.
    pub stops: Vec<Stop>,
    /// What the proxy in front of an entry saw of the connections of unanswered attempts, by attempt.
    pub passages: BTreeMap<SmolStr, Passage>,
    /// Times in which crowds were at entries, which close connections for want of room: the entry, start and end.
    pub crowds: Vec<(usize, Time, Time)>,
    /// Times in which entries were cut off from all replicas.
    pub cuts: Vec<Cut>,
    /// Replicas that failed since they turned too many requests away, with the time.
    pub brittle_failures: Vec<(usize, Time)>,
    /// Ends of replicas on a part of a prompt, with the part.
    pub part_crashes: Vec<(SmolStr, Time)>,
    /// Arrivals of prompts with such a part at replicas: the part, the entry and the time.
    pub part_arrivals: Vec<(SmolStr, usize, Time)>,
    /// Times for which the soak's own loop stood still.
    pub stalls: Vec<Stall>,
    /// Software versions of streams that replicas run once all faults are over.
    pub last_versions: BTreeSet<SmolStr>,
    /// What replicas stated in their answers.
    pub notices: Notices,
    /// Broken promises.
    pub breaches: Vec<Breach>,
    runs_by_attempt: BTreeMap<SmolStr, Vec<usize>>,
    disturbances: Vec<Disturbance>,
}

impl Ledger {
    /// Records an attempt that is sent.
    pub fn record_attempt(&mut self, attempt: Attempt) {
        self.attempts.insert(attempt.id.clone(), attempt);
    }

    /// Records the end of an attempt and checks it.
    pub fn record_end(&mut self, id: &SmolStr, at: Time, end: End) {
        let Some(attempt) = self.attempts.get_mut(id) else {
            return;
        };
        attempt.ended = Some((at, end));
        let attempt = attempt.clone();
        promises::check_end(self, &attempt);
    }

    /// Records a request that reaches a replica, and checks it; returns the entry that sent it.
    pub fn record_arrival(&mut self, attempt: &str, replica: usize, at: Time) -> Option<usize> {
        let attempt = self.attempts.get(attempt)?.clone();
        notices::check_arrival(self, &attempt, replica, at);
        Some(attempt.entry)
    }

    /// Records a replica's start of work on an attempt, checks it, and returns the run's index.
    pub fn record_run(&mut self, run: Run) -> usize {
        let index = self.runs.len();
        self.runs_by_attempt
            .entry(run.attempt.clone())
            .or_default()
            .push(index);
        self.runs.push(run);
        promises::check_run(self, index);
        index
    }

    /// Records that a run was completed or aborted.
    pub fn finish_run(&mut self, run: usize, at: Time) {
        if let Some(run) = self.runs.get_mut(run) {
            run.ended_at = Some(at);
        }
    }

    /// Returns whether no replica can go on with the stream of an attempt: all of its version are gone for good.
    pub fn is_version_gone(&self, attempt: &Attempt) -> bool {
        !attempt.version.is_empty() && !self.last_versions.contains(&attempt.version)
    }

    /// Returns the runs of an attempt, in order.
    pub fn runs_of(&self, attempt: &str) -> impl Iterator<Item = &Run> {
        let runs = self.runs_by_attempt.get(attempt).into_iter().flatten();
        runs.map(|index| &self.runs[*index])
    }

    /// Records the start of a fault and returns its index, for [`Ledger::end_disturbance`].
    pub fn begin_disturbance(&mut self, target: Target, harm: Harm, at: Time) -> usize {
        self.disturbances.push(Disturbance {
            target,
            harm,
            start: at,
            end: None,
        });
        self.disturbances.len() - 1
    }

    /// Records the end of a fault.
    pub fn end_disturbance(&mut self, disturbance: usize, at: Time) {
        if let Some(disturbance) = self.disturbances.get_mut(disturbance) {
            disturbance.end = Some(at);
        }
    }

    /// Returns whether the target had no fault from `settle_time` before `from` until `to`.
    pub fn is_undisturbed(&self, target: Target, from: Time, to: Time) -> bool {
        let settle_time = self.bounds.settle_time;
        let mut faults = self.disturbances.iter();
        !faults.any(|fault| fault.target == target && fault.overlaps(from, to, settle_time))
    }

    /// Records that the process of an entry has ended.
    pub fn end_stops(&mut self, entry: usize, at: Time) {
        let open = self.stops.iter_mut().filter(|stop| stop.entry == entry);
        for stop in open.filter(|stop| stop.ended_at.is_none()) {
            stop.ended_at = Some(at);
        }
    }

    /// Returns what a fault did to the target from `settle_time` before `from` until `to`, if one was among `harms`;
    /// earlier ones in that list first.
    pub fn find_harm(
        &self,
        target: Target,
        harms: &[Harm],
        (from, to): (Time, Time),
        settle_time: Span,
    ) -> Option<Harm> {
        let has = |harm: &&Harm| {
            let mut faults = self.disturbances.iter();
            faults.any(|fault| {
                (fault.target, fault.harm) == (target, **harm)
                    && fault.overlaps(from, to, settle_time)
            })
        };
        harms.iter().find(has).copied()
    }

    /// Returns whether a fault did this to any replica in that time.
    pub fn is_any_replica_harmed(&self, harm: Harm, (from, to): (Time, Time)) -> bool {
        let is_replica = |fault: &Disturbance| matches!(fault.target, Target::Replica(_));
        let mut faults = self.disturbances.iter().filter(|fault| is_replica(fault));
        faults.any(|fault| fault.harm == harm && fault.overlaps(from, to, Span::ZERO))
    }

    /// Returns whether a crowd was at the entry in that time.
    pub fn was_crowded(&self, entry: usize, from: Time, to: Time) -> bool {
        let mut crowds = self.crowds.iter();
        crowds.any(|(of, start, end)| *of == entry && *start <= to && from <= *end)
    }

    /// Returns whether a way to replicas was interrupted in that time: by a cut of an entry, or by a fault of an
    /// entry that may have held connections for another one.
    pub fn was_way_interrupted(&self, from: Time, to: Time) -> bool {
        let is_entry = |fault: &Disturbance| matches!(fault.target, Target::Entry(_));
        let mut cuts = self.cuts.iter();
        let mut faults = self.disturbances.iter();
        cuts.any(|cut| cut.start <= to && from <= cut.end)
            || faults.any(|fault| is_entry(fault) && fault.overlaps(from, to, Span::ZERO))
    }

    /// Returns whether a breach proves nothing, since the soak itself stood still within the time that was judged.
    pub fn is_undecided(&self, breach: &Breach) -> bool {
        let settle_time = self.bounds.settle_time;
        breach.prompt_since.is_some_and(|from| {
            let mut stalls = self.stalls.iter();
            stalls.any(|stall| stall.overlaps(from, breach.detected_at, settle_time))
        })
    }

    /// Records a broken promise, which is judged only if the soak itself stood still at no time since `from`.
    pub fn record_slow(&mut self, promise: &'static str, from: Time, at: Time, detail: String) {
        self.record(promise, Some(from), at, detail);
    }

    /// Records a broken promise, whatever the soak itself did.
    pub fn record_breach(&mut self, promise: &'static str, at: Time, detail: String) {
        self.record(promise, None, at, detail);
    }

    fn record(
        &mut self,
        promise: &'static str,
        prompt_since: Option<Time>,
        at: Time,
        detail: String,
    ) {
        self.breaches.push(Breach {
            promise,
            prompt_since,
            detected_at: at,
            detail,
        });
    }
}
