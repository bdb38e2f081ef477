//! Calls and bytes of control of idle fleets, and how fast a configuration spreads.

use anyhow::{Context, Result};
use passway_config::revision;
use passway_platform::key_value::KeyValue;
use passway_standins::cluster::{ClusterPlan, Fleet, TestCluster};
use passway_types::prelude::*;

/// Instances of a fleet.
const FLEETS: [usize; 5] = [3, 6, 12, 24, 48];

/// Idle fleets, all in this process: calls and bytes of control.
pub fn measure(watch: Duration) -> Result<()> {
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
        let calls = world.key_value.calls();
        let bytes = passway_wire::link::sent_bytes();
        std::thread::sleep(watch);
        let after = world.key_value.calls();
        let seconds = watch.as_secs();
        let sent = passway_wire::link::sent_bytes() - bytes;
        let spread = spread(&world, &fleet)?;
        println!(
            "  {instances:4} {:7.2} {:7.2} {:8} {:6}",
            rate(after.reads - calls.reads, seconds),
            rate(after.writes - calls.writes, seconds),
            sent / seconds / instances as u64,
            spread.as_millis()
        );
        for controller in fleet.controllers {
            controller.stop();
        }
        drop(fleet.routers);
    }
    Ok(())
}

/// Time from a change of configuration until it is in force at every router.
fn spread(world: &TestCluster, fleet: &Fleet) -> Result<Duration> {
    let found = world.key_value.get(revision::CURRENT_KEY);
    let found = found.ok().flatten().context("no configuration")?;
    let mut next = revision::decode(&found.value)?;
    next.revision += 1;
    let began_at = Instant::now();
    let encoded = revision::encode(&next)?;
    let written = world
        .key_value
        .put_if(revision::CURRENT_KEY, found.version, &encoded, None);
    written.map_err(|_| anyhow::anyhow!("storing"))?;
    fleet.wait_for_revision(next.revision)?;
    Ok(began_at.elapsed())
}

#[expect(clippy::cast_precision_loss, reason = "for print only")]
fn rate(count: u64, seconds: u64) -> f64 {
    count as f64 / seconds as f64
}
