//! Requests that an instance reads some time after they have arrived at its socket.
//!
//! Guards against servers that get more time than the caller has left: the time for which a request waited to be read, or
//! its connection to be accepted, was not taken off.

use crate::cluster::{configuration, list_plain, plain_server, request, until};
use passway_standins::platform::caller::{Caller, DEADLINE};
use passway_standins::platform::model_server::deadline_ms;
use passway_standins::platform::process::{InstanceProcess, Output, ProcessConfig};
use passway_standins::platform::store::MetadataStandIn;
use passway_types::prelude::*;
use rustix::process::Signal;
use std::net::TcpStream;

/// How long the instance stands still after requests have been sent.
const STANDSTILL: Duration = Duration::from_millis(1_500);
/// Time for the threads of a process to stop.
const STOP_DURATION: Duration = Duration::from_millis(100);
/// Time that the machine may take besides. A server may get 0.5 s more than is left (users' pages).
const TOLERANCE: Duration = Duration::from_millis(400);

#[test]
fn time_counts_from_arrival() {
    let store = MetadataStandIn::default();
    store.put("op/config", &configuration(1, &["m0"]));
    let server = plain_server();
    list_plain(&store, "p-0", server.address, "ready");
    let process = InstanceProcess::start(ProcessConfig {
        executable: env!("CARGO_BIN_EXE_passway-instance").into(),
        name: "late-reads".to_owned(),
        store: store.serve(),
        grace_s: 8.0,
        arguments: Vec::new(),
        output: Output::Null,
    });
    let process = process.expect("an instance");
    until("readiness", || process.readiness_status() == Some(200));
    let connect = || {
        let stream = TcpStream::connect(process.callers_address).expect("a connection");
        Caller::from_stream(stream)
    };
    let mut kept = connect();
    kept.send(&request("GET", "/read/", "first", "", ""));
    kept.receive().expect("an answer");

    process.signal(Signal::STOP);
    // All threads must have stopped before the requests arrive.
    std::thread::sleep(STOP_DURATION);
    kept.send(&request("GET", "/read/", "kept", "", ""));
    let mut new = connect();
    new.send(&request("GET", "/read/", "new", "", ""));
    std::thread::sleep(STANDSTILL);
    process.signal(Signal::CONT);
    for caller in [&mut kept, &mut new] {
        let answer = caller.receive().expect("an answer");
        assert_eq!(answer.status, 200);
    }
    let received = server.received();
    for id in ["kept", "new"] {
        let one = received
            .iter()
            .find(|one| one.header("request-id") == Some(id));
        let left = Duration::from_millis(deadline_ms(one.expect("a request")).expect("a deadline"));
        let most = (DEADLINE + TOLERANCE).saturating_sub(STANDSTILL);
        assert!(left <= most, "{id}: {left:?} left, at most {most:?}");
    }
}
