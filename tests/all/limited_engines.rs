//! Engines in need and what is loaded where: what they cannot bear comes to others.

use crate::planned::{Planned, entry, plain};
use passway_serving::placement::PlannedOrder;
use passway_serving::ports::{EngineReport, OrderAction, OrderAnswer};
use passway_serving::upstreams::UpstreamEntry;
use passway_types::prelude::*;

/// Two engines with room for two models each: m0 and m1 stand on the first, m3 on the second, which has
/// `on_disk` there besides. The first one takes so many requests a second; `asked` ones come for m0, and
/// one waits for a model.
fn orders(
    limit_per_s: Option<f64>,
    asked: u32,
    waits_for: &str,
    on_disk: &[&str],
) -> Vec<PlannedOrder> {
    let mut planned = Planned::new();
    planned.hear_of("i-1", 1, &["m3"], on_disk);
    planned.orders(OrderAnswer::Taken);
    planned.report(false, 0, &["m0", "m1"]);
    planned.reported("i-1", false, 0, &["m3"], on_disk);
    planned.planner.set_limit(&"i-0".into(), limit_per_s);
    for _ in 0..asked * 4 {
        planned.now += Duration::from_millis(1_000 / u64::from(asked));
        let service = "engines".into();
        planned
            .planner
            .taken(&service, &plain("m0"), 1, planned.now);
    }
    planned.need(waits_for);
    planned.orders(OrderAnswer::Taken)
}

fn loads(orders: &[PlannedOrder], engine: &str, model: &str) -> bool {
    orders.iter().any(|order| {
        order.action == OrderAction::Load && *order.engine == *engine && *order.wish.model == *model
    })
}

/// A model that is asked for once a second is worth one replica, and the engine that it stands on takes a
/// request in two seconds.
#[test]
fn comes_to_another() {
    // From its disk, or from the weight store: the engine that has it near does not bear it.
    for on_disk in [&["m3", "m0"][..], &["m3"]] {
        assert!(!loads(&orders(None, 1, "m0", on_disk), "i-1", "m0"));
        assert!(loads(&orders(Some(0.5), 1, "m0", on_disk), "i-1", "m0"));
    }
}

#[test]
fn stays_where_it_is_borne() {
    assert!(!loads(&orders(None, 4, "m0", &["m3"]), "i-1", "m0"));
    assert!(!loads(&orders(Some(50.0), 4, "m0", &["m3"]), "i-1", "m0"));
}

#[test]
fn nothing_comes_to_one_in_need() {
    let orders = orders(Some(1.1), 0, "m2", &["m3"]);
    assert!(!loads(&orders, "i-0", "m2"));
    assert!(loads(&orders, "i-1", "m2"));
}

#[test]
fn need_ends() {
    let mut planned = Planned::new();
    planned.planner.set_limit(&"i-0".into(), Some(1.0));
    planned.planner.set_limit(&"i-0".into(), None);
    planned.orders(OrderAnswer::Taken);
    planned.report(false, 0, &["m0"]);
    planned.need("m2");
    assert!(loads(&planned.orders(OrderAnswer::Taken), "i-0", "m2"));
}

/// What was said by another start of an engine counts no more.
#[test]
fn restart_ends_need() {
    let mut planned = Planned::new();
    planned.planner.set_limit(&"i-0".into(), Some(1.0));
    let restarted = UpstreamEntry {
        started_at_ms: 5,
        ..entry("i-0", 1, &[])
    };
    planned.planner.heard(restarted, planned.now);
    planned.orders(OrderAnswer::Taken);
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
    planned.planner.reported(&engine, Some(report), planned.now);
    planned.need("m3");
    assert!(loads(&planned.orders(OrderAnswer::Taken), "i-0", "m3"));
}

/// Requests wait for a model that stands only on an engine that wants nothing from their instance.
#[test]
fn missed_at_rest_comes_to_another() {
    let mut planned = Planned::new();
    planned.hear_of("i-1", 1, &["m3"], &["m3", "m0"]);
    planned.orders(OrderAnswer::Taken);
    planned.report(false, 0, &["m0", "m1"]);
    planned.reported("i-1", false, 0, &["m3"], &["m3", "m0"]);
    planned.need("m0");
    assert!(!loads(&planned.orders(OrderAnswer::Taken), "i-1", "m0"));
    let until = planned.now + Duration::from_secs(3);
    planned.planner.note_rest(&"i-0".into(), 0, until);
    assert!(loads(&planned.orders(OrderAnswer::Taken), "i-1", "m0"));
}

/// Nothing is ordered from an engine, or asked, that wants nothing from the holder.
#[test]
fn no_orders_at_rest() {
    let mut planned = Planned::new();
    planned.orders(OrderAnswer::Taken);
    planned.report(false, 0, &["m0"]);
    let engine = UpstreamId::from("i-0");
    let until = planned.now + Duration::from_secs(3);
    planned.planner.set_resting([(engine, until)].into());
    planned.need("m2");
    assert_eq!(planned.orders(OrderAnswer::Taken), []);
    planned.planner.set_resting([].into());
    assert!(loads(&planned.orders(OrderAnswer::Taken), "i-0", "m2"));
}
