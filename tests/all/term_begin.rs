//! A term of the right to order begins before a thousand engines.
//!
//! Seen: all of 100 instances were killed; five holders followed each other within eight seconds, each lost
//! the right two seconds after it took it, and nothing was loaded for twelve seconds. How it came about: each asked a
//! thousand engines for their state in one moment, a thread and a call for each, for which its
//! quarter of a core needs two seconds; its lease, which lasts 1.2 s, was not renewed meanwhile. Cause: what
//! a holder asks at its begin grows with the fleet and was bounded by nothing.

use crate::test_planner::{TestPlanner, base_model};
use passway_serving::placement::{Action, PlannedOrder};
use passway_serving::ports::{OrderAction, OrderAnswer};
use passway_types::prelude::*;
use std::collections::BTreeSet;

const ENGINES: usize = 1_000;
/// Questions that a holder may ask in a second: half a millisecond of a core each, and a fifth of what an
/// instance with a quarter of a core has.
const MAX_QUERIES_PER_S: usize = 100 + BURST;
/// As many may be asked at once.
const BURST: usize = 32;
/// Within this all engines are to be asked.
const ALL_QUERIED_WITHIN: Duration = Duration::from_secs(12);

/// A planner whose term begins before so many engines, m2 being on the disk of the last one alone.
fn planner_at_term_begin(engines: usize) -> TestPlanner {
    let mut planned = TestPlanner::new();
    planned.send_entry_of("i-0", 2, &["m0", "m1"], &["m0", "m1"]);
    for number in 0..engines {
        let on_disk = if number + 1 == engines { "m2" } else { "m1" };
        planned.send_entry_of(&format!("j-{number:04}"), 1, &["m0"], &["m0", on_disk]);
    }
    planned
}

/// Engines that are asked within a time, each of which answers at once.
fn queried_within(
    planned: &mut TestPlanner,
    duration: Duration,
) -> (Vec<UpstreamId>, Vec<PlannedOrder>) {
    let until = planned.now + duration;
    let (mut queried, mut orders) = (Vec::new(), Vec::new());
    while planned.now < until {
        planned.now += Duration::from_millis(20);
        for action in planned.planner.decide(planned.now) {
            match action {
                Action::Ask { engine, .. } => {
                    let disk_model = disk_model_of(&engine);
                    planned.send_report_of(&engine, false, 0, &["m0"], &["m0", disk_model]);
                    queried.push(engine);
                }
                Action::Order(order) => {
                    planned
                        .planner
                        .record_answer(&order, OrderAnswer::Taken, planned.now);
                    orders.push(order);
                }
            }
        }
    }
    (queried, orders)
}

/// What the last engine alone has on its disk, or what the others have.
fn disk_model_of(engine: &str) -> &'static str {
    if engine == format!("j-{:04}", ENGINES - 1) {
        "m2"
    } else {
        "m1"
    }
}

#[test]
fn queries_are_spread() {
    let mut planned = planner_at_term_begin(ENGINES);
    let mut all_queried = BTreeSet::new();
    for _ in 0..ALL_QUERIED_WITHIN.as_secs() {
        let (queried, _) = queried_within(&mut planned, Duration::from_secs(1));
        assert!(
            queried.len() <= MAX_QUERIES_PER_S,
            "{} at once",
            queried.len()
        );
        all_queried.extend(queried);
    }
    assert_eq!(
        all_queried.len(),
        ENGINES + 1,
        "the engine of every planner too"
    );
}

/// A small fleet is asked at once, as before.
#[test]
fn small_fleet_at_once() {
    let mut planned = planner_at_term_begin(BURST - 1);
    let (queried, _) = queried_within(&mut planned, Duration::from_millis(600));
    assert_eq!(queried.len(), BURST);
}

/// The engine that has near what requests wait for is not left for the end.
#[test]
fn engine_with_awaited_model_first() {
    let mut planned = planner_at_term_begin(ENGINES);
    planned.set_waiters(base_model("m2"), 5);
    let (_, orders) = queried_within(&mut planned, Duration::from_secs(2));
    let last = format!("j-{:04}", ENGINES - 1);
    let is_loaded_first = orders.iter().any(|order| {
        order.action == OrderAction::Load
            && *order.model_ref.model == *"m2"
            && *order.engine == *last
    });
    assert!(is_loaded_first, "{orders:?}");
}
