//! Settings of [`crate::admission`].

/// How latency is predicted, and what is admitted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Config {
    /// Whether to admit by prediction; when off, every job waits until it is served.
    pub enabled: bool,
    /// Maximum number of jobs waiting in one pool, whatever the prediction; they take 46 MB.
    pub max_waiting: usize,
    /// Weight of the newest observation in the means, which cover about the last twenty: the slots
    /// of an entry end as many in two to three seconds.
    pub smoothing: f64,
    /// Share of the slack that the predicted wait may use; the rest is for slots that become free
    /// late.
    pub wait_share: f64,
    /// Multiple of an idle replica's time granted to a job that can't meet its target even there:
    /// refused for its size, it would always be refused.
    pub stretch: f64,
}

impl Default for Config {
    fn default() -> Config {
        Config {
            enabled: true,
            max_waiting: 100_000,
            smoothing: 0.05,
            wait_share: 0.8,
            stretch: 3.0,
        }
    }
}
