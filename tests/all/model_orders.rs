//! Models are loaded where they are requested, by the orders of one holder.

use crate::cluster::{self, stream, until};
use crate::test_planner::{TestPlanner, resident};
use passway_serving::ports::{EngineReport, OrderAction, OrderAnswer};
use passway_serving::upstreams::{ModelRef, ResidentModel};
use passway_standins::platform::model_server::{EVENTS, Faults, ModelServer, event};
use passway_types::prelude::*;

fn all_events() -> String {
    (1..=EVENTS).map(event).collect()
}

#[test]
fn rare_model_loaded() {
    let store = cluster::store(&["m0", "m1", "m2"]);
    let server = ModelServer::start(&store, "i-0", "engines", 2, &["m0", "m1"], &["m2"]);
    let instance = cluster::start_ready("one", &store);
    until("leadership", || instance.fence().is_some());
    let answer = stream(instance.callers_address(), "report", "r1", "m2");
    assert_eq!((answer.status, answer.is_complete), (200, true));
    assert_eq!(answer.body, all_events());
    let taken = server.accepted_orders();
    let operations: Vec<&str> = taken.iter().map(|order| &*order.operation).collect();
    assert_eq!(operations, ["unload_model", "load_model"]);
    assert_eq!(server.loads_over_capacity(), 0);
}

#[test]
fn adapter_loaded() {
    let store = cluster::store(&["m0"]);
    let server = ModelServer::start(&store, "i-0", "engines", 2, &["m0"], &[]);
    let instance = cluster::start_ready("one", &store);
    until("leadership", || instance.fence().is_some());
    for adapter in ["a1", "a2", "a3", "a1"] {
        let answer = stream(
            instance.callers_address(),
            "chat",
            adapter,
            &format!("m0/{adapter}"),
        );
        assert_eq!(
            (answer.status, answer.is_complete),
            (200, true),
            "{adapter}"
        );
    }
    // Two slots: each later adapter makes another one unload first.
    let loads = server
        .accepted_orders()
        .iter()
        .filter(|o| o.operation == "load_model")
        .count();
    let unloads = server
        .accepted_orders()
        .iter()
        .filter(|o| o.operation == "unload_model")
        .count();
    assert_eq!((loads, unloads), (4, 2));
}

#[test]
fn lost_order_answer() {
    let store = cluster::store(&["m0", "m1", "m2"]);
    let server = ModelServer::start(&store, "i-0", "engines", 2, &["m0", "m1"], &["m2"]);
    let instance = cluster::start_ready("one", &store);
    until("leadership", || instance.fence().is_some());
    server.set_faults(Faults {
        drops_order_answer: true,
        ..Faults::default()
    });
    let answer = stream(instance.callers_address(), "report", "r1", "m2");
    assert_eq!((answer.status, answer.is_complete), (200, true));
    assert_eq!(server.loads_over_capacity(), 0);
    assert_eq!(server.accepted_orders().len(), 2);
}

#[test]
fn stream_resumes() {
    let store = cluster::store(&["m0"]);
    let first = ModelServer::start(&store, "i-0", "engines", 2, &["m0"], &[]);
    let second = ModelServer::start(&store, "i-1", "engines", 2, &["m0"], &[]);
    let instance = cluster::start_ready("one", &store);
    until("a repeat to spend", || instance.has_spare_retry("engines"));
    for server in [&first, &second] {
        server.set_faults(Faults {
            cut_after_events: Some(2),
            ..Faults::default()
        });
    }
    // The first server cuts the stream after event 2; the second one sends all events.
    second.set_faults(Faults::default());
    let answer = stream(instance.callers_address(), "chat", "c1", "m0");
    assert_eq!((answer.status, answer.is_complete), (200, true));
    assert_eq!(answer.body, all_events());
    assert_eq!(first.executed_ids().len() + second.executed_ids().len(), 2);
    assert_eq!(answer.head.matches("Response-Seal").count(), 1);
}

#[test]
fn broken_stream_not_whole() {
    let store = cluster::store(&["m0"]);
    let server = ModelServer::start(&store, "i-0", "engines", 2, &["m0"], &[]);
    let instance = cluster::start_ready("one", &store);
    server.set_faults(Faults {
        cut_after_events: Some(2),
        ..Faults::default()
    });
    let answer = stream(instance.callers_address(), "report", "c1", "m0");
    assert_eq!((answer.status, answer.is_complete), (200, false));
    assert_eq!(answer.body, event(1) + &event(2));
    assert_eq!(server.executed_ids().len(), 1);
}

#[test]
fn one_holder_at_a_time() {
    let store = cluster::store(&["m0", "m1", "m2", "m3"]);
    let server = ModelServer::start(&store, "i-0", "engines", 2, &["m0", "m1"], &["m2", "m3"]);
    let instances = [
        cluster::start_ready("one", &store),
        cluster::start_ready("two", &store),
    ];
    until("a holder", || instances.iter().any(|i| i.fence().is_some()));
    let first = instances
        .iter()
        .position(|i| i.fence().is_some())
        .expect("a holder");
    for _ in 0..50 {
        let holders = instances.iter().filter(|i| i.fence().is_some()).count();
        assert!(holders <= 1);
    }
    let other = &instances[1 - first];
    // The holder must receive the needs of the other instance.
    assert_eq!(
        stream(other.callers_address(), "report", "r1", "m2").status,
        200
    );
    std::thread::scope(|scope| {
        scope.spawn(|| instances[first].stop());
        until("the other holder", || other.fence().is_some());
        assert_eq!(instances[first].fence(), None);
    });
    assert_eq!(
        stream(other.callers_address(), "report", "r2", "m3").status,
        200
    );
    let taken = server.accepted_orders();
    let mut holders: Vec<(&str, u64)> = taken.iter().map(|o| (&*o.holder, o.fence)).collect();
    holders.dedup();
    assert_eq!(holders.len(), 2, "{holders:?}");
    assert!(holders[0].1 < holders[1].1);
}

#[test]
fn queries_before_ordering() {
    let mut test_planner = TestPlanner::new();
    test_planner.add_waiter("m2");
    assert_eq!(test_planner.orders_within_second(OrderAnswer::Taken), []);
    test_planner.send_report(false, 3, &["m0", "m1"]);
    let orders = test_planner.orders_within_second(OrderAnswer::Taken);
    assert_eq!(orders.len(), 1);
    assert_eq!(orders[0].action, OrderAction::Unload);
    assert_eq!(orders[0].expected_orders, 3);
}

#[test]
fn no_order_on_busy_report() {
    // Another holder's load is in progress: the reported models are not all that occupy memory.
    let mut test_planner = TestPlanner::new();
    test_planner.add_waiter("m2");
    test_planner.orders_within_second(OrderAnswer::Taken);
    test_planner.send_report(true, 4, &["m0"]);
    assert_eq!(test_planner.orders_within_second(OrderAnswer::Taken), []);
    test_planner.send_report(false, 4, &["m0", "m3"]);
    let orders = test_planner.orders_within_second(OrderAnswer::Taken);
    assert_eq!(
        orders.first().map(|order| order.action),
        Some(OrderAction::Unload)
    );
}

#[test]
fn no_load_before_unload_done() {
    // The unload was accepted, but a run delays it.
    let mut test_planner = TestPlanner::new();
    test_planner.add_waiter("m2");
    test_planner.orders_within_second(OrderAnswer::Taken);
    test_planner.send_report(false, 0, &["m0", "m1"]);
    let orders = test_planner.orders_within_second(OrderAnswer::Taken);
    assert_eq!(orders.len(), 1);
    test_planner.send_report(true, 1, &["m0", "m1"]);
    assert_eq!(test_planner.orders_within_second(OrderAnswer::Taken), []);
    // A report of an older state that arrives late.
    test_planner.send_report(false, 0, &["m1"]);
    assert_eq!(test_planner.orders_within_second(OrderAnswer::Taken), []);
    test_planner.send_report(false, 1, &["m1"]);
    let orders = test_planner.orders_within_second(OrderAnswer::Taken);
    assert_eq!(
        orders.first().map(|order| order.action),
        Some(OrderAction::Load)
    );
    assert_eq!(orders.first().map(|order| order.expected_orders), Some(1));
}

#[test]
fn other_incarnation() {
    let mut test_planner = TestPlanner::new();
    test_planner.add_waiter("m2");
    test_planner.orders_within_second(OrderAnswer::Taken);
    test_planner.send_report(false, 0, &["m0", "m1"]);
    assert_eq!(
        test_planner
            .orders_within_second(OrderAnswer::OtherIncarnation)
            .len(),
        1
    );
    test_planner.send_report(false, 0, &[]);
    assert_eq!(test_planner.orders_within_second(OrderAnswer::Taken), []);
}

#[test]
fn used_adapter_keeps_slot() {
    let mut test_planner = TestPlanner::new();
    test_planner.orders_within_second(OrderAnswer::Taken);
    let model = |adapters: &[&str]| ResidentModel {
        name: "m0".into(),
        adapters: adapters.iter().map(|name| (*name).into()).collect(),
    };
    let report = |orders_taken, adapters: &[&str]| EngineReport {
        models: vec![model(adapters), resident("m1")],
        busy: false,
        orders_taken,
        in_memory: Vec::new(),
        on_disk: ["m0", "m1", "m2", "m3"].map(Into::into).to_vec(),
        adapters_loading: Vec::new(),
        started_at_ms: 0,
    };
    let engine: UpstreamId = "i-0".into();
    test_planner
        .planner
        .apply_report(&engine, Some(report(0, &["a1", "a2"])), test_planner.now);
    let model_ref = ModelRef {
        model: "m0".into(),
        adapter: Some("a3".into()),
    };
    test_planner.set_waiters(model_ref, 1);
    // Both slots are in use; a run delays the unload.
    let orders = test_planner.orders_within_second(OrderAnswer::Taken);
    assert_eq!(orders.len(), 1, "{orders:?}");
    assert_eq!(orders[0].action, OrderAction::Unload);
    test_planner
        .planner
        .apply_report(&engine, Some(report(1, &["a1", "a2"])), test_planner.now);
    let again = test_planner.orders_within_second(OrderAnswer::Taken);
    assert!(
        again
            .iter()
            .all(|order| order.action == OrderAction::Unload),
        "{again:?}"
    );
    test_planner
        .planner
        .apply_report(&engine, Some(report(2, &["a2"])), test_planner.now);
    let loads = test_planner.orders_within_second(OrderAnswer::Taken);
    assert_eq!(
        loads.first().map(|order| order.action),
        Some(OrderAction::Load)
    );
}

#[test]
fn older_entry_ignored() {
    let mut test_planner = TestPlanner::new();
    test_planner.add_waiter("m2");
    test_planner.orders_within_second(OrderAnswer::Taken);
    test_planner.send_report(false, 0, &["m0", "m1"]);
    let orders = test_planner.orders_within_second(OrderAnswer::Taken);
    let victim = orders.first().expect("an unload").model_ref.model.clone();
    let stays = if &*victim == "m0" { "m1" } else { "m0" };
    // An entry from an earlier time when the slot was empty.
    test_planner.send_entry(0, &[stays]);
    assert_eq!(test_planner.orders_within_second(OrderAnswer::Taken), []);
    test_planner.send_entry(2, &[stays]);
    let orders = test_planner.orders_within_second(OrderAnswer::Taken);
    assert_eq!(
        orders.first().map(|order| order.action),
        Some(OrderAction::Load)
    );
}

#[test]
fn new_holder_waits_for_reports() {
    let mut test_planner = TestPlanner::new();
    test_planner.add_waiter("m2");
    test_planner.send_report(false, 0, &["m0", "m1"]);
    assert_eq!(test_planner.planner.decide(test_planner.now), []);
    // Instances report recent requests from before the term began: m0 is in use.
    let busy = ModelRef {
        model: "m0".into(),
        adapter: None,
    };
    test_planner
        .planner
        .record_arrivals(&"engines".into(), &busy, 40, test_planner.now);
    let orders = test_planner.orders_within_second(OrderAnswer::Taken);
    assert_eq!(
        orders.first().map(|order| &*order.model_ref.model),
        Some("m1")
    );
}

#[test]
fn silent_server_left() {
    let store = cluster::store(&["m0"]);
    let first = ModelServer::start(&store, "i-0", "engines", 2, &["m0"], &[]);
    let second = ModelServer::start(&store, "i-1", "engines", 2, &["m0"], &[]);
    let instance = cluster::start_ready("one", &store);
    until("a repeat to spend", || instance.has_spare_retry("engines"));
    // Whichever server is first stops sending after two events; its connection stays open.
    for server in [&first, &second] {
        server.set_faults(Faults {
            silent_after_events: Some(2),
            ..Faults::default()
        });
    }
    let answers: Vec<_> = (0..2)
        .map(|number| {
            let address = instance.callers_address();
            std::thread::spawn(move || stream(address, "chat", &format!("c{number}"), "m0"))
        })
        .collect();
    for answer in answers {
        let answer = answer.join().expect("a caller");
        assert_eq!((answer.status, answer.is_complete), (200, true));
        assert_eq!(answer.body, all_events());
    }
}

#[test]
fn disk_before_weight_store() {
    // One engine has every model on its disk and is busy; an empty one could only load from the
    // weight store.
    let mut test_planner = TestPlanner::new();
    test_planner.orders_within_second(OrderAnswer::Taken);
    test_planner.send_entry_of("i-9", 1, &[], &[]);
    let empty = EngineReport {
        models: Vec::new(),
        busy: false,
        orders_taken: 0,
        in_memory: Vec::new(),
        on_disk: Vec::new(),
        adapters_loading: Vec::new(),
        started_at_ms: 0,
    };
    test_planner
        .planner
        .apply_report(&"i-9".into(), Some(empty), test_planner.now);
    test_planner.send_report(true, 0, &["m0"]);
    test_planner.add_waiter("m2");
    let orders = test_planner.orders_within_second(OrderAnswer::Taken);
    assert_eq!(
        orders,
        [],
        "a second is less than a load from the weight store"
    );
    let fetched = test_planner.orders_within_second(OrderAnswer::Taken);
    assert_eq!(fetched.first().map(|order| &*order.engine), Some("i-9"));
}

#[test]
fn silent_server_kept() {
    // No other server has the model, so the silence ends the stream no sooner.
    let store = cluster::store(&["m0"]);
    let server = ModelServer::start(&store, "i-0", "engines", 2, &["m0"], &[]);
    let instance = cluster::start_ready("one", &store);
    server.set_faults(Faults {
        pause_after_events: Some(2),
        ..Faults::default()
    });
    let answer = stream(instance.callers_address(), "chat", "c1", "m0");
    assert_eq!((answer.status, answer.is_complete), (200, true));
    assert_eq!(answer.body, all_events());
    assert_eq!(server.executed_ids().len(), 1);
}
