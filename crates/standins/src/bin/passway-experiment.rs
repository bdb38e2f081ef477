//! Runs placement policies against each other in the model of a fleet, and writes what
//! came of it as JSON and as a picture.

use anyhow::{Context, Result};
use clap::Parser;
use passway_serving::placement::policy::PolicyName;
use passway_standins::fleet_model::{FleetSize, InitialDisks, Outcome, Run};
use std::fmt::Write;
use std::path::PathBuf;

/// Runs policies in virtual time with the same demand and prints a line for each.
#[derive(Debug, Parser)]
struct Arguments {
    /// today, grown or target.
    #[arg(long, default_value = "today", value_parser = size)]
    size: FleetSize,
    /// Policies, divided by commas.
    #[arg(long, value_delimiter = ',', default_value = "balanced,on-demand")]
    policies: Vec<PolicyName>,
    /// First seed.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Runs of each policy, with one seed after the other.
    #[arg(long, default_value_t = 3)]
    runs: u64,
    /// Virtual time of a run, in seconds.
    #[arg(long, default_value_t = 60)]
    seconds: u64,
    /// Begin with nothing on the engines' disks but what stands on them.
    #[arg(long)]
    cold: bool,
    /// Where the outcomes go as JSON.
    #[arg(long)]
    json: Option<PathBuf>,
    /// Where the picture goes: cold starts against idle places.
    #[arg(long)]
    svg: Option<PathBuf>,
}

fn size(name: &str) -> Result<FleetSize, String> {
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
            println!("{}", line(&outcome));
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

fn line(outcome: &Outcome) -> String {
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

const WIDTH: f64 = 640.0;
const HEIGHT: f64 = 400.0;
const MARGIN: f64 = 60.0;
/// The latest first token that the picture shows.
const LATEST_MS: f64 = 10_000.0;

/// Cold starts' p99 over the idle part of places, one point a run.
fn plot(outcomes: &[Outcome]) -> String {
    let mut svg = format!(
        "<svg xmlns='http://www.w3.org/2000/svg' width='{WIDTH}' height='{HEIGHT}' \
         font-family='sans-serif' font-size='12'>\n\
         <rect width='100%' height='100%' fill='white'/>\n\
         <text x='{MARGIN}' y='20'>first token of rare models, p99 (0 to 10 s), over the idle part of places (0 to 1)</text>\n\
         <path d='M{MARGIN} {MARGIN} V{bottom} H{right}' fill='none' stroke='black'/>\n",
        bottom = HEIGHT - MARGIN,
        right = WIDTH - MARGIN,
    );
    for outcome in outcomes {
        let x = MARGIN + outcome.idle_part * (WIDTH - 2.0 * MARGIN);
        let p99_ms = f64::from(u32::try_from(outcome.rare.p99_ms).unwrap_or(u32::MAX));
        let part = (p99_ms / LATEST_MS).min(1.0);
        let y = HEIGHT - MARGIN - part * (HEIGHT - 2.0 * MARGIN);
        // Writing into a string does not fail.
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
