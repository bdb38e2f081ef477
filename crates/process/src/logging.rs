//! One structured line an event, through `log` and `fern`.

use anyhow::{Context, Result};
use log::kv::{self, Key, Value, VisitSource};
use std::fmt::Write;
use std::time::{SystemTime, UNIX_EPOCH};

/// Starts logging to standard error.
///
/// A line is `time level target program message key=value ...`, the time in
/// seconds since 1970-01-01 UTC.
///
/// # Errors
/// If the level is not known or logging was started before.
pub fn start(program: &'static str, level: &str) -> Result<()> {
    let level: log::LevelFilter = level.parse().context("log_level")?;
    fern::Dispatch::new()
        .level(log::LevelFilter::Warn)
        .level_for("passway_router", level)
        .level_for("passway_controller", level)
        .level_for("passway_standins", level)
        .level_for("passway_process", level)
        .level_for("passway_instance", level)
        .level_for("passway_serving", level)
        .format(move |out, message, record| {
            let elapsed = SystemTime::now()
                .duration_since(UNIX_EPOCH)
                .unwrap_or_default();
            let mut pairs = Pairs(String::new());
            // Writing into a string does not fail.
            let _ = record.key_values().visit(&mut pairs);
            out.finish(format_args!(
                "{}.{:03} {} {} {program} {message}{}",
                elapsed.as_secs(),
                elapsed.subsec_millis(),
                record.level(),
                record.target(),
                pairs.0
            ));
        })
        .chain(std::io::stderr())
        .apply()
        .context("logging was started before")
}

struct Pairs(String);

impl<'kvs> VisitSource<'kvs> for Pairs {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), kv::Error> {
        let written = write!(self.0, " {key}={value}");
        written.map_err(|_| kv::Error::msg("formatting failed"))
    }
}
