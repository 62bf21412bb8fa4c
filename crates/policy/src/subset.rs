//! Selects the replicas an entry uses when there are too many for every entry to use all.
//!
//! Guards against full meshes such as 840 entries before 12,000 replicas: 10 million connections
//! and load reports, and entries that have a job on every thousandth replica know the load of none.
//! Each replica is served by the few entries that rank first for it in [`crate::rendezvous`] order,
//! and an entry's subset is the replicas that it serves. So no replica is left without an entry,
//! every entry computes the same assignment without coordination, and when an entry or a replica
//! leaves only its own pairs change. Callers are spread over entries by subset size (the weight in
//! the address answer), which compensates for subsets of unequal size.
//!
//! At that size an entry computes this for the replicas and entries of its own zone (about 706 and
//! 49), not of the region. A join or a leave costs one hash per replica or entry of the zone; a
//! decision costs nothing.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::configs::subset::Config;
use crate::rendezvous;

/// Subset of one entry; entries and replicas are identified by [`rendezvous::identity`].
#[derive(Debug)]
pub struct Subset {
    config: Config,
    own: u64,
    /// Number of entries that serve each replica, at least `config.entries_per_replica`. It changes
    /// by doubling and halving, and halves only once a quarter would do (hysteresis), so that it
    /// doesn't follow every replica that joins or leaves. Entries may differ in it; each replica is
    /// still served.
    entries_per_replica: usize,
    /// All known entries. Invariant: contains `own`.
    entries: BTreeSet<u64>,
    /// All replicas, with the lowest weight among the entries that serve them.
    replicas: BTreeMap<u64, u64>,
}

impl Subset {
    /// Creates the subset of the entry `own`, which knows no other entry at first.
    pub fn new(config: Config, own: u64) -> Subset {
        Subset {
            config,
            own,
            entries_per_replica: config.entries_per_replica.max(1),
            entries: BTreeSet::from([own]),
            replicas: BTreeMap::new(),
        }
    }

    /// Returns whether this entry uses the replica.
    pub fn contains(&self, replica: u64) -> bool {
        self.replicas
            .get(&replica)
            .is_some_and(|min_weight| rendezvous::weight(replica, self.own) >= *min_weight)
    }

    /// Returns the replicas that this entry uses.
    pub fn iter(&self) -> impl Iterator<Item = u64> {
        self.replicas
            .keys()
            .copied()
            .filter(|replica| self.contains(*replica))
    }

    /// Adds a replica.
    pub fn replica_joined(&mut self, replica: u64) {
        self.update(replica);
        self.adapt();
    }

    /// Removes a replica.
    pub fn replica_left(&mut self, replica: u64) {
        self.replicas.remove(&replica);
        self.adapt();
    }

    /// Adds an entry.
    pub fn entry_joined(&mut self, entry: u64) {
        if self.entries.insert(entry) {
            self.update_served_by(entry);
            self.adapt();
        }
    }

    /// Removes an entry other than this one.
    pub fn entry_left(&mut self, entry: u64) {
        if entry != self.own && self.entries.remove(&entry) {
            self.update_served_by(entry);
            self.adapt();
        }
    }

    /// Updates the replicas that `entry` serves or served.
    fn update_served_by(&mut self, entry: u64) {
        let affected: Vec<u64> = self
            .replicas
            .iter()
            .filter(|(replica, min_weight)| rendezvous::weight(**replica, entry) >= **min_weight)
            .map(|(replica, _)| *replica)
            .collect();
        for replica in affected {
            self.update(replica);
        }
    }

    /// Adapts the number of entries per replica to the numbers of both.
    fn adapt(&mut self) {
        let size = self.config.target_size * self.entries.len() / self.replicas.len().max(1);
        let previous = self.entries_per_replica;
        while self.entries_per_replica < size.min(self.entries.len()) {
            self.entries_per_replica *= 2;
        }
        while self.entries_per_replica / 4 >= size.max(1)
            && self.entries_per_replica / 2 >= self.config.entries_per_replica.max(1)
        {
            self.entries_per_replica /= 2;
        }
        if self.entries_per_replica == previous {
            return;
        }
        let replicas: Vec<u64> = self.replicas.keys().copied().collect();
        for replica in replicas {
            self.update(replica);
        }
    }

    fn update(&mut self, replica: u64) {
        let min_weight = self.min_weight(replica);
        self.replicas.insert(replica, min_weight);
    }

    /// Returns the lowest weight among the entries that serve the replica; 0 if all of them do.
    fn min_weight(&self, replica: u64) -> u64 {
        if self.entries.len() < self.entries_per_replica {
            return 0;
        }
        let weight = |entry: &u64| rendezvous::weight(replica, *entry);
        let mut weights: Vec<u64> = self.entries.iter().map(weight).collect();
        let index = weights.len() - self.entries_per_replica;
        let (_, min_weight, _) = weights.select_nth_unstable(index);
        *min_weight
    }
}
