//! Settings of [`crate::lead`].

use clock::Span;

/// How a roll-out goes on in time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Config {
    /// Share of a service's requests that the canary replicas get.
    pub share: f64,
    /// Most of one route's requests that it gets; routes with little traffic get more than the share.
    pub route_share: f64,
    /// Most of all requests that the canary replicas may ever get, and this many besides.
    pub exposure: f64,
    /// See [`Config::exposure`].
    pub exposure_allowance: u64,
    /// Time kept for moving all requests, before the order's time is up.
    pub move_time: Span,
    /// Time before the order's is up at which the canary phase ends, with a verdict or without.
    pub last_call: Span,
    /// Part of the old version's slots that the new one must have before all requests are moved.
    pub room: f64,
    /// Time between two announcements while nothing changes.
    pub repeat: Span,
}

impl Default for Config {
    fn default() -> Config {
        Config {
            share: 0.07,
            route_share: 0.25,
            exposure: 0.085,
            exposure_allowance: 20,
            move_time: Span::from_millis(5_000),
            last_call: Span::from_millis(3_000),
            room: 0.6,
            repeat: Span::from_millis(700),
        }
    }
}
