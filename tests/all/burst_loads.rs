//! A burst of first requests for a model at many routers loads the model only once.

use crate::support::{burst, long_timeout_plan};
use passway_standins::cluster::{ClusterPlan, TestCluster};
use passway_standins::load::Outcome;
use passway_types::prelude::*;

const DEADLINE: Duration = Duration::from_secs(30);

#[test]
fn burst_loads_model_once() {
    let world = TestCluster::start(ClusterPlan {
        instances: 6,
        ..long_timeout_plan()
    })
    .expect("world");
    let fleet = world.start_fleet().expect("fleet");
    let samples = burst(&fleet, "model3@1", 120, DEADLINE);
    for sample in &samples {
        assert_eq!(sample.outcome, Outcome::Whole);
    }
    assert_eq!(world.load_count("model3@1"), 1);
}

#[test]
fn burst_loads_adapter_and_base_once() {
    let world = TestCluster::start(long_timeout_plan()).expect("world");
    let fleet = world.start_fleet().expect("fleet");
    let samples = burst(&fleet, "adapter2@1", 20, DEADLINE);
    for sample in &samples {
        assert_eq!(sample.outcome, Outcome::Whole);
    }
    assert_eq!(world.load_count("adapter2@1"), 1);
    assert_eq!(world.load_count("model2@1"), 1);
}
