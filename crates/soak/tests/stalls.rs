//! Verdicts on runs in which the soak itself stood still.

use clock::Span;
use clock::Time;
use smol_str::SmolStr;
use soak::caller::Class;
use soak::ledger::Attempt;
use soak::ledger::End;
use soak::ledger::Ledger;
use soak::ledger::Run;
use soak::report::Report;
use soak::stall::Stall;

const SENT_AT: Time = Time::from_millis(10_000);

/// Plays one attempt that is answered with this status so long after it was sent.
fn play(status: u16, latency: Span, runs: bool, stall: Option<(u64, u64)>) -> Report {
    let mut ledger = Ledger::default();
    let id = SmolStr::new_static("c1.1.0");
    ledger.record_attempt(Attempt {
        id: id.clone(),
        class: Class::Idempotent,
        entry: 0,
        crashes: false,
        reused: false,
        sent_at: SENT_AT,
        returns_after: None,
        version: SmolStr::default(),
        ended: None,
    });
    if runs {
        ledger.record_run(Run {
            attempt: id.clone(),
            replica: 0,
            service: SmolStr::new_static("app-a"),
            began_at: SENT_AT,
            ended_at: None,
        });
    }
    ledger.record_end(&id, SENT_AT + latency, End::Answered(status));
    // A stall is known only at the next turn of the loop, after what it delayed.
    let stall =
        stall.map(|(start, end)| Stall::new(Time::from_millis(start), Time::from_millis(end)));
    ledger.stalls.extend(stall);
    Report::new(1, Vec::new(), &ledger, 0)
}

/// Guards against blaming entries for answers that are late because the soak itself stood still.
#[test]
fn late_answers_beside_a_stall_are_undecided() {
    let late = Class::Idempotent.timeout() + Span::from_millis(600);
    let report = play(504, late, false, Some((11_000, 12_700)));
    assert!(report.breaches.is_empty());
    assert_eq!(report.undecided.len(), 1);
    assert!(!report.is_kept());
}

/// Guards against excusing late answers by stalls long before or after them.
#[test]
fn late_answers_without_a_stall_break_the_promise() {
    let late = Class::Idempotent.timeout() + Span::from_millis(600);
    for stall in [None, Some((2_000, 6_000)), Some((13_000, 14_000))] {
        let report = play(504, late, false, stall);
        assert_eq!(report.breaches.len(), 1);
        assert!(report.undecided.is_empty());
    }
}

/// Guards against excusing by a stall what doesn't depend on time: here, a refusal that isn't true.
#[test]
fn untrue_refusals_beside_a_stall_break_the_promise() {
    let report = play(503, Span::from_millis(30), true, Some((9_900, 10_500)));
    assert!(!report.breaches.is_empty());
    assert!(report.undecided.is_empty());
}

/// Guards against taking a run for kept in which the soak stood still and no check failed.
#[test]
fn a_run_with_a_stall_is_not_kept() {
    let report = play(200, Span::from_millis(30), true, Some((20_000, 21_000)));
    assert!(report.breaches.is_empty() && report.undecided.is_empty());
    assert!(!report.is_kept());
    assert!(play(200, Span::from_millis(30), true, None).is_kept());
}
