//! Settings of [`crate::size`].

/// Which jobs are long and how many slots they may hold.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Config {
    /// Off, there is one class.
    pub enabled: bool,
    /// A job is long from this many times the pool's mean cost on.
    pub long_factor: f64,
    /// Share of a pool's slots that long jobs may hold.
    pub pool_share: f64,
    /// Share of one replica's slots that long jobs may hold; at least one slot.
    pub replica_share: f64,
    /// Weight of the newest job in the mean cost.
    pub smoothing: f64,
}

impl Default for Config {
    fn default() -> Config {
        Config {
            enabled: true,
            long_factor: 4.0,
            pool_share: 0.5,
            replica_share: 0.5,
            smoothing: 0.01,
        }
    }
}
