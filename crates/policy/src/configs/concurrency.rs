//! Settings of [`crate::concurrency`].

use clock::Span;

/// Estimates and limits of the load on one replica.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Number of entries that share the replica, this one included.
    pub entries: u32,
    /// Jobs that each other entry is expected to have added since a report, as a fraction of this entry's
    /// additions, 0 to 1. Load is about equally even from 0.5 on.
    pub herd: f64,
    /// Age at which a report has lost about two thirds of its weight.
    pub report_decay: Span,
    /// Weight of one latency sample in the moving average.
    pub smoothing: f64,
    /// Factor applied to the limit when latency is above the target. With +1 for each full round below it,
    /// the limits of entries that share a replica converge to equal values (Chiu and Jain, 1989).
    pub decrease: f64,
    /// Minimum time between cuts, so that each takes effect before the next.
    pub cut_interval: Span,
    /// Number of starts and ends kept to correct reports; must cover the age of one report.
    pub max_history: usize,
}

impl Default for Config {
    fn default() -> Config {
        Config {
            entries: 8,
            herd: 0.75,
            report_decay: Span::from_seconds(5),
            smoothing: 0.1,
            decrease: 0.8,
            cut_interval: Span::from_seconds(1),
            max_history: 64,
        }
    }
}
