//! Settings of [`crate::judge`].

/// Thresholds for rejecting or accepting a version.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Config {
    /// Probability of rejecting, on one route, a version that answers like the old one.
    pub wrong_rejection: f64,
    /// Probability of accepting, on one route, a version with `effect` more bad answers than the old one.
    pub wrong_acceptance: f64,
    /// Probability of accepting such a version over all routes together.
    pub wrong_acceptance_over_all: f64,
    /// Share of bad answers, above the old version's, that the test must detect.
    pub effect: f64,
    /// Least share of bad answers assumed of the old version.
    pub min_share: f64,
    /// Ratio by which the new version's share may be higher by chance, as its replicas are few and other
    /// ones.
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
