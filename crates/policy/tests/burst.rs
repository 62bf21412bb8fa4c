//! Share of answers within target during a burst.

mod support;

use support::patterns;
use support::variant::Variant;

/// At 10 s every account sends four times as much for five seconds. In order of arrival all
/// requests wait behind the queue that builds up, and two of three answers miss their target until
/// long after the burst.
#[test]
fn most_of_a_burst_is_answered_in_time() {
    for seed in 1..=2 {
        let scheduler = Variant::scheduler().run(&patterns::burst(), seed);
        let baseline = Variant::least_outstanding().run(&patterns::burst(), seed);
        assert!(
            scheduler.share(None) > 0.9,
            "seed {seed}: {}",
            scheduler.share(None)
        );
        assert!(scheduler.share(None) > baseline.share(None) + 0.3);
        assert_eq!(scheduler.unanswered, 0);
        assert_eq!(scheduler.wasted, 0);
    }
}

/// The same burst while one replica is six times slower than the others.
#[test]
fn a_slow_replica_costs_a_burst_little_more() {
    let both = Variant::scheduler().run(&patterns::burst_and_slow(), 1);
    assert!(both.share(None) > 0.8, "{}", both.share(None));
}

/// The same burst on three replicas, where an entry has six slots to itself.
#[test]
fn most_of_a_burst_on_a_small_pool_is_answered_in_time() {
    let pattern = patterns::small(&patterns::burst());
    let scheduler = Variant::scheduler().run(&pattern, 1);
    assert!(scheduler.share(None) > 0.85, "{}", scheduler.share(None));
}
