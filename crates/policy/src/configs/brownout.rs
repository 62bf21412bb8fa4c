//! Settings of [`crate::brownout`].

use clock::Span;

/// When and how much work is shed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Config {
    /// Whether to shed; when off, the queue alone decides.
    pub enabled: bool,
    /// How long one plan is in force.
    pub period: Span,
    /// Share of a job's slack that the queue's wait must take for shedding to begin.
    pub pressure: f64,
    /// Work to admit, relative to the observed drain rate.
    pub headroom: f64,
    /// Weight of the newest period in the offered rates, which averages over about 2.5 s. At a
    /// half, small accounts are thinned out for requests that happen to arrive together.
    pub smoothing: f64,
}

impl Default for Config {
    fn default() -> Config {
        Config {
            enabled: true,
            period: Span::from_millis(500),
            pressure: 0.25,
            headroom: 1.05,
            smoothing: 0.2,
        }
    }
}
