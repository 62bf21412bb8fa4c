//! All replicas are gone for five seconds; every caller comes back.

mod support;

use support::contestant::Contestant;
use support::patterns;

/// At 10 s every replica dies, at 15 s all are back. Callers who were refused come back; if they all
/// came at once, the fleet would fall behind again. Cause: the outage makes them wait for the same
/// moment.
#[test]
fn callers_return_spread_and_are_served() {
    for seed in 1..=2 {
        let ours = Contestant::ours().run(&patterns::outage(), seed);
        let plain = Contestant::fewest().run(&patterns::outage(), seed);
        assert!(ours.share(None) > 0.8, "seed {seed}: {}", ours.share(None));
        assert!(ours.share(None) >= plain.share(None));
        assert!(
            ours.first_token(0.99) < 1_000.0,
            "those served are served in time"
        );
        assert_eq!(ours.false_not_run, 0);
        assert_eq!(ours.forgotten, 0);
    }
}
