//! One instance on the users' platform, started with the platform's settings file.

use anyhow::Result;
use clap::Parser;
use passway_instance::{Instance, Surroundings};
use passway_process::logging;
use passway_process::signals::SignalEvent;
use passway_serving::placement::policy::PolicyName;
use passway_users_platform::{
    MetadataStore, PlatformDirectory, PlatformHeaders, ServerControl, read_settings,
};
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

/// Interval between two reads of the settings file.
const SETTINGS_INTERVAL: Duration = Duration::from_secs(2);
/// Exit code if the settings cannot be used.
const BAD_SETTINGS_EXIT_CODE: u8 = 2;

/// Serves callers on the users' platform. The environment of the process names the settings
/// file. On SIGTERM the instance finishes the requests in progress and exits.
#[derive(Debug, Parser)]
#[command(version)]
struct Arguments {
    /// Minimum level of log lines that are written.
    #[arg(long, default_value = "info")]
    log_level: String,
    /// Average number of log lines per second; lines about the end of a request have priority.
    #[arg(long, default_value_t = 100)]
    log_lines_per_s: u32,
    /// Placement policy: balanced, or a baseline for measurements.
    #[arg(long, default_value_t)]
    placement: PolicyName,
    /// Check the settings and exit.
    #[arg(long)]
    check: bool,
}

fn main() -> Result<ExitCode> {
    let arguments = Arguments::parse();
    let mut settings = match read_settings() {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{error:#}");
            return Ok(ExitCode::from(BAD_SETTINGS_EXIT_CODE));
        }
    };
    if arguments.check {
        println!("no faults");
        return Ok(ExitCode::SUCCESS);
    }
    settings.placement = arguments.placement;
    logging::json::start(
        "passway-instance",
        &arguments.log_level,
        arguments.log_lines_per_s,
    )?;
    let signals = passway_process::signals::signal_events()?;
    let surroundings = Surroundings {
        store: Arc::new(MetadataStore::new(settings.store_address)),
        directory: Arc::new(PlatformDirectory),
        vocabulary: Box::new(PlatformHeaders),
        engines: Arc::new(ServerControl::default()),
    };
    let instance = Instance::start(settings, surroundings)?;
    while signals.recv_timeout(SETTINGS_INTERVAL) != Ok(SignalEvent::Stop) {
        // The file is read after a timeout too, because it may change without a signal.
        match read_settings() {
            Ok(settings) => instance.reload(&settings),
            Err(error) => {
                log::warn!(error:% = format!("{error:#}"); "the settings file cannot be used; the previous settings stay in effect");
            }
        }
    }
    instance.stop();
    std::thread::sleep(logging::json::max_flush_delay());
    Ok(ExitCode::SUCCESS)
}
