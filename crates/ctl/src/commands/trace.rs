//! `passwayctl trace`: a request's life, from the logs of all instances.

use super::log_line::{LogLine, read_logs};
use crate::cli::ExitCode;
use anyhow::Result;
use std::fmt::Write;
use std::path::{Path, PathBuf};

/// Lines about orders and holders that belong to this much time before a request's end.
const CONTEXT_WINDOW_MS: u64 = 6_000;
/// Instances' clocks may differ by so much (users' pages: steps of some seconds).
const MAX_CLOCK_SKEW_MS: u64 = 3_000;
/// Fields that stand in each line and are printed apart or not at all.
const COMMON_FIELDS: [&str; 7] = [
    "at_ms", "level", "program", "target", "message", "request", "instance",
];

impl LogLine {
    /// Whether a line about the fleet bears on what a request needed.
    fn concerns(&self, end: &Self) -> bool {
        let message = self.text("message");
        let names = |field| {
            let name = end.text(field);
            !name.is_empty() && self.text(field) == name
        };
        match message {
            "order" => names("model"),
            "an upstream is gone" => names("upstream"),
            "holds the right to order" | "lost the right to order" | "configuration in force" => {
                true
            }
            _ => false,
        }
    }

    /// Whether it was written shortly before a request's end, clocks allowed for.
    fn is_near(&self, end: &Self) -> bool {
        let same_clock = self.source == end.source;
        let slack_ms = if same_clock { 0 } else { MAX_CLOCK_SKEW_MS };
        self.at_ms <= end.at_ms + slack_ms && self.at_ms + CONTEXT_WINDOW_MS + slack_ms >= end.at_ms
    }

    fn print(&self, first_ms: u64, out: &mut String) {
        let seconds = std::time::Duration::from_millis(self.at_ms.abs_diff(first_ms)).as_secs_f64();
        let sign = if self.at_ms < first_ms { '-' } else { '+' };
        // Writing into a string does not fail.
        let _ = write!(
            out,
            "{sign}{seconds:.3}s {:<24} {}",
            self.source,
            self.text("message")
        );
        for (name, value) in &self.fields {
            let is_empty = value.as_str().is_some_and(str::is_empty);
            if COMMON_FIELDS.contains(&name.as_str()) || is_empty {
                continue;
            }
            let _ = match value.as_str() {
                Some(text) => write!(out, " {name}={text}"),
                None => write!(out, " {name}={value}"),
            };
        }
        out.push('\n');
    }
}

/// The story of a request, or `None` if no line names it.
pub fn trace_request(text: &str, request: &str) -> Option<String> {
    let lines: Vec<LogLine> = text.lines().filter_map(LogLine::parse).collect();
    let own = |line: &&LogLine| line.text("request") == request;
    let mut story: Vec<&LogLine> = lines.iter().filter(own).collect();
    let end = *story.last()?;
    let around = lines
        .iter()
        .filter(|line| line.concerns(end) && line.is_near(end));
    story.extend(around);
    // Lines of one instance stay in their order, since the sort is stable.
    story.sort_by_key(|line| line.at_ms);
    let first_ms = end.at_ms;
    let mut out = String::new();
    for line in story {
        line.print(first_ms, &mut out);
    }
    Some(out)
}

pub(crate) fn run(request: &str, files: &[PathBuf]) -> Result<ExitCode> {
    let text = read_logs(files)?;
    if let Some(story) = trace_request(&text, request) {
        print!("{story}");
        return Ok(ExitCode::Done);
    }
    let names = files.iter().map(PathBuf::as_path).map(Path::display);
    let names: Vec<String> = names.map(|name| name.to_string()).collect();
    eprintln!("no line names the request {request} {}", names.join(", "));
    Ok(ExitCode::Failed)
}
