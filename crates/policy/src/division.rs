//! Divides the slots of replicas in whole numbers among more entries than a replica has slots.
//!
//! Load pattern: 73 entries in front of replicas of 16 slots. An equal share is less than one slot; rounded up to one,
//! the entries hand each replica up to 73 requests, and work queues inside the replicas, where no entry can refuse or
//! reorder it. Goodput at twice the capacity fell to a fifth.
//!
//! So each entry owns slots at some of the replicas. All pairs of replica and entry are taken in the order of their
//! rendezvous weight, and each gets a block of slots while the replica has one left and the entry has less than its
//! quota, which is the same for all. Every entry computes the same division from the same members and replicas, without
//! messages, whatever their order. Without the quota, by rank at each replica alone, an entry of 301 would own between
//! none and eight slots where three are its due.
//!
//! The remainder that isn't a whole block for each entry has no owner, which bounds the surplus while entries disagree
//! on the members. When a replica or an entry joins or leaves, its own pairs change and few others, as quotas allow.
//!
//! The cost is one hash for each pair and a sort of about [`SPARE_FACTOR`] times as many pairs as there are blocks; it is
//! paid when members or replicas change, and not for a decision.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use crate::rendezvous;

/// Pairs that are considered at first, as a multiple of the blocks. Nearly all blocks are assigned within four times as
/// many; the rest of the pairs matters only to entries that are below their quota then.
const SPARE_FACTOR: u64 = 4;
/// Key of the order in which entries get blocks when there are fewer blocks than entries.
const SCARCITY_KEY: u64 = 0x5ca6_c17e;

/// A replica whose slots are divided.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Site {
    /// Hash of its incarnation, [`rendezvous::identity`].
    pub replica: u64,
    /// Its slots.
    pub slots: u32,
}

/// Slots that each entry owns at each replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Division {
    owned: BTreeMap<(u64, u64), u32>,
}

/// Blocks that replicas and entries may still get.
struct Progress {
    sites: Vec<Site>,
    rooms: Vec<u32>,
    entries: Vec<u64>,
    quotas: Vec<u32>,
    owned: BTreeMap<(u64, u64), u32>,
}

impl Division {
    /// Divides the slots of the replicas among the entries in blocks of `block` slots.
    pub fn new(sites: &[Site], entries: &[u64], block: u32) -> Division {
        let mut progress = Progress::new(sites, entries, block);
        // Several rounds are needed only where replicas have more blocks than there are entries.
        while progress.assign_round(block) {}
        Division {
            owned: progress.owned,
        }
    }

    /// Returns how many of a replica's slots an entry owns.
    pub fn slots_of(&self, replica: u64, entry: u64) -> u32 {
        self.owned.get(&(replica, entry)).copied().unwrap_or(0)
    }
}

impl Progress {
    fn new(sites: &[Site], entries: &[u64], block: u32) -> Progress {
        let mut sites = sites.to_vec();
        sites.sort_unstable();
        sites.dedup_by_key(|site| site.replica);
        let mut entries = entries.to_vec();
        entries.sort_unstable();
        entries.dedup();
        let rooms: Vec<u32> = sites.iter().map(|site| site.slots / block.max(1)).collect();
        let blocks: u64 = rooms.iter().map(|room| u64::from(*room)).sum();
        let quota = blocks / (entries.len() as u64).max(1);
        let quotas = match u32::try_from(quota).unwrap_or(u32::MAX) {
            0 => scarce_quotas(&entries, blocks),
            quota => vec![quota; entries.len()],
        };
        Progress {
            sites,
            rooms,
            entries,
            quotas,
            owned: BTreeMap::new(),
        }
    }

    /// Assigns at most one block to each pair; returns whether any was assigned.
    fn assign_round(&mut self, block: u32) -> bool {
        let pairs = (self.sites.len() as u64 * self.entries.len() as u64).max(1);
        let blocks: u64 = self.rooms.iter().map(|room| u64::from(*room)).sum();
        let fraction = (blocks * SPARE_FACTOR) as f64 / pairs as f64;
        let threshold = (u64::MAX as f64 * (1.0 - fraction).max(0.0)) as u64;
        let first = self.assign(block, |weight| weight >= threshold);
        let second = self.assign(block, |weight| weight < threshold);
        first || second
    }

    /// Assigns a block to each pair within the given weights, in the order of weight, while quota and replica allow.
    fn assign(&mut self, block: u32, is_considered: impl Fn(u64) -> bool) -> bool {
        let mut ranked = Vec::new();
        let with_room = |index: &usize| self.rooms[*index] > 0;
        let sites: Vec<usize> = (0..self.sites.len()).filter(with_room).collect();
        for (entry, identity) in self.entries.iter().enumerate() {
            if self.quotas[entry] == 0 {
                continue;
            }
            for site in &sites {
                let weight = rendezvous::weight(*identity, self.sites[*site].replica);
                if is_considered(weight) {
                    ranked.push((Reverse(weight), *site, entry));
                }
            }
        }
        ranked.sort_unstable();
        let mut assigned = false;
        for (_, site, entry) in ranked {
            if self.rooms[site] == 0 || self.quotas[entry] == 0 {
                continue;
            }
            self.rooms[site] -= 1;
            self.quotas[entry] -= 1;
            let pair = (self.sites[site].replica, self.entries[entry]);
            *self.owned.entry(pair).or_default() += block;
            assigned = true;
        }
        assigned
    }
}

/// Returns a quota of one for the first `blocks` entries in an order that all agree on, and none for the others.
fn scarce_quotas(entries: &[u64], blocks: u64) -> Vec<u32> {
    let mut ranked: Vec<usize> = (0..entries.len()).collect();
    ranked.sort_by_key(|index| Reverse(rendezvous::weight(SCARCITY_KEY, entries[*index])));
    let mut quotas = vec![0; entries.len()];
    for index in ranked.into_iter().take(blocks as usize) {
        quotas[index] = 1;
    }
    quotas
}
