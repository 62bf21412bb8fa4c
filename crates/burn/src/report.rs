//! The burn report as data.
//!
//! Answers the question that operators have in an incident: who is being let down, how fast, and by
//! what. A rate over one window alone either cries at every blip (short) or goes on for an hour after
//! all is well (long); [`Row::urgency`] wants both, the multi-window rule of the SRE workbook.

use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

/// The burn report over all entries.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
pub struct Report {
    /// By deployment, then account.
    pub rows: Vec<Row>,
    /// Where data is missing.
    pub gaps: Vec<Gap>,
    /// Length of the short window, milliseconds.
    pub short_window_ms: u64,
    /// Length of the long window, milliseconds.
    pub long_window_ms: u64,
    /// Length of the period of the error budget, over which all sums go, milliseconds.
    pub period_ms: u64,
}

/// How one account fares with one deployment over the period.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
pub struct Row {
    /// The deployment.
    pub deployment: SmolStr,
    /// The account.
    pub account: SmolStr,
    /// What was promised.
    pub target: Target,
    /// Requests that ended.
    pub requests: u64,
    /// Those that met both targets.
    pub within: u64,
    /// Share of the error budget that is left; negative when overdrawn.
    pub budget_left: f64,
    /// Misses over the short window as a multiple of what the share allows.
    pub burn_short: f64,
    /// Misses over the long window as a multiple of what the share allows.
    pub burn_long: f64,
    /// Misses by cause.
    pub misses: Misses,
    /// Time to the first token, over the running hour and the one before.
    pub first_token_ms: Quantiles,
    /// Worst time between two tokens of a request, over the same hours.
    pub worst_gap_ms: Quantiles,
    /// Cost of all requests, millionths of the currency.
    pub cost_micros: u64,
    /// Cost for each request that met both targets, millionths of the currency.
    pub cost_per_within_micros: f64,
    /// Tokens that were computed more than once.
    pub recomputed_tokens: u64,
    /// The course over the period by hour, the oldest first; hours without a request are left out.
    pub points: Vec<Point>,
}

/// How soon someone should look.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, JsonSchema,
)]
#[serde(rename_all = "kebab-case")]
pub enum Urgency {
    /// The budget lasts.
    Calm,
    /// A tenth of the day's budget goes in an hour at this rate: look today.
    Watch,
    /// A quarter of the day's budget goes in an hour at this rate: look now.
    Page,
}

/// Burn rate at which a quarter of the day's budget goes in an hour: 24 / 4.
const PAGE_RATE: f64 = 6.0;
/// Burn rate at which a tenth of the day's budget goes in an hour: 24 / 10.
const WATCH_RATE: f64 = 2.4;

impl Row {
    /// How soon someone should look: both windows must burn. The long one shows that it matters, the
    /// short one that it still goes on.
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

    /// Share of requests that met both targets, in thousandths; all of none.
    pub fn share_per_mille(&self) -> f64 {
        if self.requests == 0 {
            return 1_000.0;
        }
        self.within as f64 * 1_000.0 / self.requests as f64
    }
}

/// What one deployment promised one account.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Target {
    /// Target for the time to the first token, milliseconds.
    pub first_token_ms: u64,
    /// Target for the time between two tokens, milliseconds.
    pub token_gap_ms: u64,
    /// Share of requests that must meet both, in thousandths.
    pub share_per_mille: u32,
}

/// Misses by cause.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Misses {
    /// The request waited too long before it was started.
    pub waiting: u64,
    /// The backend server was slow.
    pub slow_backend: u64,
    /// An instance was reclaimed under it.
    pub reclaim: u64,
    /// It was refused.
    pub refused: u64,
    /// The platform's store was down or slow.
    pub store: u64,
    /// Anything else.
    pub other: u64,
}

/// Three quantiles.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Quantiles {
    /// 50 in 100 are at or below this.
    pub p50: u64,
    /// 95 in 100 are at or below this.
    pub p95: u64,
    /// 99 in 100 are at or below this.
    pub p99: u64,
}

/// One slice of time of the course.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Point {
    /// How long ago it ended, milliseconds.
    pub ago_ms: u64,
    /// Requests that ended in it.
    pub requests: u64,
    /// Those that met both targets.
    pub within: u64,
}

/// Data that is missing from the report.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Gap {
    /// The entry whose data is missing.
    pub entry: SmolStr,
    /// How long ago the gap began, milliseconds; 0 if its data is there but can't be read now.
    pub from_ago_ms: u64,
    /// How long ago it ended, milliseconds; 0 if it lasts.
    pub to_ago_ms: u64,
}
