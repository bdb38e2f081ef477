//! Runs the fault soak with a range of seeds and prints the report of each as a line of JSON.

use anyhow::{Context, Result};
use clap::Parser;
use passway_standins::soak::{self, SoakPlan};
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
    /// Number of engines.
    #[arg(long, default_value_t = 4)]
    engines: usize,
    /// Number of callers.
    #[arg(long, default_value_t = 24)]
    callers: usize,
    /// Number of faults.
    #[arg(long, default_value_t = 40)]
    steps: u64,
    /// Maximum time between two faults, in milliseconds.
    #[arg(long, default_value_t = 800)]
    pause_ms: u64,
    /// Leave out engine software releases, connections closed by callers and fault-free periods.
    #[arg(long)]
    no_releases: bool,
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
            engines: arguments.engines,
            callers: arguments.callers,
            fault_count: arguments.steps,
            max_pause: Duration::from_millis(arguments.pause_ms),
            has_releases: !arguments.no_releases,
        })?;
        println!("{}", serde_json::to_string(&report)?);
        if report.broken.is_empty() && !arguments.keep_logs {
            std::fs::remove_dir_all(&logs)
                .with_context(|| format!("removing {}", logs.display()))?;
        } else {
            broken += 1;
        }
    }
    Ok(ExitCode::from(u8::from(broken > 0)))
}
