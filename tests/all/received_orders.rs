//! An order fits whatever the engine's true state is when it arrives, not only what the holder
//! believes: the fault runs (`placement_faults`) draw such cases, these are the causes one by
//! one. A calm day at 256 engines had one, 3.6 s after the right to order had changed hands.

use crate::cluster::{self, RECEIVE_TIMEOUT};
use crate::planned::{Planned, entry, plain, resident};
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
        adapters_loading: Vec::new(),
        started_at_ms,
    }
}

fn loads(orders: &[PlannedOrder]) -> Vec<&str> {
    let loads = orders.iter().filter(|o| o.action == OrderAction::Load);
    loads.map(|order| &*order.wish.model).collect()
}

fn adapter(model: &str, name: &str) -> ModelRef {
    ModelRef {
        model: model.into(),
        adapter: Some(name.into()),
    }
}

/// A model that is loading takes its room, also for an adapter of another one.
#[test]
fn loading_model_counts() {
    let mut planned = Planned::new();
    let mut file = cluster::configuration(1, &["m0", "m1", "m2", "m3"]);
    // Two models leave half of an adapter's room.
    file["services"][1]["engine"]["weights_mb"] = 140.5.into();
    let value = StoredValue {
        key: "op/config".into(),
        value: file.to_string().into(),
        revision: 1,
    };
    let table = PlatformDirectory
        .decode_configuration(&value)
        .expect("decoded");
    planned.planner.set_table(&table.expect("a configuration"));
    planned.orders(OrderAnswer::Taken);
    planned.report(false, 0, &["m0"]);
    planned.need("m2");
    let orders = planned.orders(OrderAnswer::Taken);
    assert_eq!(loads(&orders), ["m2"]);
    planned.need_wish(adapter("m0", "a1"), 1);
    assert_eq!(loads(&planned.orders(OrderAnswer::Taken)), [""; 0]);
}

/// Adapters that a holder before ordered take their places while they are on their way.
#[test]
fn coming_adapters_count() {
    let mut planned = Planned::new();
    planned.orders(OrderAnswer::Taken);
    let mut state = report(0, &["m0", "m1"], 0);
    state.models[0].adapters = vec!["a1".into()];
    state.adapters_loading = vec![adapter("m1", "a2")];
    planned
        .planner
        .reported(&"i-0".into(), Some(state), planned.now);
    planned.need_wish(adapter("m0", "a3"), 1);
    let orders = planned.orders(OrderAnswer::Taken);
    assert_eq!(loads(&orders), [""; 0], "both places are taken: {orders:?}");
}

/// Reports are some hundred milliseconds old: at the begin of a term the first one that is
/// asked for shows what the holder before ordered last.
#[test]
fn first_question_waits() {
    let mut planned = Planned::new();
    let begun_at = planned.now;
    let asked_at = loop {
        planned.now += Duration::from_millis(20);
        let actions = planned.planner.decide(planned.now);
        if !actions.is_empty() {
            assert!(matches!(actions[0], Action::Ask { .. }), "{actions:?}");
            break planned.now;
        }
    };
    assert!(asked_at >= begun_at + Duration::from_millis(500));
    // The engines stand without orders for less than a second.
    assert!(asked_at < begun_at + Duration::from_millis(700));
}

/// An entry without a model tells that it has gone only if one before listed it: it may come
/// from a time when the model had gone once before.
#[test]
fn late_entry_frees_nothing() {
    let mut planned = Planned::new();
    planned.orders(OrderAnswer::Taken);
    planned.report(false, 0, &["m0"]);
    planned.need("m2");
    planned.orders(OrderAnswer::Taken);
    planned.report(false, 1, &["m0", "m2"]);
    // m2 is needed no more, and m0 is busy.
    planned.now += RECEIVE_TIMEOUT;
    let busy = plain("m0");
    planned
        .planner
        .taken(&"engines".into(), &busy, 40, planned.now);
    planned.need_wish(plain("m3"), 5);
    let orders = planned.orders(OrderAnswer::Taken);
    let victims: Vec<_> = orders.iter().map(|o| (o.action, &*o.wish.model)).collect();
    assert_eq!(victims, [(OrderAction::Unload, "m2")]);
    // What the engine said before m2 came arrives now: its number is above the last known.
    planned.hear(2, &["m0"]);
    assert_eq!(loads(&planned.orders(OrderAnswer::Taken)), [""; 0]);
    // A report shows it.
    planned.report(false, 2, &["m0"]);
    assert_eq!(loads(&planned.orders(OrderAnswer::Taken)), ["m3"]);
}

/// An order that was not answered may be carried out yet: what it brings keeps its room.
#[test]
fn lost_order_keeps_room() {
    let mut planned = Planned::new();
    planned.orders(OrderAnswer::Taken);
    planned.report(false, 0, &["m0"]);
    planned.need("m2");
    assert_eq!(loads(&planned.orders(OrderAnswer::Lost)), ["m2"]);
    // Nobody needs m2 any more, and the engine does not show it.
    planned.now += Duration::from_secs(5);
    planned.report(false, 0, &["m0"]);
    planned.need("m3");
    let orders = planned.orders(OrderAnswer::Taken);
    assert!(
        !loads(&orders).contains(&"m3"),
        "m2 may come into the same room: {orders:?}"
    );
}

/// An engine that starts again under its id holds nothing, and counts orders from 0 again.
#[test]
fn started_again() {
    let mut planned = Planned::new();
    planned.orders(OrderAnswer::Taken);
    planned.report(false, 7, &["m0", "m1"]);
    let id: UpstreamId = "i-0".into();
    planned
        .planner
        .reported(&id, Some(report(0, &[], 500)), planned.now);
    planned.need("m2");
    let orders = planned.orders(OrderAnswer::Taken);
    let first = orders.first().expect("a load");
    assert_eq!(
        (first.action, first.expected_orders),
        (OrderAction::Load, 0)
    );
    assert_eq!(first.started_at_ms, 500);
    // A report and an entry from before its start change nothing, whatever their numbers.
    planned
        .planner
        .reported(&id, Some(report(9, &["m0", "m1"], 0)), planned.now);
    planned.hear(90, &["m0", "m1"]);
    planned
        .planner
        .reported(&id, Some(report(1, &["m2"], 500)), planned.now);
    let entry = UpstreamEntry {
        started_at_ms: 500,
        ..entry(&id, 1, &["m2"])
    };
    planned.planner.heard(entry, planned.now);
    planned
        .planner
        .taken(&"engines".into(), &plain("m2"), 5, planned.now);
    let lacking = planned
        .planner
        .placements_unlike(&std::collections::BTreeSet::new());
    assert_eq!(lacking.len(), 1);
    assert_eq!(lacking[0].models, [resident("m2")]);
}
