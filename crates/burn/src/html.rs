//! Renders the report as one self-contained HTML page.

use std::fmt::Write;

use crate::format::figures;
use crate::format::format_duration;
use crate::format::format_gap;
use crate::plot;
use crate::report::Report;
use crate::report::Row;
use crate::report::Urgency;

/// The page before its body's content.
const PAGE_HEAD: &str = "<!doctype html>
<html lang=\"en\"><head><meta charset=\"utf-8\"><title>dogwoodspur: service-level burn</title><style>
body{font:14px sans-serif;max-width:1040px;margin:2em auto;color:#222}
section{border-top:1px solid #ccc;padding:1em 0;display:flex;gap:2em;flex-wrap:wrap}
h2{flex-basis:100%;margin:0;font-size:16px}td{padding:1px 14px 1px 0;vertical-align:top}
svg{display:block;background:#f4f4f4;margin-bottom:4px}
.page{color:#b30000}.watch{color:#8a5a00}.key i{display:inline-block;width:10px;height:10px}
</style></head><body>
";

impl Report {
    /// Renders the report as one HTML page without scripts or external resources.
    pub fn to_html(&self) -> String {
        let mut html = String::from(PAGE_HEAD);
        let _ = writeln!(
            html,
            "<h1>Service-level burn</h1>\n<p>Sums over {}; burn rates over {} and {}. Bars are hours, \
             the dashed line is the promised share, the floor of each plot is 800 in 1000.</p>\n<p>{}</p>",
            format_duration(self.period_ms),
            format_duration(self.short_window_ms),
            format_duration(self.long_window_ms),
            plot::legend()
        );
        for row in &self.rows {
            append_section(&mut html, row, self.period_ms);
        }
        if self.rows.is_empty() {
            html.push_str("<p>No request ended in this time.</p>\n");
        }
        append_gaps(&mut html, self);
        html.push_str("</body></html>\n");
        html
    }
}

/// Appends a row.
fn append_section(html: &mut String, row: &Row, period_ms: u64) {
    let (class, suffix) = match row.urgency() {
        Urgency::Calm => ("calm", ""),
        Urgency::Watch => ("watch", " &mdash; watch"),
        Urgency::Page => ("page", " &mdash; page"),
    };
    let _ = writeln!(
        html,
        "<section><h2 class=\"{class}\">{} / {}{suffix}</h2><table>",
        escape(&row.deployment),
        escape(&row.account)
    );
    for (name, value) in figures(row) {
        let _ = writeln!(html, "<tr><td>{name}</td><td>{}</td></tr>", escape(&value));
    }
    let _ = writeln!(
        html,
        "</table><div>{}{}</div></section>",
        plot::share_chart(row, period_ms),
        plot::causes_bar(&row.misses)
    );
}

/// Appends the gaps in the data.
fn append_gaps(html: &mut String, report: &Report) {
    if report.gaps.is_empty() {
        html.push_str("<p>No data is missing.</p>\n");
        return;
    }
    html.push_str("<h2>Data is missing</h2><ul>\n");
    for gap in &report.gaps {
        let _ = writeln!(html, "<li>{}</li>", escape(&format_gap(gap)));
    }
    html.push_str("</ul>\n");
}

/// Escapes text for HTML.
fn escape(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
        .replace('"', "&quot;")
}
