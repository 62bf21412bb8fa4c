//! Settings of [`crate::leader`].

use clock::Span;

/// Shares, reserves of time and capacity of a roll-out.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Config {
    /// Share of a service's requests that is sent to the canary replicas.
    pub canary_share: f64,
    /// Most of one route's requests sent to them; routes with little traffic send more than `canary_share`.
    pub max_route_share: f64,
    /// Most of all requests that may ever be sent to the canary replicas, besides `exposure_allowance`.
    pub max_exposure: f64,
    /// Number of requests allowed beyond [`Config::max_exposure`].
    pub exposure_allowance: u64,
    /// Time before the deadline that is reserved for moving all requests.
    pub move_reserve: Span,
    /// Time before the deadline at which the canary phase ends, with or without a verdict.
    pub decision_reserve: Span,
    /// Ratio of the new version's slots to the old one's that is needed before all requests are moved.
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
