//! `passwayctl trace`: the course of a request, from the logs of all instances.

use super::log_line::{LogLine, read_logs};
use crate::cli::ExitCode;
use anyhow::Result;
use std::fmt::Write;
use std::path::{Path, PathBuf};

/// Lines about orders and holders are included if they were written within this time before the end
/// of the request.
const CONTEXT_WINDOW_MS: u64 = 6_000;
/// Assumed maximum difference between the clocks of two instances. The documentation of the users'
/// platform mentions clock steps of some seconds.
const MAX_CLOCK_SKEW_MS: u64 = 3_000;
/// Fields that all lines have. They are not printed among the other fields, but separately or not
/// at all.
const COMMON_FIELDS: [&str; 7] = [
    "at_ms", "level", "program", "target", "message", "request", "instance",
];

impl LogLine {
    /// Returns whether a line that does not name the request is about the model or upstream of the
    /// request, the holder or the configuration. `end` is the last line of the request.
    fn is_relevant_to(&self, end: &Self) -> bool {
        let message = self.text("message");
        let has_same = |field| {
            let value = end.text(field);
            !value.is_empty() && self.text(field) == value
        };
        match message {
            "order" => has_same("model"),
            "an upstream is gone" => has_same("upstream"),
            "holds the right to order" | "lost the right to order" | "configuration in force" => {
                true
            }
            _ => false,
        }
    }

    /// Returns whether the line was written within [`CONTEXT_WINDOW_MS`] before the line `end`,
    /// allowing for differences between clocks.
    fn is_shortly_before(&self, end: &Self) -> bool {
        let is_same_clock = self.source == end.source;
        let slack_ms = if is_same_clock { 0 } else { MAX_CLOCK_SKEW_MS };
        self.at_ms <= end.at_ms + slack_ms && self.at_ms + CONTEXT_WINDOW_MS + slack_ms >= end.at_ms
    }

    /// Appends the line to `out`, with its time relative to `origin_ms`.
    fn print(&self, origin_ms: u64, out: &mut String) {
        let seconds =
            std::time::Duration::from_millis(self.at_ms.abs_diff(origin_ms)).as_secs_f64();
        let sign = if self.at_ms < origin_ms { '-' } else { '+' };
        // Writing to a string cannot fail.
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

/// Returns the log lines of a request and the context of its end, one line each; `None` if no line
/// names the request.
pub fn trace_request(text: &str, request: &str) -> Option<String> {
    let lines: Vec<LogLine> = text.lines().filter_map(LogLine::parse).collect();
    let names_request = |line: &&LogLine| line.text("request") == request;
    let mut selected: Vec<&LogLine> = lines.iter().filter(names_request).collect();
    let end = *selected.last()?;
    let context = lines
        .iter()
        .filter(|line| line.is_relevant_to(end) && line.is_shortly_before(end));
    selected.extend(context);
    // The sort is stable, so lines of one instance with the same time keep their order.
    selected.sort_by_key(|line| line.at_ms);
    let origin_ms = end.at_ms;
    let mut out = String::new();
    for line in selected {
        line.print(origin_ms, &mut out);
    }
    Some(out)
}

pub(crate) fn run(request: &str, files: &[PathBuf]) -> Result<ExitCode> {
    let text = read_logs(files)?;
    if let Some(trace) = trace_request(&text, request) {
        print!("{trace}");
        return Ok(ExitCode::Done);
    }
    let names = files.iter().map(PathBuf::as_path).map(Path::display);
    let names: Vec<String> = names.map(|name| name.to_string()).collect();
    eprintln!("no line names the request {request} {}", names.join(", "));
    Ok(ExitCode::Failed)
}
