//! A workspace can use its allotment across all instances, and not more.

use crate::cluster::{list_plain, plain_server, until};
use crate::keyed_cluster::{KEY, keyed_configuration, start_ready, status_with_key};
use passway_instance::Instance;
use passway_standins::platform::documents::workspace;
use passway_standins::platform::raw::{RawServer, Step};
use passway_standins::platform::store::MetadataStandIn;
use passway_types::prelude::*;

/// Cost of a request that names no tokens (`documents::workspace`).
const PLAIN_TOKENS: f64 = 200.0;
/// Rate of the allotment in units a second, and its burst in units.
const RATE: f64 = 2_000.0;
const BOUNDS: &str = "quota_window_s = 8\nquota_overage = 0.1\nquota_slack = 2000";

fn store(server: &RawServer) -> MetadataStandIn {
    let store = MetadataStandIn::default();
    store.put(
        "op/config",
        &keyed_configuration(1, &[workspace("alpha", &[KEY], RATE)]),
    );
    list_plain(&store, "i-0", server.address, "ready");
    store
}

/// Waits until a coordinator answers.
fn wait_for_coordinator(instance: &Instance) {
    until("a coordinator", || {
        status_with_key(instance, "/read/", "first").0 == 200
    });
}

#[test]
fn excess_refused() {
    let server = plain_server();
    let store = store(&server);
    let address = store.serve();
    let instances = [
        start_ready("one", address, BOUNDS),
        start_ready("two", address, BOUNDS),
        start_ready("three", address, BOUNDS),
    ];
    instances.iter().for_each(wait_for_coordinator);
    // A coordinator begins with a nearly empty bucket, because it does not know what was used
    // before.
    std::thread::sleep(Duration::from_secs(1));
    let begun_at = Instant::now();
    let mut granted = 0.0;
    let mut refused = 0;
    for number in 0..120 {
        match status_with_key(&instances[number % 3], "/read/", &format!("id{number}")) {
            (200, _) => granted += PLAIN_TOKENS,
            (429, Some(retry_after_s)) => {
                assert!(retry_after_s > 0.0);
                refused += 1;
            }
            other => panic!("{other:?}"),
        }
    }
    let time_s = begun_at.elapsed().as_secs_f64();
    let limit = (RATE * time_s + RATE) * 1.1 + 2_000.0;
    assert!(granted <= limit, "{granted} of {limit}");
    assert!(refused > 0);
    assert!(granted > 0.0);
}

/// A request that a server refused to run costs its workspace nothing.
#[test]
fn unexecuted_request_released() {
    let server = RawServer::start(|received| {
        let id = received.header("request-id").unwrap_or_default();
        let shed = "503 X\r\nNot-Executed: 1\r\nContent-Length: 0";
        let whole = "200 OK\r\nResponse-Seal: s\r\nContent-Length: 0";
        let answer = if id.starts_with("shed") { shed } else { whole };
        let text = format!("HTTP/1.1 {answer}\r\nRequest-Id: {id}\r\n\r\n");
        vec![Step::Send(text.into_bytes())]
    });
    let store = store(&server);
    let instance = start_ready("one", store.serve(), BOUNDS);
    wait_for_coordinator(&instance);
    // Four times the burst.
    for number in 0..40 {
        let (code, _) = status_with_key(&instance, "/pay/", &format!("shed{number}"));
        assert_eq!(code, 503);
    }
    assert_eq!(status_with_key(&instance, "/pay/", "id").0, 200);
}

/// A coordinator takes over the names of workspaces with half full buckets, and removes them from
/// the store first.
#[test]
fn begins_half_full() {
    let server = plain_server();
    let store = store(&server);
    store.put_bytes("passway/half-full", b"alpha");
    let instance = start_ready("one", store.serve(), BOUNDS);
    until("the stored names to be taken over", || {
        store.get("passway/half-full").as_deref() == Some(b"")
    });
    // Half of the burst, plus what is added meanwhile.
    let half = (0..5).map(|number| status_with_key(&instance, "/read/", &format!("id{number}")).0);
    assert_eq!(half.collect::<Vec<_>>(), [200; 5]);
    // The name is stored again once the bucket is full.
    until("the stored name", || {
        store.get("passway/half-full").as_deref() == Some(b"alpha")
    });
}

/// A workspace without a limit is not counted.
#[test]
fn unlimited() {
    let server = plain_server();
    let store = store(&server);
    store.put(
        "op/config",
        &keyed_configuration(2, &[workspace("alpha", &[KEY], 0.0)]),
    );
    let instance = start_ready("one", store.serve(), BOUNDS);
    for number in 0..60 {
        let (code, _) = status_with_key(&instance, "/read/", &format!("id{number}"));
        assert_eq!(code, 200);
    }
}
