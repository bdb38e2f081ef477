//! An order fits whatever the engine's true state is when it arrives, not only what the holder
//! believes: the fault runs (`placement_faults`) draw such cases, these are the causes one by
//! one. A calm day at 256 engines had one, 3.6 s after the right to order had changed hands.

use crate::site::{self, PATIENCE};
use crate::test_planner::{TestPlanner, base_model, entry, resident};
use passway_serving::placement::{Action, PlannedOrder};
use passway_serving::ports::{Directory, EngineReport, OrderAction, OrderAnswer, StoredValue};
use passway_serving::upstreams::{ModelRef, UpstreamEntry};
use passway_types::prelude::*;
use passway_users_platform::PlatformDirectory;

fn report(orders_taken: u64, models: &[&str], started_at_ms: u64) -> EngineReport {
    EngineReport {
        models: models.iter().map(|name| resident(name)).collect(),
        busy: false,
        orders_taken,
        in_memory: Vec::new(),
        on_disk: ["m0", "m1", "m2", "m3"].map(Into::into).to_vec(),
        adapters_coming: Vec::new(),
        started_at_ms,
    }
}

fn loaded_models(orders: &[PlannedOrder]) -> Vec<&str> {
    let loads = orders.iter().filter(|o| o.action == OrderAction::Load);
    loads.map(|order| &*order.model_ref.model).collect()
}

fn adapter(model: &str, name: &str) -> ModelRef {
    ModelRef {
        model: model.into(),
        adapter: Some(name.into()),
    }
}

/// A model that is loading takes its room, also for an adapter of another one.
#[test]
fn loading_model_uses_memory() {
    let mut planned = TestPlanner::new();
    let mut configuration = site::configuration(1, &["m0", "m1", "m2", "m3"]);
    // Two models leave half of an adapter's room.
    configuration["services"][1]["engine"]["weights_mb"] = 140.5.into();
    let value = StoredValue {
        key: "op/config".into(),
        value: configuration.to_string().into(),
        revision: 1,
    };
    let table = PlatformDirectory.configuration(&value).expect("decoded");
    planned.planner.set_table(&table.expect("a configuration"));
    planned.orders_within_second(OrderAnswer::Taken);
    planned.send_report(false, 0, &["m0"]);
    planned.add_waiter("m2");
    let orders = planned.orders_within_second(OrderAnswer::Taken);
    assert_eq!(loaded_models(&orders), ["m2"]);
    planned.set_waiters(adapter("m0", "a1"), 1);
    assert_eq!(
        loaded_models(&planned.orders_within_second(OrderAnswer::Taken)),
        [""; 0]
    );
}

/// Adapters that a holder before ordered take their places while they are on their way.
#[test]
fn loading_adapters_use_slots() {
    let mut planned = TestPlanner::new();
    planned.orders_within_second(OrderAnswer::Taken);
    let mut report = report(0, &["m0", "m1"], 0);
    report.models[0].adapters = vec!["a1".into()];
    report.adapters_coming = vec![adapter("m1", "a2")];
    planned
        .planner
        .record_report(&"i-0".into(), Some(report), planned.now);
    planned.set_waiters(adapter("m0", "a3"), 1);
    let orders = planned.orders_within_second(OrderAnswer::Taken);
    assert_eq!(
        loaded_models(&orders),
        [""; 0],
        "both places are taken: {orders:?}"
    );
}

/// Reports are some hundred milliseconds old: at the begin of a term the first one that is
/// asked for shows what the holder before ordered last.
#[test]
fn first_query_waits_for_reports() {
    let mut planned = TestPlanner::new();
    let begun_at = planned.now;
    let queried_at = loop {
        planned.now += Duration::from_millis(20);
        let actions = planned.planner.decide(planned.now);
        if !actions.is_empty() {
            assert!(matches!(actions[0], Action::Ask { .. }), "{actions:?}");
            break planned.now;
        }
    };
    assert!(queried_at >= begun_at + Duration::from_millis(500));
    // The engines stand without orders for less than a second.
    assert!(queried_at < begun_at + Duration::from_millis(700));
}

/// An entry without a model tells that it has gone only if one before listed it: it may come
/// from a time when the model had gone once before.
#[test]
fn late_entry_frees_nothing() {
    let mut planned = TestPlanner::new();
    planned.orders_within_second(OrderAnswer::Taken);
    planned.send_report(false, 0, &["m0"]);
    planned.add_waiter("m2");
    planned.orders_within_second(OrderAnswer::Taken);
    planned.send_report(false, 1, &["m0", "m2"]);
    // m2 is needed no more, and m0 is busy.
    planned.now += PATIENCE;
    let busy_model = base_model("m0");
    planned
        .planner
        .record_arrivals(&"engines".into(), &busy_model, 40, planned.now);
    planned.set_waiters(base_model("m3"), 5);
    let orders = planned.orders_within_second(OrderAnswer::Taken);
    let actions: Vec<_> = orders
        .iter()
        .map(|o| (o.action, &*o.model_ref.model))
        .collect();
    assert_eq!(actions, [(OrderAction::Unload, "m2")]);
    // What the engine said before m2 came arrives now: its number is above the last known.
    planned.send_entry(2, &["m0"]);
    assert_eq!(
        loaded_models(&planned.orders_within_second(OrderAnswer::Taken)),
        [""; 0]
    );
    // A report shows it.
    planned.send_report(false, 2, &["m0"]);
    assert_eq!(
        loaded_models(&planned.orders_within_second(OrderAnswer::Taken)),
        ["m3"]
    );
}

/// An order that was not answered may be carried out yet: what it brings keeps its room.
#[test]
fn lost_order_reserves_memory() {
    let mut planned = TestPlanner::new();
    planned.orders_within_second(OrderAnswer::Taken);
    planned.send_report(false, 0, &["m0"]);
    planned.add_waiter("m2");
    assert_eq!(
        loaded_models(&planned.orders_within_second(OrderAnswer::Lost)),
        ["m2"]
    );
    // Nobody needs m2 any more, and the engine does not show it.
    planned.now += Duration::from_secs(5);
    planned.send_report(false, 0, &["m0"]);
    planned.add_waiter("m3");
    let orders = planned.orders_within_second(OrderAnswer::Taken);
    assert!(
        !loaded_models(&orders).contains(&"m3"),
        "m2 may come into the same room: {orders:?}"
    );
}

/// An engine that starts again under its id holds nothing, and counts orders from 0 again.
#[test]
fn restart_resets_state() {
    let mut planned = TestPlanner::new();
    planned.orders_within_second(OrderAnswer::Taken);
    planned.send_report(false, 7, &["m0", "m1"]);
    let id: UpstreamId = "i-0".into();
    planned
        .planner
        .record_report(&id, Some(report(0, &[], 500)), planned.now);
    planned.add_waiter("m2");
    let orders = planned.orders_within_second(OrderAnswer::Taken);
    let first = orders.first().expect("a load");
    assert_eq!(
        (first.action, first.expected_orders),
        (OrderAction::Load, 0)
    );
    assert_eq!(first.started_at_ms, 500);
    // A report and an entry from before its start change nothing, whatever their numbers.
    planned
        .planner
        .record_report(&id, Some(report(9, &["m0", "m1"], 0)), planned.now);
    planned.send_entry(90, &["m0", "m1"]);
    planned
        .planner
        .record_report(&id, Some(report(1, &["m2"], 500)), planned.now);
    let entry = UpstreamEntry {
        started_at_ms: 500,
        ..entry(&id, 1, &["m2"])
    };
    planned.planner.update_engine(entry, planned.now);
    planned
        .planner
        .record_arrivals(&"engines".into(), &base_model("m2"), 5, planned.now);
    let differing = planned
        .planner
        .placements_differing_from(&std::collections::BTreeSet::new());
    assert_eq!(differing.len(), 1);
    assert_eq!(differing[0].models, [resident("m2")]);
}
