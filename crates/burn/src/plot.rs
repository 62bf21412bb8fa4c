//! Plots as SVG, without scripts and without anything from elsewhere.

use std::fmt::Write;

use crate::format::causes;
use crate::report::Misses;
use crate::report::Row;

/// Width of a plot, pixels.
const WIDTH: f64 = 480.0;
/// Height of the course, pixels.
const HEIGHT: f64 = 110.0;
/// Height of the bar of causes, pixels.
const BAR_HEIGHT: f64 = 18.0;
/// Least share shown, in thousandths: below, the course stands on the floor.
const FLOOR_PER_MILLE: f64 = 800.0;
/// Milliseconds in an hour.
const HOUR_MS: f64 = 3_600_000.0;
/// Colours of the causes, in their order; told apart by people who don't see red and green alike.
const COLOURS: [&str; 6] = [
    "#0072b2", "#e69f00", "#cc79a7", "#d55e00", "#009e73", "#888888",
];

/// The share within target by hour, with the promised share as a line.
pub fn course(row: &Row, period_ms: u64) -> String {
    let hours = (period_ms as f64 / HOUR_MS).max(1.0);
    let step = WIDTH / hours;
    let mut svg = open(HEIGHT, "share within target by hour");
    for point in &row.points {
        let hours_ago = point.ago_ms as f64 / HOUR_MS;
        let left = (WIDTH - (hours_ago + 1.0) * step).max(0.0);
        let share = point.within as f64 * 1_000.0 / point.requests.max(1) as f64;
        let met = share >= f64::from(row.target.share_per_mille);
        let colour = if met { COLOURS[0] } else { COLOURS[3] };
        let height = HEIGHT - y(share);
        let _ = write!(
            svg,
            "<rect x=\"{left:.1}\" y=\"{:.1}\" width=\"{:.1}\" height=\"{height:.1}\" fill=\"{colour}\">\
             <title>{} of {} requests within target, {hours_ago:.0} h ago</title></rect>",
            y(share),
            (step - 1.0).max(1.0),
            point.within,
            point.requests
        );
    }
    let line = y(f64::from(row.target.share_per_mille));
    let _ = write!(
        svg,
        "<line x1=\"0\" x2=\"{WIDTH}\" y1=\"{line:.1}\" y2=\"{line:.1}\" stroke=\"#000\" \
         stroke-dasharray=\"4 3\"><title>promised share</title></line>"
    );
    svg.push_str("</svg>");
    svg
}

/// Misses by cause as parts of a bar; nothing without misses.
pub fn causes_bar(misses: &Misses) -> String {
    let causes = causes(misses);
    let all: u64 = causes.iter().map(|(_, count)| count).sum();
    if all == 0 {
        return String::new();
    }
    let mut svg = open(BAR_HEIGHT, "misses by cause");
    let mut left = 0.0;
    for ((name, count), colour) in causes.iter().zip(COLOURS) {
        let width = WIDTH * *count as f64 / all as f64;
        if *count > 0 {
            let _ = write!(
                svg,
                "<rect x=\"{left:.1}\" y=\"0\" width=\"{width:.1}\" height=\"{BAR_HEIGHT}\" \
                 fill=\"{colour}\"><title>{count} {name}</title></rect>"
            );
        }
        left += width;
    }
    svg.push_str("</svg>");
    svg
}

/// What the colours of the causes mean.
pub fn legend() -> String {
    let mut html = String::new();
    for ((name, _), colour) in causes(&Misses::default()).iter().zip(COLOURS) {
        let _ = write!(
            html,
            "<span class=\"key\"><i style=\"background:{colour}\"></i>{name}</span> "
        );
    }
    html
}

/// The head of a plot.
fn open(height: f64, label: &str) -> String {
    format!(
        "<svg role=\"img\" aria-label=\"{label}\" viewBox=\"0 0 {WIDTH} {height}\" \
         width=\"{WIDTH}\" height=\"{height}\">"
    )
}

/// The height at which a share stands.
fn y(share_per_mille: f64) -> f64 {
    let above = (share_per_mille - FLOOR_PER_MILLE).max(0.0) / (1_000.0 - FLOOR_PER_MILLE);
    HEIGHT - 1.0 - above * (HEIGHT - 2.0)
}
