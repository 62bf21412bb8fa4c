//! The report as text.

use std::fmt::Write;

use crate::format::facts;
use crate::format::gap_line;
use crate::format::span;
use crate::report::Gap;
use crate::report::Report;
use crate::report::Row;
use crate::report::Urgency;

/// Gaps named one by one; the rest are counted.
const GAPS_SHOWN: usize = 10;

impl Report {
    /// The report for a terminal.
    pub fn to_text(&self) -> String {
        let mut text = String::new();
        let _ = writeln!(
            text,
            "sums over {}; burn rates over {} and {}\n",
            span(self.period_ms),
            span(self.short_window_ms),
            span(self.long_window_ms)
        );
        if self.rows.is_empty() {
            text.push_str("no request ended in this time\n");
        }
        for row in &self.rows {
            one(&mut text, row);
        }
        gaps(&mut text, &self.gaps);
        text
    }
}

/// Appends a row.
fn one(text: &mut String, row: &Row) {
    let mark = match row.urgency() {
        Urgency::Calm => "",
        Urgency::Watch => "  WATCH",
        Urgency::Page => "  PAGE",
    };
    let _ = writeln!(text, "{} / {}{mark}", row.deployment, row.account);
    for (name, value) in facts(row) {
        let _ = writeln!(text, "  {name:<13} {value}");
    }
    text.push('\n');
}

/// Appends where data is missing.
fn gaps(text: &mut String, gaps: &[Gap]) {
    if gaps.is_empty() {
        text.push_str("no data is missing\n");
        return;
    }
    let _ = writeln!(text, "data is missing:");
    for gap in gaps.iter().take(GAPS_SHOWN) {
        let _ = writeln!(text, "  {}", gap_line(gap));
    }
    let more = gaps.len().saturating_sub(GAPS_SHOWN);
    if more > 0 {
        let _ = writeln!(text, "  and {more} more");
    }
}
