//! A new holder must not query all of a thousand engines at once.
//!
//! Guards against a series of short terms: after all of 100 instances were killed, five holders
//! succeeded each other within eight seconds, each lost the leadership two seconds after it took
//! it, and nothing was loaded for twelve seconds. Each holder started a thousand queries at once,
//! with a thread and a call for each. They took two seconds on its quarter of a core, and its lease
//! of 1.2 s was not renewed meanwhile. The number of queries at the start of a term grew with the
//! fleet without a limit.

use crate::test_planner::{TestPlanner, base_model};
use passway_serving::placement::{Action, PlannedOrder};
use passway_serving::ports::{OrderAction, OrderAnswer};
use passway_types::prelude::*;
use std::collections::BTreeSet;

const ENGINES: usize = 1_000;
/// Maximum number of queries per second. Each takes half a millisecond of CPU time; together they
/// use a fifth of the quarter of a core that an instance has.
const MAX_QUERIES_PER_S: usize = 100 + BURST;
/// Maximum number of queries at once.
const BURST: usize = 32;
/// Time in which all engines must be queried.
const ALL_QUERIED_WITHIN: Duration = Duration::from_secs(12);

/// A planner whose term begins with `engines` additional engines. Only the last one has m2 on its
/// disk.
fn planner_at_term_begin(engines: usize) -> TestPlanner {
    let mut test = TestPlanner::new();
    test.send_entry_of("i-0", 2, &["m0", "m1"], &["m0", "m1"]);
    for number in 0..engines {
        let on_disk = if number + 1 == engines { "m2" } else { "m1" };
        test.send_entry_of(&format!("j-{number:04}"), 1, &["m0"], &["m0", on_disk]);
    }
    test
}

/// The engines that are queried within `duration`, and the orders; each engine answers at once.
fn queried_within(
    test: &mut TestPlanner,
    duration: Duration,
) -> (Vec<UpstreamId>, Vec<PlannedOrder>) {
    let until = test.now + duration;
    let (mut queried, mut orders) = (Vec::new(), Vec::new());
    while test.now < until {
        test.now += Duration::from_millis(20);
        for action in test.planner.decide(test.now) {
            match action {
                Action::Ask { engine, .. } => {
                    let disk_model = disk_model_of(&engine);
                    test.send_report_of(&engine, false, 0, &["m0"], &["m0", disk_model]);
                    queried.push(engine);
                }
                Action::Order(order) => {
                    test.planner
                        .apply_answer(&order, OrderAnswer::Taken, test.now);
                    orders.push(order);
                }
            }
        }
    }
    (queried, orders)
}

/// The model that only the last engine has on its disk, or the one that the others have.
fn disk_model_of(engine: &str) -> &'static str {
    if engine == format!("j-{:04}", ENGINES - 1) {
        "m2"
    } else {
        "m1"
    }
}

#[test]
fn queries_are_spread() {
    let mut test = planner_at_term_begin(ENGINES);
    let mut all_queried = BTreeSet::new();
    for _ in 0..ALL_QUERIED_WITHIN.as_secs() {
        let (queried, _) = queried_within(&mut test, Duration::from_secs(1));
        assert!(
            queried.len() <= MAX_QUERIES_PER_S,
            "{} queries in a second",
            queried.len()
        );
        all_queried.extend(queried);
    }
    assert_eq!(
        all_queried.len(),
        ENGINES + 1,
        "including the engine of every `TestPlanner`"
    );
}

/// A small fleet is queried at once.
#[test]
fn small_fleet_at_once() {
    let mut test = planner_at_term_begin(BURST - 1);
    let (queried, _) = queried_within(&mut test, Duration::from_millis(600));
    assert_eq!(queried.len(), BURST);
}

/// An engine that has cached a model for which requests wait is queried among the first.
#[test]
fn engine_with_awaited_model_first() {
    let mut test = planner_at_term_begin(ENGINES);
    test.set_waiters(base_model("m2"), 5);
    let (_, orders) = queried_within(&mut test, Duration::from_secs(2));
    let last = format!("j-{:04}", ENGINES - 1);
    let is_loaded_early = orders.iter().any(|order| {
        order.action == OrderAction::Load
            && *order.model_ref.model == *"m2"
            && *order.engine == *last
    });
    assert!(is_loaded_early, "{orders:?}");
}

/// Requests waited when a term began: until the term's queries began, each decision was due at once, and
/// the holder's thread ran without a pause.
#[test]
fn waits_of_earlier_term_leave_pauses() {
    let mut test = TestPlanner::new();
    test.add_waiter("m0");
    test.now += Duration::from_millis(600);
    test.planner
        .begin_term(std::iter::empty(), &BTreeSet::new(), test.now);
    for _ in 0..30 {
        test.planner.decide(test.now);
        let next = test.planner.next_decision_at(test.now);
        assert!(
            next > test.now,
            "the next decision is due {} ms after the last",
            test.now.saturating_duration_since(next).as_millis()
        );
        test.now += Duration::from_millis(20);
    }
}
