//! Settings of [`crate::size`].

/// Thresholds for long jobs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Config {
    /// Whether jobs are classified; when off, there is one class.
    pub enabled: bool,
    /// Multiple of the pool's mean cost from which a job is long.
    pub long_factor: f64,
    /// Share of the work that long jobs must make up before replicas are set apart for them: one in
    /// a hundred is less than a replica of the smallest pool that has spare ones.
    pub min_share: f64,
    /// Weight of the newest job in the means, which cover about the last hundred arrivals.
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
