//! Isolation of accounts from one that floods the entries.

mod support;

use support::patterns;
use support::variant::Variant;

/// From 5 s on one small account sends 40 times its rate, twice what the fleet carries. In order of
/// arrival every other account's requests wait behind the flood, and hardly any is answered in
/// time.
#[test]
fn the_others_are_served_as_if_they_were_alone() {
    let (flooded, alone) = (patterns::hot_caller(), patterns::without_hot_caller());
    for seed in 1..=2 {
        let scheduler = Variant::scheduler().run(&flooded, seed);
        let unflooded = Variant::scheduler().run(&alone, seed);
        let baseline = Variant::least_outstanding().run(&flooded, seed);
        for account in [0, 1, 3, 4] {
            let share = scheduler.share(Some(account));
            // A run has some 70 requests of each small account: two of them are 3 points.
            assert!(
                share > unflooded.share(Some(account)) - 0.04,
                "seed {seed}, {account}: {share}"
            );
            assert!(share > baseline.share(Some(account)) + 0.5);
        }
        assert!(
            scheduler.goodput() > 45.0,
            "the flood fills what is left: {}",
            scheduler.goodput()
        );
    }
}

/// The flood goes on while a zone is reclaimed.
#[test]
fn the_others_are_served_during_a_reclaim() {
    let scheduler = Variant::scheduler().run(&patterns::reclaim_and_hot_caller(), 1);
    for account in [0, 1, 3, 4] {
        let share = scheduler.share(Some(account));
        assert!(share > 0.9, "{account}: {share}");
    }
    assert_eq!(scheduler.recomputed, 0);
}
