//! An SVG chart of a report: requests over time above, residencies of models on engines below.

use super::events::Events;
use super::report::Report;
use super::residency;
use std::fmt::Write;

/// Width of the time axis.
const WIDTH_PX: u64 = 1_000;
/// Height of the upper part.
const HEIGHT_PX: u64 = 200;
/// Height of each engine's row in the lower part.
const ROW_HEIGHT_PX: u64 = 14;
/// Left margin, which holds the engines' names.
const MARGIN_PX: u64 = 140;
/// Colours of the models with the most requests, the busiest first.
const MODEL_COLOURS: [&str; 6] = [
    "#d62728", "#1f77b4", "#2ca02c", "#9467bd", "#ff7f0e", "#17becf",
];
/// Colour of all other models, and of the bars of all requests that ended.
const OTHER_COLOUR: &str = "#cccccc";

/// Returns the chart as SVG. The upper part has a bar for each time window with all requests in
/// grey, the served ones in green and the refused ones in red. The lower part has a row for each
/// engine and a rectangle for each residency of a model.
pub(super) fn draw(events: &Events, report: &Report) -> String {
    let (start_ms, end_ms) = (events.start_ms(), events.end_ms());
    let total_ms = (end_ms - start_ms).max(1);
    let x = |at_ms: u64| {
        let since_ms = at_ms.saturating_sub(start_ms).min(total_ms);
        MARGIN_PX + since_ms * WIDTH_PX / total_ms
    };
    let height = HEIGHT_PX + 30 + ROW_HEIGHT_PX * u64::try_from(report.engines.len()).unwrap_or(0);
    let mut svg = format!(
        "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{}\" height=\"{height}\" font-size=\"10\" font-family=\"monospace\">\n<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n",
        WIDTH_PX + MARGIN_PX + 10
    );
    let max_asked = report.windows.iter().map(|row| row.asked).max();
    let max_asked = max_asked.unwrap_or(1).max(1);
    let window_count = u64::try_from(report.windows.len()).unwrap_or(1).max(1);
    let bar_width = WIDTH_PX / window_count;
    for (index, row) in (0..).zip(&report.windows) {
        let left = MARGIN_PX + index * bar_width;
        for (count, colour) in [
            (row.asked, OTHER_COLOUR),
            (row.served, "#2ca02c"),
            (row.refused, "#d62728"),
        ] {
            let bar_height = count * (HEIGHT_PX - 20) / max_asked;
            draw_bar(
                &mut svg,
                [
                    left,
                    HEIGHT_PX - bar_height,
                    bar_width.max(2) - 1,
                    bar_height,
                ],
                colour,
                "",
            );
        }
        // Writing to a string cannot fail.
        let _ = writeln!(
            svg,
            "<text x=\"{left}\" y=\"{}\">{}</text>",
            HEIGHT_PX + 12,
            row.name
        );
    }
    let residencies = residency::residencies(events);
    for (index, engine) in (0..).zip(&report.engines) {
        let top = HEIGHT_PX + 24 + index * ROW_HEIGHT_PX;
        let name = &engine.engine;
        let _ = writeln!(
            svg,
            "<text x=\"2\" y=\"{}\">{name}</text>",
            top + ROW_HEIGHT_PX - 4
        );
        for residency in residencies
            .iter()
            .filter(|residency| residency.engine == *name)
        {
            let rank = report
                .models
                .iter()
                .position(|row| row.name == residency.model);
            let colour = rank.and_then(|rank| MODEL_COLOURS.get(rank));
            let (left, right) = (x(residency.from_ms), x(residency.to_ms));
            let area = [left, top, (right - left).max(1), ROW_HEIGHT_PX - 3];
            draw_bar(
                &mut svg,
                area,
                colour.unwrap_or(&OTHER_COLOUR),
                &residency.model,
            );
        }
    }
    svg.push_str("</svg>\n");
    svg
}

/// Appends a rectangle with a tooltip; the area gives left, top, width and height in pixels.
fn draw_bar(svg: &mut String, [left, top, width, height]: [u64; 4], colour: &str, title: &str) {
    // Writing to a string cannot fail.
    let _ = writeln!(
        svg,
        "<rect x=\"{left}\" y=\"{top}\" width=\"{width}\" height=\"{height}\" fill=\"{colour}\" fill-opacity=\"0.8\"><title>{title}</title></rect>"
    );
}
