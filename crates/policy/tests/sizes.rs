//! Long jobs among short ones.

mod support;

use support::patterns;
use support::variant::Variant;

/// Prompts of 12,000 tokens arrive among short ones. A replica computes prompts in order: spread
/// over all replicas, each long prompt delays the short ones behind it for more than a second, and
/// a fifth of them misses the target; excluded altogether, the long ones would starve.
#[test]
fn captions_pass_and_bundles_are_read() {
    let pattern = patterns::long_among_short();
    let bundles = Some(1);
    let (mut ours, mut plain) = (0.0, 0.0);
    for seed in 1..=3 {
        let tally = Variant::scheduler().run(&pattern, seed);
        assert!(
            tally.share(bundles) > 0.85,
            "seed {seed}: {}",
            tally.share(bundles)
        );
        ours += tally.share(Some(0)) / 3.0;
        plain += Variant::least_outstanding()
            .run(&pattern, seed)
            .share(Some(0))
            / 3.0;
    }
    assert!(ours > plain + 0.03, "captions {ours} against {plain}");
}
