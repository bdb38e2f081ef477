//! Placement with limited engines: another engine loads what a limited one cannot serve.

use crate::test_planner::{TestPlanner, base_model, entry};
use passway_serving::placement::PlannedOrder;
use passway_serving::ports::{EngineReport, OrderAction, OrderAnswer};
use passway_serving::upstreams::UpstreamEntry;
use passway_types::prelude::*;

/// Orders for two engines with memory for two models each: m0 and m1 are loaded on the first, m3 on
/// the second, whose disk has `on_disk`. The first engine accepts `limit_per_s` requests per
/// second, `requests_per_s` arrive for m0, and one request waits for `awaited_model`.
fn decide_orders(
    limit_per_s: Option<f64>,
    requests_per_s: u32,
    awaited_model: &str,
    on_disk: &[&str],
) -> Vec<PlannedOrder> {
    let mut test = TestPlanner::new();
    test.send_entry_of("i-1", 1, &["m3"], on_disk);
    test.orders_within_second(OrderAnswer::Taken);
    test.send_report(false, 0, &["m0", "m1"]);
    test.send_report_of("i-1", false, 0, &["m3"], on_disk);
    test.planner.set_limit(&"i-0".into(), limit_per_s);
    for _ in 0..requests_per_s * 4 {
        test.now += Duration::from_millis(1_000 / u64::from(requests_per_s));
        let service = "engines".into();
        test.planner
            .record_arrivals(&service, &base_model("m0"), 1, test.now);
    }
    test.add_waiter(awaited_model);
    test.orders_within_second(OrderAnswer::Taken)
}

fn has_load(orders: &[PlannedOrder], engine: &str, model: &str) -> bool {
    orders.iter().any(|order| {
        order.action == OrderAction::Load
            && *order.engine == *engine
            && *order.model_ref.model == *model
    })
}

/// A model with one request per second gets one replica, and the limited engine accepts one request
/// in two seconds.
#[test]
fn limited_engine_triggers_second_replica() {
    // From disk or from the weight store: the engine that has m0 cached cannot serve the rate.
    for on_disk in [&["m3", "m0"][..], &["m3"]] {
        assert!(!has_load(
            &decide_orders(None, 1, "m0", on_disk),
            "i-1",
            "m0"
        ));
        assert!(has_load(
            &decide_orders(Some(0.5), 1, "m0", on_disk),
            "i-1",
            "m0"
        ));
    }
}

#[test]
fn no_replica_within_limit() {
    assert!(!has_load(
        &decide_orders(None, 4, "m0", &["m3"]),
        "i-1",
        "m0"
    ));
    assert!(!has_load(
        &decide_orders(Some(50.0), 4, "m0", &["m3"]),
        "i-1",
        "m0"
    ));
}

#[test]
fn no_load_on_limited_engine() {
    let orders = decide_orders(Some(1.1), 0, "m2", &["m3"]);
    assert!(!has_load(&orders, "i-0", "m2"));
    assert!(has_load(&orders, "i-1", "m2"));
}

#[test]
fn removed_limit_allows_loads() {
    let mut test = TestPlanner::new();
    test.planner.set_limit(&"i-0".into(), Some(1.0));
    test.planner.set_limit(&"i-0".into(), None);
    test.orders_within_second(OrderAnswer::Taken);
    test.send_report(false, 0, &["m0"]);
    test.add_waiter("m2");
    assert!(has_load(
        &test.orders_within_second(OrderAnswer::Taken),
        "i-0",
        "m2"
    ));
}

/// A limit that another process of the engine advertised no longer counts.
#[test]
fn restart_clears_limit() {
    let mut test = TestPlanner::new();
    test.planner.set_limit(&"i-0".into(), Some(1.0));
    let restarted = UpstreamEntry {
        started_at_ms: 5,
        ..entry("i-0", 1, &[])
    };
    test.planner.update_engine(restarted, test.now);
    test.orders_within_second(OrderAnswer::Taken);
    let report = EngineReport {
        models: Vec::new(),
        busy: false,
        orders_taken: 0,
        in_memory: Vec::new(),
        on_disk: Vec::new(),
        adapters_loading: Vec::new(),
        started_at_ms: 5,
    };
    let engine = UpstreamId::from("i-0");
    test.planner.apply_report(&engine, Some(report), test.now);
    test.add_waiter("m3");
    assert!(has_load(
        &test.orders_within_second(OrderAnswer::Taken),
        "i-0",
        "m3"
    ));
}

/// Requests wait for a model whose only engine accepts nothing from their instance.
#[test]
fn backing_off_engine_triggers_second_replica() {
    let mut test = TestPlanner::new();
    test.send_entry_of("i-1", 1, &["m3"], &["m3", "m0"]);
    test.orders_within_second(OrderAnswer::Taken);
    test.send_report(false, 0, &["m0", "m1"]);
    test.send_report_of("i-1", false, 0, &["m3"], &["m3", "m0"]);
    test.add_waiter("m0");
    assert!(!has_load(
        &test.orders_within_second(OrderAnswer::Taken),
        "i-1",
        "m0"
    ));
    let until = test.now + Duration::from_secs(3);
    test.planner.record_backoff(&"i-0".into(), 0, until);
    assert!(has_load(
        &test.orders_within_second(OrderAnswer::Taken),
        "i-1",
        "m0"
    ));
}

/// An engine that accepts nothing from the holder gets no orders and no queries.
#[test]
fn no_orders_during_backoff() {
    let mut test = TestPlanner::new();
    test.orders_within_second(OrderAnswer::Taken);
    test.send_report(false, 0, &["m0"]);
    let engine = UpstreamId::from("i-0");
    let until = test.now + Duration::from_secs(3);
    test.planner.set_backing_off([(engine, until)].into());
    test.add_waiter("m2");
    assert_eq!(test.orders_within_second(OrderAnswer::Taken), []);
    test.planner.set_backing_off([].into());
    assert!(has_load(
        &test.orders_within_second(OrderAnswer::Taken),
        "i-0",
        "m2"
    ));
}
