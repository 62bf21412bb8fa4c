//! Long jobs among short ones.

mod support;

use support::contestant::Contestant;
use support::patterns;

/// Bundles of 12,000 tokens arrive among captions. Spread over all replicas, each holds up the
/// captions behind it for more than a second, and a fifth of them misses its target; kept out
/// altogether, the bundles would never be read. Cause: a replica computes prompts in order.
#[test]
fn captions_pass_and_bundles_are_read() {
    let pattern = patterns::long_among_short();
    let bundles = Some(1);
    let (mut ours, mut plain) = (0.0, 0.0);
    for seed in 1..=3 {
        let tally = Contestant::ours().run(&pattern, seed);
        assert!(
            tally.share(bundles) > 0.85,
            "seed {seed}: {}",
            tally.share(bundles)
        );
        ours += tally.share(Some(0)) / 3.0;
        plain += Contestant::fewest().run(&pattern, seed).share(Some(0)) / 3.0;
    }
    assert!(ours > plain + 0.03, "captions {ours} against {plain}");
}
