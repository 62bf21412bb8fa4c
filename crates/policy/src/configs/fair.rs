//! Settings of [`crate::fair`].

/// How work is charged to accounts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Config {
    /// Off, jobs are served in order of arrival.
    pub enabled: bool,
    /// A generated token costs as much as this many prompt tokens: a replica computes about ten
    /// thousand prompt tokens a second, or in a full batch generates about eight hundred (the shape of
    /// the fake engine; measured ratio 12).
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
