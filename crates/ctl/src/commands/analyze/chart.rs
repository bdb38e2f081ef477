//! A drawing of a report: requests over time above, stays of the busiest models below.

use super::events::Events;
use super::report::Report;
use super::residency;
use std::fmt::Write;

/// Width of the drawing and height of its upper part, in pixels.
const WIDTH: u64 = 1_000;
const HEIGHT: u64 = 200;
/// Height of one engine's line in the lower part.
const LINE: u64 = 14;
/// Room to the left, for names.
const MARGIN: u64 = 140;
/// Models that have a colour of their own, the busiest first.
const COLOURS: [&str; 6] = [
    "#d62728", "#1f77b4", "#2ca02c", "#9467bd", "#ff7f0e", "#17becf",
];
/// The colour of all others.
const OTHER_COLOUR: &str = "#cccccc";

/// The drawing as SVG. Upper part: a bar a window, requests asked in grey, served in
/// green, refused in red. Lower part: a line an engine, a span for each stay of a model.
pub(super) fn draw(events: &Events, report: &Report) -> String {
    let (begin_ms, end_ms) = (events.start_ms(), events.end_ms());
    let whole_ms = (end_ms - begin_ms).max(1);
    let x = |at_ms: u64| {
        let since_ms = at_ms.saturating_sub(begin_ms).min(whole_ms);
        MARGIN + since_ms * WIDTH / whole_ms
    };
    let height = HEIGHT + 30 + LINE * u64::try_from(report.engines.len()).unwrap_or(0);
    let mut svg = format!(
        "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{}\" height=\"{height}\" font-size=\"10\" font-family=\"monospace\">\n<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n",
        WIDTH + MARGIN + 10
    );
    let most = report.windows.iter().map(|row| row.asked).max();
    let most = most.unwrap_or(1).max(1);
    let windows = u64::try_from(report.windows.len()).unwrap_or(1).max(1);
    let width = WIDTH / windows;
    for (number, row) in (0..).zip(&report.windows) {
        let left = MARGIN + number * width;
        for (count, colour) in [
            (row.asked, OTHER_COLOUR),
            (row.served, "#2ca02c"),
            (row.refused, "#d62728"),
        ] {
            let tall = count * (HEIGHT - 20) / most;
            bar(
                &mut svg,
                [left, HEIGHT - tall, width.max(2) - 1, tall],
                colour,
                "",
            );
        }
        // Writing into a string does not fail.
        let _ = writeln!(
            svg,
            "<text x=\"{left}\" y=\"{}\">{}</text>",
            HEIGHT + 12,
            row.name
        );
    }
    let stays = residency::residencies(events);
    for (number, engine) in (0..).zip(&report.engines) {
        let top = HEIGHT + 24 + number * LINE;
        let name = &engine.engine;
        let _ = writeln!(svg, "<text x=\"2\" y=\"{}\">{name}</text>", top + LINE - 4);
        for stay in stays.iter().filter(|stay| stay.engine == *name) {
            let rank = report.models.iter().position(|row| row.name == stay.model);
            let colour = rank.and_then(|rank| COLOURS.get(rank));
            let (left, right) = (x(stay.from_ms), x(stay.to_ms));
            let size = [left, top, (right - left).max(1), LINE - 3];
            bar(&mut svg, size, colour.unwrap_or(&OTHER_COLOUR), &stay.model);
        }
    }
    svg.push_str("</svg>\n");
    svg
}

/// Adds a rectangle: left, top, width, height.
fn bar(svg: &mut String, [left, top, width, height]: [u64; 4], colour: &str, title: &str) {
    // Writing into a string does not fail.
    let _ = writeln!(
        svg,
        "<rect x=\"{left}\" y=\"{top}\" width=\"{width}\" height=\"{height}\" fill=\"{colour}\" fill-opacity=\"0.8\"><title>{title}</title></rect>"
    );
}
