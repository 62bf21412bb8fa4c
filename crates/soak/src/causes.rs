//! Why attempts ended without a complete answer.

use std::fmt;

use clock::Span;
use clock::Time;

use crate::ledger::Attempt;
use crate::ledger::End;
use crate::ledger::Harm;
use crate::ledger::Ledger;
use crate::ledger::Target;

/// Time after its last byte by which a request that no replica has may end with a kept connection.
const CROSSING_TIME: Span = Span::from_millis(200);
/// Time before the end of a stop's grace period from which answers under way are broken off.
const LAST_CALL: Span = Span::from_millis(500);
/// Harm to an entry that excuses a request without any answer.
const FATAL: [Harm; 2] = [Harm::Killed, Harm::CallersWay];
/// Harm that may break off an answer, the most direct first.
const HARMFUL: [Harm; 3] = [Harm::OtherWay, Harm::Failing, Harm::Paused];

/// Cause of an end without a complete answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Cause {
    /// The entry's port refused the connection.
    Refused,
    /// The connection ended before the request reached the entry.
    Unsent,
    /// The request crossed the close of a kept connection.
    CrossedClose,
    /// The request crossed the close of a connection that gave way in a crowd, and the entry's process didn't read it.
    GaveWay,
    /// The entry was harmed so.
    Entry(Harm),
    /// A replica that ran the request was harmed so.
    Replica(Harm),
    /// No replica ran the request, and some replica was harmed so meanwhile.
    SomeReplica(Harm),
    /// The time limit of the request was over.
    TimeLimit,
    /// The grace period of the entry's stop was over.
    StopEnd,
    /// None of these.
    Unexplained,
}

impl fmt::Display for Cause {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Cause::Refused => write!(formatter, "port closed"),
            Cause::Unsent => write!(formatter, "closed before it arrived"),
            Cause::CrossedClose => write!(formatter, "crossed a close"),
            Cause::GaveWay => write!(formatter, "gave way unread in a crowd"),
            Cause::Entry(harm) => write!(formatter, "entry {}", name(*harm)),
            Cause::Replica(harm) => write!(formatter, "replica {}", name(*harm)),
            Cause::SomeReplica(harm) => {
                write!(formatter, "never ran, some replica {}", name(*harm))
            }
            Cause::TimeLimit => write!(formatter, "time limit"),
            Cause::StopEnd => write!(formatter, "end of a stop"),
            Cause::Unexplained => write!(formatter, "unexplained"),
        }
    }
}

const fn name(harm: Harm) -> &'static str {
    match harm {
        Harm::Killed => "killed",
        Harm::CallersWay => "cut from callers",
        Harm::OtherWay => "on harmed ways",
        Harm::Paused => "paused",
        Harm::Failing => "failing",
    }
}

/// Returns the cause of an end without a complete answer, or none for other ends.
pub fn find(ledger: &Ledger, attempt: &Attempt) -> Option<Cause> {
    let (at, end) = attempt.ended.as_ref()?;
    match end {
        End::Unanswered => Some(find_unanswered(ledger, attempt, *at)),
        End::Broken | End::Answered(502) => Some(find_broken(ledger, attempt, *at)),
        _ => None,
    }
}

/// Returns why a connection ended with no byte of an answer. Trouble of replicas is no cause: the entry can say so.
fn find_unanswered(ledger: &Ledger, attempt: &Attempt, at: Time) -> Cause {
    let passage = ledger.passages.get(&attempt.id).copied();
    let passage = passage.unwrap_or_default();
    let delivered_at = passage.delivered_at.filter(|at| *at >= attempt.sent_at);
    let Some(delivered_at) = delivered_at else {
        return match passage.is_taken {
            true => Cause::Unsent,
            false => Cause::Refused,
        };
    };
    let settle_time = ledger.bounds.settle_time;
    let target = Target::Entry(attempt.entry);
    if let Some(harm) = ledger.find_harm(target, &FATAL, (attempt.sent_at, at), settle_time) {
        return Cause::Entry(harm);
    }
    let unanswered_for = passage.ended_at.unwrap_or(at).since(delivered_at);
    let ran = ledger.runs_of(&attempt.id).next().is_some();
    if ran || unanswered_for >= CROSSING_TIME {
        return Cause::Unexplained;
    }
    let is_crowded = ledger.was_crowded(attempt.entry, attempt.sent_at, at);
    match (attempt.reused, passage.is_unread && is_crowded) {
        (true, _) => Cause::CrossedClose,
        (false, true) => Cause::GaveWay,
        (false, false) => Cause::Unexplained,
    }
}

/// Returns why an answer was broken off, or replaced by a failure.
fn find_broken(ledger: &Ledger, attempt: &Attempt, at: Time) -> Cause {
    let time = (attempt.sent_at, at);
    let entry = Target::Entry(attempt.entry);
    let harm_of = |target, harms: &[Harm]| ledger.find_harm(target, harms, time, Span::ZERO);
    if let Some(harm) = harm_of(entry, &FATAL) {
        return Cause::Entry(harm);
    }
    if at.since(attempt.sent_at) >= attempt.class.timeout() {
        return Cause::TimeLimit;
    }
    if is_at_end_of_stop(ledger, attempt.entry, at) {
        return Cause::StopEnd;
    }
    let all = [&FATAL[..], &HARMFUL].concat();
    let mut runs = ledger.runs_of(&attempt.id);
    if let Some(harm) = runs.find_map(|run| harm_of(Target::Replica(run.replica), &all)) {
        return Cause::Replica(harm);
    }
    if let Some(harm) = harm_of(entry, &HARMFUL) {
        return Cause::Entry(harm);
    }
    let ran = ledger.runs_of(&attempt.id).next().is_some();
    let some = |harm: &&Harm| !ran && ledger.is_any_replica_harmed(**harm, time);
    let some = all.iter().find(some).copied();
    some.map_or(Cause::Unexplained, Cause::SomeReplica)
}

fn is_at_end_of_stop(ledger: &Ledger, entry: usize, at: Time) -> bool {
    let grace = ledger.bounds.grace_period;
    ledger.stops.iter().any(|stop| {
        let last_call = stop.asked_at + (grace - LAST_CALL);
        stop.entry == entry && last_call <= at && stop.ended_at.is_none_or(|ended| at <= ended)
    })
}
