//! Renders the report as text.

use std::fmt::Write;

use crate::format::figures;
use crate::format::format_duration;
use crate::format::format_gap;
use crate::report::Gap;
use crate::report::Report;
use crate::report::Row;
use crate::report::Urgency;

/// Maximum number of gaps that are listed; the rest are only counted.
const MAX_GAPS_SHOWN: usize = 10;

impl Report {
    /// Renders the report for a terminal.
    pub fn to_text(&self) -> String {
        let mut text = String::new();
        let _ = writeln!(
            text,
            "sums over {}; burn rates over {} and {}\n",
            format_duration(self.period_ms),
            format_duration(self.short_window_ms),
            format_duration(self.long_window_ms)
        );
        if self.rows.is_empty() {
            text.push_str("no request ended in this time\n");
        }
        for row in &self.rows {
            append_row(&mut text, row);
        }
        append_gaps(&mut text, &self.gaps);
        text
    }
}

/// Appends a row.
fn append_row(text: &mut String, row: &Row) {
    let label = match row.urgency() {
        Urgency::Calm => "",
        Urgency::Watch => "  WATCH",
        Urgency::Page => "  PAGE",
    };
    let _ = writeln!(text, "{} / {}{label}", row.deployment, row.account);
    for (name, value) in figures(row) {
        let _ = writeln!(text, "  {name:<13} {value}");
    }
    text.push('\n');
}

/// Appends the gaps in the data.
fn append_gaps(text: &mut String, gaps: &[Gap]) {
    if gaps.is_empty() {
        text.push_str("no data is missing\n");
        return;
    }
    let _ = writeln!(text, "data is missing:");
    for gap in gaps.iter().take(MAX_GAPS_SHOWN) {
        let _ = writeln!(text, "  {}", format_gap(gap));
    }
    let remaining = gaps.len().saturating_sub(MAX_GAPS_SHOWN);
    if remaining > 0 {
        let _ = writeln!(text, "  and {remaining} more");
    }
}
