//! State that outlives a request is bounded, whatever names callers send and however many models,
//! adapters and services there have been. The retained names are counted in the debug text of the
//! state: a name that occurs in it is retained.

use crate::test_planner::{TestPlanner, base_model};
use passway_serving::ports::OrderAnswer;
use passway_serving::retry::{Arrival, RetryAllowance, RetryBudget};
use passway_serving::upstreams::{ModelRef, Outcome, UpstreamEntry, UpstreamTable};
use passway_types::prelude::*;

/// Names that occur once and never again.
const NAMES: usize = 1_000;
/// Names that may be retained without need, so that cleanups are rare.
const MAX_SPARE: usize = 64;

/// How many names with this prefix occur in the debug text of a state.
fn retained(state: &impl std::fmt::Debug, prefix: &str) -> usize {
    format!("{state:?}").matches(prefix).count()
}

fn entry() -> UpstreamEntry {
    UpstreamEntry {
        address: ([127, 0, 0, 1], 9).into(),
        slots: 16,
        ..crate::test_planner::entry("i-0", 1, &[])
    }
}

#[test]
fn invented_models() {
    let mut test_planner = TestPlanner::new();
    for number in 0..NAMES {
        let model_ref = base_model(&format!("invented-{number}"));
        test_planner
            .planner
            .record_arrivals(&"engines".into(), &model_ref, 1, test_planner.now);
    }
    test_planner.now += Duration::from_mins(1);
    test_planner.add_waiter("m2");
    test_planner.planner.decide(test_planner.now);
    assert_eq!(retained(&test_planner.planner, "invented-"), 0);
}

#[test]
fn adapters_elsewhere() {
    let mut test_planner = TestPlanner::new();
    for number in 0..NAMES {
        let model_ref = ModelRef {
            model: "m0".into(),
            adapter: Some(format!("elsewhere-{number}").into()),
        };
        test_planner
            .planner
            .record_arrivals(&"engines".into(), &model_ref, 1, test_planner.now);
    }
    // None of them is loaded on the engine or wanted there.
    assert_eq!(retained(&test_planner.planner, "elsewhere-"), 0);
}

#[test]
fn refused_adapters() {
    let mut test_planner = TestPlanner::new();
    test_planner.orders_within_second(OrderAnswer::Taken);
    test_planner.send_report(false, 0, &["m0", "m1"]);
    for number in 0..NAMES {
        let model_ref = ModelRef {
            model: "m0".into(),
            adapter: Some(format!("refused-{number}").into()),
        };
        test_planner.set_waiters(model_ref.clone(), 1);
        let orders = test_planner.orders_within_second(OrderAnswer::Refused);
        assert!(!orders.is_empty(), "{number}");
        test_planner.set_waiters(model_ref, 0);
    }
    let retained = retained(&test_planner.planner, "refused-");
    assert!(retained < MAX_SPARE, "{retained}");
}

#[test]
fn ended_runs() {
    let now = Instant::now();
    let mut upstreams = UpstreamTable::new("hall0".into());
    upstreams.update(entry(), now);
    for number in 0..NAMES {
        let model_ref = base_model(&format!("ended-{number}"));
        upstreams.record_start("i-0", Some(&model_ref), now);
        upstreams.record_end("i-0", Some(&model_ref), Outcome::Answered, now);
    }
    assert_eq!(retained(&upstreams, "ended-"), 0);
}

#[test]
fn renamed_services() {
    let allowance = RetryAllowance {
        ratio: 0.2,
        slack: 52.0,
        window_s: 10.0,
    };
    let mut budget = RetryBudget::new(allowance);
    let mut now = Instant::now();
    // The fleet's size has been known for two windows, so that each service begins with its share.
    let known_at = now.checked_sub(Duration::from_secs(20)).expect("a clock");
    budget.set_instances(4, known_at);
    for number in 0..NAMES {
        // A new configuration renames the service.
        let service = format!("renamed-{number}").into();
        budget.record_request(&service, now, now);
        let spent = budget.try_spend(&service, now).expect("a retry");
        budget.settle(&service, spent, Arrival::Known, now);
        now += Duration::from_secs(10);
    }
    let retained = retained(&budget, "renamed-");
    assert!(retained < MAX_SPARE, "{retained}");
}
