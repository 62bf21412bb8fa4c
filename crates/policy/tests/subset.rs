//! Subsets of replicas by entry.

use policy::configs::subset::Config;
use policy::rendezvous;
use policy::subset::Subset;
use proptest::prelude::*;
use proptest::test_runner::Config as Proptest;
use proptest::test_runner::RngSeed;

fn subset(config: Config, own: u64, entries: &[u64], replicas: &[u64]) -> Subset {
    let mut subset = Subset::new(config, own);
    for replica in replicas {
        subset.replica_joined(*replica);
    }
    for entry in entries {
        subset.entry_joined(*entry);
    }
    subset
}

fn names(kind: &str, count: usize) -> Vec<u64> {
    (0..count)
        .map(|index| rendezvous::identity(&format!("{kind}-{index}")))
        .collect()
}

/// With eight entries and nine replicas every entry uses every replica.
#[test]
fn few_entries_use_all_replicas() {
    let (entries, replicas) = (names("entry", 8), names("replica", 9));
    for entry in &entries {
        let subset = subset(Config::default(), *entry, &entries, &replicas);
        assert_eq!(subset.iter().count(), 9);
    }
}

proptest! {
    #![proptest_config(Proptest {
        cases: 48,
        rng_seed: RngSeed::Fixed(9),
        failure_persistence: None,
        ..Proptest::default()
    })]

    /// However entries and replicas join and leave, entries with the same knowledge compute the
    /// same assignment: each replica is served by at least the wanted number of entries, or by all
    /// if there are fewer.
    #[test]
    fn each_replica_is_served(
        wanted in 1_usize..6,
        size in 0_usize..30,
        counts in (1_usize..12, 0_usize..40),
        changes in proptest::collection::vec((any::<bool>(), any::<bool>(), 0_usize..40), 0..30),
    ) {
        let config = Config { entries_per_replica: wanted, target_size: size };
        let (all_entries, all_replicas) = (names("entry", 12), names("replica", 40));
        let mut entries = all_entries[..counts.0].to_vec();
        let mut replicas = all_replicas[..counts.1].to_vec();
        let mut subsets: Vec<Subset> = all_entries.iter().map(|own| subset(config, *own, &entries, &replicas)).collect();
        for (is_entry, joins, index) in changes {
            let (list, name) = match is_entry {
                true => (&mut entries, all_entries[index % 12]),
                false => (&mut replicas, all_replicas[index]),
            };
            list.retain(|item| *item != name);
            if joins {
                list.push(name);
            }
            for subset in &mut subsets {
                match (is_entry, joins) {
                    (true, true) => subset.entry_joined(name),
                    (true, false) => subset.entry_left(name),
                    (false, true) => subset.replica_joined(name),
                    (false, false) => subset.replica_left(name),
                }
            }
        }
        for replica in &replicas {
            let serving = all_entries.iter().zip(&subsets)
                .filter(|(entry, subset)| entries.contains(entry) && subset.contains(*replica))
                .count();
            prop_assert!(serving >= wanted.min(entries.len()));
            prop_assert!(size > 0 || serving == wanted.min(entries.len()));
        }
    }

    /// When an entry leaves, each of its replicas gets one new entry and no other pair changes.
    #[test]
    fn leaving_entry_moves_only_its_own_pairs(gone in 1_usize..20) {
        let (entries, replicas) = (names("entry", 20), names("replica", 100));
        for own in entries.iter().filter(|entry| **entry != entries[gone]) {
            let mut subset = subset(Config { entries_per_replica: 3, target_size: 0 }, *own, &entries, &replicas);
            let before: Vec<u64> = subset.iter().collect();
            subset.entry_left(entries[gone]);
            prop_assert!(before.iter().all(|replica| subset.contains(*replica)));
        }
    }
}
