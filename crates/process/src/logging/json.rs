//! JSON lines on standard output.
//!
//! A queue passes the lines to one thread that writes them in batches, so that a thread that logs
//! never waits for the reader of the output. Lines that exceed the queue or the rate limit are
//! dropped and counted; the next batch reports their number.

use super::queue::{LineReceiver, LineSender, line_queue};
use super::rate_limit::{LineClass, LogRateLimit};
use super::{dispatch, unix_time};
use anyhow::{Context, Result};
use log::kv::{self, Key, Value, VisitSource};
use passway_types::clock;
use serde_json::{Map, Value as Json};
use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

/// Time during which lines are collected before they are written with one call.
const BATCH_DELAY: Duration = Duration::from_millis(100);
/// The target of lines about the end of a request, which take precedence in the rate limit.
pub const REQUEST_TARGET: &str = "passway_instance::request";
/// The target of lines about decisions that change an engine, the leadership or the active
/// configuration. These lines have a rate limit of their own.
pub const DECISION_TARGET: &str = "passway_instance::decision";

/// Applies the rate limit to lines and queues them for the output.
struct Sink {
    lines: LineSender,
    rate_limit: Mutex<LogRateLimit>,
    dropped: Arc<DroppedCounts>,
}

/// Numbers of lines by subject that were dropped since the last report.
#[derive(Default)]
struct DroppedCounts {
    decisions: AtomicU64,
    request_ends: AtomicU64,
    others: AtomicU64,
}

impl DroppedCounts {
    fn count(&self, class: LineClass) {
        let counter = match class {
            LineClass::Decision => &self.decisions,
            LineClass::RequestEnd => &self.request_ends,
            LineClass::Other => &self.others,
        };
        counter.fetch_add(1, Ordering::Relaxed);
    }
}

/// Starts logging to standard output, with at most `lines_per_s` lines per second on average.
/// Lines about decisions have a separate limit.
///
/// # Errors
/// If the level is unknown or logging was already started.
pub fn start(program: &'static str, level: &str, lines_per_s: u32) -> Result<()> {
    let dispatch = dispatch(level)?;
    let dropped = Arc::new(DroppedCounts::default());
    let (lines, receiver) = line_queue();
    let dropped_counts = dropped.clone();
    std::thread::spawn(move || write_batches(&receiver, &dropped_counts, program));
    let sink = Sink {
        lines,
        rate_limit: Mutex::new(LogRateLimit::new(lines_per_s, clock::now())),
        dropped,
    };
    let output = fern::Output::call(move |record| sink.write(record, program));
    dispatch
        .chain(output)
        .apply()
        .context("logging was started before")
}

impl Sink {
    fn write(&self, record: &log::Record<'_>, program: &str) {
        let class = match record.target() {
            DECISION_TARGET => LineClass::Decision,
            REQUEST_TARGET => LineClass::RequestEnd,
            _ => LineClass::Other,
        };
        let mut rate_limit = self
            .rate_limit
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let is_admitted = rate_limit.admit(class, clock::now());
        drop(rate_limit);
        if !is_admitted || !self.lines.send(encode_line(record, program)) {
            self.dropped.count(class);
        }
    }
}

/// Encodes an event as a line of JSON.
fn encode_line(record: &log::Record<'_>, program: &str) -> String {
    let mut fields = Fields(common_fields(&record.level().to_string(), program));
    fields.0.insert("target".into(), record.target().into());
    let message = record.args().to_string();
    fields.0.insert("message".into(), message.into());
    // Inserting into a map does not fail.
    let _ = record.key_values().visit(&mut fields);
    Json::Object(fields.0).to_string()
}

/// The fields that every line has.
fn common_fields(level: &str, program: &str) -> Map<String, Json> {
    let at_ms = u64::try_from(unix_time().as_millis()).unwrap_or(u64::MAX);
    let mut fields = Map::new();
    fields.insert("at_ms".into(), at_ms.into());
    fields.insert("level".into(), level.into());
    fields.insert("program".into(), program.into());
    fields
}

/// Collects the key-value pairs of a record as JSON fields.
struct Fields(Map<String, Json>);

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), kv::Error> {
        let json = match (value.to_u64(), value.to_f64(), value.to_bool()) {
            (Some(number), ..) => number.into(),
            (_, Some(number), _) => number.into(),
            (.., Some(flag)) => flag.into(),
            _ => value.to_string().into(),
        };
        self.0.insert(key.as_str().to_owned(), json);
        Ok(())
    }
}

/// Writes lines until the process terminates. No other thread waits for this one.
fn write_batches(receiver: &LineReceiver, dropped: &DroppedCounts, program: &str) {
    let mut batch = String::new();
    while let Ok(first) = receiver.receive() {
        std::thread::sleep(BATCH_DELAY);
        batch.clear();
        for line in std::iter::once(first).chain(receiver.drain()) {
            batch.push_str(&line);
            batch.push('\n');
        }
        let [decisions, request_ends, others] =
            [&dropped.decisions, &dropped.request_ends, &dropped.others]
                .map(|counter| counter.swap(0, Ordering::Relaxed));
        let total = decisions + request_ends + others;
        if total > 0 {
            let mut fields = common_fields("WARN", program);
            fields.insert("message".into(), "log lines were dropped".into());
            fields.insert("dropped".into(), total.into());
            fields.insert("decisions".into(), decisions.into());
            fields.insert("request_ends".into(), request_ends.into());
            batch.push_str(&Json::Object(fields).to_string());
            batch.push('\n');
        }
        // A failed write means that the reader of the output has disconnected, so the error cannot
        // be reported.
        let _ = std::io::stdout().write_all(batch.as_bytes());
    }
}

/// Time after which a logged line has been written, if the output is being read.
pub fn max_flush_delay() -> Duration {
    BATCH_DELAY * 2
}
