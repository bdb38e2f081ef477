//! A key opens closed routes, stays here, and names its workspace to the upstream.

use crate::cluster::{self, ask, list_plain, plain_server, request, until};
use crate::keyed_cluster::{self, KEY};
use passway_instance::Instance;
use passway_standins::platform::documents::workspace;
use passway_standins::platform::raw::{RawServer, Received};
use passway_standins::platform::store::MetadataStandIn;
use serde_json::{Value, json};

const OTHER_KEY: &str = "k2-b7xw1yh5kzq3r9dd0vfe";

/// Two workspaces with a key each, and a public route beside the closed ones.
fn closed(version: u64, keys: &[&str]) -> Value {
    let workspaces = [
        workspace("alpha", keys, 0.0),
        workspace("beta", &[OTHER_KEY], 0.0),
    ];
    keyed_cluster::keyed_configuration(version, &workspaces)
}

struct Place {
    store: MetadataStandIn,
    server: RawServer,
    instance: Instance,
}

fn place() -> Place {
    let store = MetadataStandIn::default();
    store.put("op/config", &closed(1, &[KEY]));
    let server = plain_server();
    list_plain(&store, "i-0", server.address, "ready");
    let instance = cluster::start_ready("one", &store);
    Place {
        store,
        server,
        instance,
    }
}

impl Place {
    fn status(&self, path: &str, id: &str, more: &str) -> u16 {
        let bytes = request("GET", path, id, more, "");
        let answer = ask(self.instance.callers_address(), &bytes).expect("an answer");
        answer.status
    }

    fn received(&self, id: &str) -> Received {
        let all = self.server.received();
        let mut own = all
            .into_iter()
            .filter(|one| one.header("request-id") == Some(id));
        own.next().expect("a request that arrived")
    }
}

fn with(key: &str) -> String {
    format!("Authorization: Token {key}\r\n")
}

#[test]
fn key_withheld() {
    let place = place();
    let forged = format!("tenant: beta\r\nTENANT: gamma\r\n{}", with(KEY));
    assert_eq!(place.status("/read/", "id1", &forged), 200);
    let received = place.received("id1");
    assert!(!received.head.contains(KEY), "{}", received.head);
    let head = received.head.to_ascii_lowercase();
    assert_eq!(head.matches("tenant:").count(), 1, "{head}");
    assert_eq!(received.header("tenant"), Some("alpha"));
    assert!(!head.contains("authorization"));
}

#[test]
fn unknown_refused() {
    let place = place();
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
        assert_eq!(place.status("/read/", "id1", &head), 401, "{head}");
    }
    assert_eq!(place.server.received(), []);
}

#[test]
fn public_route() {
    let place = place();
    assert_eq!(place.status("/open/", "id1", "Tenant: beta\r\n"), 200);
    assert_eq!(place.received("id1").header("tenant"), None);
    assert_eq!(place.status("/open/", "id2", &with("nobody's")), 200);
    let stranger = place.received("id2");
    assert_eq!(stranger.header("tenant"), None);
    assert_eq!(stranger.header("authorization"), None);
    assert_eq!(place.status("/open/", "id3", &with(KEY)), 200);
    let known = place.received("id3");
    assert_eq!(known.header("tenant"), Some("alpha"));
    assert_eq!(known.header("authorization"), None);
}

#[test]
fn key_taken_away() {
    let place = place();
    assert_eq!(place.status("/read/", "id1", &with(KEY)), 200);
    place.store.put("op/config", &closed(2, &["another"]));
    until("the new version", || {
        place.instance.config_version() == Some(2)
    });
    assert_eq!(place.status("/read/", "id2", &with(KEY)), 401);
    assert_eq!(place.status("/read/", "id3", &with("another")), 200);
    assert_eq!(place.received("id3").header("tenant"), Some("alpha"));
}

#[test]
fn wrong_workspaces() {
    let place = place();
    let broken = [
        workspace("", &["k"], 0.0),
        workspace("alpha", &["k"], 0.0),
        workspace("gamma", &[KEY], 0.0),
        workspace("gamma", &[""], 0.0),
        workspace("gamma", &["k"], -1.0),
    ];
    for (number, one) in broken.into_iter().enumerate() {
        let version = 2 + u64::try_from(number).expect("small");
        let mut document = closed(version, &[KEY]);
        let all = document["tenants"].as_array_mut().expect("workspaces");
        all.push(one);
        place.store.put("op/config", &document);
    }
    let mut nobody = closed(20, &[KEY]);
    nobody["tenants"] = Value::Array(Vec::new());
    place.store.put("op/config", &nobody);
    place.store.put("op/config", &closed(30, &[KEY]));
    until("a version that can be used", || {
        place.instance.config_version() == Some(30)
    });
    assert_eq!(place.status("/read/", "id1", &with(KEY)), 200);
}

#[test]
fn without_workspaces() {
    let store = cluster::store(&[]);
    let server = plain_server();
    list_plain(&store, "i-0", server.address, "ready");
    let instance = cluster::start_ready("one", &store);
    let bytes = request("GET", "/read/", "id1", &with(KEY), "");
    let answer = ask(instance.callers_address(), &bytes).expect("an answer");
    assert_eq!(answer.status, 200);
    // Nothing says that it is a key of ours: it passes like any other header.
    let received = server.received().remove(0);
    assert!(received.head.contains(KEY));
}

/// An engine is told the workspace's rank, which goes before its route's.
#[test]
fn rank_of_workspace() {
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
    // The routes of the stand-in's configuration have rank 1.
    for (id, key, rank) in [("id1", KEY, "0"), ("id2", OTHER_KEY, "1")] {
        let head = format!("{}Model: m0\r\n", with(key));
        let bytes = request("POST", "/chat/", id, &head, "x");
        ask(instance.callers_address(), &bytes).expect("an answer");
        let received = engine.received();
        let own = received
            .iter()
            .find(|one| one.header("request-id") == Some(id));
        let own = own.expect("a request that arrived");
        assert_eq!(own.header("request-urgency"), Some(rank), "{id}");
    }
}
