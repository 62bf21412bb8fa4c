//! Settings of [`crate::plan`].

use clock::Span;

/// When and how offered work is cut to the capacity.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Config {
    /// Whether to cut it; when off, each entry's own admission decides.
    pub enabled: bool,
    /// Highest utilization of the replicas at which prompts still start in time.
    pub max_utilization: f64,
    /// Occupancy of the replicas' slots from which requests are taken to run late. A wrong estimate of the
    /// capacity must cause no refusal while slots are free.
    pub min_occupancy: f64,
    /// Age of the counts up to which a plan is applied.
    pub max_age: Span,
    /// Part of the mean share of the levels that a level keeps although more urgent ones ask for everything.
    pub floor: f64,
    /// Time without a request of a level after which its next one is admitted.
    pub idle_time: Span,
}

impl Default for Config {
    fn default() -> Config {
        Config {
            enabled: true,
            max_utilization: 0.85,
            min_occupancy: 0.6,
            max_age: Span::from_millis(1_500),
            floor: 0.25,
            idle_time: Span::from_seconds(1),
        }
    }
}
