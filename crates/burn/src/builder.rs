//! Builds a report from the summaries of all entries.

use std::collections::BTreeMap;

use smol_str::SmolStr;

use crate::count::Count;
use crate::report::Gap;
use crate::report::Point;
use crate::report::Report;
use crate::report::Row;
use crate::report::Target;
use crate::series::LONG_SLICE_MS;
use crate::series::SHORT_SLICE_MS;
use crate::series::Series;
use crate::summary;
use crate::summary::Summary;

/// The short window: the current slice of five minutes and the previous one.
const SHORT_WINDOW_MS: u64 = 2 * SHORT_SLICE_MS;
/// The long window: an hour.
const LONG_WINDOW_MS: u64 = 60 * 60 * 1_000;
/// The period of the error budget: a day.
const PERIOD_MS: u64 = 24 * 60 * 60 * 1_000;
/// How long a summary may be overdue before its entry counts as a gap. Tolerates a slow store and clocks
/// that differ by some seconds.
const OVERDUE_MS: u64 = 90_000;

impl Report {
    /// Builds the report as of a time, in milliseconds since 1970, from the summaries in the store.
    ///
    /// For each incarnation only the latest summary counts. The order of the list is irrelevant.
    pub fn from_summaries(unix_ms: u64, summaries: Vec<Summary>) -> Report {
        let summaries = summary::latest_by_incarnation(summaries);
        let mut merged: BTreeMap<(SmolStr, SmolStr), Series> = BTreeMap::new();
        for series in summaries.iter().flat_map(|summary| &summary.series) {
            let pair = (series.deployment.clone(), series.account.clone());
            let sum = merged
                .entry(pair.clone())
                .or_insert_with(|| Series::new(pair.0, pair.1));
            sum.merge(series);
        }
        let rows = merged.values().map(|series| build_row(unix_ms, series));
        Report {
            rows: rows
                .filter(|row| row.requests > 0 || row.cost_micros > 0)
                .collect(),
            gaps: find_gaps(unix_ms, &summaries),
            short_window_ms: SHORT_WINDOW_MS,
            long_window_ms: LONG_WINDOW_MS,
            period_ms: PERIOD_MS,
        }
    }

    /// Keeps only the rows of one deployment.
    pub fn for_deployment(mut self, deployment: &str) -> Report {
        self.rows.retain(|row| row.deployment == deployment);
        self
    }
}

/// Builds the row of one account with one deployment.
fn build_row(unix_ms: u64, series: &Series) -> Row {
    let period = series
        .long
        .sum_since(first_slice(unix_ms, PERIOD_MS, LONG_SLICE_MS));
    let short = series
        .short
        .sum_since(first_slice(unix_ms, SHORT_WINDOW_MS, SHORT_SLICE_MS));
    let long = series
        .short
        .sum_since(first_slice(unix_ms, LONG_WINDOW_MS, SHORT_SLICE_MS));
    let first_latency_hour = first_slice(unix_ms, 2 * LONG_SLICE_MS, LONG_SLICE_MS);
    Row {
        deployment: series.deployment.clone(),
        account: series.account.clone(),
        target: series.target,
        requests: period.requests,
        within: period.within,
        budget_left: 1.0 - burn_rate(&period, series.target),
        burn_short: burn_rate(&short, series.target),
        burn_long: burn_rate(&long, series.target),
        misses: period.misses,
        first_token_ms: series.first_token.quantiles_since(first_latency_hour),
        worst_gap_ms: series.worst_gap.quantiles_since(first_latency_hour),
        cost_micros: period.cost_micros,
        cost_per_within_micros: ratio(period.cost_micros, period.within),
        recomputed_tokens: period.recomputed,
        points: hourly_points(unix_ms, series),
    }
}

/// Returns the first slice of a window that ends with the current slice.
fn first_slice(unix_ms: u64, window_ms: u64, slice_ms: u64) -> u64 {
    (unix_ms / slice_ms + 1).saturating_sub(window_ms / slice_ms)
}

/// Returns the burn rate: misses as a multiple of the allowed share; at 1 the budget lasts the period.
fn burn_rate(count: &Count, target: Target) -> f64 {
    let allowed_per_mille = 1_000_u32.saturating_sub(target.share_per_mille);
    let missed_per_mille = ratio(count.missed() * 1_000, count.requests);
    if missed_per_mille == 0.0 {
        return 0.0;
    }
    missed_per_mille / f64::from(allowed_per_mille.max(1))
}

/// Returns a quotient, or 0 if the divisor is 0.
fn ratio(part: u64, whole: u64) -> f64 {
    if whole == 0 {
        0.0
    } else {
        part as f64 / whole as f64
    }
}

/// Returns the totals of each hour of the period.
fn hourly_points(unix_ms: u64, series: &Series) -> Vec<Point> {
    let first = first_slice(unix_ms, PERIOD_MS, LONG_SLICE_MS);
    let point = |(number, count): (u64, &Count)| Point {
        ago_ms: unix_ms.saturating_sub((number + 1) * LONG_SLICE_MS),
        requests: count.requests,
        within: count.within,
    };
    series.long.iter_since(first).map(point).collect()
}

/// Returns the gaps in the data: the time after an incarnation's latest summary, if that is overdue and
/// wasn't marked as the last. What the entry recorded since may still arrive, or is lost with its instance.
fn find_gaps(unix_ms: u64, summaries: &[Summary]) -> Vec<Gap> {
    let mut gaps = Vec::new();
    for (index, summary) in summaries.iter().enumerate() {
        let age = unix_ms.saturating_sub(summary.made_unix_ms);
        let overdue = unix_ms.saturating_sub(summary.due_unix_ms) > OVERDUE_MS;
        if summary.last || !overdue || age > PERIOD_MS {
            continue;
        }
        let next = summaries.get(index + 1);
        let successor = next.filter(|next| next.entry == summary.entry);
        let end = successor.map(|next| next.since_unix_ms.max(summary.made_unix_ms));
        gaps.push(Gap {
            entry: summary.entry.clone(),
            from_ago_ms: age,
            to_ago_ms: end.map_or(0, |end| unix_ms.saturating_sub(end)),
        });
    }
    gaps
}
