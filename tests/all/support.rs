//! Small helpers that several features share.

use passway_standins::cluster::{ClusterPlan, Fleet};
use passway_standins::load::{Burst, Sample};
use passway_types::prelude::*;
use std::ops::Range;

/// Broken fault runs that a failed test shows.
const SHOWN_RUNS: usize = 8;

/// A world that is quick to start: two instances, three engines.
pub fn small_plan() -> ClusterPlan {
    ClusterPlan {
        instances: 2,
        engines: 3,
        services: 1,
        models: 6,
        adapters: 4,
        ..ClusterPlan::default()
    }
}

/// The same for tests that are about neither an unavailable key-value service nor a lost
/// controller: on a busy machine its calls may take seconds, and leases may lapse, which
/// would be refused as an outage.
pub fn patient_plan() -> ClusterPlan {
    ClusterPlan {
        key_value_timeout: Some(Duration::from_secs(10)),
        lease_ms: 10_000,
        ..small_plan()
    }
}

/// Makes `count` requests for one model at all routers at one time.
pub fn burst(fleet: &Fleet, model: &str, count: usize, deadline: Duration) -> Vec<Sample> {
    let routers: Vec<_> = fleet
        .routers
        .iter()
        .map(passway_router::Router::address)
        .collect();
    Burst {
        model: model.into(),
        count,
        tokens: 8,
        deadline,
    }
    .run(&routers)
}

/// A number from an environment variable.
pub fn from_environment(name: &str, default: u64) -> u64 {
    std::env::var(name)
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(default)
}

/// The fault runs of one test, each with a seed of its own.
#[derive(Debug, Clone, Copy)]
pub struct FaultRuns {
    /// How many there are.
    pub count: u64,
    first_seed: u64,
}

impl FaultRuns {
    /// As many as `PASSWAY_FAULT_RUNS` says, or else `default`, with seeds from
    /// `PASSWAY_FAULT_SEED` on.
    pub fn from_environment(default: u64) -> Self {
        Self {
            count: from_environment("PASSWAY_FAULT_RUNS", default),
            first_seed: from_environment("PASSWAY_FAULT_SEED", 1),
        }
    }

    /// The seeds.
    pub fn seeds(self) -> Range<u64> {
        self.first_seed..self.first_seed + self.count
    }

    /// Fails if a run broke a rule, and shows the first of them.
    pub fn assert_none_broken(self, broken: &[String]) {
        let shown = &broken[..broken.len().min(SHOWN_RUNS)];
        assert!(
            broken.is_empty(),
            "{} of {} runs: {shown:#?}",
            broken.len(),
            self.count
        );
    }
}
