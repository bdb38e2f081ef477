//! Requests that an instance still holds at a stop are answered before the process exits.
//!
//! Guards against connections closed without an answer: an instance with a grace of 8 s accepted a
//! request 2.3 s after SIGTERM, for a model that no engine had loaded. The request could wait for
//! longer than the grace, and the process exited 7.6 s after the signal.

use crate::cluster::{
    Caller, RECEIVE_TIMEOUT, configuration, list_plain, plain_server, request, until,
};
use passway_standins::platform::model_server::{Faults, ModelServer};
use passway_standins::platform::process::{InstanceProcess, Output, ProcessConfig};
use passway_standins::platform::raw::{RawServer, Step};
use passway_standins::platform::store::MetadataStandIn;
use rustix::process::Signal;
use serde_json::json;
use std::io::{ErrorKind, Read};

/// The grace of the instance under test, in seconds: the shortest that leaves time between the
/// balancer's notice and the end.
const GRACE_S: f64 = 4.5;
/// Timeout of every route and deadline of every caller, in milliseconds: far beyond the grace, so
/// that only the stop can end a request.
const LONG_MS: u64 = 60_000;

/// Starts an instance on a store and waits until it is ready.
fn start(name: &str, store: &MetadataStandIn) -> InstanceProcess {
    let program = InstanceProcess::start(ProcessConfig {
        executable: env!("CARGO_BIN_EXE_passway-instance").into(),
        name: name.to_owned(),
        store: store.serve(),
        grace_s: GRACE_S,
        arguments: Vec::new(),
        output: Output::Null,
    });
    let program = program.expect("an instance");
    until("readiness", || program.readiness_status() == Some(200));
    program
}

/// Sends SIGTERM and waits until the readiness probe fails; requests are still accepted.
fn begin_stop(program: &InstanceProcess) {
    program.signal(Signal::TERM);
    until("notice to the balancer", || {
        program.readiness_status() == Some(503)
    });
}

/// Waits until the process exits, and checks its exit code.
fn wait_for_exit(mut program: InstanceProcess) {
    let code = program.child.wait().expect("wait").code();
    assert_eq!(code, Some(0));
}

/// A store whose routes all have timeouts far beyond the grace.
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

/// A request whose deadline is far beyond the grace.
fn patient_request(method: &str, path: &str, id: &str, more_headers: &str) -> Vec<u8> {
    let bytes = request(method, path, id, more_headers, "{}");
    let text = String::from_utf8(bytes).expect("text");
    let long_deadline = format!("Deadline-Ms: {LONG_MS}");
    text.replace("Deadline-Ms: 8000", &long_deadline)
        .into_bytes()
}

#[test]
fn waiting_request_refused() {
    let store = patient_store(&["m0", "m1"]);
    // The only engine has another model, and nobody may order a change: the instance releases the
    // leadership when it is told to stop.
    let _engine = ModelServer::start(&store, "e0", "engines", 1, &["m0"], &[]);
    let program = start("waits", &store);
    begin_stop(&program);
    let mut caller = Caller::connect(program.callers_address);
    caller.send(&patient_request("POST", "/chat/", "w", "Model: m1\r\n"));
    let answer = caller.receive().expect("an answer before the exit");
    // The request was never sent to an upstream, and its caller may retry it elsewhere.
    assert_eq!((answer.status, answer.is_complete), (503, true));
    assert!(answer.header("retry-after").is_some(), "{}", answer.head);
    wait_for_exit(program);
}

/// A plain server that accepts requests and answers none.
fn silent_server() -> RawServer {
    RawServer::start(|_| vec![Step::Pause(RECEIVE_TIMEOUT)])
}

#[test]
fn unanswered_request_reported_lost() {
    let store = patient_store(&[]);
    let server = silent_server();
    list_plain(&store, "i-0", server.address, "ready");
    let program = start("unanswered", &store);
    let mut callers = ["pay", "read"].map(|route| {
        let mut caller = Caller::connect(program.callers_address);
        caller.send(&patient_request("POST", &format!("/{route}/"), route, ""));
        caller
    });
    until("both requests at the server", || {
        server.received().len() == 2
    });
    begin_stop(&program);
    for caller in &mut callers {
        let answer = caller.receive().expect("an answer before the exit");
        // The request may have run, so the answer must not be "not run".
        assert_eq!((answer.status, answer.is_complete), (502, true));
        assert!(answer.header("request-id").is_some(), "{}", answer.head);
    }
    wait_for_exit(program);
    assert_eq!(
        server.received().len(),
        2,
        "sent to the server again at the stop"
    );
}

#[test]
fn half_read_refused() {
    let store = patient_store(&[]);
    let server = plain_server();
    list_plain(&store, "i-0", server.address, "ready");
    let program = start("half", &store);
    let whole = patient_request("POST", "/pay/", "half", "");
    let head_bytes = whole.len() - "\r\n{}".len();
    // One request lacks the end of its head, the other the end of its body.
    let mut callers = [head_bytes, whole.len() - 1].map(|sent| {
        let mut caller = Caller::connect(program.callers_address);
        caller.send(&whole[..sent]);
        caller
    });
    begin_stop(&program);
    for caller in &mut callers {
        let answer = caller.receive().expect("an answer before the exit");
        assert_eq!((answer.status, answer.is_complete), (503, true));
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
    let mut idle = Caller::connect(program.callers_address);
    idle.send(&patient_request("POST", "/read/", "before", ""));
    let answer = idle.receive().expect("an answer");
    assert_eq!(
        (answer.status, answer.header("connection")),
        (200, None),
        "the connection is kept"
    );
    let mut reused = Caller::connect(program.callers_address);
    reused.send(&patient_request("POST", "/read/", "first", ""));
    assert_eq!(reused.receive().map(|answer| answer.status), Some(200));
    begin_stop(&program);
    // The request is served until the balancer has noticed the stop and refused later. In both
    // cases the answer announces that the connection closes.
    reused.send(&patient_request("POST", "/read/", "second", ""));
    let answer = reused.receive().expect("an answer");
    assert!(matches!(answer.status, 200 | 503), "{}", answer.head);
    assert_eq!(answer.header("connection"), Some("close"));
    assert!(matches!(idle.stream.read(&mut [0; 1]), Ok(0)));
    wait_for_exit(program);
}

/// An engine whose next stream stops without an end.
fn silent_engine(store: &MetadataStandIn) -> ModelServer {
    let engine = ModelServer::start(store, "e0", "engines", 1, &["m0"], &[]);
    engine.set_faults(Faults {
        silent_after_events: Some(2),
        ..Faults::default()
    });
    engine
}

#[test]
fn cut_stream_incomplete() {
    let store = patient_store(&["m0"]);
    let engine = silent_engine(&store);
    let program = start("stream", &store);
    let mut caller = Caller::connect(program.callers_address);
    caller.send(&patient_request("POST", "/report/", "s", "Model: m0\r\n"));
    until("the start of the stream", || {
        engine.executed_ids().len() == 1
    });
    begin_stop(&program);
    let answer = caller.receive().expect("the head of the stream");
    // The stream has begun, and it must not look complete.
    assert_eq!((answer.status, answer.is_complete), (200, false));
    assert!(!answer.body.is_empty());
    wait_for_exit(program);
}

#[test]
fn unframed_stream_reset() {
    let store = patient_store(&["m0"]);
    let engine = silent_engine(&store);
    let program = start("unframed", &store);
    let mut caller = Caller::connect(program.callers_address);
    let bytes = patient_request("POST", "/report/", "s", "Model: m0\r\n");
    let text = String::from_utf8(bytes).expect("text");
    caller.send(text.replace("HTTP/1.1", "HTTP/1.0").as_bytes());
    until("the start of the stream", || {
        engine.executed_ids().len() == 1
    });
    begin_stop(&program);
    // HTTP/1.0 has no chunks: a body that ends with the connection counts as complete unless it is
    // reset.
    let read_result = caller.stream.read_to_end(&mut Vec::new());
    let error = read_result.expect_err("the answer looks complete");
    assert_eq!(error.kind(), ErrorKind::ConnectionReset);
    wait_for_exit(program);
}
