//! Requests whose deadline passed during a suspension.

use crate::cluster::{self, Caller, fetch, list_plain, plain_server, request, stream, until};
use crate::lock_tests;
use passway_standins::platform::model_server::ModelServer;
use passway_standins::platform::raw::{RawServer, Step};
use passway_types::clock;
use passway_types::prelude::*;

/// The wait for a silent upstream ends with the request's deadline, although the steady clock still
/// shows an hour left.
#[test]
fn answered_in_time() {
    let _lock = lock_tests();
    let hour = Duration::from_hours(1);
    let store = cluster::store(&[]);
    let mut configuration = cluster::configuration(2, &[]);
    for route in configuration["routes"].as_array_mut().expect("routes") {
        route["timeout_ms"] = u64::try_from(hour.as_millis()).expect("a number").into();
    }
    store.put("op/config", &configuration);
    let silent = RawServer::start(move |_| vec![Step::Pause(hour)]);
    list_plain(&store, "i-0", silent.address, "ready");
    let instance = cluster::start_ready("one", &store);
    let mut caller = Caller::connect(instance.callers_address());
    let bytes = String::from_utf8(request("POST", "/pay/", "p", "", "x")).expect("text");
    let bytes = bytes.replace("Deadline-Ms: 8000", "Deadline-Ms: 3600000");
    caller.send(bytes.as_bytes());
    until("the request to be forwarded", || {
        !silent.received().is_empty()
    });
    clock::simulate_suspension(hour);
    let answer = caller.receive().expect("an answer");
    assert_eq!(answer.status, 504);
}

/// An instance continues to serve after a suspension, over old and new connections.
#[test]
fn served_after() {
    let _lock = lock_tests();
    let store = cluster::store(&["m0"]);
    let _engine = ModelServer::start(&store, "i-0", "engines", 1, &["m0"], &[]);
    let plain = plain_server();
    list_plain(&store, "i-1", plain.address, "ready");
    let instance = cluster::start_ready("one", &store);
    let address = instance.callers_address();
    for number in 0..3 {
        let pay = request("POST", "/pay/", &format!("p{number}"), "", "x");
        assert_eq!(fetch(address, &pay).map(|answer| answer.status), Some(200));
        let answer = stream(address, "chat", &format!("s{number}"), "m0");
        assert_eq!((answer.status, answer.is_complete), (200, true));
        clock::simulate_suspension(Duration::from_secs(10));
    }
    until("leadership", || instance.fence().is_some());
}
