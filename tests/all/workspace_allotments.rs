//! A workspace uses what it may over all instances, and not more.

use crate::cluster::{list_plain, plain_server, until};
use crate::keyed_cluster::{KEY, keyed_configuration, start_ready, status_with_key};
use passway_instance::Instance;
use passway_standins::platform::documents::workspace;
use passway_standins::platform::raw::{RawServer, Step};
use passway_standins::platform::store::MetadataStandIn;
use passway_types::prelude::*;

/// What a request counts that names no tokens (`documents::workspace`).
const PLAIN_TOKENS: f64 = 200.0;
/// Units a second, and as many at once.
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

/// Once the keeper answers.
fn kept(instance: &Instance) {
    until("a keeper", || {
        status_with_key(instance, "/read/", "first").0 == 200
    });
}

#[test]
fn beyond_refused() {
    let server = plain_server();
    let store = store(&server);
    let address = store.serve();
    let instances = [
        start_ready("one", address, BOUNDS),
        start_ready("two", address, BOUNDS),
        start_ready("three", address, BOUNDS),
    ];
    instances.iter().for_each(kept);
    // A keeper begins with a nearly empty bucket, since it does not know what was used before.
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
    let most = (RATE * time_s + RATE) * 1.1 + 2_000.0;
    assert!(granted <= most, "{granted} of {most}");
    assert!(refused > 0);
    assert!(granted > 0.0);
}

/// What a server sheds has not run, and its workspace may use it.
#[test]
fn given_back() {
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
    kept(&instance);
    // Four times what it may use at once.
    for number in 0..40 {
        let (code, _) = status_with_key(&instance, "/pay/", &format!("shed{number}"));
        assert_eq!(code, 503);
    }
    assert_eq!(status_with_key(&instance, "/pay/", "id").0, 200);
}

/// A keeper begins with what the one before has left, and takes that out of the store first.
#[test]
fn begins_half_full() {
    let server = plain_server();
    let store = store(&server);
    store.put_bytes("passway/half-full", b"alpha");
    let instance = start_ready("one", store.serve(), BOUNDS);
    until("what was left is taken", || {
        store.get("passway/half-full").as_deref() == Some(b"")
    });
    // Half of the burst, whatever more comes meanwhile.
    let half = (0..5).map(|number| status_with_key(&instance, "/read/", &format!("id{number}")).0);
    assert_eq!(half.collect::<Vec<_>>(), [200; 5]);
    // Once the bucket is full it is told so again.
    until("it is told", || {
        store.get("passway/half-full").as_deref() == Some(b"alpha")
    });
}

/// Nothing is counted for a workspace without a limit.
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
