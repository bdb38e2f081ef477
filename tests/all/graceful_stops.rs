//! What an instance still holds when it is told to stop gets an answer before the
//! process ends.
//!
//! The fault seen: an instance with a grace of 8 s took a request 2.3 s after SIGTERM,
//! while the balancer still sent it some, for a model that stood on no engine. The
//! request could have waited for longer than the grace lasted; 7.6 s after the signal
//! the process ended, and its caller's connection closed with no answer.

use crate::cluster::{Caller, PATIENCE, configuration, list_plain, plain_server, request, until};
use passway_standins::platform::model_server::{Faults, ModelServer};
use passway_standins::platform::program::{Output, Program, ProgramPlan};
use passway_standins::platform::raw::{RawServer, Step};
use passway_standins::platform::store::MetadataStandIn;
use rustix::process::Signal;
use serde_json::json;
use std::io::{ErrorKind, Read};

/// The grace of the instance under test, in seconds: the shortest that leaves time
/// between the balancer's notice and the end.
const GRACE_S: f64 = 4.5;
/// Every route's time and every caller's: far beyond the grace, so that nothing but the
/// stop can end a request.
const LONG_MS: u64 = 60_000;

/// Starts an instance on a store and waits until it is ready.
fn start(name: &str, store: &MetadataStandIn) -> Program {
    let program = Program::start(ProgramPlan {
        program: env!("CARGO_BIN_EXE_passway-instance").into(),
        name: name.to_owned(),
        store: store.serve(),
        grace_s: GRACE_S,
        arguments: Vec::new(),
        output: Output::Null,
    });
    let program = program.expect("an instance");
    until("readiness", || program.readiness() == Some(200));
    program
}

/// Sends SIGTERM and waits until the balancer is told of it; requests are still taken.
fn begin_stop(program: &Program) {
    program.signal(Signal::TERM);
    until("notice to the balancer", || {
        program.readiness() == Some(503)
    });
}

/// Waits for the process's end.
fn wait_for_exit(mut program: Program) {
    let code = program.child.wait().expect("wait").code();
    assert_eq!(code, Some(0));
}

/// A store whose routes all allow far more time than a grace lasts.
fn patient_store(models: &[&str]) -> MetadataStandIn {
    let store = MetadataStandIn::default();
    let mut configuration = configuration(1, models);
    for route in configuration["routes"].as_array_mut().expect("routes") {
        route["timeout_ms"] = json!(LONG_MS);
        route["goal_ms"] = json!(LONG_MS);
    }
    configuration["limits"]["header_timeout_ms"] = json!(LONG_MS);
    configuration["limits"]["idle_timeout_ms"] = json!(LONG_MS);
    store.put("op/config", &configuration);
    store
}

/// A request whose caller has far more time than a grace lasts.
fn patient_request(method: &str, path: &str, id: &str, more: &str) -> Vec<u8> {
    let bytes = request(method, path, id, more, "{}");
    let text = String::from_utf8(bytes).expect("text");
    let patient = format!("Deadline-Ms: {LONG_MS}");
    text.replace("Deadline-Ms: 8000", &patient).into_bytes()
}

#[test]
fn waiting_request_refused() {
    let store = patient_store(&["m0", "m1"]);
    // The only engine has another model, and nobody holds the right to order a change:
    // the instance gives it back when it is told to stop.
    let _engine = ModelServer::start(&store, "e0", "engines", 1, &["m0"], &[]);
    let program = start("waits", &store);
    begin_stop(&program);
    let mut caller = Caller::connect(program.callers);
    caller.send(&patient_request("POST", "/chat/", "w", "Model: m1\r\n"));
    let answer = caller.receive().expect("an answer before the end");
    // It was never sent on, and its caller may send it elsewhere.
    assert_eq!((answer.status, answer.whole), (503, true));
    assert!(answer.header("retry-after").is_some(), "{}", answer.head);
    wait_for_exit(program);
}

/// A plain server that takes requests and answers none.
fn silent_server() -> RawServer {
    RawServer::start(|_| vec![Step::Pause(PATIENCE)])
}

#[test]
fn unanswered_request_reported_lost() {
    let store = patient_store(&[]);
    let server = silent_server();
    list_plain(&store, "i-0", server.address, "ready");
    let program = start("unanswered", &store);
    let mut callers = ["pay", "read"].map(|route| {
        let mut caller = Caller::connect(program.callers);
        caller.send(&patient_request("POST", &format!("/{route}/"), route, ""));
        caller
    });
    until("both at the server", || server.received().len() == 2);
    begin_stop(&program);
    for caller in &mut callers {
        let answer = caller.receive().expect("an answer before the end");
        // It may have run, so it must not be called "not run".
        assert_eq!((answer.status, answer.whole), (502, true));
        assert!(answer.header("request-id").is_some(), "{}", answer.head);
    }
    wait_for_exit(program);
    assert_eq!(server.received().len(), 2, "sent on again at the stop");
}

#[test]
fn half_read_refused() {
    let store = patient_store(&[]);
    let server = plain_server();
    list_plain(&store, "i-0", server.address, "ready");
    let program = start("half", &store);
    let whole = patient_request("POST", "/pay/", "half", "");
    let head_bytes = whole.len() - "\r\n{}".len();
    // The one lacks the end of its head, the other the end of its body.
    let mut callers = [head_bytes, whole.len() - 1].map(|sent| {
        let mut caller = Caller::connect(program.callers);
        caller.send(&whole[..sent]);
        caller
    });
    begin_stop(&program);
    for caller in &mut callers {
        let answer = caller.receive().expect("an answer before the end");
        assert_eq!((answer.status, answer.whole), (503, true));
        assert_eq!(caller.receive(), None);
    }
    wait_for_exit(program);
    assert_eq!(server.received(), []);
}

#[test]
fn idle_connection_closed() {
    let store = patient_store(&[]);
    let server = plain_server();
    list_plain(&store, "i-0", server.address, "ready");
    let program = start("resting", &store);
    let mut resting = Caller::connect(program.callers);
    resting.send(&patient_request("POST", "/read/", "before", ""));
    let answer = resting.receive().expect("an answer");
    assert_eq!(
        (answer.status, answer.header("connection")),
        (200, None),
        "the connection is kept"
    );
    let mut used = Caller::connect(program.callers);
    used.send(&patient_request("POST", "/read/", "first", ""));
    assert_eq!(used.receive().map(|answer| answer.status), Some(200));
    begin_stop(&program);
    // Served while the balancer has not turned away, refused later; in both cases its caller
    // is told that the connection ends.
    used.send(&patient_request("POST", "/read/", "second", ""));
    let answer = used.receive().expect("an answer");
    assert!(matches!(answer.status, 200 | 503), "{}", answer.head);
    assert_eq!(answer.header("connection"), Some("close"));
    assert!(matches!(resting.stream.read(&mut [0; 1]), Ok(0)));
    wait_for_exit(program);
}

/// An engine whose next stream falls silent before its end.
fn silent_engine(store: &MetadataStandIn) -> ModelServer {
    let engine = ModelServer::start(store, "e0", "engines", 1, &["m0"], &[]);
    engine.set_faults(Faults {
        silent_after: Some(2),
        ..Faults::default()
    });
    engine
}

#[test]
fn cut_stream_incomplete() {
    let store = patient_store(&["m0"]);
    let engine = silent_engine(&store);
    let program = start("stream", &store);
    let mut caller = Caller::connect(program.callers);
    caller.send(&patient_request("POST", "/report/", "s", "Model: m0\r\n"));
    until("its start", || engine.runs().len() == 1);
    begin_stop(&program);
    let answer = caller.receive().expect("the head of the stream");
    // Its beginning has gone out; it must not look complete.
    assert_eq!((answer.status, answer.whole), (200, false));
    assert!(!answer.body.is_empty());
    wait_for_exit(program);
}

#[test]
fn unframed_stream_reset() {
    let store = patient_store(&["m0"]);
    let engine = silent_engine(&store);
    let program = start("unframed", &store);
    let mut caller = Caller::connect(program.callers);
    let bytes = patient_request("POST", "/report/", "s", "Model: m0\r\n");
    let text = String::from_utf8(bytes).expect("text");
    caller.send(text.replace("HTTP/1.1", "HTTP/1.0").as_bytes());
    until("its start", || engine.runs().len() == 1);
    begin_stop(&program);
    // HTTP/1.0 has no chunks: what ends with the connection is complete unless it is reset.
    let rest = caller.stream.read_to_end(&mut Vec::new());
    let error = rest.expect_err("looks complete");
    assert_eq!(error.kind(), ErrorKind::ConnectionReset);
    wait_for_exit(program);
}
