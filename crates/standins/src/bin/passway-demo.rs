//! Runs the complete request path in one process on embedded stand-ins.

use anyhow::{Result, ensure};
use clap::Parser;
use passway_standins::cluster::{ClusterPlan, TestCluster};
use passway_standins::load::{Burst, Outcome, Sample};
use passway_types::prelude::*;
use std::collections::BTreeMap;

/// Loads a model that is not resident by sending a burst of first requests to all routers.
#[derive(Debug, Parser)]
#[command(version)]
struct Arguments {
    /// Number of first requests, spread over the routers.
    #[arg(long, default_value_t = 200)]
    requests: usize,
    /// Number of instances, each with a router and a controller.
    #[arg(long, default_value_t = 6)]
    instances: usize,
    /// Maximum number of replicas that the configuration allows.
    #[arg(long, default_value_t = 1)]
    max_replicas: u32,
    /// Minimum level of log messages.
    #[arg(long, default_value = "warn")]
    log_level: String,
}

/// Model of the burst; no engine has it loaded when the burst starts.
const MODEL: &str = "model7@1";
/// Deadline of each request.
const DEADLINE: Duration = Duration::from_secs(30);

fn main() -> Result<()> {
    let arguments = Arguments::parse();
    passway_process::logging::start("passway-demo", &arguments.log_level)?;
    let plan = ClusterPlan {
        instances: arguments.instances,
        max_replicas: arguments.max_replicas,
        ..ClusterPlan::default()
    };
    let world = TestCluster::start(plan)?;
    let fleet = world.start_fleet()?;
    println!(
        "{} routers and controllers, {} engines, {} models and {} adapters, all asleep",
        fleet.routers.len(),
        world.engines.len(),
        world.document.models.len(),
        world.document.adapters.len()
    );
    println!(
        "{} first requests for {MODEL} at all routers ...",
        arguments.requests
    );
    let routers: Vec<_> = fleet
        .routers
        .iter()
        .map(passway_router::Router::address)
        .collect();
    let burst = Burst {
        model: MODEL.into(),
        count: arguments.requests,
        tokens: 16,
        deadline: DEADLINE,
    };
    let samples = burst.run(&routers);
    report(&samples);
    let loads = world.load_count(MODEL);
    println!(
        "loads of {MODEL}: {loads}, allowed: {}",
        arguments.max_replicas
    );
    let whole = samples
        .iter()
        .filter(|sample| sample.outcome == Outcome::Whole)
        .count();
    ensure!(
        whole == arguments.requests,
        "{whole} of {} answers are whole",
        arguments.requests
    );
    ensure!(
        (1..=arguments.max_replicas).contains(&loads),
        "{loads} loads"
    );
    Ok(())
}

/// Prints the count of each outcome and quantiles of the time to the first token.
fn report(samples: &[Sample]) {
    let mut outcomes: BTreeMap<String, usize> = BTreeMap::new();
    for sample in samples {
        *outcomes.entry(format!("{:?}", sample.outcome)).or_default() += 1;
    }
    for (outcome, count) in outcomes {
        println!("  {count:5}  {outcome}");
    }
    let mut first_token_times: Vec<Duration> =
        samples.iter().map(|sample| sample.first_token).collect();
    first_token_times.sort();
    for (name, percent) in [("p50", 50), ("p99", 99), ("max", 100)] {
        let index = (first_token_times.len() * percent / 100).saturating_sub(1);
        if let Some(first) = first_token_times.get(index) {
            println!("  first token {name}: {} ms", first.as_millis());
        }
    }
}
