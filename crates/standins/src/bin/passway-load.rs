//! Runs routers and controllers with a seeded trace and reports latencies, loads and idle memory.

use anyhow::{Context, Result};
use clap::Parser;
use hdrhistogram::Histogram;
use passway_config::document::{KeepEntry, KeepPolicyName};
use passway_standins::cluster::{ClusterPlan, TestCluster};
use passway_standins::engine::Engine;
use passway_standins::load::{Call, Outcome, call};
use passway_standins::trace::{Deployment, Purpose, TraceRequest, generate_requests};
use passway_types::prelude::*;
use serde::Serialize;
use std::collections::BTreeMap;
use std::fmt::Write;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;

/// Runs the same trace with each variant and prints a table.
///
/// A variant is a retention policy: `fixed:MS`, `ski_rental:COLD` or `histogram:COLD`,
/// where COLD is the cost of a second of waiting for a cold start relative to an idle second.
#[derive(Debug, Parser)]
#[command(version)]
struct Arguments {
    /// Deployment whose demand the trace follows: `market` or `laundry`.
    #[arg(long, default_value = "market")]
    site: Deployment,
    /// Variants, separated by commas, the baseline first.
    #[arg(
        long,
        value_delimiter = ',',
        default_value = "fixed:10000,ski_rental:10,histogram:10"
    )]
    variants: Vec<String>,
    /// Seed of the trace.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Length of each run, in seconds. A run compresses a day.
    #[arg(long, default_value_t = 60)]
    length_s: u64,
    /// Mean number of requests per second outside rushes.
    #[arg(long, default_value_t = 8.0)]
    rate_per_s: f64,
    /// File for the report as JSON.
    #[arg(long)]
    json: Option<PathBuf>,
    /// File for the plot as SVG.
    #[arg(long)]
    svg: Option<PathBuf>,
}

/// Interval at which the idle memory of the engines is sampled.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(50);

/// Result of one run.
#[derive(Debug, Clone, Serialize)]
struct Report {
    variant: String,
    /// Number of requests sent.
    requests: usize,
    /// Number of complete answers.
    whole: usize,
    /// Number of refused requests by refusal code.
    refused: BTreeMap<u64, usize>,
    /// Number of answers that were incomplete or wrong; must be 0.
    broken: usize,
    /// Number of engines whose ledger shows a violated guarantee; must be 0.
    broken_promises: usize,
    /// Number of complete answers for models that no engine had loaded when the request was sent.
    cold: u64,
    cold_p50_ms: u64,
    cold_p95_ms: u64,
    cold_p99_ms: u64,
    warm_p50_ms: u64,
    warm_p99_ms: u64,
    /// Number of model loads over all engines.
    loads: u32,
    /// Idle memory over time, in seconds of one engine's whole memory.
    idle_engine_s: f64,
}

fn main() -> Result<()> {
    let arguments = Arguments::parse();
    let length = Duration::from_secs(arguments.length_s);
    let mut reports = Vec::new();
    for variant in &arguments.variants {
        let retention = retention_of(variant)?;
        let plan = ClusterPlan {
            retention,
            max_replicas: 2,
            ..ClusterPlan::default()
        };
        let trace = generate_requests(
            arguments.site,
            arguments.seed,
            length,
            arguments.rate_per_s,
            plan.models,
            plan.adapters,
        );
        reports.push(run(variant, plan, &trace)?);
    }
    print_table(&reports);
    if let Some(path) = &arguments.json {
        std::fs::write(path, serde_json::to_string_pretty(&reports)?)
            .context("writing the JSON report")?;
    }
    if let Some(path) = &arguments.svg {
        std::fs::write(path, plot(&reports)).context("writing the SVG plot")?;
    }
    Ok(())
}

/// Parses a variant into a retention policy.
fn retention_of(variant: &str) -> Result<KeepEntry> {
    let (policy, number) = variant
        .split_once(':')
        .context("a variant must be POLICY:NUMBER")?;
    let number: f64 = number
        .parse()
        .context("the number of a variant is invalid")?;
    let entry = KeepEntry::default();
    Ok(match policy {
        "fixed" => KeepEntry {
            policy: KeepPolicyName::Fixed,
            max_idle_ms: Duration::from_secs_f64(number / 1_000.0)
                .as_millis()
                .try_into()?,
            ..entry
        },
        "ski_rental" => KeepEntry {
            policy: KeepPolicyName::SkiRental,
            cold_weight: number,
            ..entry
        },
        "histogram" => KeepEntry {
            policy: KeepPolicyName::Histogram,
            cold_weight: number,
            ..entry
        },
        other => anyhow::bail!("unknown retention policy {other}"),
    })
}

/// Runs the trace with one variant.
fn run(variant: &str, plan: ClusterPlan, trace: &[TraceRequest]) -> Result<Report> {
    let world = Arc::new(TestCluster::start(plan)?);
    let fleet = world.start_fleet()?;
    let routers: Vec<SocketAddr> = fleet
        .routers
        .iter()
        .map(passway_router::Router::address)
        .collect();
    let idle_sampler = Sampler::start(world.clone());
    let began_at = Instant::now();
    let mut callers: Vec<JoinHandle<(bool, passway_standins::load::Sample)>> = Vec::new();
    for (number, request) in trace.iter().enumerate() {
        std::thread::sleep(request.arrives_after.saturating_sub(began_at.elapsed()));
        let is_cold = !world
            .engines
            .iter()
            .any(|engine| engine.is_ready(&request.model));
        let request_call = call_of(request, number, routers[number % routers.len()]);
        callers.push(std::thread::spawn(move || (is_cold, call(&request_call))));
    }
    let mut samples = Vec::new();
    for caller in callers {
        samples.push(
            caller
                .join()
                .map_err(|_| anyhow::anyhow!("a caller panicked"))?,
        );
    }
    let idle_engine_s = idle_sampler.stop();
    let report = report(variant, &world, &samples, idle_engine_s)?;
    for controller in fleet.controllers {
        controller.stop();
    }
    Ok(report)
}

/// Builds the call for a request of the trace.
fn call_of(request: &TraceRequest, number: usize, router: SocketAddr) -> Call {
    let (workspace, tokens, deadline_s) = match request.purpose {
        Purpose::Rush => ("stalls", 16, 8),
        Purpose::Lookup => ("default", 4, 8),
        Purpose::Night => ("growers", 60, 60),
    };
    Call {
        router,
        model: request.model.clone(),
        workspace: workspace.into(),
        prompt: format!("question {number}"),
        tokens,
        stream: true,
        deadline: Duration::from_secs(deadline_s),
    }
}

/// A thread that integrates the idle memory of all engines over time.
struct Sampler {
    is_stopped: Arc<AtomicBool>,
    thread: JoinHandle<f64>,
}

impl Sampler {
    fn start(world: Arc<TestCluster>) -> Self {
        let is_stopped = Arc::new(AtomicBool::new(false));
        let thread_is_stopped = is_stopped.clone();
        let thread = std::thread::spawn(move || {
            let mut idle_engine_s = 0.0;
            let mut sampled_at = Instant::now();
            while !thread_is_stopped.load(Ordering::Relaxed) {
                std::thread::sleep(SAMPLE_INTERVAL);
                let now = Instant::now();
                let idle: f64 = world.engines.iter().map(Engine::idle_memory_ratio).sum();
                idle_engine_s += idle * (now - sampled_at).as_secs_f64();
                sampled_at = now;
            }
            idle_engine_s
        });
        Self { is_stopped, thread }
    }

    /// Stops the thread and returns the idle time, in seconds of one engine's whole memory.
    fn stop(self) -> f64 {
        self.is_stopped.store(true, Ordering::Relaxed);
        self.thread.join().unwrap_or(f64::NAN)
    }
}

/// Builds the report of a run.
fn report(
    variant: &str,
    world: &TestCluster,
    samples: &[(bool, passway_standins::load::Sample)],
    idle_engine_s: f64,
) -> Result<Report> {
    let mut cold = Histogram::<u64>::new(3)?;
    let mut warm = Histogram::<u64>::new(3)?;
    let mut refused = BTreeMap::new();
    let mut whole = 0;
    let mut broken = 0;
    for (is_cold, sample) in samples {
        match &sample.outcome {
            Outcome::Whole => {
                whole += 1;
                let first_token_ms = u64::try_from(sample.first_token.as_millis())?;
                let histogram = if *is_cold { &mut cold } else { &mut warm };
                histogram.record(first_token_ms)?;
            }
            Outcome::Refused { code, .. } => *refused.entry(*code).or_default() += 1,
            Outcome::Broken(_) => broken += 1,
        }
    }
    let ledgers: Vec<_> = world.engines.iter().map(Engine::ledger).collect();
    let violations = ledgers
        .iter()
        .filter(|l| l.most_bytes > world.plan.engine_mb << 20 || l.no_room > 0);
    Ok(Report {
        variant: variant.to_owned(),
        requests: samples.len(),
        whole,
        refused,
        broken,
        broken_promises: violations.count(),
        cold: cold.len(),
        cold_p50_ms: cold.value_at_quantile(0.5),
        cold_p95_ms: cold.value_at_quantile(0.95),
        cold_p99_ms: cold.value_at_quantile(0.99),
        warm_p50_ms: warm.value_at_quantile(0.5),
        warm_p99_ms: warm.value_at_quantile(0.99),
        loads: ledgers
            .iter()
            .flat_map(|ledger| ledger.loads.values())
            .sum(),
        idle_engine_s,
    })
}

fn print_table(reports: &[Report]) {
    println!(
        "variant          requests whole refused broken promises cold cold_p50 cold_p95 cold_p99 \
         warm_p50 warm_p99 loads idle_engine_s"
    );
    for r in reports {
        let refused: usize = r.refused.values().sum();
        println!(
            "{:16} {:8} {:5} {refused:7} {:6} {:8} {:4} {:8} {:8} {:8} {:8} {:8} {:5} {:13.1}",
            r.variant,
            r.requests,
            r.whole,
            r.broken,
            r.broken_promises,
            r.cold,
            r.cold_p50_ms,
            r.cold_p95_ms,
            r.cold_p99_ms,
            r.warm_p50_ms,
            r.warm_p99_ms,
            r.loads,
            r.idle_engine_s
        );
    }
}

/// Plots the p99 of cold starts over the idle time, one point per variant.
fn plot(reports: &[Report]) -> String {
    let max_idle_s = reports.iter().map(|r| r.idle_engine_s).fold(1.0, f64::max);
    let max_ms = reports
        .iter()
        .map(|r| r.cold_p99_ms)
        .max()
        .unwrap_or(1)
        .max(1);
    let mut svg = String::from(
        "<svg xmlns='http://www.w3.org/2000/svg' width='640' height='400' font-family='sans-serif' font-size='12'>\
         <rect width='640' height='400' fill='white'/>\
         <line x1='60' y1='350' x2='620' y2='350' stroke='black'/>\
         <line x1='60' y1='20' x2='60' y2='350' stroke='black'/>\
         <text x='250' y='385'>idle engine seconds</text>\
         <text x='15' y='250' transform='rotate(-90 15 250)'>cold start p99, ms</text>",
    );
    for r in reports {
        let x = 60.0 + r.idle_engine_s / max_idle_s * 460.0;
        #[expect(clippy::cast_precision_loss, reason = "a plot")]
        let y = 350.0 - r.cold_p99_ms as f64 / max_ms as f64 * 300.0;
        // Writing to a string cannot fail.
        let _ = write!(
            svg,
            "<circle cx='{x:.0}' cy='{y:.0}' r='5'/><text x='{:.0}' y='{:.0}'>{} ({:.0} s, {} ms)</text>",
            x + 8.0,
            y + 4.0,
            r.variant,
            r.idle_engine_s,
            r.cold_p99_ms
        );
    }
    svg + "</svg>\n"
}
