//! Requests that may run only at engines of one software version: their model is loaded there.

use crate::cluster::{self, RECEIVE_TIMEOUT, until};
use crate::test_planner::{TestPlanner, base_model, entry, resident};
use passway_serving::placement::{Action, PlannedOrder, Waiters};
use passway_serving::ports::{EngineReport, OrderAction, OrderAnswer};
use passway_serving::upstreams::{ModelRef, UpstreamEntry};
use passway_standins::platform::model_server::{InitialModels, ModelServer};
use passway_types::prelude::*;
use passway_wire::Body;
use passway_wire::Link;
use passway_wire::message::{InstanceReport, ModelRequests};

const MODELS: [&str; 4] = ["m0", "m1", "m2", "m3"];
/// More engines than are considered for one fetch from the weight store.
const MANY_ENGINES: usize = 40;
const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);
/// Longest wait that the holder is told of, in milliseconds.
const REPORTED_WAIT_MS: u32 = 10_000;

/// An engine of a software version with its loaded models and those on its disk.
fn engine(id: &str, software: &str, models: &[&str], on_disk: &[&str]) -> UpstreamEntry {
    UpstreamEntry {
        on_disk: on_disk.iter().map(|name| (*name).into()).collect(),
        software: software.into(),
        ..entry(id, 1, models)
    }
}

/// A planner of engine `i-0`, which has m0 and m1 and version v1, and of `others`. All have
/// reported their state.
fn planner_with(others: &[UpstreamEntry]) -> TestPlanner {
    let mut test = TestPlanner::new();
    for entry in others {
        test.planner.update_engine(entry.clone(), test.now);
    }
    test.orders_within_second(OrderAnswer::Taken);
    test.send_report(false, 0, &["m0", "m1"]);
    for entry in others {
        send_report(&mut test, entry);
    }
    test
}

/// Sends an engine's report of the state that its entry shows.
fn send_report(test: &mut TestPlanner, entry: &UpstreamEntry) {
    let report = EngineReport {
        models: entry.models.clone(),
        busy: false,
        orders_taken: 0,
        in_memory: Vec::new(),
        on_disk: entry.on_disk.clone(),
        adapters_loading: Vec::new(),
        started_at_ms: entry.started_at_ms,
    };
    test.planner.apply_report(&entry.id, Some(report), test.now);
}

/// Sets how many requests wait for a model at one software version.
fn wait_at(test: &mut TestPlanner, software: &str, model_ref: ModelRef, count: u32) {
    let waiters = Waiters {
        instance: "one".into(),
        service: "engines".into(),
        model_ref,
        required_software: Some(software.into()),
        count,
        latest_deadline: test.now + RECEIVE_TIMEOUT,
    };
    test.planner.set_waiters(waiters, test.now);
}

/// The engines and models of the loads that are ordered within a second.
fn loads(test: &mut TestPlanner) -> Vec<(String, String)> {
    let orders = test.orders_within_second(OrderAnswer::Taken);
    let loads = orders
        .iter()
        .filter(|order| order.action == OrderAction::Load);
    let names = |order: &PlannedOrder| {
        let model = order.model_ref.model.to_string();
        (order.engine.to_string(), model)
    };
    loads.map(names).collect()
}

fn load_of(engine: &str, model: &str) -> Vec<(String, String)> {
    vec![(engine.to_owned(), model.to_owned())]
}

// Guards against streams that are lost while engines of their version serve: their model counted as
// loaded because an engine of another version had it.
#[test]
fn loaded_at_required_version() {
    let mut test = planner_with(&[engine("i-1", "v2", &["m2"], &MODELS)]);
    wait_at(&mut test, "v2", base_model("m0"), 1);
    assert_eq!(loads(&mut test), load_of("i-1", "m0"));
}

// Guards against loads for requests that any engine with the model may run.
#[test]
fn served_model_not_loaded_without_version() {
    let mut test = planner_with(&[engine("i-1", "v2", &["m2"], &MODELS)]);
    test.add_waiter("m0");
    assert_eq!(loads(&mut test), []);
}

// Guards against a load while an engine of the version serves the model already.
#[test]
fn served_version_not_loaded() {
    let others = [
        engine("i-1", "v2", &["m0"], &MODELS),
        engine("i-2", "v2", &[], &MODELS),
    ];
    let mut test = planner_with(&others);
    wait_at(&mut test, "v2", base_model("m0"), 5);
    assert_eq!(loads(&mut test), []);
}

// Guards against one load after the other of a model for the same requests.
#[test]
fn loaded_once_at_version() {
    let others = ["i-1", "i-2", "i-3"].map(|id| engine(id, "v2", &[], &MODELS));
    let mut test = planner_with(&others);
    wait_at(&mut test, "v2", base_model("m0"), 5);
    assert_eq!(loads(&mut test).len(), 1);
    assert_eq!(loads(&mut test), []);
}

// Guards against two loads of a model on no engine, one for a version and one for all others.
#[test]
fn one_load_for_all_waits() {
    let others = [
        engine("i-1", "v1", &[], &["m2"]),
        engine("i-2", "v2", &[], &[]),
        engine("i-3", "v1", &[], &["m2"]),
    ];
    let mut test = planner_with(&others);
    test.add_waiter("m2");
    wait_at(&mut test, "v2", base_model("m2"), 1);
    assert_eq!(loads(&mut test), load_of("i-2", "m2"));
}

// Guards against requests at any version that wait for ever because one version has no engine.
#[test]
fn loaded_elsewhere_without_version_engines() {
    let mut test = planner_with(&[engine("i-1", "v1", &[], &["m2"])]);
    test.add_waiter("m2");
    wait_at(&mut test, "v2", base_model("m2"), 1);
    assert_eq!(loads(&mut test), load_of("i-1", "m2"));
}

// Guards against loads that serve no request because the version has no engine any more.
#[test]
fn gone_version_loads_nothing() {
    let mut test = planner_with(&[engine("i-1", "v1", &[], &MODELS)]);
    wait_at(&mut test, "v2", base_model("m2"), 5);
    assert_eq!(loads(&mut test), []);
}

// Guards against models that leave with an engine although another one of its version stays.
#[test]
fn leaving_engine_does_not_count() {
    let leaving = UpstreamEntry {
        draining: true,
        ..engine("i-1", "v2", &["m0"], &MODELS)
    };
    let mut test = planner_with(&[leaving, engine("i-2", "v2", &["m1"], &MODELS)]);
    wait_at(&mut test, "v2", base_model("m0"), 1);
    assert_eq!(loads(&mut test), load_of("i-2", "m0"));
}

// Guards against the version of an earlier start: an engine restarts under its id at another one.
#[test]
fn version_belongs_to_start() {
    let mut test = planner_with(&[
        engine("i-1", "v2", &[], &MODELS),
        engine("i-2", "v1", &[], &MODELS),
    ]);
    let restarted = |id, software| UpstreamEntry {
        started_at_ms: 1,
        ..engine(id, software, &[], &MODELS)
    };
    for entry in [restarted("i-1", "v1"), restarted("i-2", "v2")] {
        test.planner.update_engine(entry.clone(), test.now);
        send_report(&mut test, &entry);
    }
    wait_at(&mut test, "v2", base_model("m0"), 1);
    assert_eq!(loads(&mut test), load_of("i-2", "m0"));
}

// Guards against leaving out the only engine of the required version when choosing where to load the
// model, and against postponing that load because engines of other versions have the model cached.
#[test]
fn fetched_by_any_engine_of_version() {
    for place in 0..MANY_ENGINES {
        let others: Vec<UpstreamEntry> = (0..MANY_ENGINES)
            .map(|number| {
                let id = format!("j-{number:02}");
                if number == place {
                    engine(&id, "v2", &[], &[])
                } else {
                    engine(&id, "v1", &["m2"], &["m2"])
                }
            })
            .collect();
        let mut test = planner_with(&others);
        wait_at(&mut test, "v2", base_model("m2"), 1);
        let expected = load_of(&format!("j-{place:02}"), "m2");
        assert_eq!(loads(&mut test), expected);
    }
}

// Guards against an engine that counts as serving the model at its version while it rejects the
// requests that wait.
#[test]
fn rejecting_engine_does_not_count() {
    let others = [
        engine("i-1", "v2", &["m0"], &MODELS),
        engine("i-2", "v2", &[], &MODELS),
    ];
    let mut test = planner_with(&others);
    let rejects_until = test.now + RECEIVE_TIMEOUT;
    test.planner.record_backoff(&"i-1".into(), 0, rejects_until);
    wait_at(&mut test, "v2", base_model("m0"), 1);
    assert_eq!(loads(&mut test), load_of("i-2", "m0"));
}

// Guards against queries, once a second, of engines that cannot run the requests that wait.
#[test]
fn other_versions_not_queried() {
    let is_queried = |test: &mut TestPlanner| {
        let actions = test.decide_unanswered(40);
        let mut actions = actions.iter();
        actions.any(|action| matches!(action, Action::Ask { engine, .. } if &**engine == "i-0"))
    };
    let mut test = planner_with(&[]);
    wait_at(&mut test, "v2", base_model("m0"), 1);
    assert!(!is_queried(&mut test), "an engine of v1");
    wait_at(&mut test, "v1", base_model("m0"), 1);
    assert!(is_queried(&mut test), "an engine of the required version");
}

// Guards against an adapter that counts as loaded because an engine of another version has it.
#[test]
fn adapter_loaded_at_required_version() {
    let mut other = engine("i-1", "v1", &["m0"], &MODELS);
    other.models[0].adapters.push("a1".into());
    let mut test = planner_with(&[other, engine("i-2", "v2", &["m0"], &MODELS)]);
    let model_ref = ModelRef {
        model: "m0".into(),
        adapter: Some("a1".into()),
    };
    wait_at(&mut test, "v2", model_ref.clone(), 1);
    let orders = test.orders_within_second(OrderAnswer::Taken);
    let orders: Vec<(&str, &ModelRef)> = orders
        .iter()
        .map(|order| (&*order.engine, &order.model_ref))
        .collect();
    assert_eq!(orders, [("i-2", &model_ref)]);
}

// Guards against busy models that are evicted for a single request at one version.
#[test]
fn busy_models_stay() {
    let mut test = planner_with(&[engine("i-1", "v2", &["m2", "m3"], &MODELS)]);
    for _ in 0..50 {
        test.now += Duration::from_millis(100);
        for model in ["m2", "m3"] {
            let service = "engines".into();
            let model_ref = base_model(model);
            test.planner
                .record_arrivals(&service, &model_ref, 4, test.now);
        }
    }
    wait_at(&mut test, "v2", base_model("m0"), 1);
    let orders = test.orders_within_second(OrderAnswer::Taken);
    let mut orders = orders.iter();
    assert_eq!(orders.find(|order| &*order.engine == "i-1"), None);
    wait_at(&mut test, "v2", base_model("m0"), 400);
    let orders = test.orders_within_second(OrderAnswer::Taken);
    let mut orders = orders.iter();
    assert!(orders.any(|order| &*order.engine == "i-1"), "many requests");
}

// Guards against waits that end or are removed at one version and take those at any version with
// them, or the reverse.
#[test]
fn waits_counted_by_version() {
    let others = [engine("i-1", "v2", &[], &MODELS)];
    let mut test = planner_with(&others);
    wait_at(&mut test, "v2", base_model("m0"), 1);
    test.set_waiters(base_model("m0"), 0);
    assert_eq!(loads(&mut test), load_of("i-1", "m0"));

    let mut test = planner_with(&others);
    test.add_waiter("m2");
    wait_at(&mut test, "v2", base_model("m2"), 1);
    wait_at(&mut test, "v2", base_model("m2"), 0);
    assert_eq!(loads(&mut test).len(), 1);

    let mut test = planner_with(&others);
    wait_at(&mut test, "v2", base_model("m0"), 1);
    test.planner.remove_instance(&"one".into());
    assert_eq!(loads(&mut test), []);

    let mut test = planner_with(&others);
    wait_at(&mut test, "v2", base_model("m0"), 1);
    test.now += RECEIVE_TIMEOUT;
    assert_eq!(loads(&mut test), []);
}

// Guards against requests that wait for the next message to all instances although their model has
// just been loaded at their version.
#[test]
fn waiting_instance_notified_at_once() {
    let mut test = planner_with(&[engine("i-1", "v2", &[], &MODELS)]);
    wait_at(&mut test, "v2", base_model("m0"), 1);
    let orders = test.orders_within_second(OrderAnswer::Taken);
    assert_eq!(orders.len(), 1);
    let report = EngineReport {
        models: vec![resident("m0")],
        busy: false,
        orders_taken: 1,
        in_memory: Vec::new(),
        on_disk: Vec::new(),
        adapters_loading: Vec::new(),
        started_at_ms: 0,
    };
    test.planner
        .apply_report(&"i-1".into(), Some(report), test.now);
    let awaited = test.planner.take_awaited_placements();
    let notified: Vec<_> = awaited.iter().flat_map(|(_, names)| names).collect();
    assert_eq!(notified, [&InstanceId::from("one")]);
}

// Guards against a required version that is lost between an instance's report and the holder's
// planner.
#[test]
fn reported_version_reaches_engine() {
    let store = cluster::store(&["m0", "m1"]);
    let server = |id, software, loaded: &[&str]| {
        let models = InitialModels {
            capacity: 2,
            loaded,
            on_disk: &["m0", "m1"],
        };
        ModelServer::start_with_software(&store, id, software, models)
    };
    let first = server("i-0", "v1", &["m0"]);
    let second = server("i-1", "v2", &["m1"]);
    let instance = cluster::start_ready("one", &store);
    until("the leadership", || instance.fence().is_some());
    until("the holder", || instance.holder().is_some());
    let holder = instance.holder().expect("a holder").address;
    let (link, _reader) = Link::connect(holder, CONNECT_TIMEOUT).expect("a link");
    let requests = ModelRequests {
        service: "engines".into(),
        model: "m0".into(),
        adapter: String::new(),
        remaining_wait_ms: REPORTED_WAIT_MS,
        count: 1,
        required_software: Some("v2".into()),
    };
    let report = InstanceReport {
        instance: "reporter".into(),
        waiting_for_software: vec![requests],
        ..InstanceReport::default()
    };
    link.send(Body::InstanceReport(report)).expect("sent");
    until("the load", || !second.accepted_orders().is_empty());
    let orders = second.accepted_orders();
    assert_eq!(orders[0].operation, "load_model");
    assert_eq!(first.accepted_orders().len(), 0);
}
