//! Settings of [`crate::subset`].

/// How many entries serve each replica.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Entries for each replica, at least: with two, the loss of an entry leaves none unserved, and
    /// the imbalance is 1.00 for callers spread by subset size and 1.46 for callers spread evenly,
    /// by the table "Subsets" in docs/MEASUREMENTS.md.
    pub entries_per_replica: usize,
    /// Replicas that a subset is to have on average, if there are so many: below that, more entries
    /// serve each replica. At full size two entries for each come to 29.
    pub target_size: usize,
}

impl Default for Config {
    fn default() -> Config {
        Config {
            entries_per_replica: 2,
            target_size: 24,
        }
    }
}
