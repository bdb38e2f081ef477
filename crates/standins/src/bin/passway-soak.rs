//! Plays the fault soak with fresh or given seeds, and prints what came of each as a line of JSON.

use anyhow::{Context, Result};
use clap::Parser;
use passway_standins::soak::{self, SoakPlan};
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

/// Plays real instances among stand-ins, with faults drawn by a seed.
#[derive(Debug, Parser)]
struct Arguments {
    /// The instances' program.
    #[arg(long, default_value = "target/release/passway-instance")]
    program: PathBuf,
    /// First seed.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Seeds that are played one after the other.
    #[arg(long, default_value_t = 1)]
    seeds: u64,
    /// Instances.
    #[arg(long, default_value_t = 3)]
    instances: usize,
    /// Engines.
    #[arg(long, default_value_t = 4)]
    engines: usize,
    /// Callers.
    #[arg(long, default_value_t = 8)]
    callers: usize,
    /// Faults.
    #[arg(long, default_value_t = 40)]
    steps: u64,
    /// Longest pause between two faults, in milliseconds.
    #[arg(long, default_value_t = 800)]
    pause_ms: u64,
    /// Keep the logs of all seeds.
    #[arg(long)]
    keep_logs: bool,
    /// Where logs are kept of seeds that broke a promise.
    #[arg(long, default_value = "target/soak")]
    logs: PathBuf,
}

fn main() -> Result<ExitCode> {
    let arguments = Arguments::parse();
    let mut broken = 0;
    for seed in arguments.seed..arguments.seed + arguments.seeds {
        let logs = arguments.logs.join(seed.to_string());
        std::fs::create_dir_all(&logs).with_context(|| format!("making {}", logs.display()))?;
        let report = soak::run(&SoakPlan {
            executable: arguments.program.clone(),
            log_dir: logs.clone(),
            seed,
            instances: arguments.instances,
            engines: arguments.engines,
            callers: arguments.callers,
            fault_count: arguments.steps,
            max_pause: Duration::from_millis(arguments.pause_ms),
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
