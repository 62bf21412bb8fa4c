//! Checks the lease with fencing over all reachable states.

use model::checker::check;
use model::lease::Fault;
use model::lease::Lease;

#[test]
fn at_most_one_rival_holds_the_lease_and_no_old_order_overrides_a_newer_one() {
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

/// A holder that gave its fencing number up must gain the lease under a new one. If it acted under the old
/// number again, so might whichever process was notified that it had resigned.
#[test]
fn a_resigned_fencing_number_is_never_held_again() {
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
fn every_omitted_guard_is_detected() {
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
