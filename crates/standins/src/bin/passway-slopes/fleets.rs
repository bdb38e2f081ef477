//! Store calls and control traffic of idle fleets, and the propagation delay of a configuration.

use anyhow::{Context, Result};
use passway_config::revision;
use passway_platform::key_value::KeyValue;
use passway_standins::cluster::{ClusterPlan, Fleet, TestCluster};
use passway_types::prelude::*;

/// Numbers of instances of the measured fleets.
const FLEETS: [usize; 5] = [3, 6, 12, 24, 48];

/// Prints the store calls and control traffic of idle fleets that run in this process, and the
/// propagation delay of a configuration.
pub fn measure(observation_time: Duration) -> Result<()> {
    println!(
        "fleet: instances kv_reads_per_s kv_writes_per_s control_bytes_per_s_per_instance spread_ms"
    );
    for instances in FLEETS {
        let world = TestCluster::start(ClusterPlan {
            instances,
            ..ClusterPlan::default()
        })?;
        let fleet = world.start_fleet()?;
        std::thread::sleep(Duration::from_secs(3));
        let calls_before = world.key_value.calls();
        let bytes_before = passway_wire::link::sent_bytes();
        std::thread::sleep(observation_time);
        let calls_after = world.key_value.calls();
        let seconds = observation_time.as_secs();
        let sent_bytes = passway_wire::link::sent_bytes() - bytes_before;
        let delay = propagation_delay(&world, &fleet)?;
        println!(
            "  {instances:4} {:7.2} {:7.2} {:8} {:6}",
            rate(calls_after.reads - calls_before.reads, seconds),
            rate(calls_after.writes - calls_before.writes, seconds),
            sent_bytes / seconds / instances as u64,
            delay.as_millis()
        );
        for controller in fleet.controllers {
            controller.stop();
        }
        drop(fleet.routers);
    }
    Ok(())
}

/// Changes the configuration and returns the time until it is in effect at every router.
fn propagation_delay(world: &TestCluster, fleet: &Fleet) -> Result<Duration> {
    let read = world.key_value.get(revision::CURRENT_KEY);
    let current = read
        .ok()
        .flatten()
        .context("the store has no configuration")?;
    let mut next = revision::decode(&current.value)?;
    next.revision += 1;
    let started_at = Instant::now();
    let encoded = revision::encode(&next)?;
    let result = world
        .key_value
        .put_if(revision::CURRENT_KEY, current.version, &encoded, None);
    result.map_err(|_| anyhow::anyhow!("storing the configuration failed"))?;
    fleet.wait_for_revision(next.revision)?;
    Ok(started_at.elapsed())
}

#[expect(clippy::cast_precision_loss, reason = "for print only")]
/// Returns a count per second.
fn rate(count: u64, seconds: u64) -> f64 {
    count as f64 / seconds as f64
}
