//! Formats figures for people, alike on a terminal and on the HTML page.

use crate::report::Gap;
use crate::report::Misses;
use crate::report::Row;

/// Milliseconds in a minute.
const MINUTE_MS: u64 = 60_000;
/// Milliseconds in an hour.
const HOUR_MS: u64 = 60 * MINUTE_MS;

/// Returns the figures of a row as pairs of name and value.
pub fn figures(row: &Row) -> Vec<(&'static str, String)> {
    let target = &row.target;
    let first_token = &row.first_token_ms;
    let worst_gap = &row.worst_gap_ms;
    vec![
        (
            "target",
            format!(
                "{} in 1000 within {} ms, {} ms between tokens",
                target.share_per_mille, target.first_token_ms, target.token_gap_ms
            ),
        ),
        (
            "within",
            format!(
                "{:.1} in 1000 ({} of {})",
                row.share_per_mille(),
                row.within,
                row.requests
            ),
        ),
        ("budget left", format!("{:.1}%", row.budget_left * 100.0)),
        (
            "burn rate",
            format!("{:.2} short, {:.2} long", row.burn_short, row.burn_long),
        ),
        ("misses", format_misses(&row.misses)),
        (
            "first token",
            format!(
                "{} / {} / {} ms (50, 95, 99 in 100)",
                first_token.p50, first_token.p95, first_token.p99
            ),
        ),
        (
            "worst gap",
            format!(
                "{} / {} / {} ms",
                worst_gap.p50, worst_gap.p95, worst_gap.p99
            ),
        ),
        (
            "cost",
            format!(
                "{} in all, {} for each request within target",
                format_money(row.cost_micros as f64),
                format_money(row.cost_per_within_micros)
            ),
        ),
        ("recomputed", format!("{} tokens", row.recomputed_tokens)),
    ]
}

/// Formats misses by cause, the most frequent first.
fn format_misses(misses: &Misses) -> String {
    let mut causes = misses_by_cause(misses);
    causes.retain(|(_, count)| *count > 0);
    causes.sort_by_key(|(_, count)| std::cmp::Reverse(*count));
    if causes.is_empty() {
        return "none".to_owned();
    }
    let texts = causes.iter().map(|(name, count)| format!("{count} {name}"));
    texts.collect::<Vec<_>>().join(", ")
}

/// Returns the misses by cause, with the cause's name.
pub fn misses_by_cause(misses: &Misses) -> Vec<(&'static str, u64)> {
    vec![
        ("waiting", misses.waiting),
        ("slow backend server", misses.slow_backend),
        ("reclaim", misses.reclaim),
        ("refused", misses.refused),
        ("store", misses.store),
        ("other", misses.other),
    ]
}

/// Formats a gap as one line.
pub fn format_gap(gap: &Gap) -> String {
    if gap.from_ago_ms == 0 {
        return format!("{}: could not be read", gap.entry);
    }
    let from = format_duration(gap.from_ago_ms);
    if gap.to_ago_ms == 0 {
        return format!("{}: nothing since {from} ago", gap.entry);
    }
    format!(
        "{}: from {from} to {} ago",
        gap.entry,
        format_duration(gap.to_ago_ms)
    )
}

/// Formats a duration in milliseconds.
pub fn format_duration(millis: u64) -> String {
    if millis >= HOUR_MS {
        let (hours, rest) = (millis / HOUR_MS, millis % HOUR_MS / MINUTE_MS);
        return if rest == 0 {
            format!("{hours} h")
        } else {
            format!("{hours} h {rest} min")
        };
    }
    if millis >= MINUTE_MS {
        return format!("{} min", millis / MINUTE_MS);
    }
    format!("{} s", millis / 1_000)
}

/// Formats an amount of millionths of the currency.
fn format_money(micros: f64) -> String {
    format!("{:.4}", micros / 1_000_000.0)
}
