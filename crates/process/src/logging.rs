//! Logging of one structured line per event, through `log` and `fern`.
//!
//! * [`start`]: `key=value` lines on standard error, for programs that are run manually.
//! * [`json`]: JSON lines on standard output, for programs whose output is collected. Their rate is
//!   limited by [`rate_limit`], and [`queue`] holds them until they are written.

pub mod json;
pub mod queue;
pub mod rate_limit;

use anyhow::{Context, Result};
use log::kv::{self, Key, Value, VisitSource};
use std::fmt::Write;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// The crates whose lines are logged at the configured level.
const OWN_CRATES: [&str; 7] = [
    "passway_router",
    "passway_controller",
    "passway_standins",
    "passway_process",
    "passway_instance",
    "passway_serving",
    "passway_users_platform",
];

/// A dispatch that passes lines of passway's own crates at `level`, and only warnings and errors of
/// other crates.
fn dispatch(level: &str) -> Result<fern::Dispatch> {
    let level: log::LevelFilter = level.parse().context("parsing the setting log_level")?;
    let mut dispatch = fern::Dispatch::new().level(log::LevelFilter::Warn);
    for name in OWN_CRATES {
        dispatch = dispatch.level_for(name, level);
    }
    Ok(dispatch)
}

/// Time since 1970-01-01 UTC by this machine's clock.
fn unix_time() -> Duration {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    elapsed.unwrap_or_default()
}

/// Starts logging to standard error.
///
/// The format of a line is `time level target program message key=value ...`, where the time is in
/// seconds since 1970-01-01 UTC.
///
/// # Errors
/// If the level is unknown or logging was already started.
pub fn start(program: &'static str, level: &str) -> Result<()> {
    dispatch(level)?
        .format(move |out, message, record| {
            let time = unix_time();
            let mut pairs = Pairs(String::new());
            // Writing to a string does not fail.
            let _ = record.key_values().visit(&mut pairs);
            out.finish(format_args!(
                "{}.{:03} {} {} {program} {message}{}",
                time.as_secs(),
                time.subsec_millis(),
                record.level(),
                record.target(),
                pairs.0
            ));
        })
        .chain(std::io::stderr())
        .apply()
        .context("logging was started before")
}

/// Formats the key-value pairs of a record as ` key=value ...`.
struct Pairs(String);

impl<'kvs> VisitSource<'kvs> for Pairs {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), kv::Error> {
        let result = write!(self.0, " {key}={value}");
        result.map_err(|_| kv::Error::msg("formatting failed"))
    }
}
