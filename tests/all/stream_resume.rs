//! Streams that break are resumed elsewhere: no token twice, none missing.

use crate::support::{burst, patient_plan};
use passway_standins::cluster::{ClusterPlan, TestCluster};
use passway_standins::engine::Faults;
use passway_standins::load::Outcome;
use passway_types::prelude::*;

#[test]
fn resumed_whole() {
    let plan = ClusterPlan {
        max_replicas: 2,
        ..patient_plan()
    };
    let world = TestCluster::start(plan).expect("world");
    let fleet = world.start_fleet().expect("fleet");
    for engine in &world.engines {
        engine.set_faults(Faults {
            break_streams_after: 3,
            ..Faults::default()
        });
    }
    // Eight tokens, broken after three and after six; one caller, so that the
    // retry budget holds.
    let samples = burst(&fleet, "model1@1", 1, Duration::from_secs(20));
    assert_eq!(samples[0].outcome, Outcome::Whole);
    let requests: u32 = world
        .engines
        .iter()
        .map(|engine| engine.ledger().requests)
        .sum();
    assert_eq!(requests, 3);
}

#[test]
fn never_short() {
    let world = TestCluster::start(patient_plan()).expect("world");
    let fleet = world.start_fleet().expect("fleet");
    for engine in &world.engines {
        engine.set_faults(Faults {
            break_streams_after: 1,
            ..Faults::default()
        });
    }
    // Far more breaks than the budget allows: whoever is not served is told.
    for sample in burst(&fleet, "model1@1", 60, Duration::from_secs(5)) {
        let told = matches!(
            sample.outcome,
            Outcome::Refused {
                code: 1201 | 1209 | 1301 | 1302 | 1304,
                ..
            }
        );
        assert!(
            told || sample.outcome == Outcome::Whole,
            "{:?}",
            sample.outcome
        );
    }
}
