//! Imbalance and movement by subset size, for 840 entries and 12,000 replicas.
//!
//! `cargo run --release -p policy --example subset`

use std::collections::BTreeSet;

use policy::rendezvous;
use rand::SeedableRng;
use rand::seq::SliceRandom;
use rand_pcg::Pcg32;

const ZONES: usize = 17;
const SEEDS: u64 = 10;

/// Replica indices by entry.
type Subsets = Vec<Vec<usize>>;

/// Selects subsets, given entries, replicas and the number of entries per replica.
type Strategy = fn(&[u64], &[u64], usize) -> Subsets;

fn main() {
    let zone = (840 / ZONES, 12_000 / ZONES);
    println!(
        "way              scope   entries/replica  subset mean  min  max  unserved  peak/mean even  by size  moved: entry  replica"
    );
    for (name, strategy) in [
        ("replica chooses", replica_chooses as Strategy),
        ("entry chooses", entry_chooses as Strategy),
        ("shuffled rounds", shuffled_rounds as Strategy),
    ] {
        for entries_per_replica in [1, 2, 4, 8, 16] {
            print_row(name, "zone", strategy, zone, entries_per_replica, SEEDS);
        }
        print_row(name, "region", strategy, (840, 12_000), 4, 1);
    }
}

/// Prints the means over the seeds.
fn print_row(
    name: &str,
    scope: &str,
    strategy: Strategy,
    size: (usize, usize),
    entries_per_replica: usize,
    seeds: u64,
) {
    let mut sums = [0.0; 8];
    for seed in 0..seeds {
        let row = measure(strategy, size, entries_per_replica, seed);
        for (sum, value) in sums.iter_mut().zip(row) {
            *sum += value / seeds as f64;
        }
    }
    let [mean, min, max, unserved, even, by_size, entry, replica] = sums;
    println!(
        "{name:16} {scope:7} {entries_per_replica:15}  {mean:11.1} {min:4.1} {max:4.1}  {unserved:8.1}  {even:14.2}  {by_size:7.2}  {entry:12.1}  {replica:7.1}"
    );
}

fn measure(
    strategy: Strategy,
    (entries, replicas): (usize, usize),
    entries_per_replica: usize,
    seed: u64,
) -> [f64; 8] {
    let names = |kind: &str, count: usize| -> Vec<u64> {
        let name = |index| rendezvous::identity(&format!("{kind}-{seed}-{index}"));
        (0..count).map(name).collect()
    };
    let (entries, replicas) = (names("entry", entries), names("replica", replicas));
    let subsets = strategy(&entries, &replicas, entries_per_replica);
    let sizes: Vec<f64> = subsets.iter().map(|subset| subset.len() as f64).collect();
    let total: f64 = sizes.iter().sum();
    let even = load(&subsets, replicas.len(), |size| 1.0 / size);
    let by_size = load(&subsets, replicas.len(), |_| 1.0);
    let unserved = by_size.iter().filter(|load| **load == 0.0).count();
    let fewer_entries = strategy(&entries[1..], &replicas, entries_per_replica);
    let fewer_replicas = strategy(&entries, &replicas[1..], entries_per_replica);
    let shifted: Subsets = fewer_replicas
        .iter()
        .map(|subset| subset.iter().map(|replica| replica + 1).collect())
        .collect();
    [
        total / sizes.len() as f64,
        sizes.iter().copied().fold(f64::INFINITY, f64::min),
        sizes.iter().copied().fold(0.0, f64::max),
        unserved as f64,
        peak(&even),
        peak(&by_size),
        moved(&subsets[1..], &fewer_entries),
        moved(&subsets, &shifted),
    ]
}

/// Each replica is served by the entries that rank first for it.
fn replica_chooses(entries: &[u64], replicas: &[u64], entries_per_replica: usize) -> Subsets {
    let mut subsets = vec![Vec::new(); entries.len()];
    for (index, replica) in replicas.iter().enumerate() {
        for entry in top_ranked(*replica, entries, entries_per_replica) {
            subsets[entry].push(index);
        }
    }
    subsets
}

/// Each entry uses the replicas that rank first for it.
fn entry_chooses(entries: &[u64], replicas: &[u64], entries_per_replica: usize) -> Subsets {
    let size = entries_per_replica * replicas.len() / entries.len();
    entries
        .iter()
        .map(|entry| top_ranked(*entry, replicas, size))
        .collect()
}

/// Deterministic subsetting as in "Site Reliability Engineering", chapter 20: entries are grouped
/// in rounds, and each round deals out all replicas from a shuffle of its own.
fn shuffled_rounds(entries: &[u64], replicas: &[u64], entries_per_replica: usize) -> Subsets {
    let size = entries_per_replica * replicas.len() / entries.len();
    let rounds = replicas.len() / size;
    let deal = |index: usize| {
        let mut order: Vec<usize> = (0..replicas.len()).collect();
        order.shuffle(&mut Pcg32::seed_from_u64((index / rounds) as u64));
        let start = index % rounds * size;
        order[start..start + size].to_vec()
    };
    (0..entries.len()).map(deal).collect()
}

/// Indices of the `count` nodes that rank first for `key`.
fn top_ranked(key: u64, nodes: &[u64], count: usize) -> Vec<usize> {
    let weight = |(index, node): (usize, &u64)| (rendezvous::weight(key, *node), index);
    let mut ranked: Vec<(u64, usize)> = nodes.iter().enumerate().map(weight).collect();
    ranked.sort_unstable_by(|one, other| other.cmp(one));
    ranked
        .into_iter()
        .take(count)
        .map(|(_, index)| index)
        .collect()
}

/// Returns the load by replica if an entry gives each of its replicas `part` of its subset's size.
fn load(subsets: &[Vec<usize>], replicas: usize, part: impl Fn(f64) -> f64) -> Vec<f64> {
    let mut loads = vec![0.0; replicas];
    for subset in subsets {
        for replica in subset {
            loads[*replica] += part(subset.len() as f64);
        }
    }
    loads
}

fn peak(loads: &[f64]) -> f64 {
    let mean = loads.iter().sum::<f64>() / loads.len() as f64;
    loads.iter().copied().fold(0.0, f64::max) / mean
}

/// Returns the number of connections that must be opened after a change.
fn moved(before: &[Vec<usize>], after: &[Vec<usize>]) -> f64 {
    let opened = |(before, after): (&Vec<usize>, &Vec<usize>)| {
        let before: BTreeSet<usize> = before.iter().copied().collect();
        after
            .iter()
            .filter(|replica| !before.contains(replica))
            .count()
    };
    before.iter().zip(after).map(opened).sum::<usize>() as f64
}
