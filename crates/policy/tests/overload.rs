//! Sustained overload.

mod support;

use support::patterns;
use support::patterns::CAPACITY;
use support::variant::Variant;

/// Callers send 1.2, 2 and 5 times what the fleet carries. In order of arrival every answer misses
/// its target, and most of the work is for callers who have gone.
#[test]
fn goodput_holds_at_any_overload() {
    for (name, factor) in [("1.2", 1.2), ("2", 2.0), ("5", 5.0)] {
        let pattern = patterns::overload(name, factor);
        let scheduler = Variant::scheduler().run(&pattern, 1);
        assert!(
            scheduler.goodput() > 0.9 * CAPACITY,
            "{name}: {}",
            scheduler.goodput()
        );
        assert!(scheduler.wasted_share() < 0.1);
        assert!(scheduler.jain() > 0.98, "{name}: {}", scheduler.jain());
        assert_eq!(scheduler.unanswered, 0);
        assert_eq!(scheduler.false_not_run, 0);
        let small = Variant::scheduler().run(&patterns::small(&pattern), 1);
        assert!(
            small.goodput() > 0.3 * CAPACITY,
            "{name}, 3 replicas: {}",
            small.goodput()
        );
    }
}

/// A caller whose target can't be met is refused early enough to go elsewhere: at most 100 ms after
/// an idle replica could no longer have answered in time, and mostly on arrival.
#[test]
fn refusals_come_at_once() {
    let scheduler = Variant::scheduler().run(&patterns::overload("2", 2.0), 1);
    assert_eq!(
        scheduler.sum(|outcome| outcome.refused_after_infeasible),
        0.0
    );
    let (at_once, late) = (
        scheduler.sum(|outcome| outcome.refused_immediately),
        scheduler.sum(|outcome| outcome.refused_late),
    );
    assert!(at_once > 3.0 * late, "{at_once} at once, {late} later");
    assert_eq!(
        scheduler.sum(|outcome| outcome.refused_permanently),
        0.0,
        "all are told when to come back"
    );
}

/// Callers send twice the capacity, and three of five accounts have a lower priority. Without
/// priorities all lose half; the accounts with the highest priority should hardly be affected.
#[test]
fn lower_priorities_are_shed_first() {
    let scheduler = Variant::scheduler().run(&patterns::priorities(), 1);
    let shares: Vec<f64> = (0..5)
        .map(|account| scheduler.share(Some(account)))
        .collect();
    assert!(shares[0] > 0.9 && shares[2] > 0.75, "{shares:?}");
    assert!(
        shares[1] < 0.5 && shares[3] < 0.3 && shares[4] < 0.3,
        "{shares:?}"
    );
}

/// Short calls of a plain service at twice the capacity of its three replicas.
#[test]
fn plain_calls_are_held_to_their_target() {
    let scheduler = Variant::scheduler().run(&patterns::plain_overload(), 1);
    let baseline = Variant::least_outstanding().run(&patterns::plain_overload(), 1);
    assert!(scheduler.goodput() > 10.0 * baseline.goodput());
}
