//! Settings of [`crate::admission`].

/// How latency is predicted and whom that admits.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Config {
    /// Off, everything waits until it is served.
    pub enabled: bool,
    /// Most jobs waiting in one pool, whatever the prediction: 46 MB by the table "Slopes of a decision"
    /// of docs/MEASUREMENTS.md.
    pub max_waiting: usize,
    /// Weight of the newest observation in the running means: about the last twenty, which the slots of
    /// an entry end in two to three seconds.
    pub smoothing: f64,
    /// Share of the slack that the predicted wait may use; the rest is for slots that end late. The
    /// table "Patterns" holds at this figure; others weren't measured.
    pub wait_share: f64,
    /// A job that can't meet its target even on an idle replica gets this many times that time: refused
    /// for its size it would be refused for ever. Others weren't measured.
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
