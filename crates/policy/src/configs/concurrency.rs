//! Settings of [`crate::concurrency`].

use clock::Span;

/// How much of a replica one entry uses.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Entries that share the replica, this one included.
    pub entries: u32,
    /// How much of our own additions since a report we expect of each other entry as well, 0 to 1. By
    /// the table "Stale reports" in docs/MEASUREMENTS.md load is about equally even from a half on.
    pub herd: f64,
    /// Age at which a report has lost about two thirds of its weight.
    pub report_decay: Span,
    /// Weight of one new latency sample in the average.
    pub sample: f64,
    /// What remains of the limit after latency above the target. With +1 for each full round below
    /// it, limits of entries that share a replica become equal: Chiu and Jain, 1989.
    pub cut: f64,
    /// The limit isn't cut again before the last cut could show.
    pub pause: Span,
    /// Starts and ends remembered to correct reports; at least those of one report's age.
    pub history: usize,
}

impl Default for Config {
    fn default() -> Config {
        Config {
            entries: 8,
            herd: 0.75,
            report_decay: Span::from_seconds(5),
            sample: 0.1,
            cut: 0.8,
            pause: Span::from_seconds(1),
            history: 64,
        }
    }
}
