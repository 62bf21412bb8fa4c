//! Random histories that breached a guarantee before, reduced to the fewest faults.

use clock::Span;
use matrix::fault::Fault;
use matrix::plan::Plan;
use matrix::world::Bug;
use matrix::world::Shape;

fn check_plan(seed: u64, shape: Shape, requests: u64, faults: &[(u64, Fault)]) {
    let faults = faults.iter();
    let plan = Plan {
        seed,
        shape,
        requests,
        faults: faults
            .map(|(at, fault)| (Span::from_millis(*at), *fault))
            .collect(),
    };
    assert_eq!(plan.run(Bug::None).breaches, vec![]);
}

/// A call was sent to a service that was about to be reclaimed: its entry was frozen while the notice
/// arrived, and sent the call right after it thawed, before it read any notice.
#[test]
fn seed_3445_work_for_a_leaving_server_after_a_freeze() {
    let millis = Span::from_millis;
    let shape = Shape {
        entries: 8,
        engines: 3,
        services: 3,
    };
    let faults = [
        (256, Fault::Reclaim(3, millis(24_484))),
        (3_639, Fault::LoseServiceAnswers(1)),
        (7_850, Fault::Freeze(6, millis(14_526))),
        (17_222, Fault::ReclaimZone(2, millis(15_462))),
        (17_678, Fault::ReclaimZone(1, millis(19_060))),
        (18_251, Fault::LoseServiceAnswers(1)),
    ];
    check_plan(3_445, shape, 11, &faults);
}
