//! The sum of all bytes that an instance holds stays within its memory when every connection is in trouble at once.
//!
//! Guards against bytes without an end that are bounded for each connection, but not over all of them: a faulty upstream
//! sends each of its callers a part of an event, of an answer or of a report that does not end.

use crate::cluster::{self, configuration, fetch, list_plain, plain_server, request, until};
use passway_instance::events::EventSplitter;
use passway_standins::platform::caller::HOST;
use passway_standins::platform::documents::plain_entry;
use passway_standins::platform::process::{InstanceProcess, Output, ProcessConfig};
use passway_standins::platform::raw::{RawServer, Received, Step};
use passway_standins::platform::store::MetadataStandIn;
use passway_types::prelude::*;
use rustix::time::{ClockId, clock_gettime};
use serde_json::json;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};

/// Memory of the smallest machine.
const MAX_RESIDENT_BYTES: usize = 160 << 20;
/// Connections in trouble.
const TROUBLED: usize = 250;
/// Bytes that do not end, on each connection: nearly all that one event or one answer may have.
const TROUBLED_BYTES: usize = 1_000_000;
/// Largest body of a request in the test of bodies, and the number of callers that send one.
const MAX_BODY_BYTES: usize = 4 << 20;
const LARGE_BODIES: usize = 60;
/// For how long the memory is watched.
const WATCHED: Duration = Duration::from_secs(6);

/// An instance as a process of its own, so that its memory can be read.
fn start(name: &str, store: &MetadataStandIn) -> InstanceProcess {
    let program = InstanceProcess::start(ProcessConfig {
        executable: env!("CARGO_BIN_EXE_passway-instance").into(),
        name: name.to_owned(),
        store: store.serve(),
        grace_s: 4.5,
        arguments: Vec::new(),
        output: Output::Null,
    });
    let program = program.expect("an instance");
    until("readiness", || program.readiness_status() == Some(200));
    program
}

/// Sends requests on connections of their own and leaves them open.
fn send_all(address: SocketAddr, requests: impl Iterator<Item = Vec<u8>>) -> Vec<TcpStream> {
    let send = |bytes: Vec<u8>| {
        let mut stream = TcpStream::connect(address).expect("a connection");
        stream.write_all(&bytes).expect("sent");
        stream
    };
    requests.map(send).collect()
}

/// The largest resident memory while it is watched.
fn watch(program: &InstanceProcess) -> usize {
    let ends_at = Instant::now() + WATCHED;
    let mut most = 0;
    while Instant::now() < ends_at {
        most = most.max(program.resident_bytes());
        std::thread::sleep(Duration::from_millis(20));
    }
    most
}

fn assert_bounded(bytes: usize) {
    assert!(bytes < MAX_RESIDENT_BYTES, "{} MB", bytes >> 20);
}

/// The head of a success without a length, and then bytes.
fn unframed(received: &Received, bytes: &[u8]) -> Vec<Step> {
    let id = received.header("request-id").unwrap_or_default();
    let head = format!("HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Seal: s\r\n\r\n");
    let mut sent = head.into_bytes();
    sent.extend_from_slice(bytes);
    vec![Step::Send(sent), Step::Pause(2 * WATCHED)]
}

/// Two events, and a part of a third.
fn partial_event(received: &Received) -> Vec<Step> {
    let events = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: ".to_owned();
    unframed(received, (events + &"x".repeat(TROUBLED_BYTES)).as_bytes())
}

/// Lists a server as an engine with the model m0.
fn list_engine(store: &MetadataStandIn, id: &str, server: &RawServer) {
    let mut entry = plain_entry(server.address);
    entry["service"] = json!("engines");
    entry["slots"] = json!(1_000);
    entry["models"] = json!([{"name": "m0", "version": 1, "adapters": []}]);
    store.put(&format!("servers/{id}"), &entry);
}

/// Starts engines whose streams stop inside an event.
fn troubled_engines(store: &MetadataStandIn) -> Vec<RawServer> {
    let engines = (0..6).map(|number| {
        let engine = RawServer::start(|received| match received.header("model") {
            Some(_) => partial_event(received),
            None => vec![Step::Close],
        });
        list_engine(store, &format!("e-{number}"), &engine);
        engine
    });
    engines.collect()
}

fn streams(address: SocketAddr) -> Vec<TcpStream> {
    let bytes = |number| {
        let id = format!("s{number}");
        request("POST", "/report/", &id, "Model: m0\r\n", "{}")
    };
    send_all(address, (0..TROUBLED).map(bytes))
}

// Guards against parts of events that take all memory: 250 streams of up to a megabyte each.
#[test]
fn partial_events() {
    let store = cluster::store(&["m0"]);
    let _engines = troubled_engines(&store);
    let program = start("events", &store);
    let _streams = streams(program.callers_address);
    assert_bounded(watch(&program));
}

/// A store with a plain server whose answers do not end, unless the request's id begins with another letter than `a`.
fn store_with_troubled_plain() -> (MetadataStandIn, RawServer) {
    let store = MetadataStandIn::default();
    let mut document = configuration(1, &["m0"]);
    document["services"][0]["max_conns"] = json!(1_000);
    store.put("op/config", &document);
    let server = RawServer::start(|received| {
        let id = received.header("request-id").unwrap_or_default();
        if id.starts_with('a') {
            return unframed(received, "x".repeat(TROUBLED_BYTES).as_bytes());
        }
        let head = format!("HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Seal: s\r\n");
        let framed = format!(
            "{head}Content-Length: 200000\r\n\r\n{}",
            "y".repeat(200_000)
        );
        vec![Step::Send(framed.into_bytes())]
    });
    let mut entry = plain_entry(server.address);
    entry["slots"] = json!(1_000);
    store.put("servers/i-0", &entry);
    (store, server)
}

fn answers(address: SocketAddr) -> Vec<TcpStream> {
    let bytes = |number| request("GET", "/read/", &format!("a{number}"), "", "");
    send_all(address, (0..TROUBLED).map(bytes))
}

// Guards against answers without a length that take all memory, as they are counted only once they have ended.
#[test]
fn answers_of_unknown_length() {
    let (store, _server) = store_with_troubled_plain();
    let program = start("answers", &store);
    let _answers = answers(program.callers_address);
    assert_bounded(watch(&program));
}

// Guards against sound answers that wait for memory which answers without an end hold until their deadlines.
#[test]
fn sound_answers_beside_endless() {
    let (store, server) = store_with_troubled_plain();
    let program = start("sound", &store);
    let _answers = answers(program.callers_address);
    until("answers", || server.received().len() > TROUBLED / 2);
    std::thread::sleep(Duration::from_secs(1));
    for number in 0..20 {
        let bytes = request("GET", "/read/", &format!("sound{number}"), "", "");
        let begun_at = Instant::now();
        let answer = fetch(program.callers_address, &bytes).expect("an answer");
        assert_eq!((answer.status, answer.is_complete), (200, true));
        assert!(
            begun_at.elapsed() < Duration::from_secs(2),
            "{:?}",
            begun_at.elapsed()
        );
    }
}

// Guards against chunked bodies of requests that take all memory, as they are counted only once they have ended.
#[test]
fn bodies_of_unknown_length() {
    let store = MetadataStandIn::default();
    let mut document = configuration(1, &["m0"]);
    document["limits"]["max_body_bytes"] = json!(MAX_BODY_BYTES);
    store.put("op/config", &document);
    let server = plain_server();
    list_plain(&store, "i-0", server.address, "ready");
    let program = start("bodies", &store);
    let address = program.callers_address;
    let senders: Vec<_> = (0..LARGE_BODIES)
        .map(|number| {
            std::thread::spawn(move || {
                let head = format!(
                    "POST /read/ HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: b{number}\r\nDeadline-Ms: 8000\r\n\
                     Transfer-Encoding: chunked\r\n\r\n{MAX_BODY_BYTES:x}\r\n"
                );
                let mut stream = TcpStream::connect(address).expect("a connection");
                let part = vec![b'x'; MAX_BODY_BYTES - 1];
                // A request that is refused for want of memory may be closed while it is sent.
                let _ = stream.write_all(head.as_bytes());
                let _ = stream.write_all(&part);
                std::thread::sleep(WATCHED);
            })
        })
        .collect();
    assert_bounded(watch(&program));
    for sender in senders {
        sender.join().expect("a sender");
    }
}

// Guards against reports of many engines at once that take all memory of the holder.
#[test]
fn reports_without_end() {
    const ENGINES: usize = 200;
    let store = cluster::store(&["m0"]);
    let engines: Vec<RawServer> = (0..ENGINES)
        .map(|number| {
            let engine = RawServer::start(|received| match received.header("model") {
                None if received.request_line().contains("/report ") => {
                    unframed(received, "x".repeat(TROUBLED_BYTES).as_bytes())
                }
                _ => vec![Step::Close],
            });
            list_engine(&store, &format!("e-{number}"), &engine);
            engine
        })
        .collect();
    let program = start("reports", &store);
    assert_bounded(watch(&program));
    let asked = engines
        .iter()
        .filter(|engine| !engine.received().is_empty());
    assert_eq!(asked.count(), ENGINES);
}

// Guards against any of these, all at the same time.
#[test]
fn everything_at_once() {
    let (store, _server) = store_with_troubled_plain();
    let _engines = troubled_engines(&store);
    let program = start("all", &store);
    let address = program.callers_address;
    let _open = (streams(address), answers(address));
    let half_heads = (0..TROUBLED).map(|_| {
        let filler = "x".repeat(15_000);
        format!("GET /read/ HTTP/1.1\r\nHost: {HOST}\r\nX-Fill: {filler}").into_bytes()
    });
    let _heads = send_all(address, half_heads);
    assert_bounded(watch(&program));
}

/// Processor time of this thread.
fn thread_time() -> Duration {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    Duration::try_from(time).expect("a time")
}

// Guards against a search that begins anew with each part of an event: its time grows with the square of the length.
#[test]
fn event_in_small_parts() {
    const BYTES: usize = 400_000;
    let mut splitter = EventSplitter::default();
    let mut delivered = Vec::new();
    let begun = thread_time();
    for _ in 0..BYTES {
        let moved = splitter.push(b"x", &mut delivered);
        assert_eq!(moved, Ok(0));
    }
    assert_eq!(splitter.push(b"\n\n", &mut delivered), Ok(1));
    let took = thread_time().saturating_sub(begun);
    assert_eq!(delivered.len(), BYTES + 2);
    // The search of the whole event at each byte takes minutes.
    assert!(took < Duration::from_secs(2), "{took:?}");
}
