//! The data of the burn report.
//!
//! Shows operators in an incident which accounts miss their objective, how fast the error budget burns, and
//! why. An alert on a short window alone fires at every blip, and one on a long window alone keeps firing
//! for an hour after recovery. [`Row::urgency`] requires both, the multi-window rule of the SRE workbook.

use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

/// The burn report over all entries.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
pub struct Report {
    /// By deployment, then account.
    pub rows: Vec<Row>,
    /// Gaps in the data.
    pub gaps: Vec<Gap>,
    /// Length of the short window, milliseconds.
    pub short_window_ms: u64,
    /// Length of the long window, milliseconds.
    pub long_window_ms: u64,
    /// Length of the period of the error budget, over which all totals are taken, milliseconds.
    pub period_ms: u64,
}

/// The service that one account received from one deployment over the period.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
pub struct Row {
    /// The deployment.
    pub deployment: SmolStr,
    /// The account.
    pub account: SmolStr,
    /// The service-level target.
    pub target: Target,
    /// Requests that ended.
    pub requests: u64,
    /// Requests that met both targets.
    pub within: u64,
    /// Remaining share of the error budget; negative if overspent.
    pub budget_left: f64,
    /// Burn rate over the short window: misses as a multiple of what the share allows.
    pub burn_short: f64,
    /// Burn rate over the long window: misses as a multiple of what the share allows.
    pub burn_long: f64,
    /// Misses by cause.
    pub misses: Misses,
    /// Time to the first token, over the current hour and the previous one.
    pub first_token_ms: Quantiles,
    /// Longest time between two tokens of a request, over the same hours.
    pub worst_gap_ms: Quantiles,
    /// Cost of all requests, millionths of the currency.
    pub cost_micros: u64,
    /// Cost per request that met both targets, millionths of the currency.
    pub cost_per_within_micros: f64,
    /// Tokens that were recomputed.
    pub recomputed_tokens: u64,
    /// Totals by hour over the period, the oldest first; hours without a request are omitted.
    pub points: Vec<Point>,
}

/// How urgently an operator should respond.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, JsonSchema,
)]
#[serde(rename_all = "kebab-case")]
pub enum Urgency {
    /// The error budget lasts.
    Calm,
    /// At this rate a tenth of the day's budget is spent in an hour: respond today.
    Watch,
    /// At this rate a quarter of the day's budget is spent in an hour: respond now.
    Page,
}

/// Burn rate at which a quarter of the day's budget is spent in an hour: 24 / 4.
const PAGE_RATE: f64 = 6.0;
/// Burn rate at which a tenth of the day's budget is spent in an hour: 24 / 10.
const WATCH_RATE: f64 = 2.4;

impl Row {
    /// Returns the urgency, for which both windows must burn: the long one shows that the problem is
    /// significant, the short one that it persists.
    pub fn urgency(&self) -> Urgency {
        let rate = self.burn_short.min(self.burn_long);
        if rate >= PAGE_RATE {
            Urgency::Page
        } else if rate >= WATCH_RATE {
            Urgency::Watch
        } else {
            Urgency::Calm
        }
    }

    /// Returns the share of requests that met both targets, in thousandths; 1000 without requests.
    pub fn share_per_mille(&self) -> f64 {
        if self.requests == 0 {
            return 1_000.0;
        }
        self.within as f64 * 1_000.0 / self.requests as f64
    }
}

/// The service-level target of one deployment for one account.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Target {
    /// Target for the time to the first token, milliseconds.
    pub first_token_ms: u64,
    /// Target for the time between two tokens, milliseconds.
    pub token_gap_ms: u64,
    /// Share of requests that must meet both targets, in thousandths.
    pub share_per_mille: u32,
}

/// Misses by cause.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Misses {
    /// The request waited too long before it started.
    pub waiting: u64,
    /// The backend server was slow.
    pub slow_backend: u64,
    /// An instance was reclaimed during the request.
    pub reclaim: u64,
    /// The request was refused.
    pub refused: u64,
    /// The platform's store was unavailable or slow.
    pub store: u64,
    /// Any other cause.
    pub other: u64,
}

/// Three quantiles.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Quantiles {
    /// The median.
    pub p50: u64,
    /// The 95th percentile.
    pub p95: u64,
    /// The 99th percentile.
    pub p99: u64,
}

/// Totals of one slice of time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Point {
    /// Time since the slice ended, milliseconds.
    pub ago_ms: u64,
    /// Requests that ended in the slice.
    pub requests: u64,
    /// Requests that met both targets.
    pub within: u64,
}

/// A span for which an entry's data is missing from the report.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Gap {
    /// The entry whose data is missing.
    pub entry: SmolStr,
    /// Time since the gap began, milliseconds; 0 if the data exists but can't be read now.
    pub from_ago_ms: u64,
    /// Time since the gap ended, milliseconds; 0 if it continues.
    pub to_ago_ms: u64,
}
