//! Time that a router adds to streams.

use anyhow::{Context, Result};
use passway_standins::cluster::{ClusterPlan, TestCluster};
use passway_standins::load::{Call, Outcome, Sample, call};
use passway_types::prelude::*;
use std::net::SocketAddr;

/// Streams at one time.
const STREAMS: [usize; 3] = [1, 50, 200];
/// Streams made for one figure.
const SAMPLES: usize = 1_000;

/// What a router adds in front of a warm engine, against the engine asked directly.
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
    let router = fleet.routers.first().context("a router")?.address();
    let engine = world
        .document
        .upstreams
        .first()
        .context("an engine")?
        .address
        .parse()?;
    ensure_whole(&stream_times(router, 1, 1)?)?;
    for streams in STREAMS {
        for (name, address) in [("engine", engine), ("router", router)] {
            let times = stream_times(address, streams, SAMPLES / streams)?;
            ensure_whole(&times)?;
            let quantile = |part: usize, of: fn(&Sample) -> Duration| {
                let mut all: Vec<Duration> = times.iter().map(of).collect();
                all.sort();
                all[(all.len() * part / 100).min(all.len() - 1)].as_secs_f64() * 1e3
            };
            println!(
                "  {streams:4} {name} {:7.2} {:7.2} {:7.2} {:7.2}",
                quantile(50, |s| s.first_token),
                quantile(99, |s| s.first_token),
                quantile(50, |s| s.total),
                quantile(99, |s| s.total)
            );
        }
    }
    Ok(())
}

fn ensure_whole(samples: &[Sample]) -> Result<()> {
    let broken = samples
        .iter()
        .find(|sample| sample.outcome != Outcome::Whole);
    broken.map_or(Ok(()), |sample| anyhow::bail!("{:?}", sample.outcome))
}

/// Makes `each` streams one after the other in each of `streams` threads.
fn stream_times(address: SocketAddr, streams: usize, each: usize) -> Result<Vec<Sample>> {
    let threads: Vec<_> = (0..streams)
        .map(|thread| {
            std::thread::spawn(move || {
                let samples = (0..each).map(|number| {
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
