//! Parsing of the log lines of instances, for `trace` and `analyze`.

use anyhow::{Context, Result};
use serde_json::{Map, Value};
use std::io::Read;
use std::path::PathBuf;

/// One log line that holds a JSON object.
pub(super) struct LogLine {
    /// The last word before the JSON, where a log collector writes the name of the instance; empty
    /// if there is none.
    pub(super) source: String,
    /// Time of the instance's wall clock, in milliseconds since the Unix epoch.
    pub(super) at_ms: u64,
    pub(super) fields: Map<String, Value>,
}

impl LogLine {
    /// Parses a line; `None` unless it ends with a JSON object that has a time `at_ms`.
    pub(super) fn parse(text: &str) -> Option<Self> {
        let start = text.find('{')?;
        let fields: Map<String, Value> = serde_json::from_str(&text[start..]).ok()?;
        let at_ms = fields.get("at_ms")?.as_u64()?;
        let source = text[..start].split_whitespace().last().unwrap_or("");
        Some(Self {
            source: source.to_owned(),
            at_ms,
            fields,
        })
    }

    /// Returns the text of a field; empty if the field is missing or no string.
    pub(super) fn text(&self, field: &str) -> &str {
        let value = self.fields.get(field);
        value.and_then(Value::as_str).unwrap_or("")
    }

    /// Returns the number in a field; 0 if the field is missing or no unsigned integer.
    pub(super) fn number(&self, field: &str) -> u64 {
        let value = self.fields.get(field);
        value.and_then(Value::as_u64).unwrap_or(0)
    }
}

/// Returns the concatenated text of the log files, or of standard input if `files` is empty.
pub(super) fn read_logs(files: &[PathBuf]) -> Result<String> {
    let mut text = String::new();
    if files.is_empty() {
        let read = std::io::stdin().read_to_string(&mut text);
        read.context("cannot read standard input")?;
    }
    for file in files {
        let name = || file.display().to_string();
        text.push_str(&std::fs::read_to_string(file).with_context(name)?);
    }
    Ok(text)
}
