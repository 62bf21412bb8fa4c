//! Settings of [`crate::subset`].

/// Size of subsets.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Minimum number of entries per replica: with two, the loss of an entry leaves no replica
    /// unserved. Load is even for callers spread by subset size; the most loaded replica carries
    /// 1.46 times the mean for callers spread evenly.
    pub entries_per_replica: usize,
    /// Average number of replicas in a subset, if there are as many: below it, more entries serve
    /// each replica.
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
