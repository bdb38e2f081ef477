//! Software versions of streams when an instance's knowledge changes during a request: an engine restarts
//! between the choice and the first event, a second version appears after a stream was taken up, entries
//! contradict each other, a route has several services.

use crate::cluster::{self, Answer, Caller, fetch, request, until};
use passway_instance::Instance;
use passway_standins::platform::documents::configuration;
use passway_standins::platform::model_server::{
    EVENTS, Faults, InitialModels, ModelServer, writers,
};
use passway_standins::platform::store::{Faults as StoreFaults, MetadataStandIn};
use passway_types::prelude::*;
use serde_json::json;
use std::io::Read;

const STREAMS: usize = 12;
const ONE_MODEL: InitialModels<'static> = InitialModels {
    capacity: 1,
    loaded: &["m0"],
    on_disk: &[],
};

fn engine(store: &MetadataStandIn, id: &str, software: &str) -> ModelServer {
    ModelServer::start_with_software(store, id, software, ONE_MODEL)
}

fn delay_events(engine: &ModelServer, event_delay: Duration) {
    engine.set_faults(Faults {
        event_delay,
        ..Faults::default()
    });
}

fn send(instance: &Instance, id: &str, more: &str) -> Answer {
    let headers = format!("Model: m0\r\n{more}");
    let bytes = request("POST", "/chat/", id, &headers, id);
    fetch(instance.callers_address(), &bytes).expect("an answer")
}

/// Requests a stream, breaks it off after two events, and returns who wrote them; the answer's bytes if
/// there are none.
fn break_off(instance: &Instance, id: &str, more: &str) -> Result<String, String> {
    let mut caller = Caller::connect(instance.callers_address());
    let headers = format!("Model: m0\r\n{more}");
    caller.send(&request("POST", "/chat/", id, &headers, id));
    let mut received = String::new();
    let mut chunk = [0; 1_024];
    while writers(&received).len() < 2 {
        match caller.stream.read(&mut chunk) {
            Ok(count) if count > 0 => {
                received.push_str(&String::from_utf8_lossy(&chunk[..count]));
            }
            _ => return Err(received),
        }
        if received.starts_with("HTTP/1.1 5") {
            return Err(received);
        }
    }
    Ok(writers(&received).swap_remove(0))
}

fn take_up(instance: &Instance, begun_by: &str, after: u64) -> Answer {
    let headers = format!("Last-Event-Id: {after}\r\nResumes: {begun_by}\r\n");
    send(instance, &format!("{begun_by}-after-{after}"), &headers)
}

fn is_joined(software: &str, rest: &Answer) -> bool {
    writers(&rest.body).iter().any(|other| other != software)
}

fn is_rest(software: &str, rest: &Answer, after: u64) -> bool {
    let written = writers(&rest.body).len() as u64;
    rest.status == 200 && !is_joined(software, rest) && written == EVENTS - after
}

/// A stream was taken up while one version served, at an instance that had not begun it. Then a second
/// version came, and the stream broke off again.
#[test]
fn taken_up_stream_goes_on_after_second_version() {
    let store = cluster::store(&["m0"]);
    let old = engine(&store, "i-0", "v1");
    let endpoint = store.serve_endpoint();
    let first = cluster::start_at("one", endpoint.address());
    until("streams may begin", || {
        first.is_ready() && first.begins_streams()
    });
    delay_events(&old, Duration::from_millis(40));
    let ids: Vec<String> = (0..STREAMS)
        .map(|number| format!("begun-{number}"))
        .collect();
    for id in &ids {
        assert_eq!(break_off(&first, id, "").as_deref(), Ok("v1"));
    }
    // The first instance is lost, as far as the store and the others can tell.
    endpoint.set_faults(StoreFaults {
        error_status: Some(503),
        ..StoreFaults::default()
    });
    let second = cluster::start_ready("two", &store);
    for id in &ids {
        let more = format!("Last-Event-Id: 2\r\nResumes: {id}\r\n");
        let software = break_off(&second, &format!("{id}-2"), &more);
        assert_eq!(software.as_deref(), Ok("v1"), "the first take-up");
    }
    let _new = engine(&store, "i-1", "v2");
    let mut probes = 0;
    until("the second version begins streams", || {
        probes += 1;
        writers(&send(&second, &format!("probe-{probes}"), "").body)
            .first()
            .map(String::as_str)
            == Some("v2")
    });
    let went_on = ids
        .iter()
        .filter(|id| is_rest("v1", &take_up(&second, id, 4), 4));
    assert_eq!(went_on.count(), STREAMS);
}

fn split_store() -> MetadataStandIn {
    let store = MetadataStandIn::default();
    let mut config = configuration(1, &["m0"]);
    let mut other = config["services"][1].clone();
    other["name"] = json!("engines2");
    config["services"]
        .as_array_mut()
        .expect("services")
        .push(other);
    let routes = config["routes"].as_array_mut().expect("routes");
    for route in routes.iter_mut().filter(|route| route["name"] == "chat") {
        route["backends"] =
            json!([{"service": "engines", "weight": 0.5}, {"service": "engines2", "weight": 0.5}]);
    }
    store.put("op/config", &config);
    store
}

fn engine_of(store: &MetadataStandIn, id: &str, service: &str, software: &str) -> ModelServer {
    let server = ModelServer::start_behind(store, id, service, ONE_MODEL, |address| address);
    server.set_software(software);
    server.publish_entry("ready");
    server
}

/// A route is split between two services, each with one version.
#[test]
fn split_route_joins_services() {
    let store = split_store();
    let engines = [
        engine_of(&store, "i-0", "engines", "v1"),
        engine_of(&store, "i-1", "engines2", "v7"),
    ];
    let instance = cluster::start_ready("one", &store);
    for engine in &engines {
        delay_events(engine, Duration::from_millis(40));
    }
    let mut joined = 0;
    for number in 0..STREAMS {
        let id = format!("begun-{number}");
        let software = break_off(&instance, &id, "").expect("a stream");
        joined += usize::from(is_joined(&software, &take_up(&instance, &id, 2)));
    }
    assert_eq!(joined, 0, "of {STREAMS}");
}

/// A route is split between two services, and each has both versions.
#[test]
fn split_route_goes_on() {
    let store = split_store();
    let engines = [
        engine_of(&store, "i-0", "engines", "v1"),
        engine_of(&store, "i-1", "engines", "v2"),
        engine_of(&store, "i-2", "engines2", "v1"),
        engine_of(&store, "i-3", "engines2", "v2"),
    ];
    let instance = cluster::start_ready("one", &store);
    for engine in &engines {
        delay_events(engine, Duration::from_millis(40));
    }
    let mut went_on = 0;
    for number in 0..STREAMS {
        let id = format!("begun-{number}");
        let software = break_off(&instance, &id, "").expect("a stream");
        went_on += usize::from(is_rest(&software, &take_up(&instance, &id, 2), 2));
    }
    assert_eq!(went_on, STREAMS);
}

/// Two entries of one start name different versions. Requests go to the other engine.
#[test]
fn contradictory_entry_holds_no_request() {
    let store = cluster::store(&["m0"]);
    let disputed = engine(&store, "i-0", "v1");
    let _other = engine(&store, "i-1", "v1");
    let instance = cluster::start_ready("one", &store);
    let _second = cluster::start_ready("two", &store);
    until("both", || instance.known_upstream_count() == 2);
    std::thread::sleep(Duration::from_secs(2));
    eprintln!("{} dispatchers", instance.dispatcher_count());
    disputed.set_software("v9");
    disputed.publish_entry("ready");
    std::thread::sleep(Duration::from_millis(700));
    disputed.set_software("v1");
    disputed.publish_entry("ready");
    std::thread::sleep(Duration::from_millis(700));
    let began_at = Instant::now();
    let statuses: Vec<u16> = std::thread::scope(|scope| {
        let streams = (0..STREAMS).map(|number| {
            let instance = &instance;
            scope.spawn(move || send(instance, &format!("c{number}"), "").status)
        });
        let streams: Vec<_> = streams.collect();
        streams
            .into_iter()
            .map(|one| one.join().expect("a status"))
            .collect()
    });
    assert!(statuses.iter().all(|status| *status == 200), "{statuses:?}");
    assert!(
        began_at.elapsed() < Duration::from_secs(1),
        "{:?}",
        began_at.elapsed()
    );
}

/// An engine has started again at another version while the store was away. The successor of a silent
/// run went there.
#[test]
fn successor_at_new_start() {
    let store = cluster::store(&["m0"]);
    let endpoint = store.serve_endpoint();
    let engines = [engine(&store, "i-0", "v1"), engine(&store, "i-1", "v1")];
    let instance = cluster::start_at("one", endpoint.address());
    until("streams may begin", || {
        instance.is_ready() && instance.begins_streams()
    });
    until("both", || instance.known_upstream_count() == 2);
    until("a repeat to spend", || instance.has_spare_retry("engines"));
    for engine in &engines {
        delay_events(engine, Duration::from_millis(500));
    }
    let answers: Vec<Answer> = std::thread::scope(|scope| {
        let streams = (0..6).map(|number| {
            let instance = &instance;
            scope.spawn(move || send(instance, &format!("c{number}"), ""))
        });
        let streams: Vec<_> = streams.collect();
        std::thread::sleep(Duration::from_millis(700));
        endpoint.set_faults(StoreFaults {
            error_status: Some(503),
            ..StoreFaults::default()
        });
        // Answers the watch that is still open.
        engines[0].publish_entry("ready");
        std::thread::sleep(Duration::from_millis(100));
        engines[1].set_software("v2");
        engines[1].leave(Duration::ZERO);
        delay_events(&engines[1], Duration::from_millis(20));
        std::thread::sleep(Duration::from_millis(400));
        engines[0].listener().fall_silent(Duration::from_secs(6));
        streams
            .into_iter()
            .map(|one| one.join().expect("a stream"))
            .collect()
    });
    eprintln!(
        "{:?}",
        answers
            .iter()
            .map(|one| writers(&one.body))
            .collect::<Vec<_>>()
    );
    let joined = answers.iter().filter(|answer| {
        is_joined("v1", answer) && writers(&answer.body).iter().any(|one| one == "v1")
    });
    assert_eq!(
        joined.count(),
        0,
        "{:?}",
        answers
            .iter()
            .map(|one| writers(&one.body))
            .collect::<Vec<_>>()
    );
}

/// One version has served all along, and the store is away: callers come back to an instance that has
/// not begun their streams.
#[test]
fn one_version_store_away() {
    let store = cluster::store(&["m0"]);
    let only = engine(&store, "i-0", "v1");
    let first = cluster::start_ready("one", &store);
    let endpoint = store.serve_endpoint();
    let second = cluster::start_at("two", endpoint.address());
    until("streams may begin", || {
        second.is_ready() && second.begins_streams()
    });
    delay_events(&only, Duration::from_millis(40));
    let ids: Vec<String> = (0..STREAMS)
        .map(|number| format!("begun-{number}"))
        .collect();
    for id in &ids {
        assert_eq!(break_off(&first, id, "").as_deref(), Ok("v1"));
    }
    endpoint.set_faults(StoreFaults {
        error_status: Some(503),
        ..StoreFaults::default()
    });
    assert_eq!(send(&second, "new", "").status, 200, "a new stream");
    let began_at = Instant::now();
    let went_on = ids
        .iter()
        .filter(|id| is_rest("v1", &take_up(&second, id, 2), 2))
        .count();
    assert_eq!(went_on, STREAMS, "in {:?}", began_at.elapsed());
}

/// A header without a value names no event.
#[test]
fn empty_last_event_id_begins() {
    let store = cluster::store(&["m0"]);
    let _engines = [engine(&store, "i-0", "v1"), engine(&store, "i-1", "v2")];
    let instance = cluster::start_ready("one", &store);
    assert_eq!(send(&instance, "c0", "Last-Event-Id: \r\n").status, 200);
}

/// One version; streams begin after the store has returned from an older copy.
#[test]
fn one_version_after_return_of_the_store() {
    let store = cluster::store(&["m0"]);
    let only = engine(&store, "i-0", "v1");
    let copy = store.copy();
    store.return_from(&copy);
    let first = cluster::start_ready("one", &store);
    delay_events(&only, Duration::from_millis(40));
    let ids: Vec<String> = (0..STREAMS)
        .map(|number| format!("begun-{number}"))
        .collect();
    for id in &ids {
        assert_eq!(break_off(&first, id, "").as_deref(), Ok("v1"));
    }
    let second = cluster::start_ready("two", &store);
    let went_on = ids
        .iter()
        .filter(|id| is_rest("v1", &take_up(&second, id, 2), 2));
    assert_eq!(went_on.count(), STREAMS);
}

/// As [`review_contradictory_entry_holds_no_request`], with a dispatcher.
#[test]
fn contradictory_entry_with_dispatcher() {
    let bed = crate::dispatcher_queries::test_bed_on(cluster::store(&["m0"]), &[None]);
    let instance = &bed.instance;
    until("both", || instance.known_upstream_count() == 2);
    eprintln!("{} dispatchers", instance.dispatcher_count());
    let before: Vec<u16> = (0..4)
        .map(|number| send(instance, &format!("b{number}"), "").status)
        .collect();
    bed.servers[0].set_software("v9");
    bed.servers[0].publish_entry("ready");
    std::thread::sleep(Duration::from_millis(1_500));
    bed.servers[0].set_software("v1");
    bed.servers[0].publish_entry("ready");
    std::thread::sleep(Duration::from_millis(1_500));
    let began_at = Instant::now();
    let statuses: Vec<(u16, u128)> = std::thread::scope(|scope| {
        let streams = (0..STREAMS).map(|number| {
            scope.spawn(move || {
                let status = send(instance, &format!("c{number}"), "").status;
                (status, began_at.elapsed().as_millis())
            })
        });
        let streams: Vec<_> = streams.collect();
        streams
            .into_iter()
            .map(|one| one.join().expect("a status"))
            .collect()
    });
    eprintln!(
        "before {before:?}; {statuses:?}; arrivals {} and {}",
        bed.servers[0].arrivals().len(),
        bed.servers[1].arrivals().len()
    );
    assert!(
        statuses
            .iter()
            .all(|(status, ms)| *status == 200 && *ms < 1_000),
        "{statuses:?}"
    );
}

/// An engine has started again at another version while the instance was cut off from the store. Streams
/// begin there as at the earlier start, and go on at the earlier version.
#[test]
fn begins_at_unknown_start_while_cut_off() {
    let store = cluster::store(&["m0"]);
    let endpoint = store.serve_endpoint();
    let engines = [engine(&store, "i-0", "v1"), engine(&store, "i-1", "v1")];
    let instance = cluster::start_at("one", endpoint.address());
    until("streams may begin", || {
        instance.is_ready() && instance.begins_streams()
    });
    until("both", || instance.known_upstream_count() == 2);
    until("a repeat to spend", || instance.has_spare_retry("engines"));
    endpoint.set_faults(StoreFaults {
        error_status: Some(503),
        ..StoreFaults::default()
    });
    // Answers the watch that is still open.
    engines[1].publish_entry("ready");
    std::thread::sleep(Duration::from_millis(100));
    engines[0].set_software("v2");
    engines[0].leave(Duration::ZERO);
    std::thread::sleep(Duration::from_millis(500));
    let written: Vec<Vec<String>> = (0..STREAMS)
        .map(|number| {
            engines[0].set_faults(Faults {
                cut_after_events: Some(2),
                ..Faults::default()
            });
            writers(&send(&instance, &format!("c{number}"), "").body)
        })
        .collect();
    let joined = written
        .iter()
        .filter(|written| written.iter().any(|one| *one != written[0]));
    assert_eq!(joined.count(), 0, "{written:?}");
}
