//! Runs the fault soak with a range of seeds and prints the report of each as a line of JSON.

use anyhow::{Context, Result};
use clap::Parser;
use passway_standins::platform::stream_events::StreamShape;
use passway_standins::soak::{self, Disturbance, SoakPlan};
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

/// Runs real instances among stand-ins and injects random faults that a seed determines.
#[derive(Debug, Parser)]
struct Arguments {
    /// Program of the instances.
    #[arg(long, default_value = "target/release/passway-instance")]
    program: PathBuf,
    /// First seed.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Number of consecutive seeds to run.
    #[arg(long, default_value_t = 1)]
    seeds: u64,
    /// Number of instances.
    #[arg(long, default_value_t = 3)]
    instances: usize,
    /// Number of instances that run for a third of the time only.
    #[arg(long, default_value_t = 0)]
    throttled: usize,
    /// Number of engines.
    #[arg(long, default_value_t = 4)]
    engines: usize,
    /// Number of plain servers.
    #[arg(long, default_value_t = 2)]
    plain_servers: usize,
    /// Number of callers.
    #[arg(long, default_value_t = 24)]
    callers: usize,
    /// Minimum number of events in a stream.
    #[arg(long, default_value_t = 5)]
    min_events: u64,
    /// Maximum number of events in a stream.
    #[arg(long, default_value_t = 5)]
    max_events: u64,
    /// Maximum length of an event's padding, in bytes.
    #[arg(long, default_value_t = 0)]
    padding_bytes: u64,
    /// Delay before each event of a stream, in milliseconds.
    #[arg(long, default_value_t = 20)]
    event_delay_ms: u64,
    /// Number of faults.
    #[arg(long, default_value_t = 40)]
    steps: u64,
    /// Maximum time between two faults, in milliseconds.
    #[arg(long, default_value_t = 800)]
    pause_ms: u64,
    /// Leave out engine software releases, connections closed by callers and fault-free periods.
    #[arg(long)]
    no_releases: bool,
    /// Replace engines by engines of the same software version.
    #[arg(long)]
    one_version: bool,
    /// What disturbs the system; only faults include a release at the end.
    #[arg(long, value_enum, default_value = "faults")]
    disturbance: Disturbance,
    /// Keep the logs of all seeds.
    #[arg(long)]
    keep_logs: bool,
    /// Directory for the logs of seeds that violated a guarantee.
    #[arg(long, default_value = "target/soak")]
    logs: PathBuf,
}

fn main() -> Result<ExitCode> {
    let arguments = Arguments::parse();
    let mut broken = 0;
    for seed in arguments.seed..arguments.seed + arguments.seeds {
        let logs = arguments.logs.join(seed.to_string());
        std::fs::create_dir_all(&logs).with_context(|| format!("creating {}", logs.display()))?;
        let report = soak::run(&SoakPlan {
            executable: arguments.program.clone(),
            log_dir: logs.clone(),
            seed,
            instances: arguments.instances,
            throttled: arguments.throttled,
            engines: arguments.engines,
            plain_servers: arguments.plain_servers,
            callers: arguments.callers,
            shape: StreamShape {
                min_events: arguments.min_events,
                max_events: arguments.max_events,
                max_padding_bytes: arguments.padding_bytes,
            },
            event_delay: Duration::from_millis(arguments.event_delay_ms),
            fault_count: arguments.steps,
            max_pause: Duration::from_millis(arguments.pause_ms),
            has_releases: !arguments.no_releases && arguments.disturbance.has_faults(),
            has_one_version: arguments.one_version,
            disturbance: arguments.disturbance,
        })?;
        println!("{}", serde_json::to_string(&report)?);
        broken += u64::from(!report.broken.is_empty());
        if report.broken.is_empty() && !arguments.keep_logs {
            std::fs::remove_dir_all(&logs)
                .with_context(|| format!("removing {}", logs.display()))?;
        }
    }
    Ok(ExitCode::from(u8::from(broken > 0)))
}
