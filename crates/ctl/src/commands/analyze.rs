//! `passwayctl analyze`: finds bottlenecks in the logs of all instances.
//!
//! * `events`: requests and orders, parsed from the log lines.
//! * `report`: statistics about them, as typed rows.
//! * `residency`: when which engine had a model loaded, and for how long the model was idle.
//! * `chart`: requests and residencies as an SVG chart.

mod chart;
mod events;
mod report;
mod residency;

use super::{log_line, print_json};
use crate::cli::{Common, ExitCode};
use anyhow::{Context, Result};
use events::Events;
pub use report::Report;
use std::path::{Path, PathBuf};

/// Returns the report about the text of logs, with time windows of `window_s` seconds, at least 1.
pub fn analyze(text: &str, window_s: u64) -> Report {
    Report::from_events(&Events::parse(text), window_s.max(1) * 1_000)
}

pub(crate) fn run(
    common: &Common,
    files: &[PathBuf],
    window_s: u64,
    svg: Option<&Path>,
) -> Result<ExitCode> {
    let text = log_line::read_logs(files)?;
    let events = Events::parse(&text);
    let report = Report::from_events(&events, window_s.max(1) * 1_000);
    if common.json {
        print_json(&report);
    } else {
        print!("{report}");
    }
    if let Some(path) = svg {
        let chart = chart::draw(&events, &report);
        std::fs::write(path, chart).with_context(|| path.display().to_string())?;
    }
    Ok(ExitCode::Done)
}
