//! Software versions of streams where requests are unusual: an id that is used twice, headers that are
//! empty, repeated or unreadable, routes that change their service, and streams that are resumed twice.

use crate::cluster::{self, Answer, fetch, request, until};
use crate::dispatcher_queries::test_bed_of;
use crate::software_versions::{
    BrokenStream, STREAMS, break_off, engine, new_id, send, slow_down, versions,
};
use passway_instance::Instance;
use passway_standins::platform::documents::configuration;
use passway_standins::platform::model_server::{EVENTS, InitialModels, ModelServer, writers};
use passway_standins::platform::store::{self, MetadataStandIn, StoreEndpoint};
use passway_types::prelude::*;
use serde_json::json;

/// Time in which an instance follows a change in the store and writes its records.
const RECORDING_TIME: Duration = Duration::from_secs(1);

fn refusing() -> store::Faults {
    store::Faults {
        error_status: Some(503),
        ..store::Faults::default()
    }
}

/// Starts an instance whose store a test can take away.
fn start_ready_at(name: &str, endpoint: &StoreEndpoint) -> Instance {
    let instance = cluster::start_at(name, endpoint.address());
    until("streams may begin", || {
        instance.is_ready() && instance.begins_streams()
    });
    instance
}

/// Fails if the rest of a stream has events of another version.
pub fn assert_not_joined(software: &str, rest: &Answer) {
    let written = writers(&rest.body);
    assert!(
        written.iter().all(|one| one == software),
        "began at {software}, goes on at {written:?}"
    );
}

/// Two callers used one id for streams of two versions at one instance. The second version was not
/// recorded, so that the second stream went on at the first version once the instance was lost.
#[test]
fn id_used_for_two_versions() {
    let store = cluster::store(&["m0"]);
    let old = engine(&store, "i-0", "v1");
    let first = cluster::start_ready("one", &store);
    slow_down(&[&old]);
    let written = break_off(&first, "twice", "", 2).expect("a stream");
    assert_eq!(written[0], "v1");
    let new = engine(&store, "i-1", "v2");
    slow_down(&[&new]);
    old.publish_entry("draining");
    until("the second version alone", || {
        versions(&send(&first, &new_id(), "")).contains("v2")
    });
    std::thread::sleep(RECORDING_TIME);
    let written = break_off(&first, "twice", "", 2).expect("a stream");
    assert_eq!(written[0], "v2");
    std::thread::sleep(RECORDING_TIME);
    let _again = engine(&store, "i-2", "v1");
    let second = cluster::start_ready("two", &store);
    let rest = send(&second, &new_id(), "Last-Event-Id: 2\r\nResumes: twice\r\n");
    assert_not_joined("v2", &rest);
}

/// A second `Last-Event-Id` after an empty one, or one that is not UTF-8, was passed on to any engine as
/// if the request began its stream.
#[test]
fn unreadable_last_event_id() {
    let store = cluster::store(&["m0"]);
    let engines = [engine(&store, "i-0", "v1"), engine(&store, "i-1", "v2")];
    let instance = cluster::start_ready("one", &store);
    let headers: [&[u8]; 2] = [
        b"Last-Event-Id: \r\nLast-Event-Id: 2\r\n",
        b"Last-Event-Id: 2\xff\r\n",
    ];
    for header in headers {
        let id = new_id();
        let mut bytes = request("POST", "/chat/", &id, "Model: m0\r\nMARK: m\r\n", &id);
        let mark = b"MARK: m\r\n";
        let at = bytes.windows(mark.len()).position(|part| part == mark);
        let at = at.expect("the mark");
        bytes.splice(at..at + mark.len(), header.iter().copied());
        let answer = fetch(instance.callers_address(), &bytes).expect("an answer");
        let has_run = engines
            .iter()
            .any(|engine| engine.executed_ids().contains(&id));
        assert!(!has_run, "{} for {}", answer.status, header.escape_ascii());
    }
}

/// A request with an empty `Resumes` header begins a stream, and was refused.
#[test]
fn empty_resumes_begins() {
    let store = cluster::store(&["m0"]);
    let _engines = [engine(&store, "i-0", "v1"), engine(&store, "i-1", "v2")];
    let instance = cluster::start_ready("one", &store);
    assert_eq!(send(&instance, "c0", "Resumes: \r\n").status, 200);
    assert_eq!(
        send(&instance, "c1", "Resumes: \r\nLast-Event-Id: \r\n").status,
        200
    );
}

/// A configuration whose chat route has these services.
pub fn routed_configuration(version: u64, services: &[&str]) -> serde_json::Value {
    let mut config = configuration(version, &["m0"]);
    let mut other = config["services"][1].clone();
    other["name"] = json!("engines2");
    let listed = config["services"].as_array_mut();
    listed.expect("services").push(other);
    let routes = config["routes"].as_array_mut().expect("routes");
    for route in routes.iter_mut().filter(|route| route["name"] == "chat") {
        let backend = |service| json!({"service": service, "weight": 1.0});
        route["backends"] = services.iter().map(backend).collect();
    }
    config
}

fn engine_of(store: &MetadataStandIn, id: &str, service: &str, software: &str) -> ModelServer {
    let models = InitialModels {
        capacity: 1,
        loaded: &["m0"],
        on_disk: &[],
    };
    let server = ModelServer::start_behind(store, id, service, models, |address| address);
    server.set_software(software);
    server.publish_entry("ready");
    server
}

/// Two services with one version each, and a route to some of them.
pub fn two_services(services: &[&str]) -> (MetadataStandIn, [ModelServer; 2]) {
    let store = MetadataStandIn::default();
    store.put("op/config", &routed_configuration(1, services));
    let engines = [
        engine_of(&store, "i-0", "engines", "v1"),
        engine_of(&store, "i-1", "engines2", "v7"),
    ];
    slow_down(&[&engines[0], &engines[1]]);
    (store, engines)
}

/// A caller that does not name the attempt that began its stream got the rest from another service of
/// the route.
#[test]
fn split_route_without_resumes() {
    let (store, _engines) = two_services(&["engines", "engines2"]);
    let instance = cluster::start_ready("one", &store);
    for _ in 0..STREAMS {
        let stream = BrokenStream::try_begin(&instance, &new_id()).expect("a stream");
        let rest = send(&instance, &new_id(), "Last-Event-Id: 2\r\n");
        assert_not_joined(&stream.software, &rest);
    }
}

/// A route was moved to another service, which has one version: streams of the first service went on at
/// the second one.
#[test]
fn moved_route_joins_services() {
    let (store, _engines) = two_services(&["engines"]);
    let instance = cluster::start_ready("one", &store);
    let streams = BrokenStream::begin_many(&instance);
    store.put("op/config", &routed_configuration(2, &["engines2"]));
    until("the new service", || {
        versions(&send(&instance, &new_id(), "")).contains("v7")
    });
    for stream in &streams {
        assert_not_joined(&stream.software, &stream.take_up(&instance));
    }
}

/// A route was split while its streams were under way: they went on at the other service, or not at all
/// although their own service is still one of the route's.
#[test]
fn newly_split_route_goes_on() {
    let (store, _engines) = two_services(&["engines"]);
    let instance = cluster::start_ready("one", &store);
    let streams = BrokenStream::begin_many(&instance);
    store.put(
        "op/config",
        &routed_configuration(2, &["engines", "engines2"]),
    );
    until("the new service", || {
        versions(&send(&instance, &new_id(), "")).contains("v7")
    });
    let went_on = streams.iter().filter(|stream| {
        let rest = stream.take_up(&instance);
        stream.goes_on_with(&rest)
    });
    assert_eq!(went_on.count(), STREAMS);
}

/// An instance resumed streams by their records and did not remember their versions: when they broke off
/// again while the store was away, it refused them.
#[test]
fn resumed_by_record_remembered() {
    let store = cluster::store(&["m0"]);
    let engines = [engine(&store, "i-0", "v1"), engine(&store, "i-1", "v2")];
    let first = cluster::start_ready("one", &store);
    let endpoint = store.serve_endpoint();
    let second = start_ready_at("two", &endpoint);
    slow_down(&[&engines[0], &engines[1]]);
    let streams = BrokenStream::begin_many(&first);
    std::thread::sleep(RECORDING_TIME);
    let headers = |stream: &BrokenStream, after| {
        format!("Last-Event-Id: {after}\r\nResumes: {}\r\n", stream.id)
    };
    for stream in &streams {
        let written = break_off(&second, &new_id(), &headers(stream, 2), 1).expect("a take-up");
        assert_eq!(written[0], stream.software);
    }
    endpoint.set_faults(refusing());
    let went_on = streams.iter().filter(|stream| {
        let rest = send(&second, &new_id(), &headers(stream, 3));
        assert_not_joined(&stream.software, &rest);
        rest.is_complete && writers(&rest.body).len() as u64 == EVENTS - 3
    });
    assert_eq!(went_on.count(), STREAMS);
}

/// The store lost the records of streams whose first instance was gone, and the instance that had resumed
/// them did not record them again.
#[test]
fn records_of_resumed_streams_written_again() {
    let store = cluster::store(&["m0"]);
    let engines = [engine(&store, "i-0", "v1"), engine(&store, "i-1", "v2")];
    let endpoint = store.serve_endpoint();
    let first = start_ready_at("one", &endpoint);
    let second = cluster::start_ready("two", &store);
    slow_down(&[&engines[0], &engines[1]]);
    let copy = store.copy();
    let streams = BrokenStream::begin_many(&first);
    std::thread::sleep(RECORDING_TIME);
    let headers = |stream: &BrokenStream, after| {
        format!("Last-Event-Id: {after}\r\nResumes: {}\r\n", stream.id)
    };
    for stream in &streams {
        let written = break_off(&second, &new_id(), &headers(stream, 2), 1).expect("a take-up");
        assert_eq!(written[0], stream.software);
    }
    // The first instance is lost.
    endpoint.set_faults(refusing());
    store.return_from(&copy);
    std::thread::sleep(RECORDING_TIME);
    let went_on = streams.iter().filter(|stream| {
        let rest = send(&second, &new_id(), &headers(stream, 3));
        assert_not_joined(&stream.software, &rest);
        rest.is_complete && writers(&rest.body).len() as u64 == EVENTS - 3
    });
    assert_eq!(went_on.count(), STREAMS);
}

/// A dispatcher took an empty version for any version.
#[test]
fn dispatcher_knows_the_empty_version() {
    let test_bed = test_bed_of(cluster::store(&["m0"]), ["", "v2"], &[None]);
    let [empty, named] = &test_bed.servers;
    slow_down(&[empty, named]);
    let streams: Vec<BrokenStream> = BrokenStream::begin_many(&test_bed.instance);
    let began_at: Vec<&str> = streams.iter().map(|stream| &*stream.software).collect();
    let went_on = streams.iter().filter(|stream| {
        let rest = stream.take_up(&test_bed.instance);
        stream.goes_on_with(&rest)
    });
    assert_eq!(went_on.count(), STREAMS, "{began_at:?}");
}
