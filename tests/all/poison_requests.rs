//! A request that crashes each engine that begins to run it, and comes again.
//!
//! Seen: one caller's request came again at every instance of a fleet, each time under a new id,
//! and ended 18 engines, most of them with a dozen streams of others; for a minute hardly anything of
//! that model was served. How it came about: a run that breaks off counts against the engine and is
//! forgotten with the request's id, so the next arrival is judged afresh, at any instance. Cause: harm
//! that one input does was judged by each arrival alone. What proved it: the lines of the broken runs
//! carry the same digest of caller, path and body under different ids, with one run and a living engine each.

use crate::cluster::{self, Answer, Caller, ask, request, until};
use passway_instance::Instance;
use passway_standins::platform::caller::HOST;
use passway_standins::platform::model_server::{Faults, ModelServer};
use passway_standins::platform::store::MetadataStandIn;
use rustix::net::{self, AddressFamily, SocketType};
use std::net::{SocketAddr, TcpStream};

/// What crashes the engines.
const POISON: &str = "poison";
/// The most engines that one request may end.
const MOST_ENDS: usize = 3;

/// A store and engines that all have the model and crash on [`POISON`].
fn engines(count: usize) -> (MetadataStandIn, Vec<ModelServer>) {
    let store = cluster::store(&["m0"]);
    let engines = (0..count).map(|number| {
        let id = format!("i-{number}");
        let engine = ModelServer::start(&store, &id, "engines", 1, &["m0"], &[]);
        engine.set_faults(Faults {
            crashes_on: Some(POISON.to_owned()),
            ..Faults::default()
        });
        engine
    });
    let engines = engines.collect();
    (store, engines)
}

fn ended(engines: &[ModelServer]) -> usize {
    engines.iter().filter(|engine| engine.crashed()).count()
}

/// Sends a request for the model; each try has an id of its own.
fn send(instance: &Instance, route: &str, id: &str, body: &str) -> Answer {
    let path = format!("/{route}/");
    let bytes = request("POST", &path, id, "Model: m0\r\n", body);
    ask(instance.callers_address(), &bytes).expect("an answer")
}

/// Connects from an address.
fn connect(from: SocketAddr, to: SocketAddr) -> TcpStream {
    let socket = net::socket(AddressFamily::INET, SocketType::STREAM, None);
    let socket = socket.expect("a socket");
    net::bind(&socket, &from).expect("binding");
    net::connect(&socket, &to).expect("connecting");
    socket.into()
}

/// Whether an instance refuses one request.
fn knows(instance: &Instance) -> bool {
    let question = format!("GET /metrics HTTP/1.1\r\nHost: {HOST}\r\nConnection: close\r\n\r\n");
    let metrics = ask(instance.ready_address(), question.as_bytes()).expect("metrics");
    metrics
        .body
        .contains("\npassway_instance_poison_requests 1\n")
}

/// A kind of route that goes on at a second engine, and one that does not.
#[test]
fn crashes_three_engines() {
    ["chat", "report"].into_iter().for_each(crashes_three);
}

fn crashes_three(route: &str) {
    let (store, engines) = engines(8);
    let instance = cluster::start_ready("one", &store);
    until("a repeat to spend", || instance.has_spare_retry("engines"));
    for number in 0..engines.len() {
        send(&instance, route, &format!("p{number}"), POISON);
        let other = send(&instance, "chat", &format!("o{number}"), "{}");
        assert_eq!((other.status, other.whole), (200, true));
    }
    assert_eq!(ended(&engines), MOST_ENDS);
    // What cannot be served is told so at once, and that it is of no use to come back soon.
    let refused = send(&instance, route, "last", POISON);
    assert_eq!(refused.status, 503);
    let seconds = refused.header("retry-after").and_then(|s| s.parse().ok());
    assert!(seconds.is_some_and(|s: f64| s > 60.0), "{refused:?}");
}

#[test]
fn known_at_other_instances() {
    let (store, engines) = engines(8);
    let instances = ["one", "two"].map(|name| cluster::start_ready(name, &store));
    for number in 0..MOST_ENDS {
        send(&instances[0], "report", &format!("p{number}"), POISON);
    }
    assert_eq!(ended(&engines), MOST_ENDS);
    until("both know it", || instances.iter().all(knows));
    for instance in &instances {
        assert_eq!(send(instance, "report", "p", POISON).status, 503);
        assert_eq!(send(instance, "chat", "o", "{}").status, 200);
    }
    assert_eq!(ended(&engines), MOST_ENDS);
}

/// A caller's requests may leave from several addresses, and those of several from one: nothing
/// on the wire names the caller itself.
#[test]
fn known_from_other_addresses() {
    let (store, engines) = engines(8);
    let instance = cluster::start_ready("one", &store);
    for last in 1..=8 {
        let from = SocketAddr::from(([127, 0, 0, last], 0));
        let to = instance.callers_address();
        let mut caller = Caller::over(connect(from, to));
        caller.send(&request("POST", "/report/", "p", "Model: m0\r\n", POISON));
        assert!(caller.receive().is_some());
    }
    assert_eq!(ended(&engines), MOST_ENDS);
}

/// All instances are killed before the request is refused: each such loss would let it end two
/// engines more. (Two crashes are known to all and kept; after one all instances may go.)
#[test]
fn two_crashes_kept() {
    let (store, engines) = engines(8);
    let before = cluster::start_ready("one", &store);
    for number in 0..2 {
        send(&before, "report", &format!("p{number}"), POISON);
    }
    until("it is kept", || store.get("passway/poison").is_some());
    before.stop();
    let after = cluster::start_ready("two", &store);
    for number in 0..3 {
        send(&after, "report", &format!("q{number}"), POISON);
    }
    assert_eq!(ended(&engines), MOST_ENDS);
}

/// An operator takes the list out of the store, since what was wrong with the engines is mended.
#[test]
fn cleared_by_operator() {
    let (store, engines) = engines(8);
    let instances = ["one", "two"].map(|name| cluster::start_ready(name, &store));
    for number in 0..MOST_ENDS {
        send(&instances[0], "report", &format!("p{number}"), POISON);
    }
    until("both know it", || instances.iter().all(knows));
    until("it is kept", || store.get("passway/poison").is_some());
    store.remove("passway/poison");
    until("nobody refuses it", || !instances.iter().any(knows));
    for engine in &engines {
        engine.set_faults(Faults::default());
    }
    for instance in &instances {
        // The engines that have crashed are still listed.
        until("a repeat to spend", || instance.has_spare_retry("engines"));
        assert_eq!(send(instance, "report", "p", POISON).status, 200);
    }
}

#[test]
fn known_after_restarts() {
    let (store, engines) = engines(8);
    let before = cluster::start_ready("one", &store);
    for number in 0..MOST_ENDS {
        send(&before, "report", &format!("p{number}"), POISON);
    }
    until("it is kept", || store.get("passway/poison").is_some());
    before.stop();
    // Nobody is left who knows it, and it is the first request of all.
    let after = cluster::start_ready("two", &store);
    assert_eq!(send(&after, "report", "p", POISON).status, 503);
    assert_eq!(ended(&engines), MOST_ENDS);
}

/// Seven and eleven runs ended under one request: two engines had ended, and everybody knew, when it came at eight
/// instances within a tenth of a second.
#[test]
fn many_copies_after_two_crashes() {
    let (store, engines) = engines(10);
    let names = [
        "one", "two", "three", "four", "five", "six", "seven", "eight",
    ];
    let instances = names.map(|name| cluster::start_ready(name, &store));
    for number in 0..MOST_ENDS - 1 {
        send(&instances[0], "report", &format!("p{number}"), POISON);
    }
    assert_eq!(ended(&engines), MOST_ENDS - 1);
    std::thread::sleep(std::time::Duration::from_secs(1));
    std::thread::scope(|scope| {
        for (number, instance) in instances.iter().enumerate() {
            let id = format!("copy{number}");
            scope.spawn(move || send(instance, "report", &id, POISON));
        }
    });
    // One more, and what was under way.
    assert!(ended(&engines) <= MOST_ENDS + 1, "{}", ended(&engines));
}
