//! Rendezvous hashing: every entry ranks the same nodes for a key in the same order, without
//! coordination.
//!
//! Without it entries would send equal keys to different replicas: each prefix would be computed
//! several times, and copies of one killer request would reach several replicas. When a node
//! leaves, only the keys that ranked it first move (Thaler and Ravishankar, 1998).

use std::cmp::Ordering;
use std::cmp::Reverse;

use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Returns a hash of a name that is the same in every process.
pub fn identity(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}

/// Returns whether `node` is among the first `count` of `nodes` in the order of `key`.
pub fn is_among_first(key: u64, nodes: &[u64], count: usize, node: u64) -> bool {
    let mut ranked = nodes.to_vec();
    ranked.sort_by_key(|other| Reverse(weight(key, *other)));
    ranked.iter().take(count).any(|other| *other == node)
}

/// Returns the weight of `node` for `key`; the node with the highest weight ranks first.
pub fn weight(key: u64, node: u64) -> u64 {
    xxh3_64_with_seed(&node.to_le_bytes(), key)
}

/// Returns the first and the second choice of `key` among `nodes`, each given with its identity.
pub fn top_two<T: Copy>(key: u64, nodes: impl Iterator<Item = (T, u64)>) -> (Option<T>, Option<T>) {
    let mut first: Option<(u64, T)> = None;
    let mut second: Option<(u64, T)> = None;
    for (node, identity) in nodes {
        let weight = weight(key, identity);
        if first.is_none_or(|(best, _)| weight > best) {
            second = first;
            first = Some((weight, node));
        } else if second.is_none_or(|(best, _)| weight > best) {
            second = Some((weight, node));
        }
    }
    (first.map(|(_, node)| node), second.map(|(_, node)| node))
}

/// A node that ranks first for a part of the keys in proportion to its share.
#[derive(Clone, Copy, Debug)]
struct Ranked {
    hash: u64,
    share: f64,
}

impl Ranked {
    /// Returns `-ln(u) / share` for the hash as a number `u` between 0 and 1; the lowest ranks first.
    fn score(self) -> f64 {
        const HALF: f64 = 0.5;
        let unit = (self.hash as f64 + HALF) / u64::MAX as f64;
        -unit.min(1.0).ln() / self.share
    }

    /// Returns the order of two nodes, the one that ranks first being less. The hash decides between equal shares, so
    /// that rounding can't change the order of [`top_two`].
    fn order(self, other: Ranked) -> Ordering {
        let by_hash = other.hash.cmp(&self.hash);
        match self.share == other.share {
            true => by_hash,
            false => self.score().total_cmp(&other.score()).then(by_hash),
        }
    }
}

/// Returns the first and the second choice of `key` among `nodes`, each given with its identity and its share of the
/// keys. With equal shares they are those of [`top_two`]; a change of one share only moves keys from or to its node.
pub fn top_two_weighted<T: Copy>(
    key: u64,
    nodes: impl Iterator<Item = (T, u64, f64)>,
) -> (Option<T>, Option<T>) {
    let mut first: Option<(Ranked, T)> = None;
    let mut second: Option<(Ranked, T)> = None;
    for (node, identity, share) in nodes {
        let ranked = Ranked {
            hash: weight(key, identity),
            share,
        };
        let precedes = |other: &Option<(Ranked, T)>| {
            other.is_none_or(|(other, _)| ranked.order(other) == Ordering::Less)
        };
        if precedes(&first) {
            second = first;
            first = Some((ranked, node));
        } else if precedes(&second) {
            second = Some((ranked, node));
        }
    }
    (first.map(|(_, node)| node), second.map(|(_, node)| node))
}
