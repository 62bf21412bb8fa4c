//! Settings of [`crate::size`].

/// Which jobs are long.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Config {
    /// Off, there is one class.
    pub enabled: bool,
    /// A job is long from this many times the pool's mean cost on.
    pub long_factor: f64,
    /// Part of the work that long jobs must make up before replicas are set apart for them: one in a
    /// hundred is less than a replica of the smallest pool that has spare ones.
    pub min_share: f64,
    /// Weight of the newest job in the means: about the last hundred arrivals.
    pub smoothing: f64,
}

impl Default for Config {
    fn default() -> Config {
        Config {
            enabled: true,
            long_factor: 4.0,
            min_share: 0.01,
            smoothing: 0.01,
        }
    }
}
