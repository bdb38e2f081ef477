//! The lines that instances log, as `trace` and `analyze` read them.

use anyhow::{Context, Result};
use serde_json::{Map, Value};
use std::io::Read;
use std::path::PathBuf;

/// One line of a log.
pub(super) struct LogLine {
    /// What stood before the JSON, where a collector puts the instance's name.
    pub(super) source: String,
    /// The instance's time of day, in milliseconds.
    pub(super) at_ms: u64,
    pub(super) fields: Map<String, Value>,
}

impl LogLine {
    /// A line, if it holds a JSON object.
    pub(super) fn parse(text: &str) -> Option<Self> {
        let begin = text.find('{')?;
        let fields: Map<String, Value> = serde_json::from_str(&text[begin..]).ok()?;
        let at_ms = fields.get("at_ms")?.as_u64()?;
        let source = text[..begin].split_whitespace().last().unwrap_or("");
        Some(Self {
            source: source.to_owned(),
            at_ms,
            fields,
        })
    }

    /// A field's text; empty if there is none.
    pub(super) fn text(&self, field: &str) -> &str {
        let value = self.fields.get(field);
        value.and_then(Value::as_str).unwrap_or("")
    }

    /// A field's number; 0 if there is none.
    pub(super) fn number(&self, field: &str) -> u64 {
        let value = self.fields.get(field);
        value.and_then(Value::as_u64).unwrap_or(0)
    }
}

/// The text of some logs, or of standard input if none is named.
pub(super) fn read_logs(files: &[PathBuf]) -> Result<String> {
    let mut text = String::new();
    if files.is_empty() {
        let read = std::io::stdin().read_to_string(&mut text);
        read.context("standard input")?;
    }
    for file in files {
        let name = || file.display().to_string();
        text.push_str(&std::fs::read_to_string(file).with_context(name)?);
    }
    Ok(text)
}
