//! The whole path in one process on embedded stand-ins.

use anyhow::{Result, ensure};
use clap::Parser;
use passway_standins::cluster::{ClusterPlan, TestCluster};
use passway_standins::load::{Burst, Outcome, Sample};
use passway_types::prelude::*;
use std::collections::BTreeMap;

/// Wakes a sleeping model with a burst of first requests at all routers.
#[derive(Debug, Parser)]
#[command(version)]
struct Arguments {
    /// First requests, spread over the routers.
    #[arg(long, default_value_t = 200)]
    requests: usize,
    /// Entry instances.
    #[arg(long, default_value_t = 6)]
    instances: usize,
    /// Replicas that the configuration allows.
    #[arg(long, default_value_t = 1)]
    max_replicas: u32,
    /// Lowest level that is logged.
    #[arg(long, default_value = "warn")]
    log_level: String,
}

/// The model that is asleep when the burst comes.
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

fn report(samples: &[Sample]) {
    let mut outcomes: BTreeMap<String, usize> = BTreeMap::new();
    for sample in samples {
        *outcomes.entry(format!("{:?}", sample.outcome)).or_default() += 1;
    }
    for (outcome, count) in outcomes {
        println!("  {count:5}  {outcome}");
    }
    let mut firsts: Vec<Duration> = samples.iter().map(|sample| sample.first_token).collect();
    firsts.sort();
    for (name, part) in [("p50", 50), ("p99", 99), ("max", 100)] {
        let index = (firsts.len() * part / 100).saturating_sub(1);
        if let Some(first) = firsts.get(index) {
            println!("  first token {name}: {} ms", first.as_millis());
        }
    }
}
