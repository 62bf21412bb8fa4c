//! Settings of [`crate::brownout`].

use clock::Span;

/// When and how much is shed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Config {
    /// Off, the queue alone decides.
    pub enabled: bool,
    /// How long one plan holds.
    pub period: Span,
    /// Shedding begins when the queue's wait takes this share of a job's slack.
    pub pressure: f64,
    /// Work let through, as a share of the measured drain rate.
    pub headroom: f64,
    /// Weight of the newest period in the offered rates: about 2.5 s. At a half, small accounts were
    /// thinned out for requests that happened to come together.
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
