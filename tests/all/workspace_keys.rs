//! A key grants access to closed routes, is not forwarded, and determines the workspace that
//! upstreams see.

use crate::cluster::{self, fetch, list_plain, plain_server, request, until};
use crate::keyed_cluster::{self, KEY};
use passway_instance::Instance;
use passway_standins::platform::documents::workspace;
use passway_standins::platform::raw::{RawServer, Received};
use passway_standins::platform::store::MetadataStandIn;
use serde_json::{Value, json};

const OTHER_KEY: &str = "k2-b7xw1yh5kzq3r9dd0vfe";

/// Two workspaces with one key each, and a public route beside the closed ones.
fn closed(version: u64, keys: &[&str]) -> Value {
    let workspaces = [
        workspace("alpha", keys, 0.0),
        workspace("beta", &[OTHER_KEY], 0.0),
    ];
    keyed_cluster::keyed_configuration(version, &workspaces)
}

struct TestCluster {
    store: MetadataStandIn,
    server: RawServer,
    instance: Instance,
}

fn cluster() -> TestCluster {
    let store = MetadataStandIn::default();
    store.put("op/config", &closed(1, &[KEY]));
    let server = plain_server();
    list_plain(&store, "i-0", server.address, "ready");
    let instance = cluster::start_ready("one", &store);
    TestCluster {
        store,
        server,
        instance,
    }
}

impl TestCluster {
    fn status(&self, path: &str, id: &str, more: &str) -> u16 {
        let bytes = request("GET", path, id, more, "");
        let answer = fetch(self.instance.callers_address(), &bytes).expect("an answer");
        answer.status
    }

    fn received(&self, id: &str) -> Received {
        let all = self.server.received();
        let mut own = all
            .into_iter()
            .filter(|request| request.header("request-id") == Some(id));
        own.next().expect("a request that arrived")
    }
}

fn with(key: &str) -> String {
    format!("Authorization: Token {key}\r\n")
}

#[test]
fn key_withheld() {
    let cluster = cluster();
    let forged = format!("tenant: beta\r\nTENANT: gamma\r\n{}", with(KEY));
    assert_eq!(cluster.status("/read/", "id1", &forged), 200);
    let received = cluster.received("id1");
    assert!(!received.head.contains(KEY), "{}", received.head);
    let head = received.head.to_ascii_lowercase();
    assert_eq!(head.matches("tenant:").count(), 1, "{head}");
    assert_eq!(received.header("tenant"), Some("alpha"));
    assert!(!head.contains("authorization"));
}

#[test]
fn unknown_refused() {
    let cluster = cluster();
    let heads = [
        String::new(),
        with("k1"),
        with(&KEY.to_ascii_uppercase()),
        format!("Authorization: {KEY}\r\n"),
        format!("Authorization: Bearer {KEY}\r\n"),
        format!("Authorization: Token {KEY} {OTHER_KEY}\r\n"),
        format!("{}{}", with(KEY), with(OTHER_KEY)),
        "Authorization: Token \r\n".to_owned(),
        "Tenant: alpha\r\n".to_owned(),
    ];
    for head in heads {
        assert_eq!(cluster.status("/read/", "id1", &head), 401, "{head}");
    }
    assert_eq!(cluster.server.received(), []);
}

#[test]
fn public_route() {
    let cluster = cluster();
    assert_eq!(cluster.status("/open/", "id1", "Tenant: beta\r\n"), 200);
    assert_eq!(cluster.received("id1").header("tenant"), None);
    assert_eq!(cluster.status("/open/", "id2", &with("nobody's")), 200);
    let unknown_key_request = cluster.received("id2");
    assert_eq!(unknown_key_request.header("tenant"), None);
    assert_eq!(unknown_key_request.header("authorization"), None);
    assert_eq!(cluster.status("/open/", "id3", &with(KEY)), 200);
    let known = cluster.received("id3");
    assert_eq!(known.header("tenant"), Some("alpha"));
    assert_eq!(known.header("authorization"), None);
}

#[test]
fn revoked_key_refused() {
    let cluster = cluster();
    assert_eq!(cluster.status("/read/", "id1", &with(KEY)), 200);
    cluster.store.put("op/config", &closed(2, &["another"]));
    until("the new version", || {
        cluster.instance.config_version() == Some(2)
    });
    assert_eq!(cluster.status("/read/", "id2", &with(KEY)), 401);
    assert_eq!(cluster.status("/read/", "id3", &with("another")), 200);
    assert_eq!(cluster.received("id3").header("tenant"), Some("alpha"));
}

#[test]
fn invalid_workspaces_ignored() {
    let cluster = cluster();
    let invalid_workspaces = [
        workspace("", &["k"], 0.0),
        workspace("alpha", &["k"], 0.0),
        workspace("gamma", &[KEY], 0.0),
        workspace("gamma", &[""], 0.0),
        workspace("gamma", &["k"], -1.0),
    ];
    for (number, invalid) in invalid_workspaces.into_iter().enumerate() {
        let version = 2 + u64::try_from(number).expect("small");
        let mut document = closed(version, &[KEY]);
        let all = document["tenants"].as_array_mut().expect("workspaces");
        all.push(invalid);
        cluster.store.put("op/config", &document);
    }
    let mut without_workspaces = closed(20, &[KEY]);
    without_workspaces["tenants"] = Value::Array(Vec::new());
    cluster.store.put("op/config", &without_workspaces);
    cluster.store.put("op/config", &closed(30, &[KEY]));
    until("the usable version", || {
        cluster.instance.config_version() == Some(30)
    });
    assert_eq!(cluster.status("/read/", "id1", &with(KEY)), 200);
}

#[test]
fn without_workspaces() {
    let store = cluster::store(&[]);
    let server = plain_server();
    list_plain(&store, "i-0", server.address, "ready");
    let instance = cluster::start_ready("one", &store);
    let bytes = request("GET", "/read/", "id1", &with(KEY), "");
    let answer = fetch(instance.callers_address(), &bytes).expect("an answer");
    assert_eq!(answer.status, 200);
    // Without workspaces, nothing identifies the header as a key, so it is forwarded like any
    // other.
    let received = server.received().remove(0);
    assert!(received.head.contains(KEY));
}

/// Engines receive the urgency of the workspace, which takes precedence over that of the route.
#[test]
fn urgency_of_workspace() {
    let store = MetadataStandIn::default();
    let mut document = closed(1, &[KEY]);
    document["tenants"][0]["priority"] = 0.into();
    document["tenants"][1]["priority"] = Value::Null;
    store.put("op/config", &document);
    let engine = plain_server();
    let entry = json!({"service": "engines", "address": engine.address.to_string(),
        "zone": "hall0", "version": "v1", "slots": 6, "state": "ready", "sequence": 1,
        "cold_left_ms": 0, "models": [{"name": "m0", "adapters": []}]});
    store.put("servers/i-0", &entry);
    let instance = cluster::start_ready("one", &store);
    // The routes of the stand-in's configuration have urgency 1.
    for (id, key, rank) in [("id1", KEY, "0"), ("id2", OTHER_KEY, "1")] {
        let head = format!("{}Model: m0\r\n", with(key));
        let bytes = request("POST", "/chat/", id, &head, "x");
        fetch(instance.callers_address(), &bytes).expect("an answer");
        let received = engine.received();
        let own = received
            .iter()
            .find(|request| request.header("request-id") == Some(id));
        let own = own.expect("a request that arrived");
        assert_eq!(own.header("request-urgency"), Some(rank), "{id}");
    }
}
