//! Measures how costs grow with size; `docs/CAPACITY.md` is calculated from these figures.

mod cell;
mod configuration;
mod fleets;
mod latency;
mod measure;
mod revisions;
mod roles;
mod router;

use anyhow::Result;
use clap::Parser;
use passway_types::prelude::*;

/// Prints memory, times, messages and calls for each size.
#[derive(Debug, Parser)]
#[command(version)]
struct Arguments {
    /// Time for which each fleet and role is observed, in seconds.
    #[arg(long, default_value_t = 10)]
    watch_s: u64,
    /// Measurements to run, separated by commas.
    #[arg(long, value_delimiter = ',', default_values_t = PARTS.map(str::to_owned))]
    parts: Vec<String>,
}

/// Names of all measurements.
const PARTS: [&str; 6] = [
    "configuration",
    "router",
    "cell",
    "roles",
    "fleets",
    "latency",
];

fn main() -> Result<()> {
    let arguments = Arguments::parse();
    let observation_time = Duration::from_secs(arguments.watch_s);
    for part in &arguments.parts {
        match part.as_str() {
            "configuration" => configuration::measure()?,
            "router" => router::measure(),
            "cell" => cell::measure()?,
            "roles" => roles::measure(observation_time)?,
            "fleets" => fleets::measure(observation_time)?,
            "latency" => latency::measure()?,
            other => anyhow::bail!(
                "unknown measurement {other}, expected one of {}",
                PARTS.join(", ")
            ),
        }
    }
    Ok(())
}
