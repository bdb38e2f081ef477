//! `passwayctl analyze`: what binds, from the logs of all instances.
//!
//! * [`events`]: requests and orders, read out of the lines.
//! * [`report`]: what is told of them, as typed rows.
//! * [`residency`]: where models stood, and how long they stood idle.
//! * [`chart`]: the same as a drawing.

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

/// The report on the text of some logs.
pub fn analyze(text: &str, window_s: u64) -> Report {
    Report::of(&Events::read(text), window_s.max(1) * 1_000)
}

pub(crate) fn run(
    common: &Common,
    files: &[PathBuf],
    window_s: u64,
    svg: Option<&Path>,
) -> Result<ExitCode> {
    let text = log_line::read_logs(files)?;
    let events = Events::read(&text);
    let report = Report::of(&events, window_s.max(1) * 1_000);
    if common.json {
        print_json(&report);
    } else {
        print!("{report}");
    }
    if let Some(path) = svg {
        let drawing = chart::draw(&events, &report);
        std::fs::write(path, drawing).with_context(|| path.display().to_string())?;
    }
    Ok(ExitCode::Done)
}
