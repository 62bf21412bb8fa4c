//! Recovery from an outage of all replicas for five seconds.

mod support;

use support::patterns;
use support::variant::Variant;

/// At 10 s every replica dies, at 15 s all are back. Refused callers retry; if they all did so at
/// the same moment, the fleet would fall behind again.
#[test]
fn callers_return_spread_and_are_served() {
    for seed in 1..=2 {
        let ours = Variant::scheduler().run(&patterns::outage(), seed);
        let plain = Variant::least_outstanding().run(&patterns::outage(), seed);
        assert!(ours.share(None) > 0.8, "seed {seed}: {}", ours.share(None));
        assert!(ours.share(None) >= plain.share(None));
        assert!(
            ours.first_token_quantile(0.99) < 1_000.0,
            "those served are served in time"
        );
        assert_eq!(ours.false_not_run, 0);
        assert_eq!(ours.unanswered, 0);
    }
}
