//! Conversion of the burn report.

use burn::report::Gap;
use burn::report::Misses;
use burn::report::Point;
use burn::report::Quantiles;
use burn::report::Report;
use burn::report::Row;
use burn::report::Target;

use crate::wire;

/// Encodes a report.
pub fn encode_report(report: Report) -> wire::ReportResult {
    wire::ReportResult {
        rows: report.rows.into_iter().map(encode_row).collect(),
        gaps: report.gaps.into_iter().map(encode_gap).collect(),
        short_window_ms: report.short_window_ms,
        long_window_ms: report.long_window_ms,
        period_ms: report.period_ms,
    }
}

/// Decodes a report.
pub fn decode_report(message: wire::ReportResult) -> Report {
    Report {
        rows: message.rows.into_iter().map(decode_row).collect(),
        gaps: message.gaps.into_iter().map(decode_gap).collect(),
        short_window_ms: message.short_window_ms,
        long_window_ms: message.long_window_ms,
        period_ms: message.period_ms,
    }
}

/// Encodes a row.
fn encode_row(row: Row) -> wire::ReportRow {
    wire::ReportRow {
        deployment: row.deployment.into(),
        target: Some(wire::Grant {
            account: row.account.as_str().to_owned(),
            first_token_ms: row.target.first_token_ms,
            token_gap_ms: row.target.token_gap_ms,
            share_per_mille: row.target.share_per_mille,
        }),
        account: row.account.into(),
        requests: row.requests,
        within: row.within,
        budget_left: row.budget_left,
        burn_short: row.burn_short,
        burn_long: row.burn_long,
        misses: Some(encode_misses(row.misses)),
        first_token_ms: Some(encode_quantiles(row.first_token_ms)),
        worst_gap_ms: Some(encode_quantiles(row.worst_gap_ms)),
        cost_micros: row.cost_micros,
        cost_per_within_micros: row.cost_per_within_micros,
        recomputed_tokens: row.recomputed_tokens,
        points: row.points.into_iter().map(encode_point).collect(),
    }
}

/// Decodes a row.
fn decode_row(row: wire::ReportRow) -> Row {
    let target = row.target.unwrap_or_default();
    Row {
        deployment: row.deployment.into(),
        account: row.account.into(),
        target: Target {
            first_token_ms: target.first_token_ms,
            token_gap_ms: target.token_gap_ms,
            share_per_mille: target.share_per_mille,
        },
        requests: row.requests,
        within: row.within,
        budget_left: row.budget_left,
        burn_short: row.burn_short,
        burn_long: row.burn_long,
        misses: decode_misses(row.misses.unwrap_or_default()),
        first_token_ms: decode_quantiles(row.first_token_ms.unwrap_or_default()),
        worst_gap_ms: decode_quantiles(row.worst_gap_ms.unwrap_or_default()),
        cost_micros: row.cost_micros,
        cost_per_within_micros: row.cost_per_within_micros,
        recomputed_tokens: row.recomputed_tokens,
        points: row.points.into_iter().map(decode_point).collect(),
    }
}

/// Encodes misses by cause.
fn encode_misses(misses: Misses) -> wire::ReportMisses {
    wire::ReportMisses {
        waiting: misses.waiting,
        slow_backend: misses.slow_backend,
        reclaim: misses.reclaim,
        refused: misses.refused,
        store: misses.store,
        other: misses.other,
    }
}

/// Decodes misses by cause.
fn decode_misses(misses: wire::ReportMisses) -> Misses {
    Misses {
        waiting: misses.waiting,
        slow_backend: misses.slow_backend,
        reclaim: misses.reclaim,
        refused: misses.refused,
        store: misses.store,
        other: misses.other,
    }
}

/// Encodes quantiles.
fn encode_quantiles(quantiles: Quantiles) -> wire::Quantiles {
    wire::Quantiles {
        p50: quantiles.p50,
        p95: quantiles.p95,
        p99: quantiles.p99,
    }
}

/// Decodes quantiles.
fn decode_quantiles(quantiles: wire::Quantiles) -> Quantiles {
    Quantiles {
        p50: quantiles.p50,
        p95: quantiles.p95,
        p99: quantiles.p99,
    }
}

/// Encodes a point of the time series.
fn encode_point(point: Point) -> wire::ReportPoint {
    wire::ReportPoint {
        ago_ms: point.ago_ms,
        requests: point.requests,
        within: point.within,
    }
}

/// Decodes a point of the time series.
fn decode_point(point: wire::ReportPoint) -> Point {
    Point {
        ago_ms: point.ago_ms,
        requests: point.requests,
        within: point.within,
    }
}

/// Encodes a gap in the data.
fn encode_gap(gap: Gap) -> wire::ReportGap {
    wire::ReportGap {
        entry: gap.entry.into(),
        from_ago_ms: gap.from_ago_ms,
        to_ago_ms: gap.to_ago_ms,
    }
}

/// Decodes a gap in the data.
fn decode_gap(gap: wire::ReportGap) -> Gap {
    Gap {
        entry: gap.entry.into(),
        from_ago_ms: gap.from_ago_ms,
        to_ago_ms: gap.to_ago_ms,
    }
}
