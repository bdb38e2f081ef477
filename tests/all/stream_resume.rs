//! Broken streams are resumed at another engine without repeated or missing tokens.

use crate::support::{burst, long_timeout_plan};
use passway_standins::cluster::{ClusterPlan, TestCluster};
use passway_standins::engine::Faults;
use passway_standins::load::Outcome;
use passway_types::prelude::*;

#[test]
fn broken_stream_resumed() {
    let plan = ClusterPlan {
        max_replicas: 2,
        ..long_timeout_plan()
    };
    let world = TestCluster::start(plan).expect("world");
    let fleet = world.start_fleet().expect("fleet");
    for engine in &world.engines {
        engine.set_faults(Faults {
            break_streams_after: 3,
            ..Faults::default()
        });
    }
    // The stream has eight tokens and breaks after three and after six. A single caller stays
    // within the retry budget.
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
fn broken_stream_complete_or_refused() {
    let world = TestCluster::start(long_timeout_plan()).expect("world");
    let fleet = world.start_fleet().expect("fleet");
    for engine in &world.engines {
        engine.set_faults(Faults {
            break_streams_after: 1,
            ..Faults::default()
        });
    }
    // The streams break more often than the retry budget allows. A caller whose stream is not
    // resumed must receive a refusal.
    for sample in burst(&fleet, "model1@1", 60, Duration::from_secs(5)) {
        let is_refused = matches!(
            sample.outcome,
            Outcome::Refused {
                code: 1201 | 1209 | 1301 | 1302 | 1304,
                ..
            }
        );
        assert!(
            is_refused || sample.outcome == Outcome::Whole,
            "{:?}",
            sample.outcome
        );
    }
}
