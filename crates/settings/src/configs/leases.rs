//! Settings of leases in the table service.

use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

/// Leases in the table service. `renew_interval_ms` + `margin_ms` must be less than `term_ms`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(default)]
pub struct Leases {
    /// Time for which a renewal is valid, counted from before it was sent, in milliseconds.
    #[schemars(range(min = 500, max = 600000))]
    pub term_ms: u64,
    /// Additional time that other entries wait, to allow for clock drift, in milliseconds.
    #[schemars(range(min = 50, max = 600000))]
    pub margin_ms: u64,
    /// Interval between renewals, in milliseconds.
    #[schemars(range(min = 100, max = 600000))]
    pub renew_interval_ms: u64,
}

impl Default for Leases {
    fn default() -> Self {
        Leases {
            term_ms: 9_000,
            margin_ms: 1_000,
            renew_interval_ms: 3_000,
        }
    }
}
