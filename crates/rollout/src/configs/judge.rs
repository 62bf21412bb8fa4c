//! Settings of [`crate::judge`].

/// When a version is taken for bad, or for good.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Config {
    /// Chance to reject a version that answers like the old one, on one route.
    pub wrong_rejection: f64,
    /// Chance to accept, on one route, a version that spoils `effect` more of its answers than the old one.
    pub wrong_acceptance: f64,
    /// The same over all routes together.
    pub wrong_acceptance_over_all: f64,
    /// Share of bad answers, beyond the old version's, that is to be found.
    pub effect: f64,
    /// Share of bad answers that the old version is taken to have at least.
    pub min_share: f64,
    /// How much higher the new version's share may be by chance of its few and other replicas, as a ratio.
    pub tolerance: f64,
}

impl Default for Config {
    fn default() -> Config {
        Config {
            wrong_rejection: 1e-4,
            wrong_acceptance: 0.05,
            wrong_acceptance_over_all: 1e-3,
            effect: 0.2,
            min_share: 0.02,
            tolerance: 1.3,
        }
    }
}
