//! Models are unloaded only for loads that may begin.

use crate::cluster;
use crate::test_planner::{base_model, entry, resident};
use passway_serving::placement::policy::PolicyName;
use passway_serving::placement::{Action, DEFAULT_LOAD_WINDOW, PlannedOrder, Planner, Waiters};
use passway_serving::ports::{
    Directory, EngineReport, OrderAction, OrderAnswer, StoreRevision, StoredValue,
};
use passway_types::prelude::*;
use passway_users_platform::PlatformDirectory;

/// Engines, each with memory for two models and both loaded.
const ENGINES: [&str; 3] = ["i-0", "i-1", "i-2"];
/// Interval between two passes of the planner.
const PASS_INTERVAL: Duration = Duration::from_millis(50);

/// A planner whose weight store begins one load in the window.
fn planner_with_one_load() -> Planner {
    let mut configuration = cluster::configuration(1, &["m0", "m1", "m2", "m3", "m4"]);
    configuration["services"][1]["engine"]["loads_per_s"] = 0.2.into();
    let value = StoredValue {
        key: "op/config".into(),
        value: configuration.to_string().into(),
        revision: StoreRevision::new(0, 1),
        lease: None,
    };
    let table = PlatformDirectory.decode_configuration(&value);
    let table = table.expect("decoded").expect("a configuration");
    let mut planner = Planner::new(DEFAULT_LOAD_WINDOW, PolicyName::NoPrefetch.build());
    planner.set_table(&table);
    planner
}

fn report(models: &[&str]) -> EngineReport {
    EngineReport {
        models: models.iter().map(|name| resident(name)).collect(),
        busy: false,
        orders_taken: 0,
        in_memory: Vec::new(),
        on_disk: Vec::new(),
        adapters_loading: Vec::new(),
        started_at_ms: 0,
    }
}

/// Decides for a while; orders are answered by `answer`. Returns them.
fn decide(planner: &mut Planner, now: &mut Instant, passes: u32) -> Vec<PlannedOrder> {
    let mut orders = Vec::new();
    for _ in 0..passes {
        *now += PASS_INTERVAL;
        for action in planner.decide(*now) {
            match action {
                Action::Order(order) => {
                    planner.apply_answer(&order, OrderAnswer::Taken, *now);
                    orders.push(order);
                }
                Action::Ask { engine, .. } => {
                    planner.apply_report(&engine, Some(report(&["m0", "m1"])), *now);
                }
            }
        }
    }
    orders
}

// Guards against engines that lose a model and wait for seconds with empty memory: several swaps were
// planned for the one load that the weight store allowed.
#[test]
fn one_swap_for_one_load() {
    let mut planner = planner_with_one_load();
    let mut now = Instant::now();
    for engine in ENGINES {
        planner.update_engine(entry(engine, 1, &["m0", "m1"]), now);
    }
    planner.begin_term(std::iter::empty(), &std::collections::BTreeSet::new(), now);
    // The previous holder may have begun a load.
    decide(&mut planner, &mut now, 120);
    for model in ["m2", "m3", "m4"] {
        planner.set_waiters(
            Waiters {
                instance: "one".into(),
                service: "engines".into(),
                model_ref: base_model(model),
                required_software: None,
                count: 3,
                latest_deadline: now + Duration::from_mins(1),
            },
            now,
        );
    }
    let orders = decide(&mut planner, &mut now, 20);
    let unloads = orders
        .iter()
        .filter(|order| order.action == OrderAction::Unload);
    assert_eq!(unloads.count(), 1, "{orders:?}");
}
