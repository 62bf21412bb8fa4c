//! The lease with fencing, over all reachable states.

use model::checker::check;
use model::lease::Fault;
use model::lease::Lease;

#[test]
fn no_two_rivals_hold_the_lease_and_no_old_order_lands_last() {
    for checks_fencing in [true, false] {
        let specification = Lease {
            checks_fencing,
            ..Lease::default()
        };
        let report = check(&specification);
        println!(
            "lease checks_fencing={checks_fencing} states={} (2 rivals, term 2, margin 1, flight 2, 3 fencing numbers)",
            report.states
        );
        if let Some(counterexample) = report.counterexample {
            panic!("{counterexample}");
        }
    }
}

/// A holder that gave its number up takes the lease under a new one; were it to act under the old number again, so might
/// whoever was told that it gave up.
#[test]
fn a_holder_that_resigns_is_never_back_under_its_number() {
    let report = check(&Lease {
        checks_fencing: true,
        resigns: true,
        ..Lease::default()
    });
    println!("lease resigns states={}", report.states);
    if let Some(counterexample) = report.counterexample {
        panic!("{counterexample}");
    }
}

#[test]
fn every_guard_left_out_is_found() {
    let faults = [
        (Fault::DeadlineFromAnswer, true),
        (Fault::NoMargin, true),
        (Fault::BlindWrite, true),
        (Fault::NoFlightWait, false),
        (Fault::NoFenceCheck, true),
    ];
    for (fault, checks_fencing) in faults {
        let report = check(&Lease {
            fault,
            checks_fencing,
            ..Lease::default()
        });
        let counterexample = report.counterexample.expect("not found");
        println!("lease {fault:?}: {counterexample}");
    }
}
