//! Settings of [`crate::leader`].

use clock::Span;

/// How a roll-out goes on in time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Config {
    /// Share of a service's requests that the canary replicas get.
    pub canary_share: f64,
    /// Most of one route's requests that it gets; routes with little traffic get more than the share.
    pub max_route_share: f64,
    /// Most of all requests that the canary replicas may ever get, and this many besides.
    pub max_exposure: f64,
    /// See [`Config::exposure`].
    pub exposure_allowance: u64,
    /// Time kept for moving all requests, before the order's time is up.
    pub move_reserve: Span,
    /// Time before the order's is up at which the canary phase ends, with a verdict or without.
    pub decision_reserve: Span,
    /// Part of the old version's slots that the new one must have before all requests are moved.
    pub min_capacity_ratio: f64,
    /// Time between two announcements while nothing changes.
    pub announcement_interval: Span,
}

impl Default for Config {
    fn default() -> Config {
        Config {
            canary_share: 0.07,
            max_route_share: 0.25,
            max_exposure: 0.085,
            exposure_allowance: 20,
            move_reserve: Span::from_millis(5_000),
            decision_reserve: Span::from_millis(3_000),
            min_capacity_ratio: 0.6,
            announcement_interval: Span::from_millis(700),
        }
    }
}
