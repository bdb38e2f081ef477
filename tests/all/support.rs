//! Small helpers that several tests share.

use passway_standins::cluster::{ClusterPlan, Fleet};
use passway_standins::load::{Burst, Sample};
use passway_types::prelude::*;
use std::ops::Range;

/// Maximum number of violations that a failed test prints.
const MAX_SHOWN_VIOLATIONS: usize = 8;

/// The plan of a world that starts quickly: two instances, three engines.
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

/// The small plan with long timeouts, for tests of neither an unavailable key-value service
/// nor a lost controller. On a busy machine, calls to the service may take seconds and leases
/// may expire; with short timeouts, requests would then be refused as in an outage.
pub fn long_timeout_plan() -> ClusterPlan {
    ClusterPlan {
        key_value_timeout: Some(Duration::from_secs(10)),
        lease_ms: 10_000,
        ..small_plan()
    }
}

/// Sends `count` requests for one model to all routers at the same time.
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

/// Returns the number in an environment variable, or `default` if it holds none.
pub fn number_from_env(name: &str, default: u64) -> u64 {
    std::env::var(name)
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(default)
}

/// The fault runs of one test, each with its own seed.
#[derive(Debug, Clone, Copy)]
pub struct FaultRuns {
    /// The number of runs.
    pub count: u64,
    first_seed: u64,
}

impl FaultRuns {
    /// Takes the number of runs from `PASSWAY_FAULT_RUNS`, otherwise `default`, and the first
    /// seed from `PASSWAY_FAULT_SEED`, otherwise 1.
    pub fn from_environment(default: u64) -> Self {
        Self {
            count: number_from_env("PASSWAY_FAULT_RUNS", default),
            first_seed: number_from_env("PASSWAY_FAULT_SEED", 1),
        }
    }

    /// Returns the seeds of all runs.
    pub fn seeds(self) -> Range<u64> {
        self.first_seed..self.first_seed + self.count
    }

    /// Fails if a run violated a rule, and prints the first violations.
    pub fn assert_no_violations(self, violations: &[String]) {
        let shown = &violations[..violations.len().min(MAX_SHOWN_VIOLATIONS)];
        assert!(
            violations.is_empty(),
            "{} of {} runs: {shown:#?}",
            violations.len(),
            self.count
        );
    }
}
