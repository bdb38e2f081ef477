//! One structured line an event, through `log` and `fern`.
//!
//! * [`start`]: `key=value` lines on standard error, for programs run by hand.
//! * [`json`]: JSON lines on standard output, limited in volume, for programs whose
//!   output is collected; [`queue`] holds them until they are written.

pub mod json;
pub mod queue;
pub mod rate_limit;

use anyhow::{Context, Result};
use log::kv::{self, Key, Value, VisitSource};
use std::fmt::Write;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// The crates whose lines are written at the level of the settings.
const OWN_CRATES: [&str; 7] = [
    "passway_router",
    "passway_controller",
    "passway_standins",
    "passway_process",
    "passway_instance",
    "passway_serving",
    "passway_users_platform",
];

/// A dispatch that lets our own lines through at `level`, others from warnings on.
fn dispatch(level: &str) -> Result<fern::Dispatch> {
    let level: log::LevelFilter = level.parse().context("log_level")?;
    let mut dispatch = fern::Dispatch::new().level(log::LevelFilter::Warn);
    for name in OWN_CRATES {
        dispatch = dispatch.level_for(name, level);
    }
    Ok(dispatch)
}

/// Time since 1970-01-01 UTC, as this machine's clock has it.
fn unix_time() -> Duration {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    elapsed.unwrap_or_default()
}

/// Starts logging to standard error.
///
/// A line is `time level target program message key=value ...`, the time in
/// seconds since 1970-01-01 UTC.
///
/// # Errors
/// If the level is not known or logging was started before.
pub fn start(program: &'static str, level: &str) -> Result<()> {
    dispatch(level)?
        .format(move |out, message, record| {
            let elapsed = unix_time();
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
