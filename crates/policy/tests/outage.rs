//! Recovery from an outage of all replicas for five seconds.

mod support;

use support::patterns;
use support::variant::Variant;

/// At 10 s every replica dies, at 15 s all are back. Refused callers retry; if they all did so at
/// the same moment, the fleet would fall behind again.
#[test]
fn callers_return_spread_and_are_served() {
    for seed in 1..=2 {
        let scheduler = Variant::scheduler().run(&patterns::outage(), seed);
        let baseline = Variant::least_outstanding().run(&patterns::outage(), seed);
        assert!(
            scheduler.share(None) > 0.8,
            "seed {seed}: {}",
            scheduler.share(None)
        );
        assert!(scheduler.share(None) >= baseline.share(None));
        assert!(
            scheduler.first_token_quantile(0.99) < 1_000.0,
            "those served are served in time"
        );
        assert_eq!(scheduler.false_not_run, 0);
        assert_eq!(scheduler.unanswered, 0);
    }
}
