//! What outlives a request is bounded, whatever names callers send and however many models,
//! adapters and services there have been. What is kept is read from the debug text of the
//! state: a name that occurs in it is kept.

use crate::test_planner::{TestPlanner, base_model};
use passway_serving::ports::OrderAnswer;
use passway_serving::retry::{RetryAllowance, RetryBudget};
use passway_serving::upstreams::{ModelRef, Outcome, UpstreamEntry, UpstreamTable};
use passway_types::prelude::*;

/// Names that come once and never again.
const NAMES: usize = 1_000;
/// Names that may be kept without need, so that they are seldom looked through.
const MOST_SPARE: usize = 64;

/// How many of the names that begin so occur in the debug text of a state.
fn kept(state: &impl std::fmt::Debug, names: &str) -> usize {
    format!("{state:?}").matches(names).count()
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
    let mut planned = TestPlanner::new();
    for number in 0..NAMES {
        let wish = base_model(&format!("invented-{number}"));
        planned
            .planner
            .record_arrivals(&"engines".into(), &wish, 1, planned.now);
    }
    planned.now += Duration::from_mins(1);
    planned.add_waiter("m2");
    planned.planner.decide(planned.now);
    assert_eq!(kept(&planned.planner, "invented-"), 0);
}

#[test]
fn adapters_elsewhere() {
    let mut planned = TestPlanner::new();
    for number in 0..NAMES {
        let wish = ModelRef {
            model: "m0".into(),
            adapter: Some(format!("elsewhere-{number}").into()),
        };
        planned
            .planner
            .record_arrivals(&"engines".into(), &wish, 1, planned.now);
    }
    // None of them stands on the engine or is wanted there.
    assert_eq!(kept(&planned.planner, "elsewhere-"), 0);
}

#[test]
fn refused_adapters() {
    let mut planned = TestPlanner::new();
    planned.orders_within_second(OrderAnswer::Taken);
    planned.send_report(false, 0, &["m0", "m1"]);
    for number in 0..NAMES {
        let wish = ModelRef {
            model: "m0".into(),
            adapter: Some(format!("refused-{number}").into()),
        };
        planned.set_waiters(wish.clone(), 1);
        let orders = planned.orders_within_second(OrderAnswer::Refused);
        assert!(!orders.is_empty(), "{number}");
        planned.set_waiters(wish, 0);
    }
    let kept = kept(&planned.planner, "refused-");
    assert!(kept < MOST_SPARE, "{kept}");
}

#[test]
fn ended_runs() {
    let now = Instant::now();
    let mut upstreams = UpstreamTable::new("hall0".into());
    upstreams.update(entry(), now);
    for number in 0..NAMES {
        let wish = base_model(&format!("ended-{number}"));
        upstreams.started("i-0", Some(&wish), now);
        upstreams.ended("i-0", Some(&wish), Outcome::Answered, now);
    }
    assert_eq!(kept(&upstreams, "ended-"), 0);
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
    // Known for a window, so that each service begins with its part.
    let before = now.checked_sub(Duration::from_secs(10)).expect("a clock");
    budget.set_instances(4, before);
    for number in 0..NAMES {
        // A new configuration renames the service.
        let service = format!("renamed-{number}").into();
        budget.requested(&service, now);
        assert!(budget.try_spend(&service, now));
        now += Duration::from_secs(10);
    }
    let kept = kept(&budget, "renamed-");
    assert!(kept < MOST_SPARE, "{kept}");
}
