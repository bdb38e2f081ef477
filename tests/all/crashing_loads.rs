//! A model whose load ends the engine: it is ordered nowhere after three engines.
//!
//! How it comes about: what one order did to its engine is forgotten with the engine, requests still
//! wait for the model, and the next engine gets the same order. The same cause as requests that
//! crash engines: harm that one input does is judged by each case alone.

use crate::test_planner::TestPlanner;
use passway_serving::ports::{OrderAction, OrderAnswer};
use passway_types::prelude::*;
use std::collections::BTreeSet;

const MODELS: [&str; 4] = ["m0", "m1", "m2", "m3"];
/// The most engines that one model's load may end.
const MAX_CRASHES: usize = 3;

/// A planner with so many more engines, each with m0, room for one model, and all on its disk.
fn planner_with_engines(engines: usize) -> (TestPlanner, BTreeSet<UpstreamId>) {
    let mut planned = TestPlanner::new();
    planned.send_report(false, 0, &["m0", "m1"]);
    let ids: Vec<String> = (1..=engines).map(|number| format!("i-{number}")).collect();
    for id in &ids {
        planned.send_entry_of(id, 1, &["m0"], &MODELS);
        planned.send_report_of(id, false, 0, &["m0"], &MODELS);
    }
    (planned, ids.iter().map(|id| id.as_str().into()).collect())
}

/// The engines that are ordered to load a model now; the orders are taken.
fn engines_ordered_to_load(planned: &mut TestPlanner, model: &str) -> Vec<UpstreamId> {
    let orders = planned.orders_within_second(OrderAnswer::Taken).into_iter();
    let loads = orders.filter(|o| o.action == OrderAction::Load && &*o.model_ref.model == model);
    loads.map(|order| order.engine).collect()
}

#[test]
fn stops_after_three_crashes() {
    let (mut planned, mut alive) = planner_with_engines(8);
    planned.add_waiter("m2");
    let mut crashed = 0;
    for _ in 0..8 {
        for engine in engines_ordered_to_load(&mut planned, "m2") {
            alive.remove(&engine);
            crashed += 1;
        }
        planned.planner.retain(&alive);
    }
    assert_eq!(crashed, MAX_CRASHES);
    // Others come as before.
    planned.add_waiter("m3");
    assert_eq!(engines_ordered_to_load(&mut planned, "m3").len(), 1);
}

/// An engine that says it leaves was not ended by what it was loading.
#[test]
fn leaving_engine_is_no_crash() {
    let (mut planned, mut alive) = planner_with_engines(8);
    planned.add_waiter("m2");
    for _ in 0..5 {
        let engines = engines_ordered_to_load(&mut planned, "m2");
        assert_eq!(engines.len(), 1);
        for engine in engines {
            planned.send_leaving(&engine);
            alive.remove(&engine);
        }
        planned.planner.retain(&alive);
    }
}
