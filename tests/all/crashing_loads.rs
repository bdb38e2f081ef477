//! A model whose load crashes the engine is ordered nowhere after three engines have crashed.
//!
//! The failure arises if the planner forgets the effect of an order together with the engine:
//! requests still wait for the model, and the next engine gets the same order. Requests that crash
//! engines have the same cause: each case is judged on its own.

use crate::test_planner::TestPlanner;
use passway_serving::ports::{OrderAction, OrderAnswer};
use passway_types::prelude::*;
use std::collections::BTreeSet;

const MODELS: [&str; 4] = ["m0", "m1", "m2", "m3"];
/// Maximum number of engines that one model's loads may crash.
const MAX_CRASHES: usize = 3;

/// A planner with `engines` additional engines. Each has m0 loaded, memory for one more model, and
/// all models on its disk.
fn planner_with_engines(engines: usize) -> (TestPlanner, BTreeSet<UpstreamId>) {
    let mut test = TestPlanner::new();
    test.send_report(false, 0, &["m0", "m1"]);
    let ids: Vec<String> = (1..=engines).map(|number| format!("i-{number}")).collect();
    for id in &ids {
        test.send_entry_of(id, 1, &["m0"], &MODELS);
        test.send_report_of(id, false, 0, &["m0"], &MODELS);
    }
    (test, ids.iter().map(|id| id.as_str().into()).collect())
}

/// The engines that are ordered to load a model now; the orders are taken.
fn engines_ordered_to_load(test: &mut TestPlanner, model: &str) -> Vec<UpstreamId> {
    let orders = test.orders_within_second(OrderAnswer::Taken).into_iter();
    let loads = orders.filter(|o| o.action == OrderAction::Load && &*o.model_ref.model == model);
    loads.map(|order| order.engine).collect()
}

#[test]
fn stops_after_three_crashes() {
    let (mut test, mut alive) = planner_with_engines(8);
    test.add_waiter("m2");
    let mut crashed = 0;
    for _ in 0..8 {
        for engine in engines_ordered_to_load(&mut test, "m2") {
            alive.remove(&engine);
            crashed += 1;
        }
        test.planner.retain(&alive);
    }
    assert_eq!(crashed, MAX_CRASHES);
    // Other models are loaded as usual.
    test.add_waiter("m3");
    assert_eq!(engines_ordered_to_load(&mut test, "m3").len(), 1);
}

/// An engine that signals that it leaves does not count as crashed by the model that it was
/// loading.
#[test]
fn leaving_engine_is_no_crash() {
    let (mut test, mut alive) = planner_with_engines(8);
    test.add_waiter("m2");
    for _ in 0..5 {
        let engines = engines_ordered_to_load(&mut test, "m2");
        assert_eq!(engines.len(), 1);
        for engine in engines {
            test.send_leaving(&engine);
            alive.remove(&engine);
        }
        test.planner.retain(&alive);
    }
}
