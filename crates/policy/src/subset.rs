//! Which replicas an entry uses, when there are too many for every entry to use them all.
//!
//! *Pattern*: 840 entries before 12,000 replicas. *Without it*: 10 million connections and load
//! reports, and entries that each have a job at every thousandth replica know the load of none.
//! *How*: each replica is served by the few entries that rank first for it in
//! [`crate::rendezvous`] order; an entry's subset is what chose it. So no replica is left without
//! an entry, every entry computes the same untold, and when an entry or a replica goes only its own
//! pairs move. Callers are spread over entries by subset size (the address answer's weight), which
//! makes up for subsets of unequal size.
//!
//! At full size an entry computes this for the replicas and entries of its own zone (about 706 and
//! 49), not for the region: no entry knows all. Joining or leaving costs one hash for each replica
//! or entry of the zone; a decision costs nothing.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::configs::subset::Config;
use crate::rendezvous;

/// The subset of one entry; entries and replicas are named by [`rendezvous::identity`].
#[derive(Debug)]
pub struct Subset {
    config: Config,
    own: u64,
    /// Entries that serve each replica, from `config.entries` on; it changes by doubling and
    /// halving, and halves only once a quarter would do, so that it doesn't follow every replica
    /// that comes and goes. Entries may differ in it for that: each replica is served still.
    wanted: usize,
    /// Always holds `own`.
    entries: BTreeSet<u64>,
    /// All replicas, with the least weight that an entry serving it has.
    replicas: BTreeMap<u64, u64>,
}

impl Subset {
    /// The subset of the entry `own`, which is alone at first.
    pub fn new(config: Config, own: u64) -> Subset {
        Subset {
            config,
            own,
            wanted: config.entries_per_replica.max(1),
            entries: BTreeSet::from([own]),
            replicas: BTreeMap::new(),
        }
    }

    /// Whether this entry uses the replica.
    pub fn contains(&self, replica: u64) -> bool {
        self.replicas
            .get(&replica)
            .is_some_and(|least| rendezvous::weight(replica, self.own) >= *least)
    }

    /// The replicas that this entry uses.
    pub fn iter(&self) -> impl Iterator<Item = u64> {
        self.replicas
            .keys()
            .copied()
            .filter(|replica| self.contains(*replica))
    }

    /// A replica appeared.
    pub fn replica_joined(&mut self, replica: u64) {
        self.rank(replica);
        self.adapt();
    }

    /// A replica is gone.
    pub fn replica_left(&mut self, replica: u64) {
        self.replicas.remove(&replica);
        self.adapt();
    }

    /// An entry appeared.
    pub fn entry_joined(&mut self, entry: u64) {
        if self.entries.insert(entry) {
            self.rank_again(entry);
            self.adapt();
        }
    }

    /// An entry is gone; this one itself can't be.
    pub fn entry_left(&mut self, entry: u64) {
        if entry != self.own && self.entries.remove(&entry) {
            self.rank_again(entry);
            self.adapt();
        }
    }

    /// Renews the replicas that `entry` serves or served.
    fn rank_again(&mut self, entry: u64) {
        let touched: Vec<u64> = self
            .replicas
            .iter()
            .filter(|(replica, least)| rendezvous::weight(**replica, entry) >= **least)
            .map(|(replica, _)| *replica)
            .collect();
        for replica in touched {
            self.rank(replica);
        }
    }

    /// Adapts how many entries serve each replica to the numbers of both.
    fn adapt(&mut self) {
        let size = self.config.target_size * self.entries.len() / self.replicas.len().max(1);
        let before = self.wanted;
        while self.wanted < size.min(self.entries.len()) {
            self.wanted *= 2;
        }
        while self.wanted / 4 >= size.max(1)
            && self.wanted / 2 >= self.config.entries_per_replica.max(1)
        {
            self.wanted /= 2;
        }
        if self.wanted == before {
            return;
        }
        let replicas: Vec<u64> = self.replicas.keys().copied().collect();
        for replica in replicas {
            self.rank(replica);
        }
    }

    fn rank(&mut self, replica: u64) {
        let least = self.least(replica);
        self.replicas.insert(replica, least);
    }

    /// The least weight among the entries that serve the replica; 0 if all of them do.
    fn least(&self, replica: u64) -> u64 {
        if self.entries.len() < self.wanted {
            return 0;
        }
        let weight = |entry: &u64| rendezvous::weight(replica, *entry);
        let mut weights: Vec<u64> = self.entries.iter().map(weight).collect();
        let place = weights.len() - self.wanted;
        let (_, least, _) = weights.select_nth_unstable(place);
        *least
    }
}
