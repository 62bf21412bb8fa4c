//! Totals and latencies of one account with one deployment.

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use crate::count::Count;
use crate::latency::Latency;
use crate::report::Target;
use crate::sample::Outcome;
use crate::sample::Sample;
use crate::slices::Slices;

/// Width of a short slice, milliseconds.
pub const SHORT_SLICE_MS: u64 = 5 * 60 * 1_000;
/// Width of a long slice, milliseconds.
pub const LONG_SLICE_MS: u64 = 60 * 60 * 1_000;
/// Short slices retained: the long burn-rate window of an hour and the current slice.
const SHORT_SLICES: u64 = 13;
/// Long slices retained: the period of a day and the current slice.
const LONG_SLICES: u64 = 25;
/// Hours of latencies retained: the last complete hour and the current one.
const LATENCY_HOURS: u64 = 2;

/// Totals and latencies of one account with one deployment, bounded by the number of slices retained.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Series {
    /// The deployment.
    pub deployment: SmolStr,
    /// The account.
    pub account: SmolStr,
    /// The newest target. Each request is evaluated against the target in effect when it ended.
    pub target: Target,
    /// When the target was last in effect, milliseconds since 1970; in a merge the newest target wins.
    pub target_unix_ms: u64,
    /// Totals by five minutes, for burn rates.
    pub short: Slices,
    /// Totals by hour, for the error budget.
    pub long: Slices,
    /// Time to the first token.
    pub first_token: Latency,
    /// Longest time between two tokens of a request.
    pub worst_gap: Latency,
}

impl Series {
    /// Creates an empty series.
    pub fn new(deployment: SmolStr, account: SmolStr) -> Series {
        Series {
            deployment,
            account,
            ..Series::default()
        }
    }

    /// Sets the target that is in effect at a time.
    pub fn set_target(&mut self, unix_ms: u64, target: Target) {
        self.target = target;
        self.target_unix_ms = unix_ms;
    }

    /// Records an ended request.
    pub fn record(&mut self, unix_ms: u64, sample: &Sample) {
        let count = self.evaluate(sample);
        self.short.add(unix_ms / SHORT_SLICE_MS, &count);
        self.long.add(unix_ms / LONG_SLICE_MS, &count);
        let hour = unix_ms / LONG_SLICE_MS;
        if sample.outcome != Outcome::Answered {
            return;
        }
        if let Some(first_token) = sample.first_token {
            self.first_token.record(hour, first_token.as_millis());
            self.worst_gap.record(hour, sample.worst_gap.as_millis());
        }
    }

    /// Merges the series of another entry or incarnation for the same account and deployment.
    pub fn merge(&mut self, other: &Series) {
        if other.target_unix_ms > self.target_unix_ms {
            self.set_target(other.target_unix_ms, other.target);
        }
        self.short.merge(&other.short);
        self.long.merge(&other.long);
        self.first_token.merge(&other.first_token);
        self.worst_gap.merge(&other.worst_gap);
    }

    /// Drops slices and latencies that are older than every window.
    pub fn trim(&mut self, unix_ms: u64) {
        let short_slice = unix_ms / SHORT_SLICE_MS;
        let long_slice = unix_ms / LONG_SLICE_MS;
        self.short
            .trim((short_slice + 1).saturating_sub(SHORT_SLICES));
        self.long.trim((long_slice + 1).saturating_sub(LONG_SLICES));
        let first_hour = (long_slice + 1).saturating_sub(LATENCY_HOURS);
        self.first_token.trim(first_hour);
        self.worst_gap.trim(first_hour);
    }

    /// Returns whether no window holds any data.
    pub fn is_empty(&self) -> bool {
        self.short.is_empty() && self.long.is_empty()
    }

    /// Returns what a request adds to the totals.
    fn evaluate(&self, sample: &Sample) -> Count {
        let mut count = Count {
            cost_micros: sample.cost_micros,
            recomputed: sample.recomputed,
            ..Count::default()
        };
        if sample.outcome == Outcome::EndedByCaller {
            return count;
        }
        count.requests = 1;
        if self.is_within(sample) {
            count.within = 1;
        } else {
            count.count_miss(sample.cause);
        }
        count
    }

    /// Returns whether the request met both targets.
    fn is_within(&self, sample: &Sample) -> bool {
        let Some(first_token) = sample.first_token else {
            return false;
        };
        sample.outcome == Outcome::Answered
            && first_token.as_millis() <= self.target.first_token_ms
            && sample.worst_gap.as_millis() <= self.target.token_gap_ms
    }
}
