//! Engines in need and what is loaded where: what they cannot bear comes to others.

use crate::test_planner::{TestPlanner, base_model, entry};
use passway_serving::placement::PlannedOrder;
use passway_serving::ports::{EngineReport, OrderAction, OrderAnswer};
use passway_serving::upstreams::UpstreamEntry;
use passway_types::prelude::*;

/// Two engines with room for two models each: m0 and m1 stand on the first, m3 on the second, which has
/// `on_disk` there besides. The first one takes so many requests a second; `asked` ones come for m0, and
/// one waits for a model.
fn decide_orders(
    limit_per_s: Option<f64>,
    requests_per_s: u32,
    awaited_model: &str,
    on_disk: &[&str],
) -> Vec<PlannedOrder> {
    let mut planned = TestPlanner::new();
    planned.send_entry_of("i-1", 1, &["m3"], on_disk);
    planned.orders_within_second(OrderAnswer::Taken);
    planned.send_report(false, 0, &["m0", "m1"]);
    planned.send_report_of("i-1", false, 0, &["m3"], on_disk);
    planned.planner.set_limit(&"i-0".into(), limit_per_s);
    for _ in 0..requests_per_s * 4 {
        planned.now += Duration::from_millis(1_000 / u64::from(requests_per_s));
        let service = "engines".into();
        planned
            .planner
            .record_arrivals(&service, &base_model("m0"), 1, planned.now);
    }
    planned.add_waiter(awaited_model);
    planned.orders_within_second(OrderAnswer::Taken)
}

fn has_load(orders: &[PlannedOrder], engine: &str, model: &str) -> bool {
    orders.iter().any(|order| {
        order.action == OrderAction::Load
            && *order.engine == *engine
            && *order.model_ref.model == *model
    })
}

/// A model that is asked for once a second is worth one replica, and the engine that it stands on takes a
/// request in two seconds.
#[test]
fn limited_engine_gets_second_replica() {
    // From its disk, or from the weight store: the engine that has it near does not bear it.
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
    let mut planned = TestPlanner::new();
    planned.planner.set_limit(&"i-0".into(), Some(1.0));
    planned.planner.set_limit(&"i-0".into(), None);
    planned.orders_within_second(OrderAnswer::Taken);
    planned.send_report(false, 0, &["m0"]);
    planned.add_waiter("m2");
    assert!(has_load(
        &planned.orders_within_second(OrderAnswer::Taken),
        "i-0",
        "m2"
    ));
}

/// What was said by another start of an engine counts no more.
#[test]
fn restart_clears_limit() {
    let mut planned = TestPlanner::new();
    planned.planner.set_limit(&"i-0".into(), Some(1.0));
    let restarted = UpstreamEntry {
        started_at_ms: 5,
        ..entry("i-0", 1, &[])
    };
    planned.planner.update_engine(restarted, planned.now);
    planned.orders_within_second(OrderAnswer::Taken);
    let report = EngineReport {
        models: Vec::new(),
        busy: false,
        orders_taken: 0,
        in_memory: Vec::new(),
        on_disk: Vec::new(),
        adapters_coming: Vec::new(),
        started_at_ms: 5,
    };
    let engine = UpstreamId::from("i-0");
    planned
        .planner
        .record_report(&engine, Some(report), planned.now);
    planned.add_waiter("m3");
    assert!(has_load(
        &planned.orders_within_second(OrderAnswer::Taken),
        "i-0",
        "m3"
    ));
}

/// Requests wait for a model that stands only on an engine that wants nothing from their instance.
#[test]
fn backing_off_engine_gets_second_replica() {
    let mut planned = TestPlanner::new();
    planned.send_entry_of("i-1", 1, &["m3"], &["m3", "m0"]);
    planned.orders_within_second(OrderAnswer::Taken);
    planned.send_report(false, 0, &["m0", "m1"]);
    planned.send_report_of("i-1", false, 0, &["m3"], &["m3", "m0"]);
    planned.add_waiter("m0");
    assert!(!has_load(
        &planned.orders_within_second(OrderAnswer::Taken),
        "i-1",
        "m0"
    ));
    let until = planned.now + Duration::from_secs(3);
    planned.planner.record_backoff(&"i-0".into(), 0, until);
    assert!(has_load(
        &planned.orders_within_second(OrderAnswer::Taken),
        "i-1",
        "m0"
    ));
}

/// Nothing is ordered from an engine, or asked, that wants nothing from the holder.
#[test]
fn no_orders_during_backoff() {
    let mut planned = TestPlanner::new();
    planned.orders_within_second(OrderAnswer::Taken);
    planned.send_report(false, 0, &["m0"]);
    let engine = UpstreamId::from("i-0");
    let until = planned.now + Duration::from_secs(3);
    planned.planner.set_backing_off([(engine, until)].into());
    planned.add_waiter("m2");
    assert_eq!(planned.orders_within_second(OrderAnswer::Taken), []);
    planned.planner.set_backing_off([].into());
    assert!(has_load(
        &planned.orders_within_second(OrderAnswer::Taken),
        "i-0",
        "m2"
    ));
}
