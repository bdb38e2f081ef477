//! Compares placement policies in the fleet simulation, and writes the results as JSON and as a
//! plot.

use anyhow::{Context, Result};
use clap::Parser;
use passway_serving::placement::policy::PolicyName;
use passway_standins::fleet_model::{FleetSize, InitialDisks, Outcome, Run};
use std::fmt::Write;
use std::path::PathBuf;

/// Runs policies in virtual time with the same demand and prints a line for each run.
#[derive(Debug, Parser)]
struct Arguments {
    /// Fleet size: today, grown or target.
    #[arg(long, default_value = "today", value_parser = parse_size)]
    size: FleetSize,
    /// Policies, separated by commas.
    #[arg(long, value_delimiter = ',', default_value = "balanced,on-demand")]
    policies: Vec<PolicyName>,
    /// First seed.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Number of runs of each policy, with consecutive seeds.
    #[arg(long, default_value_t = 3)]
    runs: u64,
    /// Simulated time of a run, in seconds.
    #[arg(long, default_value_t = 60)]
    seconds: u64,
    /// Start with only the resident models on the engines' disks.
    #[arg(long)]
    cold: bool,
    /// File for the results as JSON.
    #[arg(long)]
    json: Option<PathBuf>,
    /// File for a plot of cold starts against idle model slots, as SVG.
    #[arg(long)]
    svg: Option<PathBuf>,
}

fn parse_size(name: &str) -> Result<FleetSize, String> {
    FleetSize::by_name(name).ok_or_else(|| format!("{name} is neither today, grown nor target"))
}

fn main() -> Result<()> {
    let arguments = Arguments::parse();
    let disks = if arguments.cold {
        InitialDisks::Empty
    } else {
        InitialDisks::Filled
    };
    let mut outcomes = Vec::new();
    println!(
        "policy          seed  rare in aim  rare p50  rare p99  busy in aim  refused  idle  store  near"
    );
    for policy in &arguments.policies {
        for seed in arguments.seed..arguments.seed + arguments.runs {
            let run = Run::new(arguments.size, *policy, disks, seed);
            let outcome = run.simulate(arguments.seconds);
            println!("{}", table_line(&outcome));
            outcomes.push(outcome);
        }
    }
    if let Some(path) = &arguments.json {
        let text = serde_json::to_string_pretty(&outcomes).context("encoding outcomes")?;
        std::fs::write(path, text).with_context(|| path.display().to_string())?;
    }
    if let Some(path) = &arguments.svg {
        std::fs::write(path, plot(&outcomes)).with_context(|| path.display().to_string())?;
    }
    Ok(())
}

/// Formats one line of the printed table.
fn table_line(outcome: &Outcome) -> String {
    format!(
        "{:<15} {:>4}  {:>11.3}  {:>6} ms  {:>5} ms  {:>11.3}  {:>7}  {:.2}  {:>5}  {:>4}",
        outcome.policy,
        outcome.seed,
        outcome.rare.in_aim_ratio(),
        outcome.rare.p50_ms,
        outcome.rare.p99_ms,
        outcome.busy.in_aim_ratio(),
        outcome.rare.refused + outcome.busy.refused,
        outcome.idle_part,
        outcome.store_loads,
        outcome.near_loads,
    )
}

/// Width of the plot, in pixels.
const WIDTH: f64 = 640.0;
/// Height of the plot, in pixels.
const HEIGHT: f64 = 400.0;
/// Margin around the axes, in pixels.
const MARGIN: f64 = 60.0;
/// Time to the first token at the top of the plot.
const LATEST_MS: f64 = 10_000.0;

/// Plots the p99 of cold starts over the idle ratio of model slots, one point per run.
fn plot(outcomes: &[Outcome]) -> String {
    let mut svg = format!(
        "<svg xmlns='http://www.w3.org/2000/svg' width='{WIDTH}' height='{HEIGHT}' \
         font-family='sans-serif' font-size='12'>\n\
         <rect width='100%' height='100%' fill='white'/>\n\
         <text x='{MARGIN}' y='20'>first token of rare models, p99 (0 to 10 s), over the idle ratio of model slots (0 to 1)</text>\n\
         <path d='M{MARGIN} {MARGIN} V{bottom} H{right}' fill='none' stroke='black'/>\n",
        bottom = HEIGHT - MARGIN,
        right = WIDTH - MARGIN,
    );
    for outcome in outcomes {
        let x = MARGIN + outcome.idle_part * (WIDTH - 2.0 * MARGIN);
        let p99_ms = f64::from(u32::try_from(outcome.rare.p99_ms).unwrap_or(u32::MAX));
        let ratio = (p99_ms / LATEST_MS).min(1.0);
        let y = HEIGHT - MARGIN - ratio * (HEIGHT - 2.0 * MARGIN);
        // Writing to a string cannot fail.
        let _ = writeln!(
            svg,
            "<circle cx='{x:.1}' cy='{y:.1}' r='3'/><text x='{:.1}' y='{y:.1}'>{}</text>",
            x + 5.0,
            outcome.policy
        );
    }
    svg.push_str("</svg>\n");
    svg
}
