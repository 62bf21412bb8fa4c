//! Checks the acceptance of a configuration change over all reachable states.

use model::acceptance::Acceptance;
use model::acceptance::Fault;
use model::checker::check;

#[test]
fn nobody_admits_under_the_old_version_once_the_new_is_accepted() {
    let cases = [
        (false, [true, false]),
        (false, [false, true]),
        (true, [true, true]),
    ];
    for (joining, queried) in cases {
        let report = check(&Acceptance {
            fault: Fault::None,
            joining,
            queried,
        });
        println!(
            "acceptance joining={joining} asked={queried:?} states={} (3 members, 1 change, term 2, margin 1, word 2)",
            report.states
        );
        if let Some(counterexample) = report.counterexample {
            panic!("{counterexample}");
        }
    }
}

#[test]
fn every_omitted_guard_is_detected() {
    let faults = [
        (Fault::NoReread, false),
        (Fault::StaleView, true),
        (Fault::NoDeferral, false),
        (Fault::NoMajority, false),
        (Fault::VoteTermFromArrival, false),
        (Fault::NoWait, false),
    ];
    for (fault, joining) in faults {
        let report = check(&Acceptance {
            fault,
            joining,
            queried: [false, true],
        });
        let counterexample = report.counterexample.expect("not found");
        println!("acceptance {fault:?}: {counterexample}");
    }
}
