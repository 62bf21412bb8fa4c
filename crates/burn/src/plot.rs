//! Plots as inline SVG, without scripts or external resources.

use std::fmt::Write;

use crate::format::misses_by_cause;
use crate::report::Misses;
use crate::report::Row;

/// Width of a plot, pixels.
const WIDTH: f64 = 480.0;
/// Height of the chart of shares, pixels.
const CHART_HEIGHT: f64 = 110.0;
/// Height of the bar of causes, pixels.
const BAR_HEIGHT: f64 = 18.0;
/// Lowest share shown, in thousandths; lower shares are drawn at the bottom.
const MIN_SHARE_PER_MILLE: f64 = 800.0;
/// Milliseconds in an hour.
const HOUR_MS: f64 = 3_600_000.0;
/// Colours of the causes, in the order of the causes; distinguishable with red-green colour blindness.
const COLOURS: [&str; 6] = [
    "#0072b2", "#e69f00", "#cc79a7", "#d55e00", "#009e73", "#888888",
];

/// Draws the share of requests within target by hour, with the target share as a line.
pub fn share_chart(row: &Row, period_ms: u64) -> String {
    let hours = (period_ms as f64 / HOUR_MS).max(1.0);
    let step = WIDTH / hours;
    let mut svg = open_svg(CHART_HEIGHT, "share within target by hour");
    for point in &row.points {
        let hours_ago = point.ago_ms as f64 / HOUR_MS;
        let x = (WIDTH - (hours_ago + 1.0) * step).max(0.0);
        let share = point.within as f64 * 1_000.0 / point.requests.max(1) as f64;
        let met = share >= f64::from(row.target.share_per_mille);
        let colour = if met { COLOURS[0] } else { COLOURS[3] };
        let height = CHART_HEIGHT - share_y(share);
        let _ = write!(
            svg,
            "<rect x=\"{x:.1}\" y=\"{:.1}\" width=\"{:.1}\" height=\"{height:.1}\" fill=\"{colour}\">\
             <title>{} of {} requests within target, {hours_ago:.0} h ago</title></rect>",
            share_y(share),
            (step - 1.0).max(1.0),
            point.within,
            point.requests
        );
    }
    let target_y = share_y(f64::from(row.target.share_per_mille));
    let _ = write!(
        svg,
        "<line x1=\"0\" x2=\"{WIDTH}\" y1=\"{target_y:.1}\" y2=\"{target_y:.1}\" stroke=\"#000\" \
         stroke-dasharray=\"4 3\"><title>promised share</title></line>"
    );
    svg.push_str("</svg>");
    svg
}

/// Draws misses by cause as segments of a bar; returns an empty string without misses.
pub fn causes_bar(misses: &Misses) -> String {
    let causes = misses_by_cause(misses);
    let total: u64 = causes.iter().map(|(_, count)| count).sum();
    if total == 0 {
        return String::new();
    }
    let mut svg = open_svg(BAR_HEIGHT, "misses by cause");
    let mut x = 0.0;
    for ((name, count), colour) in causes.iter().zip(COLOURS) {
        let width = WIDTH * *count as f64 / total as f64;
        if *count > 0 {
            let _ = write!(
                svg,
                "<rect x=\"{x:.1}\" y=\"0\" width=\"{width:.1}\" height=\"{BAR_HEIGHT}\" \
                 fill=\"{colour}\"><title>{count} {name}</title></rect>"
            );
        }
        x += width;
    }
    svg.push_str("</svg>");
    svg
}

/// Renders the legend of the causes' colours.
pub fn legend() -> String {
    let mut html = String::new();
    for ((name, _), colour) in misses_by_cause(&Misses::default()).iter().zip(COLOURS) {
        let _ = write!(
            html,
            "<span class=\"key\"><i style=\"background:{colour}\"></i>{name}</span> "
        );
    }
    html
}

/// Opens an SVG element.
fn open_svg(height: f64, label: &str) -> String {
    format!(
        "<svg role=\"img\" aria-label=\"{label}\" viewBox=\"0 0 {WIDTH} {height}\" \
         width=\"{WIDTH}\" height=\"{height}\">"
    )
}

/// Returns the y coordinate of a share.
fn share_y(share_per_mille: f64) -> f64 {
    let fraction =
        (share_per_mille - MIN_SHARE_PER_MILLE).max(0.0) / (1_000.0 - MIN_SHARE_PER_MILLE);
    CHART_HEIGHT - 1.0 - fraction * (CHART_HEIGHT - 2.0)
}
