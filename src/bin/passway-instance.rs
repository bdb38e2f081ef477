//! One instance on the users' platform, started from the platform's settings file.

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

/// Pause between two looks at the settings file.
const SETTINGS_PAUSE: Duration = Duration::from_secs(2);
/// Exit code when the settings cannot be used.
const BAD_SETTINGS: u8 = 2;

/// Serves callers on the users' platform. Settings come from the file that the
/// platform names in the environment. SIGTERM finishes what is in progress and ends.
#[derive(Debug, Parser)]
#[command(version)]
struct Arguments {
    /// Least important log lines that are written.
    #[arg(long, default_value = "info")]
    log_level: String,
    /// Log lines a second, in the mean; the ends of requests come first.
    #[arg(long, default_value_t = 100)]
    log_lines_per_s: u32,
    /// What is worth bringing to engines: balanced, or a baseline to measure against.
    #[arg(long, default_value_t)]
    placement: PolicyName,
    /// Only check the settings.
    #[arg(long)]
    check: bool,
}

fn main() -> Result<ExitCode> {
    let arguments = Arguments::parse();
    let mut settings = match read_settings() {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{error:#}");
            return Ok(ExitCode::from(BAD_SETTINGS));
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
    while signals.recv_timeout(SETTINGS_PAUSE) != Ok(SignalEvent::Stop) {
        // The file may change with or without a signal.
        match read_settings() {
            Ok(settings) => instance.reload(&settings),
            Err(error) => {
                log::warn!(error:% = format!("{error:#}"); "changed settings cannot be used");
            }
        }
    }
    instance.stop();
    std::thread::sleep(logging::json::max_flush_delay());
    Ok(ExitCode::SUCCESS)
}
