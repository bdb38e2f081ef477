//! An order must fit whatever the engine's true state is when it arrives, not only the state that
//! the holder assumes. The fault runs (`placement_faults`) find such cases at random; these tests
//! cover the causes one by one. A calm day at 256 engines had one violation, 3.6 s after the
//! leadership had changed hands.

use crate::cluster::{self, RECEIVE_TIMEOUT};
use crate::test_planner::{TestPlanner, base_model, entry, resident};
use passway_serving::placement::{Action, PlannedOrder};
use passway_serving::ports::{
    Directory, EngineReport, OrderAction, OrderAnswer, StoreRevision, StoredValue,
};
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
        adapters_loading: Vec::new(),
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

/// A loading model uses its memory, also with regard to an adapter of another model.
#[test]
fn loading_model_uses_memory() {
    let mut test = TestPlanner::new();
    let mut configuration = cluster::configuration(1, &["m0", "m1", "m2", "m3"]);
    // With two models loaded, half of the memory for an adapter is left.
    configuration["services"][1]["engine"]["weights_mb"] = 140.5.into();
    let value = StoredValue {
        key: "op/config".into(),
        value: configuration.to_string().into(),
        revision: StoreRevision::new(0, 1),
        lease: None,
    };
    let table = PlatformDirectory
        .decode_configuration(&value)
        .expect("decoded");
    test.planner.set_table(&table.expect("a configuration"));
    test.orders_within_second(OrderAnswer::Taken);
    test.send_report(false, 0, &["m0"]);
    test.add_waiter("m2");
    let orders = test.orders_within_second(OrderAnswer::Taken);
    assert_eq!(loaded_models(&orders), ["m2"]);
    test.set_waiters(adapter("m0", "a1"), 1);
    assert_eq!(
        loaded_models(&test.orders_within_second(OrderAnswer::Taken)),
        [""; 0]
    );
}

/// Adapters that the previous holder ordered use their slots while they are loading.
#[test]
fn loading_adapters_use_slots() {
    let mut test = TestPlanner::new();
    test.orders_within_second(OrderAnswer::Taken);
    let mut report = report(0, &["m0", "m1"], 0);
    report.models[0].adapters = vec!["a1".into()];
    report.adapters_loading = vec![adapter("m1", "a2")];
    test.planner
        .apply_report(&"i-0".into(), Some(report), test.now);
    test.set_waiters(adapter("m0", "a3"), 1);
    let orders = test.orders_within_second(OrderAnswer::Taken);
    assert_eq!(
        loaded_models(&orders),
        [""; 0],
        "both slots are taken: {orders:?}"
    );
}

/// Reports are some hundred milliseconds old. The first query of a term is delayed so that its
/// report shows the last order of the previous holder.
#[test]
fn first_query_waits_for_reports() {
    let mut test = TestPlanner::new();
    let begun_at = test.now;
    let queried_at = loop {
        test.now += Duration::from_millis(20);
        let actions = test.planner.decide(test.now);
        if !actions.is_empty() {
            assert!(matches!(actions[0], Action::Ask { .. }), "{actions:?}");
            break test.now;
        }
    };
    assert!(queried_at >= begun_at + Duration::from_millis(500));
    // The engines get no orders for less than a second.
    assert!(queried_at < begun_at + Duration::from_millis(700));
}

/// An entry without a model shows the model's unload only if an earlier entry listed the model.
/// Otherwise the entry may be older than the load.
#[test]
fn late_entry_frees_nothing() {
    let mut test = TestPlanner::new();
    test.orders_within_second(OrderAnswer::Taken);
    test.send_report(false, 0, &["m0"]);
    test.add_waiter("m2");
    test.orders_within_second(OrderAnswer::Taken);
    test.send_report(false, 1, &["m0", "m2"]);
    // No request waits for m2 any more, and m0 is busy.
    test.now += RECEIVE_TIMEOUT;
    let busy_model = base_model("m0");
    test.planner
        .record_arrivals(&"engines".into(), &busy_model, 40, test.now);
    test.set_waiters(base_model("m3"), 5);
    let orders = test.orders_within_second(OrderAnswer::Taken);
    let actions: Vec<_> = orders
        .iter()
        .map(|o| (o.action, &*o.model_ref.model))
        .collect();
    assert_eq!(actions, [(OrderAction::Unload, "m2")]);
    // An entry from before the load of m2 arrives late. Its heartbeat number is higher than the
    // last known one.
    test.send_entry(2, &["m0"]);
    assert_eq!(
        loaded_models(&test.orders_within_second(OrderAnswer::Taken)),
        [""; 0]
    );
    // A report shows the unload.
    test.send_report(false, 2, &["m0"]);
    assert_eq!(
        loaded_models(&test.orders_within_second(OrderAnswer::Taken)),
        ["m3"]
    );
}

/// An order without an answer may still be carried out, so the memory for its model stays reserved.
#[test]
fn lost_order_reserves_memory() {
    let mut test = TestPlanner::new();
    test.orders_within_second(OrderAnswer::Taken);
    test.send_report(false, 0, &["m0"]);
    test.add_waiter("m2");
    assert_eq!(
        loaded_models(&test.orders_within_second(OrderAnswer::Lost)),
        ["m2"]
    );
    // No request waits for m2 any more, and the engine does not show it.
    test.now += Duration::from_secs(5);
    test.send_report(false, 0, &["m0"]);
    test.add_waiter("m3");
    let orders = test.orders_within_second(OrderAnswer::Taken);
    assert!(
        !loaded_models(&orders).contains(&"m3"),
        "m2 may still be loaded into the same memory: {orders:?}"
    );
}

/// An engine that restarts under its id has no loaded models and counts orders from 0 again.
#[test]
fn restart_resets_state() {
    let mut test = TestPlanner::new();
    test.orders_within_second(OrderAnswer::Taken);
    test.send_report(false, 7, &["m0", "m1"]);
    let id: UpstreamId = "i-0".into();
    test.planner
        .apply_report(&id, Some(report(0, &[], 500)), test.now);
    test.add_waiter("m2");
    let orders = test.orders_within_second(OrderAnswer::Taken);
    let first = orders.first().expect("a load");
    assert_eq!(
        (first.action, first.expected_orders),
        (OrderAction::Load, 0)
    );
    assert_eq!(first.started_at_ms, 500);
    // A report and an entry from before the restart change nothing, whatever their counts.
    test.planner
        .apply_report(&id, Some(report(9, &["m0", "m1"], 0)), test.now);
    test.send_entry(90, &["m0", "m1"]);
    test.planner
        .apply_report(&id, Some(report(1, &["m2"], 500)), test.now);
    let entry = UpstreamEntry {
        started_at_ms: 500,
        ..entry(&id, 1, &["m2"])
    };
    test.planner.update_engine(entry, test.now);
    test.planner
        .record_arrivals(&"engines".into(), &base_model("m2"), 5, test.now);
    let differing = test
        .planner
        .placements_differing_from(&std::collections::BTreeSet::new());
    assert_eq!(differing.len(), 1);
    assert_eq!(differing[0].models, [resident("m2")]);
}
