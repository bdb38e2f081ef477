//! What callers and upstreams see of requests that an instance passes on to another one because it
//! is cut off from the upstreams.

use crate::cluster::{self, Answer, Caller, fetch, list_plain, plain_server, request, until};
use crate::cut_off_cluster::{Paths, PlayedPeer, start_behind};
use passway_instance::Instance;
use passway_instance::paths::MAX_PEER_REQUESTS;
use passway_serving::halls::HallRegions;
use passway_standins::platform::cut_path::PathState;
use passway_standins::platform::model_server::{EVENTS, Faults, ModelServer};
use passway_standins::platform::raw::{RawServer, Step};
use passway_standins::platform::store::MetadataStandIn;
use passway_types::prelude::*;
use passway_wire::message::PeerRequest;
use passway_wire::{Body, Link};
use serde_json::json;
use std::io::{Read, Write};
use std::net::TcpStream;

/// Longest time from a caller's close until the upstream's connection is closed.
const MAX_CLOSE_DELAY: Duration = Duration::from_millis(500);

fn answered(instance: &Instance, bytes: &[u8]) -> Answer {
    fetch(instance.callers_address(), bytes).expect("an answer")
}

/// Sends requests until one was served by another instance, which proves that the instance knows
/// that it is cut off.
pub fn wait_until_passed_on(instance: &Instance) {
    until("a request that is passed on", || {
        let bytes = request("GET", "/read/", "probe", "", "");
        answered(instance, &bytes);
        metric(instance, "passed_on_total{outcome=\"answered\"}") > 0
            || metric(instance, "passed_on_total{outcome=\"not run\"}") > 0
            || metric(instance, "passed_on_total{outcome=\"lost\"}") > 0
    });
}

/// The value of a counter; 0 if there is none.
fn metric(instance: &Instance, name: &str) -> u64 {
    let scrape = b"GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
    let text = fetch(instance.ready_address(), scrape)
        .expect("metrics")
        .body;
    let prefix = format!("passway_instance_{name} ");
    let line = text.lines().find_map(|line| line.strip_prefix(&prefix));
    line.and_then(|value| value.trim().parse().ok())
        .unwrap_or(0)
}

/// Two instances, the second of which is cut off from all upstreams.
struct Pair {
    _store: MetadataStandIn,
    other: Instance,
    cut: Instance,
    paths: Arc<Paths>,
}

impl Pair {
    /// Starts both before the upstreams that `list` starts and lists.
    fn start<T>(models: &[&str], list: impl FnOnce(&MetadataStandIn) -> T) -> (Self, T) {
        let store = cluster::store(models);
        let upstreams = list(&store);
        let other = cluster::start_ready("other", &store);
        until("the holder", || other.fence().is_some());
        let (cut, paths) = start_behind("cut", &store, |_| {});
        until("the other instance", || cut.other_instance_count() == 1);
        paths.set(PathState::Reset);
        wait_until_passed_on(&cut);
        let pair = Self {
            _store: store,
            other,
            cut,
            paths,
        };
        (pair, upstreams)
    }
}

/// Starts plain servers and lists them.
fn list_servers(store: &MetadataStandIn, servers: &[RawServer]) {
    for (number, server) in servers.iter().enumerate() {
        list_plain(store, &format!("p-{number}"), server.address, "ready");
    }
}

/// Guards against upstreams that work longer than the caller waits, or that receive other bytes
/// than the caller sent.
#[test]
fn request_arrives_unchanged() {
    let (pair, servers) = Pair::start(&[], |store| {
        let servers = [plain_server(), plain_server()];
        list_servers(store, &servers);
        servers
    });
    let bytes = request("POST", "/pay/x?y=1", "same", "X-Own: kept\r\n", "a body");
    let answer = answered(&pair.cut, &bytes);
    assert_eq!((answer.status, answer.body.as_str()), (200, "ok"));
    assert_eq!(answer.header("response-seal"), Some("s"));
    assert_eq!(answer.header("request-id"), Some("same"));
    let received = servers.iter().flat_map(RawServer::received);
    let received: Vec<_> = received
        .filter(|one| one.header("request-id") == Some("same"))
        .collect();
    let [received] = received.as_slice() else {
        panic!("{received:?}");
    };
    assert_eq!(received.request_line(), "POST /pay/x?y=1 HTTP/1.1");
    assert_eq!(received.body, b"a body");
    assert_eq!(received.header("x-own"), Some("kept"));
    let deadline_ms = received
        .header("deadline-ms")
        .and_then(|text| text.parse().ok());
    assert!(
        deadline_ms.is_some_and(|ms: u64| ms <= 8_000),
        "{received:?}"
    );
    assert!(received.header("expect-instance").is_some());
}

/// Guards against requests that go round among instances that are all cut off.
#[test]
fn nobody_reaches_upstreams() {
    let store = cluster::store(&[]);
    let servers = [plain_server(), plain_server()];
    list_servers(&store, &servers);
    let started: Vec<_> = ["one", "two", "three"]
        .iter()
        .map(|name| start_behind(name, &store, |_| {}))
        .collect();
    until("the other instances", || {
        started
            .iter()
            .all(|(one, _)| one.other_instance_count() == 2)
    });
    for (_, paths) in &started {
        paths.set(PathState::Reset);
    }
    std::thread::sleep(Duration::from_secs(1));
    for (number, (instance, _)) in started.iter().enumerate() {
        let bytes = request("POST", "/pay/", &format!("lost-{number}"), "", "{}");
        let answer = answered(instance, &bytes);
        assert_eq!(answer.status, 503, "{}", answer.head);
        assert!(answer.header("retry-after").is_some());
        assert_eq!(metric(instance, "passed_on_total{outcome=\"answered\"}"), 0);
    }
    for (_, paths) in &started {
        paths.set(PathState::Open);
    }
    until("service after the cut", || {
        started.iter().all(|(instance, _)| {
            answered(instance, &request("GET", "/read/", "again", "", "")).status == 200
        })
    });
}

/// Guards against events that are held back until the stream ends.
#[test]
fn events_pass_at_once() {
    let (pair, engine) = Pair::start(&["m0"], |store| {
        list_servers(store, &[plain_server(), plain_server()]);
        ModelServer::start(store, "e-0", "engines", 2, &["m0"], &[])
    });
    let event_delay = Duration::from_millis(200);
    engine.set_faults(Faults {
        event_delay,
        ..Faults::default()
    });
    let mut caller = Caller::connect(pair.cut.callers_address());
    let begun_at = Instant::now();
    caller.send(&request("POST", "/report/", "slow", "Model: m0\r\n", "{}"));
    let mut bytes = [0; 4_096];
    let mut arrivals = Vec::new();
    let mut text = String::new();
    while !text.contains("0\r\n\r\n") {
        let count = caller.stream.read(&mut bytes).expect("events");
        assert!(count > 0, "{text}");
        text.push_str(&String::from_utf8_lossy(&bytes[..count]));
        arrivals.push(begun_at.elapsed());
    }
    assert!(arrivals.len() as u64 >= EVENTS, "{arrivals:?}");
    assert!(arrivals[0] < event_delay * 3, "{arrivals:?}");
    assert!(metric(&pair.other, "peer_requests_total{status=\"200\"}") > 0);
}

/// Guards against upstreams that keep working for callers that have left.
#[test]
fn close_of_the_caller_passes() {
    let (pair, servers) = Pair::start(&[], |store| {
        let servers: Vec<_> = (0..2)
            .map(|_| {
                RawServer::start(|received| {
                    if received.request_line().contains("/slow") {
                        return vec![Step::Pause(Duration::from_secs(30))];
                    }
                    let id = received.header("request-id").unwrap_or_default();
                    let text = format!(
                        "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Seal: s\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok"
                    );
                    vec![Step::Send(text.into_bytes()), Step::Close]
                })
            })
            .collect();
        list_servers(store, &servers);
        servers
    });
    let mut caller = Caller::connect(pair.cut.callers_address());
    caller.send(&request("GET", "/read/slow", "left", "", ""));
    let is_left =
        |one: &passway_standins::platform::raw::Received| one.header("request-id") == Some("left");
    until("the request at an upstream", || {
        servers
            .iter()
            .any(|server| server.received().iter().any(is_left))
    });
    assert_eq!(pair.other.in_progress(), 1);
    drop(caller);
    let left_at = Instant::now();
    until("the end of the request", || pair.other.in_progress() == 0);
    assert!(
        left_at.elapsed() < MAX_CLOSE_DELAY,
        "{:?}",
        left_at.elapsed()
    );
    drop(pair.paths);
}

/// Guards against an instance that serves so many requests of others that its own callers get no
/// room.
#[test]
fn bounded_at_each_peer() {
    let store = cluster::store(&[]);
    let slow = RawServer::start(|_| vec![Step::Pause(Duration::from_secs(30))]);
    list_plain(&store, "p-0", slow.address, "ready");
    let mut entry = passway_standins::platform::documents::plain_entry(slow.address);
    entry["slots"] = 1_000.into();
    store.put("servers/p-0", &entry);
    let instance = cluster::start_ready("one", &store);
    until("the holder", || instance.fence().is_some());
    let pass_on = |number: usize| {
        let announcement = PeerRequest {
            instance: "two".into(),
            config_version: 1,
            remaining_ms: 8_000,
            ..PeerRequest::default()
        };
        pass_on(&instance, announcement, "/read/", &format!("b-{number}"))
    };
    let held: Vec<_> = (0..MAX_PEER_REQUESTS).map(pass_on).collect();
    until("all of them", || {
        instance.in_progress() == MAX_PEER_REQUESTS
    });
    let mut refused = Caller::from_stream(pass_on(MAX_PEER_REQUESTS));
    let answer = refused.receive().expect("an answer");
    assert_eq!(answer.status, 503, "{}", answer.head);
    assert_eq!(instance.in_progress(), MAX_PEER_REQUESTS);
    drop(held);
    until("the end of all", || instance.in_progress() == 0);
    drop(pass_on(0));
}

/// Guards against requests that are counted as the caller's by both instances.
#[test]
fn counted_once() {
    let key = crate::keyed_cluster::KEY;
    let store = MetadataStandIn::default();
    let workspace = passway_standins::platform::documents::workspace("alpha", &[key], 1e6);
    store.put(
        "op/config",
        &crate::keyed_cluster::keyed_configuration(1, &[workspace]),
    );
    list_servers(&store, &[plain_server(), plain_server()]);
    let other = cluster::start_ready("other", &store);
    until("the holder", || other.fence().is_some());
    let (cut, paths) = start_behind("cut", &store, |_| {});
    until("the other instance", || cut.other_instance_count() == 1);
    paths.set(PathState::Reset);
    let granted = "workspace_requests_total{workspace=\"alpha\",allotment=\"granted\"}";
    let head = format!("Authorization: Token {key}\r\n");
    let mut sent = 0;
    until("requests that are passed on", || {
        sent += 1;
        let bytes = request("GET", "/read/", &format!("k-{sent}"), &head, "");
        answered(&cut, &bytes);
        metric(&cut, "passed_on_total{outcome=\"answered\"}") >= 5
    });
    until("the last count", || metric(&cut, granted) == sent);
    assert_eq!(metric(&other, granted), 0);
    assert_eq!(
        metric(&other, "requests_total{end=\"answered\",status=\"200\"}"),
        0
    );
    assert!(metric(&other, "peer_requests_total{status=\"200\"}") >= 5);
}

/// Reads the request that was passed on.
pub fn read_request(stream: &mut TcpStream, received: &[u8]) {
    let mut bytes = received.to_vec();
    while !bytes.windows(4).any(|window| window == b"\r\n\r\n") {
        let mut chunk = [0; 4_096];
        let count = stream.read(&mut chunk).expect("a request");
        bytes.extend_from_slice(&chunk[..count]);
    }
}

/// A peer that reads a request and sends these bytes.
pub fn peer_answering(name: &str, hall: &str, text: impl Into<String>) -> PlayedPeer {
    let text = text.into();
    PlayedPeer::start(name, hall, move |mut stream, received| {
        read_request(&mut stream, received);
        stream.write_all(text.as_bytes()).expect("sent");
    })
}

const LOST: &str = "";
pub const REFUSED: &str =
    "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nRetry-After: 3.5\r\n\r\n";
const NO_ROUTE: &str = "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n";
const SERVED: &str =
    "HTTP/1.1 200 OK\r\nResponse-Seal: s\r\nRequest-Id: x\r\nContent-Length: 2\r\n\r\nok";

/// An instance that is cut off and passes its requests on to played peers.
fn cut_before(peers: &[(&str, &PlayedPeer)]) -> (MetadataStandIn, Instance, Arc<Paths>) {
    let store = cluster::store(&[]);
    list_servers(&store, &[plain_server(), plain_server()]);
    PlayedPeer::list(&store, peers);
    let (cut, paths) = start_behind("cut", &store, |settings| {
        let halls = [("hall0", "here"), ("hall1", "here"), ("hall2", "abroad")];
        let halls = halls.map(|(hall, region)| (hall.into(), region.into()));
        settings.regions = HallRegions::from(halls);
    });
    paths.set(PathState::Reset);
    (store, cut, paths)
}

/// Guards against a refusal as "not run" when the other instance was lost after it had the request.
#[test]
fn lost_peer_is_no_refusal() {
    let peers = [
        peer_answering("a", "hall0", LOST),
        peer_answering("b", "hall1", LOST),
    ];
    let (_store, cut, _paths) = cut_before(&[("a", &peers[0]), ("b", &peers[1])]);
    wait_until_passed_on(&cut);
    let answer = answered(&cut, &request("POST", "/pay/", "lost", "", "{}"));
    assert_eq!(answer.status, 502, "{}", answer.head);
    // A request that may run again does, at the other peer, once the requests so far have earned
    // a retry.
    until("a retry at the other peer", || {
        let before: usize = peers.iter().map(announced).sum();
        let answer = answered(&cut, &request("GET", "/read/", "lost-again", "", ""));
        assert_eq!(answer.status, 502, "{}", answer.head);
        let after: usize = peers.iter().map(announced).sum();
        assert!(after - before <= 2, "{} attempts", after - before);
        after - before == 2
    });
}

fn announced(peer: &PlayedPeer) -> usize {
    peer.announcements.lock().expect("a lock").len()
}

/// Guards against a peer's answer that broke off and is framed as complete: instances always send
/// a length or chunks.
#[test]
fn unframed_answer_of_a_peer() {
    let unframed = "HTTP/1.1 200 OK\r\nResponse-Seal: s\r\nRequest-Id: x\r\n\r\nok";
    let peers = ["a", "b"].map(|name| peer_answering(name, "hall0", unframed));
    let (_store, cut, _paths) = cut_before(&[("a", &peers[0]), ("b", &peers[1])]);
    wait_until_passed_on(&cut);
    let answer = answered(&cut, &request("POST", "/pay/", "x", "", "{}"));
    assert_eq!(answer.status, 502, "{}", answer.head);
}

/// Guards against refusals while another peer takes the request, and against a 404 by the older
/// configuration of a peer.
#[test]
fn refusal_of_a_peer() {
    for refusal in [REFUSED, NO_ROUTE] {
        let refusing = peer_answering("a", "hall0", refusal);
        let serving = peer_answering("b", "hall1", SERVED);
        let (_store, cut, _paths) = cut_before(&[("a", &refusing), ("b", &serving)]);
        wait_until_passed_on(&cut);
        for round in 0..5 {
            let bytes = request("POST", "/pay/", "x", "", "{}");
            let answer = answered(&cut, &bytes);
            assert_eq!(answer.status, 200, "round {round}: {}", answer.head);
            std::thread::sleep(Duration::from_millis(250));
        }
        assert!(announced(&refusing) > 0);
    }
}

/// Guards against the loss of a peer's `Retry-After`.
#[test]
fn retry_after_of_a_peer() {
    let peer = peer_answering("a", "hall0", REFUSED);
    let (_store, cut, _paths) = cut_before(&[("a", &peer)]);
    wait_until_passed_on(&cut);
    until("a refusal by the peer", || {
        let before = announced(&peer);
        let answer = answered(&cut, &request("POST", "/pay/", "x", "", "{}"));
        assert_eq!(answer.status, 503, "{}", answer.head);
        announced(&peer) > before && answer.header("retry-after") == Some("3.500")
    });
}

/// Guards against bodies that leave the regions of their route.
#[test]
fn regions_bind_peers() {
    let abroad = peer_answering("a", "hall2", SERVED);
    let (store, cut, _paths) = cut_before(&[("a", &abroad)]);
    wait_until_passed_on(&cut);
    let mut configuration = cluster::configuration(2, &[]);
    for route in configuration["routes"].as_array_mut().expect("routes") {
        route["allowed_regions"] = json!(["here"]);
    }
    store.put("op/config", &configuration);
    until("the second version", || cut.config_version() == Some(2));
    let before = announced(&abroad);
    for round in 0..5 {
        let bytes = request("POST", "/pay/", &format!("bound-{round}"), "", "{}");
        assert_eq!(answered(&cut, &bytes).status, 503);
    }
    assert_eq!(announced(&abroad), before);
}

/// Guards against requests that a peer handles by an older configuration than the one by which
/// they were admitted.
#[test]
fn older_configuration_of_a_peer() {
    let peer = peer_answering("a", "hall0", SERVED);
    let (_store, cut, _paths) = cut_before(&[("a", &peer)]);
    wait_until_passed_on(&cut);
    let announcements = peer.announcements.lock().expect("a lock").clone();
    let last = announcements.last().expect("an announcement");
    assert_eq!(Some(last.config_version), cut.config_version());
    assert_eq!(last.instance, "cut");
    assert!(last.remaining_ms <= 8_000, "{last:?}");
    drop(announcements);
    // An instance refuses what another one has admitted by a version that it does not have.
    let store = cluster::store(&[]);
    let server = plain_server();
    list_plain(&store, "p-0", server.address, "ready");
    let instance = cluster::start_ready("one", &store);
    until("the holder", || instance.fence().is_some());
    for (config_version, status) in [(1, 200), (2, 503)] {
        let announcement = PeerRequest {
            instance: "cut".into(),
            config_version,
            remaining_ms: 8_000,
            ..PeerRequest::default()
        };
        let mut caller = Caller::from_stream(pass_on(&instance, announcement, "/read/", "older"));
        let answer = caller.receive().expect("an answer");
        assert_eq!(answer.status, status, "version {config_version}");
    }
    assert_eq!(server.received().len(), 1);
}

/// Passes a request on to an instance that is the holder, as another instance does.
pub fn pass_on(instance: &Instance, announcement: PeerRequest, path: &str, id: &str) -> TcpStream {
    let address = instance.holder().expect("a holder").address;
    let (link, reader) = Link::connect(address, Duration::from_secs(1)).expect("a link");
    link.send(Body::PeerRequest(announcement)).expect("sent");
    let (mut stream, _) = reader.into_parts();
    stream
        .write_all(&request("GET", path, id, "", ""))
        .expect("sent");
    stream
}
