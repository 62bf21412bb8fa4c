//! Long jobs among short ones.

mod support;

use support::patterns;
use support::variant::Variant;

/// Prompts of 12,000 tokens arrive among short ones. A replica computes prompts in order: spread
/// over all replicas, each long prompt delays the short ones behind it for more than a second, and
/// a fifth of them misses the target; excluded altogether, the long ones would starve.
#[test]
fn long_jobs_neither_delay_short_ones_nor_starve() {
    let pattern = patterns::long_among_short();
    let long_jobs = Some(1);
    let (mut scheduler, mut baseline) = (0.0, 0.0);
    for seed in 1..=3 {
        let tally = Variant::scheduler().run(&pattern, seed);
        assert!(
            tally.share(long_jobs) > 0.85,
            "seed {seed}: {}",
            tally.share(long_jobs)
        );
        scheduler += tally.share(Some(0)) / 3.0;
        baseline += Variant::least_outstanding()
            .run(&pattern, seed)
            .share(Some(0))
            / 3.0;
    }
    assert!(
        scheduler > baseline + 0.03,
        "short jobs {scheduler} against {baseline}"
    );
}
