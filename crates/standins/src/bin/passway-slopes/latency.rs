//! Latency that a router adds to streams.

use anyhow::{Context, Result};
use passway_standins::cluster::{ClusterPlan, TestCluster};
use passway_standins::load::{Call, Outcome, Sample, call};
use passway_types::prelude::*;
use std::net::SocketAddr;

/// Numbers of concurrent streams.
const STREAMS: [usize; 3] = [1, 50, 200];
/// Number of streams for each figure.
const SAMPLES: usize = 1_000;

/// Prints latencies of streams from a warm engine, directly and through a router.
pub fn measure() -> Result<()> {
    println!("latency: streams to first_p50_ms first_p99_ms whole_p50_ms whole_p99_ms");
    let plan = ClusterPlan {
        instances: 1,
        engines: 1,
        slots: 1_024,
        ..ClusterPlan::default()
    };
    let world = TestCluster::start(plan)?;
    let fleet = world.start_fleet()?;
    let router = fleet
        .routers
        .first()
        .context("the fleet has no router")?
        .address();
    let engine = world
        .document
        .upstreams
        .first()
        .context("the configuration has no engine")?
        .address
        .parse()?;
    ensure_whole(&stream_times(router, 1, 1)?)?;
    for streams in STREAMS {
        for (name, address) in [("engine", engine), ("router", router)] {
            let samples = stream_times(address, streams, SAMPLES / streams)?;
            ensure_whole(&samples)?;
            let quantile_ms = |percent: usize, time_of: fn(&Sample) -> Duration| {
                let mut all: Vec<Duration> = samples.iter().map(time_of).collect();
                all.sort();
                all[(all.len() * percent / 100).min(all.len() - 1)].as_secs_f64() * 1e3
            };
            println!(
                "  {streams:4} {name} {:7.2} {:7.2} {:7.2} {:7.2}",
                quantile_ms(50, |s| s.first_token),
                quantile_ms(99, |s| s.first_token),
                quantile_ms(50, |s| s.total),
                quantile_ms(99, |s| s.total)
            );
        }
    }
    Ok(())
}

/// Fails if any stream was not complete.
fn ensure_whole(samples: &[Sample]) -> Result<()> {
    let failed = samples
        .iter()
        .find(|sample| sample.outcome != Outcome::Whole);
    failed.map_or(Ok(()), |sample| anyhow::bail!("{:?}", sample.outcome))
}

/// Runs `streams` threads that each make `per_thread` streams one after the other.
fn stream_times(address: SocketAddr, streams: usize, per_thread: usize) -> Result<Vec<Sample>> {
    let threads: Vec<_> = (0..streams)
        .map(|thread| {
            std::thread::spawn(move || {
                let samples = (0..per_thread).map(|number| {
                    call(&Call {
                        router: address,
                        model: "model1@1".into(),
                        workspace: "default".into(),
                        prompt: format!("question {thread} {number}"),
                        tokens: 8,
                        stream: true,
                        deadline: Duration::from_secs(30),
                    })
                });
                samples.collect::<Vec<_>>()
            })
        })
        .collect();
    let mut samples = Vec::new();
    for thread in threads {
        samples.extend(
            thread
                .join()
                .map_err(|_| anyhow::anyhow!("a caller panicked"))?,
        );
    }
    Ok(samples)
}
