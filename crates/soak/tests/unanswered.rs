//! Verdicts on connections that end without an answer, and causes of incomplete ones.

use clock::Span;
use clock::Time;
use smol_str::SmolStr;
use soak::caller::Class;
use soak::causes;
use soak::causes::Cause;
use soak::ledger::Attempt;
use soak::ledger::End;
use soak::ledger::Harm;
use soak::ledger::Ledger;
use soak::ledger::Run;
use soak::ledger::Stop;
use soak::ledger::Target;
use soak::passages::Passage;

const SENT_AT: Time = Time::from_millis(10_000);
const ID: SmolStr = SmolStr::new_static("c1.1.0");

/// An attempt that ends without an answer, on a connection that the entry took.
#[derive(Clone, Copy)]
struct Play {
    reused: bool,
    /// Time from the last byte to the end of the connection, if the request reached the entry.
    silence: Option<Span>,
    is_taken: bool,
    runs: bool,
    is_unread: bool,
    is_crowded: bool,
    harm: Option<Harm>,
}

const KEPT: Play = Play {
    reused: true,
    silence: Some(Span::from_millis(199)),
    is_taken: true,
    runs: false,
    is_unread: false,
    is_crowded: false,
    harm: None,
};

fn record_attempt(ledger: &mut Ledger, reused: bool) {
    ledger.record_attempt(Attempt {
        id: ID,
        class: Class::Idempotent,
        entry: 0,
        crashes: false,
        reused,
        sent_at: SENT_AT,
        returns_after: None,
        version: SmolStr::default(),
        ended: None,
    });
}

fn record_run(ledger: &mut Ledger) {
    ledger.record_run(Run {
        attempt: ID,
        replica: 0,
        service: SmolStr::new_static("app-a"),
        began_at: SENT_AT,
        ended_at: None,
    });
}

/// Returns the cause of an answer that was broken off so long after its request, where `record` recorded more.
fn cause_of_break(after: Span, record: impl FnOnce(&mut Ledger)) -> Option<Cause> {
    let mut ledger = Ledger::default();
    record_attempt(&mut ledger, false);
    record(&mut ledger);
    ledger.record_end(&ID, SENT_AT + after, End::Broken);
    causes::find(&ledger, &ledger.attempts[&ID])
}

impl Play {
    /// Returns the cause of the end, and the number of broken promises.
    fn judge(self) -> (Option<Cause>, usize) {
        let mut ledger = Ledger::default();
        if let Some(harm) = self.harm {
            let fault = ledger.begin_disturbance(Target::Entry(0), harm, SENT_AT);
            ledger.end_disturbance(fault, SENT_AT + Span::from_millis(1));
        }
        if self.is_crowded {
            ledger.crowds.push((0, SENT_AT, SENT_AT));
        }
        record_attempt(&mut ledger, self.reused);
        if self.runs {
            record_run(&mut ledger);
        }
        let ended_at = SENT_AT + self.silence.unwrap_or_default();
        let passage = Passage {
            is_taken: self.is_taken,
            delivered_at: self.silence.map(|_| SENT_AT),
            ended_at: Some(ended_at),
            is_unread: self.is_unread,
        };
        ledger.passages.insert(ID, passage);
        ledger.record_end(&ID, ended_at, End::Unanswered);
        let cause = causes::find(&ledger, &ledger.attempts[&ID]);
        (cause, ledger.breaches.len())
    }
}

/// Guards against blaming entries for requests that cross the close of a kept connection.
#[test]
fn a_request_may_cross_the_close_of_a_kept_connection() {
    assert_eq!(KEPT.judge(), (Some(Cause::CrossedClose), 0));
}

/// Guards against overlooking requests that an entry lost although no replica ran them.
#[test]
fn a_request_that_arrived_and_never_ran_is_judged() {
    let late = Play {
        silence: Some(Span::from_millis(200)),
        ..KEPT
    };
    let new = Play {
        reused: false,
        ..KEPT
    };
    let ran = Play { runs: true, ..KEPT };
    for play in [late, new] {
        assert_eq!(play.judge(), (Some(Cause::Unexplained), 1));
    }
    // A request that ran breaks the promise on running answers as well.
    assert_eq!(ran.judge(), (Some(Cause::Unexplained), 2));
}

/// Guards against excusing an entry that only stood still, or whose table service failed.
#[test]
fn only_kills_and_harmed_ways_of_callers_excuse_a_lost_request() {
    let play = |harm| Play {
        reused: false,
        harm: Some(harm),
        ..KEPT
    };
    for harm in [Harm::Paused, Harm::Failing, Harm::OtherWay] {
        assert_eq!(play(harm).judge(), (Some(Cause::Unexplained), 1));
    }
    for harm in [Harm::Killed, Harm::CallersWay] {
        assert_eq!(play(harm).judge(), (Some(Cause::Entry(harm)), 0));
    }
}

/// Guards against blaming entries for requests that cross the close of a connection that gives way in a crowd, and against
/// overlooking those that the entry has read, or that wait for longer, or without a crowd.
#[test]
fn a_request_on_a_new_connection_may_be_lost_only_unread_and_in_a_crowd() {
    let unread = Play {
        reused: false,
        is_unread: true,
        is_crowded: true,
        ..KEPT
    };
    assert_eq!(unread.judge(), (Some(Cause::GaveWay), 0));
    let read = Play {
        is_unread: false,
        ..unread
    };
    let alone = Play {
        is_crowded: false,
        ..unread
    };
    let late = Play {
        silence: Some(Span::from_millis(200)),
        ..unread
    };
    for play in [read, alone, late] {
        assert_eq!(play.judge(), (Some(Cause::Unexplained), 1));
    }
}

/// Guards against judging requests that never reached the entry.
#[test]
fn a_request_that_did_not_arrive_is_not_judged() {
    let unsent = Play {
        silence: None,
        ..KEPT
    };
    let refused = Play {
        is_taken: false,
        ..unsent
    };
    assert_eq!(unsent.judge(), (Some(Cause::Unsent), 0));
    assert_eq!(refused.judge(), (Some(Cause::Refused), 0));
}

/// Guards against a report that lays what an entry did to its replicas, its time limits or its stops.
#[test]
fn a_broken_answer_has_a_cause_only_if_something_happened_just_then() {
    let soon = Span::from_millis(500);
    let harm = |ledger: &mut Ledger, target, harm, at| {
        let fault = ledger.begin_disturbance(target, harm, at);
        ledger.end_disturbance(fault, at + Span::from_millis(1));
    };
    let replica = Target::Replica(0);
    assert_eq!(cause_of_break(soon, record_run), Some(Cause::Unexplained));
    let before = |ledger: &mut Ledger| {
        record_run(ledger);
        harm(ledger, replica, Harm::Killed, Time::from_millis(9_000));
    };
    assert_eq!(cause_of_break(soon, before), Some(Cause::Unexplained));
    let meanwhile = |ledger: &mut Ledger| {
        record_run(ledger);
        harm(ledger, replica, Harm::Killed, SENT_AT);
    };
    let killed = Cause::Replica(Harm::Killed);
    assert_eq!(cause_of_break(soon, meanwhile), Some(killed));
    let elsewhere = |ledger: &mut Ledger| harm(ledger, replica, Harm::OtherWay, SENT_AT);
    let some = Cause::SomeReplica(Harm::OtherWay);
    assert_eq!(cause_of_break(soon, elsewhere), Some(some));
    let stopped = |ledger: &mut Ledger| {
        ledger.stops.push(Stop {
            entry: 0,
            asked_at: Time::from_millis(6_800),
            ended_at: None,
        });
    };
    assert_eq!(cause_of_break(soon, stopped), Some(Cause::StopEnd));
    let limit = Class::Idempotent.timeout();
    assert_eq!(cause_of_break(limit, record_run), Some(Cause::TimeLimit));
}
