//! Settings of [`crate::fair`].

/// How jobs are charged to accounts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Config {
    /// Whether to queue fairly; when off, jobs are served in order of arrival.
    pub enabled: bool,
    /// Cost of an output token in prompt tokens: a replica computes about ten thousand prompt
    /// tokens per second, or generates about eight hundred in a full batch.
    pub output_weight: u64,
    /// Weight of the newest answer in an account's mean output length.
    pub smoothing: f64,
}

impl Default for Config {
    fn default() -> Config {
        Config {
            enabled: true,
            output_weight: 12,
            smoothing: 0.1,
        }
    }
}
