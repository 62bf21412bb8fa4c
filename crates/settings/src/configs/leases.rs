//! Time limits of leases in the table service.

use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

/// Leases in the table service. `renew_interval_ms` + `margin_ms` must be less than `term_ms`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(default)]
pub struct Leases {
    /// How long a renewal holds, counted from before it was sent, milliseconds.
    #[schemars(range(min = 500, max = 600000))]
    pub term_ms: u64,
    /// How much longer others wait, against clocks that run unequally, milliseconds.
    #[schemars(range(min = 50, max = 600000))]
    pub margin_ms: u64,
    /// Time between two renewals, milliseconds.
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
