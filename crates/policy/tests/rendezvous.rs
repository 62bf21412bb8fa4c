//! Rendezvous hashing by shares.

use std::collections::BTreeMap;

use policy::rendezvous;
use proptest::prelude::any;
use proptest::proptest;
use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;

fn nodes(count: u64) -> Vec<u64> {
    (0..count)
        .map(|index| rendezvous::identity(&format!("i-{index}.1")))
        .collect()
}

proptest! {
    #![proptest_config(Config {
        cases: 2_000,
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..Config::default()
    })]

    /// Guards against a change of homes, and so of all caches, where all replicas are equally fast.
    #[test]
    fn equal_shares_give_the_order_without_shares(
        key in any::<u64>(),
        identities in proptest::collection::vec(any::<u64>(), 0..40),
        share in 0.25..4.0_f64,
    ) {
        let plain = rendezvous::top_two(key, identities.iter().map(|node| (*node, *node)));
        for share in [1.0, share] {
            let shared = identities.iter().map(|node| (*node, *node, share));
            assert_eq!(rendezvous::top_two_weighted(key, shared), plain);
        }
    }

    /// Guards against a cache that is lost because the share of another replica changed.
    #[test]
    fn a_change_of_a_share_moves_only_keys_of_its_node(
        key in any::<u64>(),
        count in 2..20_u64,
        changed in any::<usize>(),
        share in 0.25..4.0_f64,
    ) {
        let nodes = nodes(count);
        let changed = nodes[changed % nodes.len()];
        let home = |share: f64| {
            let share_of = |node: u64| if node == changed { share } else { 1.0 };
            let shared = nodes.iter().map(|node| (*node, *node, share_of(*node)));
            rendezvous::top_two_weighted(key, shared).0
        };
        let (before, after) = (home(1.0), home(share));
        assert!(before == after || before == Some(changed) || after == Some(changed));
    }
}

#[test]
fn keys_are_divided_by_shares() {
    // Replicas of a slow type were the homes of as many prefixes as the others.
    const KEYS: u64 = 20_000;
    let shares = [1.0, 0.6, 1.6];
    let nodes = nodes(9);
    let mut homes: BTreeMap<usize, u64> = BTreeMap::new();
    for key in 0..KEYS {
        let shared = nodes
            .iter()
            .enumerate()
            .map(|(index, node)| (index, *node, shares[index % shares.len()]));
        let home = rendezvous::top_two_weighted(key, shared).0.unwrap_or(0);
        *homes.entry(home % shares.len()).or_default() += 1;
    }
    let total: f64 = shares.iter().sum();
    for (index, share) in shares.into_iter().enumerate() {
        let actual = homes[&index] as f64 / KEYS as f64;
        assert!(
            (actual - share / total).abs() < 0.01,
            "{actual} for {share}"
        );
    }
}
