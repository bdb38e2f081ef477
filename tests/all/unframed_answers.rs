//! Answers with neither a length nor chunks, which end with their connection.
//!
//! Guards against a broken answer that is framed as complete: any end of the connection counted as the
//! end of the answer, also when the upstream had crashed.

use crate::cluster::{self, Answer, Caller, fetch, request, until};
use passway_instance::Instance;
use passway_standins::platform::model_server::{EVENTS, Faults, ModelServer, event};
use passway_standins::platform::plain_server::{
    PlainAnswer, StartNamed, start_naming_plain, start_plain,
};
use passway_standins::platform::process::{InstanceProcess, Output, ProcessConfig};
use passway_standins::platform::raw::{RawServer, Step};
use passway_standins::platform::store::MetadataStandIn;
use passway_types::prelude::*;
use rustix::process::Signal;
use std::io::{Read, Write};
use std::net::TcpStream;

/// The id, and so the body, of the answers of plain servers.
const ID: &str = "0123456789";
/// How long a supervised engine is down after a crash.
const RESTART_DELAY: Duration = Duration::from_millis(300);

fn unframed() -> Faults {
    Faults {
        is_unframed: true,
        ..Faults::default()
    }
}

/// Engines with the model. Those after the first answer soundly, and without framing.
fn engines(first: &Faults, count: usize) -> (MetadataStandIn, Instance) {
    let store = cluster::store(&["m0"]);
    for number in 0..count {
        let engine = ModelServer::start(&store, &format!("i-{number}"), "engines", 1, &["m0"], &[]);
        engine.set_faults(if number == 0 {
            first.clone()
        } else {
            unframed()
        });
    }
    let instance = cluster::start_ready("one", &store);
    until("a repeat to spend", || instance.has_spare_retry("engines"));
    (store, instance)
}

fn plain_servers(answers: &[PlainAnswer]) -> (MetadataStandIn, Vec<RawServer>, Instance) {
    let store = cluster::store(&[]);
    let servers = answers
        .iter()
        .enumerate()
        .map(|(number, how)| start_plain(&store, &format!("i-{number}"), *how));
    let servers = servers.collect();
    let instance = cluster::start_ready("one", &store);
    until("a repeat to spend", || instance.has_spare_retry("plain"));
    (store, servers, instance)
}

fn call(instance: &Instance, method: &str, route: &str) -> Answer {
    let bytes = request(method, &format!("/{route}/"), ID, "", "");
    fetch(instance.callers_address(), &bytes).expect("an answer")
}

fn stream(instance: &Instance, route: &str, id: &str) -> Answer {
    cluster::stream(instance.callers_address(), route, id, "m0")
}

fn whole_stream() -> String {
    (1..=EVENTS).map(event).collect()
}

/// A stream that broke off after `events` events, on the route that may not be resumed and on the one
/// that may.
fn check_broken(faults: &Faults, events: u64) {
    let (_store, instance) = engines(faults, 1);
    let answer = stream(&instance, "report", "once");
    assert_eq!((answer.status, answer.is_complete), (200, false));
    assert_eq!(answer.body, (1..=events).map(event).collect::<String>());
    // Whichever of the two engines runs the stream first, no event is missing or repeated.
    let (_store, instance) = engines(faults, 2);
    for number in 0..4 {
        let answer = stream(&instance, "chat", &format!("resumed{number}"));
        assert_eq!((answer.status, answer.is_complete), (200, true));
        assert_eq!(answer.body, whole_stream());
    }
}

#[test]
fn whole_plain_delivered() {
    let (_store, _servers, instance) = plain_servers(&[PlainAnswer::Unframed]);
    for (method, route) in [("POST", "pay"), ("GET", "read")] {
        let answer = call(&instance, method, route);
        assert_eq!(
            (answer.status, answer.is_complete, &*answer.body),
            (200, true, ID)
        );
    }
}

#[test]
fn broken_plain_refused() {
    for how in [PlainAnswer::UnframedCrash, PlainAnswer::UnframedReset] {
        let (_store, _servers, instance) = plain_servers(&[how]);
        assert_eq!(call(&instance, "POST", "pay").status, 502, "{how:?}");
    }
}

#[test]
fn broken_plain_repeated() {
    for how in [PlainAnswer::UnframedCrash, PlainAnswer::UnframedReset] {
        let (_store, _servers, instance) = plain_servers(&[how, PlainAnswer::Unframed]);
        for _ in 0..4 {
            let answer = call(&instance, "GET", "read");
            assert_eq!((answer.status, &*answer.body), (200, ID), "{how:?}");
        }
    }
}

/// Half of the answer of a server that had started again under its id was framed as whole.
#[test]
fn restarted_plain_proves_nothing() {
    for named in [StartNamed::Always, StartNamed::ToHealthChecks] {
        let store = cluster::store(&[]);
        let _restarting = start_naming_plain(&store, "i-0", named, true);
        let instance = cluster::start_ready("one", &store);
        assert_eq!(call(&instance, "POST", "pay").status, 502, "{named:?}");
        let _sound = start_naming_plain(&store, "i-1", named, false);
        until("a repeat to spend", || instance.has_spare_retry("plain"));
        let reads = (0..8).map(|_| call(&instance, "GET", "read"));
        let successes: Vec<Answer> = reads.filter(|answer| answer.status == 200).collect();
        assert!(!successes.is_empty(), "{named:?}");
        assert!(
            successes.iter().all(|answer| answer.body == ID),
            "{successes:?}"
        );
    }
}

/// A connection that carried an unframed answer is not used again.
#[test]
fn connection_not_reused() {
    let (_store, servers, instance) = plain_servers(&[PlainAnswer::Unframed]);
    for _ in 0..3 {
        assert_eq!(call(&instance, "POST", "pay").status, 200);
    }
    let received = servers[0].received();
    let calls = received
        .iter()
        .filter(|one| one.header("request-id") == Some(ID));
    let connections = calls.map(|one| one.connection);
    let connections: std::collections::BTreeSet<usize> = connections.collect();
    assert_eq!(connections.len(), 3);
}

#[test]
fn whole_streams_delivered() {
    let (_store, instance) = engines(&unframed(), 1);
    for route in ["chat", "report"] {
        let answer = stream(&instance, route, route);
        assert_eq!((answer.status, answer.is_complete), (200, true));
        assert_eq!(answer.body, whole_stream());
    }
}

#[test]
fn cut_inside_event() {
    let faults = Faults {
        cut_after_events: Some(2),
        ..unframed()
    };
    check_broken(&faults, 2);
}

#[test]
fn crash_at_event_end() {
    let faults = Faults {
        crash_after_events: Some(3),
        ..unframed()
    };
    check_broken(&faults, 3);
}

/// Under a supervisor the port stays open, and the engine starts again under its id.
#[test]
fn crash_behind_open_port() {
    let faults = Faults {
        crash_after_events: Some(3),
        restart_delay: Some(RESTART_DELAY),
        ..unframed()
    };
    check_broken(&faults, 3);
}

/// Over HTTP/1.0 a body ends with its connection, so a broken one must end with a reset.
#[test]
fn old_callers_reset() {
    let crash = Faults {
        crash_after_events: Some(3),
        ..unframed()
    };
    for (faults, is_whole) in [(unframed(), true), (crash, false)] {
        let (_store, instance) = engines(&faults, 1);
        let mut caller = Caller::connect(instance.callers_address());
        let head = "Host: shop.example\r\nRequest-Id: u\r\nModel: m0\r\nContent-Length: 0\r\n";
        caller.send(format!("POST /report/ HTTP/1.0\r\n{head}\r\n").as_bytes());
        let mut bytes = Vec::new();
        let read_result = caller.stream.read_to_end(&mut bytes);
        assert_eq!(read_result.is_ok(), is_whole, "{read_result:?}");
        if is_whole {
            assert!(String::from_utf8_lossy(&bytes).ends_with(&whole_stream()));
        }
    }
}

/// Guards against a stream that looks whole to a caller with HTTP/1.0 because its instance ended.
#[test]
fn old_callers_of_ended_instances() {
    let store = cluster::store(&["m0"]);
    let engine = ModelServer::start(&store, "i-0", "engines", 1, &["m0"], &[]);
    engine.set_faults(Faults {
        event_delay: Duration::from_secs(2),
        ..Faults::default()
    });
    for signal in [Signal::KILL, Signal::TERM] {
        let program = InstanceProcess::start(ProcessConfig {
            executable: env!("CARGO_BIN_EXE_passway-instance").into(),
            name: format!("ended{}", signal.as_raw()),
            store: store.serve(),
            grace_s: 1.0,
            arguments: Vec::new(),
            output: Output::Null,
        });
        let program = program.expect("an instance");
        let head = "Host: shop.example\r\nRequest-Id: u\r\nModel: m0\r\nContent-Length: 0\r\n";
        let mut caller = None;
        until("a stream", || {
            let Ok(stream) = TcpStream::connect(program.callers_address) else {
                return false;
            };
            let caller = &mut caller.insert(Caller::from_stream(stream)).stream;
            let sent = caller.write_all(format!("POST /report/ HTTP/1.0\r\n{head}\r\n").as_bytes());
            let mut bytes = [0; 12];
            sent.is_ok() && caller.read_exact(&mut bytes).is_ok() && bytes.ends_with(b"200")
        });
        program.signal(signal);
        let mut bytes = Vec::new();
        let read_result = caller.expect("a caller").stream.read_to_end(&mut bytes);
        let text = String::from_utf8_lossy(&bytes);
        assert!(read_result.is_err(), "{signal:?}: {text}");
    }
}

/// A last chunk inside an event, and empty lines that are cut in the middle.
#[test]
fn unfinished_events() {
    for (framing, end) in [
        ("", "id: 2\ndata: x\n"),
        ("", "id: 2\r\ndata: x\r\n\r"),
        ("", "id: 2\r\ndata: x\r\n"),
        ("Transfer-Encoding: chunked\r\n", "id: 2\ndata: x\n"),
    ] {
        let server = RawServer::start(move |received| {
            if received.request_line().starts_with("GET /report ") {
                let body = r#"{"models": [], "born": 0}"#;
                let length = body.len();
                let text = format!("HTTP/1.1 200 X\r\nContent-Length: {length}\r\n\r\n{body}");
                return vec![Step::Send(text.into_bytes())];
            }
            let id = received.header("request-id").unwrap_or_default();
            let head =
                format!("HTTP/1.1 200 OK\r\n{framing}Request-Id: {id}\r\nResponse-Seal: s\r\n\r\n");
            let body = format!("{}{end}", event(1));
            let body = if framing.is_empty() {
                body
            } else {
                format!("{:x}\r\n{body}\r\n0\r\n\r\n", body.len())
            };
            vec![
                Step::Send(format!("{head}{body}").into_bytes()),
                Step::Close,
            ]
        });
        let store = cluster::store(&["m0"]);
        let entry = serde_json::json!({"service": "engines", "address": server.address.to_string(),
            "zone": "hall0", "version": "v1", "slots": 8, "state": "ready", "cold_left_ms": 0,
            "models": [{"name": "m0", "version": 1, "adapters": []}], "sequence": 1});
        store.put("servers/i-0", &entry);
        let instance = cluster::start_ready("one", &store);
        let answer = stream(&instance, "report", "once");
        assert!(!answer.is_complete, "{framing:?} {end:?}");
        assert_eq!(answer.body, event(1));
    }
}
