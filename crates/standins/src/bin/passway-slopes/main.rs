//! Measures the slopes that `docs/CAPACITY.md` is worked out from.

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

/// Prints state, time, messages and calls against size.
#[derive(Debug, Parser)]
#[command(version)]
struct Arguments {
    /// Time for which each fleet and role is watched, in seconds.
    #[arg(long, default_value_t = 10)]
    watch_s: u64,
    /// What to measure, with commas between.
    #[arg(long, value_delimiter = ',', default_values_t = PARTS.map(str::to_owned))]
    parts: Vec<String>,
}

/// Everything that can be measured.
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
    let watch = Duration::from_secs(arguments.watch_s);
    for part in &arguments.parts {
        match part.as_str() {
            "configuration" => configuration::measure()?,
            "router" => router::measure(),
            "cell" => cell::measure()?,
            "roles" => roles::measure(watch)?,
            "fleets" => fleets::measure(watch)?,
            "latency" => latency::measure()?,
            other => anyhow::bail!("{other} is none of {}", PARTS.join(", ")),
        }
    }
    Ok(())
}
