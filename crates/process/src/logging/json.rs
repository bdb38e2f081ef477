//! JSON lines on standard output.
//!
//! Lines go through a queue to one thread that writes them in batches, so that nobody
//! who logs waits for whoever reads the output. What does not fit into the queue or the
//! bound is dropped, counted, and told with the next batch.

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

/// Lines of this time are written by one call.
const BATCH_DELAY: Duration = Duration::from_millis(100);
/// The target of lines about the end of a request, which come first in the bound.
pub const REQUEST_TARGET: &str = "passway_instance::request";
/// The target of lines about decisions that change an engine, the right to order, or the
/// configuration in force, which have a bound of their own.
pub const DECISION_TARGET: &str = "passway_instance::decision";

/// Where lines go on their way to the output.
struct Sink {
    lines: LineSender,
    rate_limit: Mutex<LogRateLimit>,
    dropped: Arc<DroppedCounts>,
}

/// Lines that were dropped since this was told last, by what they were about.
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

/// Starts logging to standard output, at most so many lines a second in the mean.
///
/// # Errors
/// If the level is not known or logging was started before.
pub fn start(program: &'static str, level: &str, lines_per_s: u32) -> Result<()> {
    let dispatch = dispatch(level)?;
    let dropped = Arc::new(DroppedCounts::default());
    let (lines, queued) = line_queue();
    let counted = dropped.clone();
    std::thread::spawn(move || write_batches(&queued, &counted, program));
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
        let mut bound = self
            .rate_limit
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let admitted = bound.admit(class, clock::now());
        drop(bound);
        if !admitted || !self.lines.send(encode_line(record, program)) {
            self.dropped.count(class);
        }
    }
}

/// One event as a line of JSON.
fn encode_line(record: &log::Record<'_>, program: &str) -> String {
    let mut fields = Fields(common_fields(&record.level().to_string(), program));
    fields.0.insert("target".into(), record.target().into());
    let message = record.args().to_string();
    fields.0.insert("message".into(), message.into());
    // Gathering into a map does not fail.
    let _ = record.key_values().visit(&mut fields);
    Json::Object(fields.0).to_string()
}

fn common_fields(level: &str, program: &str) -> Map<String, Json> {
    let at_ms = u64::try_from(unix_time().as_millis()).unwrap_or(u64::MAX);
    let mut fields = Map::new();
    fields.insert("at_ms".into(), at_ms.into());
    fields.insert("level".into(), level.into());
    fields.insert("program".into(), program.into());
    fields
}

struct Fields(Map<String, Json>);

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), kv::Error> {
        let json = match (value.to_u64(), value.to_f64(), value.to_bool()) {
            (Some(number), ..) => number.into(),
            (_, Some(number), _) => number.into(),
            (.., Some(truth)) => truth.into(),
            _ => value.to_string().into(),
        };
        self.0.insert(key.as_str().to_owned(), json);
        Ok(())
    }
}

/// Writes lines until the process ends; nobody waits for it.
fn write_batches(queued: &LineReceiver, dropped: &DroppedCounts, program: &str) {
    let mut batch = String::new();
    while let Ok(first) = queued.receive() {
        std::thread::sleep(BATCH_DELAY);
        batch.clear();
        for encode_line in std::iter::once(first).chain(queued.drain()) {
            batch.push_str(&encode_line);
            batch.push('\n');
        }
        let [decisions, request_ends, others] =
            [&dropped.decisions, &dropped.request_ends, &dropped.others]
                .map(|counter| counter.swap(0, Ordering::Relaxed));
        let lost = decisions + request_ends + others;
        if lost > 0 {
            let mut fields = common_fields("WARN", program);
            fields.insert("message".into(), "log lines were dropped".into());
            fields.insert("dropped".into(), lost.into());
            fields.insert("decisions".into(), decisions.into());
            fields.insert("request_ends".into(), request_ends.into());
            batch.push_str(&Json::Object(fields).to_string());
            batch.push('\n');
        }
        // Whoever reads the output is gone; there is nobody to tell.
        let _ = std::io::stdout().write_all(batch.as_bytes());
    }
}

/// Time after which a line that was logged before has been written, if somebody reads.
pub fn max_flush_delay() -> Duration {
    BATCH_DELAY * 2
}
