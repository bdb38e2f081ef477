//! An instance denies a request (401, 404, 413, 431) only while it can prove that its configuration
//! is current. Otherwise a newer version may allow the request.

use crate::cluster::{
    self, Caller, configuration, fetch, list_plain, plain_server, request, until,
};
use crate::keyed_cluster::{KEY, keyed_configuration, settings, status_with_key};
use crate::passed_on_requests::pass_on;
use crate::scripted_store::{ScriptedStore, at, heartbeat, shared};
use crate::workspace_revocation::start_without_datagrams;
use crossbeam::channel;
use passway_instance::Instance;
use passway_instance::denials;
use passway_instance::feeds::{ConfigurationFeed, follow};
use passway_instance::forward::Origin;
use passway_instance::freshness::ConfigurationAge;
use passway_instance::relay::{FEED_COUNT, Relay};
use passway_serving::ports::{Listing, StoreError};
use passway_standins::platform::caller::HOST;
use passway_standins::platform::documents::{with_workspaces, workspace};
use passway_standins::platform::model_server::ModelServer;
use passway_standins::platform::store::{Faults, MetadataStandIn, StoreEndpoint};
use passway_types::prelude::*;
use passway_users_platform::PlatformDirectory;
use passway_wire::dispatch::{Datagram, Dispatch};
use passway_wire::message::PeerRequest;
use passway_wire::permits::VersionAnswer;
use serde_json::Value;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicUsize, Ordering};

/// Operators are told that a version is in effect everywhere after two seconds.
const BOUNDS: &str = "config_apply_ms = 2000";
const BOUND: Duration = Duration::from_secs(2);
/// Longest time for which an instance holds a request that it cannot deny yet.
const MAX_HELD: Duration = Duration::from_secs(1);

fn refusing() -> Faults {
    Faults {
        error_status: Some(503),
        ..Faults::default()
    }
}

/// The configuration with an additional public route `/new/`.
fn with_new_route(mut document: Value) -> Value {
    let mut route = document["routes"][0].clone();
    route["name"] = "new".into();
    route["prefix"] = "/new/".into();
    let routes = document["routes"].as_array_mut().expect("routes");
    routes.push(route);
    document
}

/// The status and the `Retry-After` of the answer to a GET request.
fn get(instance: &Instance, path: &str) -> (u16, Option<String>) {
    let bytes = request("GET", path, "id", "", "");
    let answer = fetch(instance.callers_address(), &bytes).expect("an answer");
    let retry_after = answer.header("retry-after").map(str::to_owned);
    (answer.status, retry_after)
}

/// Checks that a request is refused as not run, soon, and may be sent again.
fn assert_not_denied(answer: impl FnOnce() -> (u16, Option<String>)) {
    let sent_at = Instant::now();
    let (status, retry_after) = answer();
    assert_eq!(status, 503);
    assert!(retry_after.is_some());
    assert!(sent_at.elapsed() < MAX_HELD, "{:?}", sent_at.elapsed());
}

/// An instance that the store refuses, and that does not know the second version, which the store
/// has accepted longer ago than the bound.
struct Cut {
    endpoint: StoreEndpoint,
    instance: Instance,
}

impl Cut {
    fn before(second: &Value, store: &MetadataStandIn) -> Self {
        let server = plain_server();
        list_plain(store, "i-0", server.address, "ready");
        let endpoint = store.serve_endpoint();
        let instance = cluster::start_with(settings("one", endpoint.address(), BOUNDS));
        until("readiness", || instance.is_ready());
        endpoint.set_faults(refusing());
        // A watch from before that may still be answered.
        std::thread::sleep(Duration::from_secs(1));
        store.put("op/config", second);
        std::thread::sleep(BOUND);
        Self { endpoint, instance }
    }
}

/// Guards against a 404 for a route that a newer version has added.
#[test]
fn added_route() {
    let store = cluster::store(&[]);
    let cut = Cut::before(&with_new_route(configuration(2, &[])), &store);
    assert_not_denied(|| get(&cut.instance, "/new/"));
    // What the configuration allows is served.
    assert_eq!(get(&cut.instance, "/read/").0, 200);
    cut.endpoint.set_faults(Faults::default());
    until("the added route", || {
        let status = get(&cut.instance, "/new/").0;
        assert_ne!(status, 404);
        status == 200
    });
    assert_eq!(get(&cut.instance, "/none/").0, 404);
}

/// Guards against a 401 for a key that a newer version has added.
#[test]
fn added_key() {
    let store = MetadataStandIn::default();
    let keyed = |version, key| keyed_configuration(version, &[workspace("alpha", &[key], 0.0)]);
    store.put("op/config", &keyed(1, "another key"));
    let cut = Cut::before(&keyed(2, KEY), &store);
    assert_not_denied(|| {
        let (status, retry_after) = status_with_key(&cut.instance, "/read/", "id");
        (status, retry_after.map(|text| text.to_string()))
    });
    assert_eq!(get(&cut.instance, "/open/").0, 200);
    cut.endpoint.set_faults(Faults::default());
    until("the added key", || {
        let status = status_with_key(&cut.instance, "/read/", "id").0;
        assert_ne!(status, 401);
        status == 200
    });
    assert_eq!(get(&cut.instance, "/read/").0, 401);
}

/// A configuration with small limits for callers.
fn with_limits(version: u64, header_bytes: u64, body_bytes: u64) -> Value {
    let mut document = configuration(version, &[]);
    document["limits"]["max_header_bytes"] = header_bytes.into();
    document["limits"]["max_body_bytes"] = body_bytes.into();
    document
}

/// Sends a request whose head arrives in two parts, of which the first exceeds 2 kB.
fn send_long_head(instance: &Instance) -> (u16, Option<String>) {
    let mut caller = Caller::connect(instance.callers_address());
    let padding = "p".repeat(3_000);
    let first =
        format!("GET /read/ HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: h\r\nX-Long: {padding}");
    caller.send(first.as_bytes());
    std::thread::sleep(Duration::from_millis(50));
    caller.try_send(b"\r\nDeadline-Ms: 8000\r\n\r\n");
    let answer = caller.receive().expect("an answer");
    let retry_after = answer.header("retry-after").map(str::to_owned);
    (answer.status, retry_after)
}

fn send_long_body(instance: &Instance, bytes: usize) -> (u16, Option<String>) {
    let body = "b".repeat(bytes);
    let bytes = request("POST", "/read/", "b", "", &body);
    let answer = fetch(instance.callers_address(), &bytes).expect("an answer");
    let retry_after = answer.header("retry-after").map(str::to_owned);
    (answer.status, retry_after)
}

/// Guards against a 413 or 431 by limits that a newer version has raised.
#[test]
fn raised_limits() {
    let store = MetadataStandIn::default();
    store.put("op/config", &with_limits(1, 2_000, 2_000));
    let cut = Cut::before(&with_limits(2, 8_000, 8_000), &store);
    assert_not_denied(|| send_long_body(&cut.instance, 4_000));
    assert_not_denied(|| send_long_head(&cut.instance));
    cut.endpoint.set_faults(Faults::default());
    until("the raised limits", || {
        let (status, _) = send_long_body(&cut.instance, 4_000);
        assert_ne!(status, 413);
        status == 200
    });
    assert_eq!(send_long_head(&cut.instance).0, 200);
    assert_eq!(send_long_body(&cut.instance, 9_000).0, 413);
}

/// Guards against a 413 by limits that were replaced while the connection was idle.
#[test]
fn limits_replaced_while_idle() {
    let store = MetadataStandIn::default();
    store.put("op/config", &with_limits(1, 2_000, 2_000));
    let server = plain_server();
    list_plain(&store, "i-0", server.address, "ready");
    let instance = cluster::start_ready("one", &store);
    let mut caller = Caller::connect(instance.callers_address());
    caller.send(&request("GET", "/read/", "first", "", ""));
    assert_eq!(caller.receive().map(|answer| answer.status), Some(200));
    store.put("op/config", &with_limits(2, 8_000, 8_000));
    until("the second version", || {
        instance.config_version() == Some(2)
    });
    caller.send(&request("POST", "/read/", "second", "", &"b".repeat(4_000)));
    assert_eq!(caller.receive().map(|answer| answer.status), Some(200));
}

/// Guards against a 413 by an instance that has no configuration yet.
#[test]
fn limits_before_configuration() {
    let store = cluster::store(&[]);
    store.set_faults(refusing());
    let instance = cluster::start("one", &store);
    assert_not_denied(|| send_long_body(&instance, 5 << 20));
}

/// Guards against refusals of unknown routes while another instance can prove the configuration,
/// and prints how long the first and the following answers take.
#[test]
fn denied_with_another_proof() {
    let store = cluster::store(&[]);
    let server = plain_server();
    list_plain(&store, "i-0", server.address, "ready");
    let holder = cluster::start_ready("one", &store);
    until("leadership", || holder.fence().is_some());
    let endpoint = store.serve_endpoint();
    let other = cluster::start_with(settings("two", endpoint.address(), BOUNDS));
    until("readiness", || other.is_ready());
    until("the holder", || {
        other
            .holder()
            .is_some_and(|known| known.instance.as_ref() == "one")
    });
    endpoint.set_faults(refusing());
    // By then, the instance's own earlier proof is too old.
    std::thread::sleep(2 * BOUND);
    let times: Vec<Duration> = (0..5)
        .map(|_| {
            let sent_at = Instant::now();
            assert_eq!(get(&other, "/none/").0, 404);
            sent_at.elapsed()
        })
        .collect();
    println!("unknown route, answers in turn: {times:?}");
    store.put("op/config", &with_new_route(configuration(2, &[])));
    std::thread::sleep(BOUND);
    assert_eq!(get(&other, "/new/").0, 200);
}

/// Guards against refusals by an instance that follows the holder and gets no answers to datagrams:
/// it queries the store for the proof.
#[test]
fn denied_with_store_proof() {
    let store = cluster::store(&[]);
    let server = plain_server();
    list_plain(&store, "i-0", server.address, "ready");
    let address = store.serve();
    let holder = cluster::start_at("one", address);
    until("leadership", || holder.fence().is_some());
    let (other, _taken) = start_without_datagrams("two", address, BOUNDS);
    for _ in 0..2 {
        std::thread::sleep(2 * BOUND);
        let sent_at = Instant::now();
        assert_eq!(get(&other, "/none/").0, 404);
        println!("unknown route, proof of the store: {:?}", sent_at.elapsed());
    }
}

/// Guards against lists of the whole configuration by an instance that follows the holder: a failed
/// query for a proof misses nothing.
#[test]
fn failed_proof_queries_list_nothing() {
    let (relay, [receiver, _]) = Relay::new();
    let clock_origin = Instant::now();
    relay.receive(heartbeat(clock_origin, FEED_COUNT));
    let shared = shared();
    shared.set_relay(relay.clone());
    ConfigurationAge::start(&shared);
    let list = |_| {
        Ok(Listing {
            values: Vec::new(),
            revision: at(10),
        })
    };
    let store = ScriptedStore::new(list, |_| Err(StoreError::NotDone));
    let (updates, _received) = channel::unbounded();
    let feed = ConfigurationFeed::new(shared.clone(), Arc::new(PlatformDirectory));
    follow(store.clone(), receiver, updates, feed);
    until("three queries for a proof", || {
        relay.receive(heartbeat(clock_origin, FEED_COUNT));
        let age = &shared.configuration_age;
        age.demand_denial_proof(BOUND, Instant::now(), Duration::ZERO);
        store.watch_count() + store.list_count() >= 4
    });
    assert_eq!(store.list_count(), 1);
}

/// Guards against refusals of requests without a deadline before the store was queried for a proof:
/// they wait as long as requests with a distant one.
#[test]
fn waits_without_deadline() {
    let now = Instant::now();
    let until = |deadline_ms| denials::wait_until(&Origin::Caller, deadline_ms, now);
    assert_eq!(until(None), until(Some(8_000)));
    assert_eq!(until(Some(500)), now + Duration::from_millis(150));
}

/// Guards against the default where the settings name the bound.
#[test]
fn bound_of_settings() {
    let store = SocketAddr::from(([127, 0, 0, 1], 1));
    let bound = |text| settings("one", store, text).bounds.configuration;
    assert_eq!(bound("config_apply_ms = 5000"), Duration::from_secs(5));
    assert_eq!(bound(""), BOUND);
}

/// A holder that a test plays: it names a version as the newest in each answer, and counts the
/// queries.
fn play_holder(version: u64) -> (SocketAddr, Arc<AtomicUsize>) {
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a port");
    let address = socket.local_addr().expect("an address");
    let queries = Arc::new(AtomicUsize::new(0));
    let count = queries.clone();
    std::thread::spawn(move || {
        let mut bytes = [0; 1_500];
        while let Ok((length, from)) = socket.recv_from(&mut bytes) {
            if let Some(Dispatch::VersionQuery(query)) = Datagram::decode_body(&bytes[..length]) {
                count.fetch_add(1, Ordering::AcqRel);
                let answer = VersionAnswer {
                    id: query.id,
                    version,
                    age_ms: 0,
                };
                let bytes = Datagram::encode_body(Some(Dispatch::VersionAnswer(answer)));
                socket.send_to(&bytes, from).expect("sent");
            }
        }
    });
    (address, queries)
}

/// Sends requests for an unknown route at the same time, and returns the statuses.
fn get_at_once(instance: &Instance, count: usize) -> Vec<u16> {
    std::thread::scope(|scope| {
        let requests: Vec<_> = (0..count)
            .map(|_| scope.spawn(|| get(instance, "/none/").0))
            .collect();
        let answers = requests.into_iter();
        answers.map(|one| one.join().expect("a caller")).collect()
    })
}

/// Guards against a query for each denied request.
#[test]
fn one_proof_for_many() {
    let store = cluster::store(&[]);
    let (holder, queries) = play_holder(1);
    store.put_bytes("passway/holder", format!("played {holder}").as_bytes());
    let cut = Cut::before(&configuration(2, &[]), &store);
    assert_eq!(queries.load(Ordering::Acquire), 0);
    assert_eq!(get_at_once(&cut.instance, 20), [404; 20]);
    assert_eq!(get_at_once(&cut.instance, 20), [404; 20]);
    assert_eq!(queries.load(Ordering::Acquire), 1);
}

/// Guards against a 404 by an instance that has learned of a newer version and does not have it.
#[test]
fn newer_version_named() {
    let store = cluster::store(&[]);
    let (holder, queries) = play_holder(2);
    store.put_bytes("passway/holder", format!("played {holder}").as_bytes());
    let cut = Cut::before(&with_new_route(configuration(2, &[])), &store);
    assert_eq!(get_at_once(&cut.instance, 20), [503; 20]);
    assert_eq!(get_at_once(&cut.instance, 20), [503; 20]);
    // The instance waits for that version; another query would not bring it.
    assert_eq!(queries.load(Ordering::Acquire), 1);
    cut.endpoint.set_faults(Faults::default());
    until("the added route", || get(&cut.instance, "/new/").0 == 200);
}

/// Guards against a 401 for a key that moves to another workspace while its request waits: both
/// versions allow the request.
#[test]
fn key_of_another_workspace() {
    let store = MetadataStandIn::default();
    let of_workspace = |version, name| {
        let workspaces = [workspace(name, &[KEY], 0.0)];
        with_workspaces(configuration(version, &["m0"]), &workspaces)
    };
    store.put("op/config", &of_workspace(1, "alpha"));
    let instance = cluster::start_ready("one", &store);
    let address = instance.callers_address();
    let head = format!("Model: m0\r\nAuthorization: Token {KEY}\r\n");
    let bytes = request("POST", "/report/", "moved", &head, "{}");
    let waiting = std::thread::spawn(move || fetch(address, &bytes));
    until("the waiting request", || instance.in_progress() == 1);
    store.put("op/config", &of_workspace(2, "beta"));
    until("the second version", || {
        instance.config_version() == Some(2)
    });
    let _engine = ModelServer::start(&store, "e-0", "engines", 2, &["m0"], &[]);
    let answer = waiting.join().expect("a caller").expect("an answer");
    assert_eq!(answer.status, 503, "{}", answer.head);
    assert_eq!(answer.header("retry-after"), Some("0.050"));
}

/// Guards against a 404 while the newest version cannot be used: it may have the route.
#[test]
fn unusable_version() {
    let store = cluster::store(&[]);
    let server = plain_server();
    list_plain(&store, "i-0", server.address, "ready");
    let instance = cluster::start_ready("one", &store);
    assert_eq!(get(&instance, "/new/").0, 404);
    let mut unusable = with_new_route(configuration(2, &[]));
    unusable["services"] = "none".into();
    store.put("op/config", &unusable);
    // The store goes on to answer the instance, which proves nothing about this version.
    std::thread::sleep(BOUND);
    assert_not_denied(|| get(&instance, "/new/"));
    assert_eq!(get(&instance, "/read/").0, 200);
    store.put("op/config", &configuration(3, &[]));
    until("the third version", || instance.config_version() == Some(3));
    until("a proof of it", || get(&instance, "/new/").0 == 404);
}

/// Guards against a 404 for a request that another instance has admitted by a newer version.
#[test]
fn newer_version_of_a_peer() {
    let store = cluster::store(&[]);
    let server = plain_server();
    list_plain(&store, "i-0", server.address, "ready");
    let instance = cluster::start_ready("one", &store);
    until("the holder", || instance.fence().is_some());
    for (config_version, status) in [(1, 404), (2, 503)] {
        let announcement = PeerRequest {
            instance: "cut".into(),
            config_version,
            remaining_ms: 8_000,
            ..PeerRequest::default()
        };
        let mut caller = Caller::from_stream(pass_on(&instance, announcement, "/none/", "newer"));
        let answer = caller.receive().expect("an answer");
        assert_eq!(answer.status, status, "version {config_version}");
    }
}
