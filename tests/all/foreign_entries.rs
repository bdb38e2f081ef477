//! Entries that something else wrote where upstreams keep themselves name no upstream to use;
//! the others hold, and an upstream whose entry comes back is used again.

use crate::cluster::{self, until};
use passway_serving::ports::{Directory, StoredValue};
use passway_serving::upstreams::UpstreamEntry;
use passway_types::prelude::*;
use passway_users_platform::PlatformDirectory;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use serde_json::{Value, json};

fn entry() -> Value {
    json!({"service": "engines", "address": "127.0.0.1:9", "zone": "hall0", "version": "v1",
        "slots": 12, "state": "ready", "cold_left_ms": 0, "stage": "colocated",
        "models": [{"name": "m0", "version": 1, "adapters": []}], "sequence": 4,
        "at_hand": {"in_memory": ["m0"], "on_disk": ["m0"]}, "born": 1_792_321_983_006_u64})
}

fn decode(bytes: &[u8]) -> anyhow::Result<UpstreamEntry> {
    let value = StoredValue {
        key: "servers/i-0".into(),
        value: bytes.to_vec().into(),
        revision: 7,
    };
    PlatformDirectory.decode_upstream(&value, Instant::now())
}

/// Values of every type that JSON has, large and small ones.
fn any_value() -> impl Strategy<Value = Value> {
    prop_oneof![
        Just(Value::Null),
        any::<bool>().prop_map(Value::from),
        any::<i64>().prop_map(Value::from),
        any::<u64>().prop_map(Value::from),
        (-1e308..1e308).prop_map(Value::from),
        ".{0,20}".prop_map(Value::from),
        Just(json!([])),
        Just(json!({})),
        Just(json!([[1]])),
    ]
}

/// Fields that every upstream tells.
const REQUIRED: [&str; 8] = [
    "service",
    "address",
    "zone",
    "version",
    "slots",
    "state",
    "cold_left_ms",
    "sequence",
];
/// Fields that only engines tell, or only some of them.
const OTHERS: [&str; 3] = ["models", "at_hand", "born"];

/// Whether two values are of one type; numbers are told apart as whole and other ones.
fn is_alike(one: &Value, other: &Value) -> bool {
    std::mem::discriminant(one) == std::mem::discriminant(other) && one.is_u64() == other.is_u64()
}

/// The same cases in each run.
fn config() -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn bytes_never_panic(bytes in proptest::collection::vec(any::<u8>(), 0..400)) {
        let _ = decode(&bytes);
    }

    #[test]
    fn spoilt_bytes(at in 0_usize..200, byte in any::<u8>()) {
        let mut bytes = entry().to_string().into_bytes();
        let at = at % bytes.len();
        bytes[at] = byte;
        if let Ok(entry) = decode(&bytes) {
            prop_assert!(entry.slots <= 65_536);
        }
    }

    #[test]
    fn missing_field(which in 0..REQUIRED.len()) {
        let mut entry = entry();
        entry.as_object_mut().expect("an object").remove(REQUIRED[which]);
        prop_assert!(decode(entry.to_string().as_bytes()).is_err());
    }

    #[test]
    fn other_type(which in 0..REQUIRED.len() + OTHERS.len(), value in any_value()) {
        let all = [&REQUIRED[..], &OTHERS[..]].concat();
        let field = all[which];
        let mut entry = entry();
        let is_alike = is_alike(&entry[field], &value);
        // A number with a fraction is one all the same.
        let is_number = field == "cold_left_ms" && value.is_number();
        entry[field] = value;
        let decoded = decode(entry.to_string().as_bytes());
        prop_assert!(is_alike || is_number || decoded.is_err(), "{entry}");
    }

    #[test]
    fn other_state(state in "[a-z]{0,12}") {
        let mut entry = entry();
        entry["state"] = state.clone().into();
        let decoded = decode(entry.to_string().as_bytes());
        let is_known = state == "ready" || state == "draining";
        prop_assert_eq!(decoded.is_ok(), is_known);
    }
}

#[test]
fn huge_values() {
    let text = |entry: &Value| entry.to_string().into_bytes();
    assert!(decode(&text(&entry())).is_ok());
    let mut many_slots = entry();
    many_slots["slots"] = u32::MAX.into();
    assert!(decode(&text(&many_slots)).is_err());
    let mut long = entry();
    long["zone"] = "z".repeat(1 << 20).into();
    assert!(decode(&text(&long)).is_err());
    let mut late = entry();
    late["remaining_ms"] = 1e308.into();
    assert!(decode(&text(&late)).is_ok());
    for (cold_left_ms, is_cold) in [(1e308, true), (0.0, false), (-1e308, false)] {
        let mut cold = entry();
        cold["cold_left_ms"] = cold_left_ms.into();
        let decoded = decode(&text(&cold)).expect("an entry");
        assert_eq!(decoded.cold_until.is_some(), is_cold, "{cold_left_ms}");
    }
}

/// What callers get of the plain service: its status.
fn status(instance: &passway_instance::Instance, id: &str) -> u16 {
    let request = cluster::request("GET", "/read/", id, "", "");
    let answer = cluster::fetch(instance.callers_address(), &request);
    answer.expect("an answer").status
}

#[test]
fn others_hold() {
    let store = cluster::store(&["m0"]);
    let (one, two) = (cluster::plain_server(), cluster::plain_server());
    cluster::list_plain(&store, "i-0", one.address, "ready");
    cluster::list_plain(&store, "i-1", two.address, "ready");
    let instance = cluster::start_ready("one", &store);
    // Something else writes over one of them, in every way, and beside them.
    let spoilt: [&[u8]; 4] = [b"", b"\xff\xfe{", b"{\"service\": 3}", b"[1, 2]"];
    for (number, bytes) in spoilt.into_iter().enumerate() {
        store.put_bytes("servers/i-0", bytes);
        store.put_bytes(&format!("servers/other-{number}"), bytes);
    }
    until("one upstream is left out", || {
        let before = one.received().len();
        let all = (0..6).all(|n| status(&instance, &format!("a{n}")) == 200);
        assert!(all, "the other one holds");
        one.received().len() == before
    });
    cluster::list_plain(&store, "i-0", one.address, "ready");
    let before = one.received().len();
    let mut number = 0;
    until("it is used again", || {
        number += 1;
        assert_eq!(status(&instance, &format!("b{number}")), 200);
        one.received().len() > before
    });
}

/// An entry that puts an upstream into a service that nobody knows, with a number above all
/// that the upstream itself will tell, does not pass for its newest word.
#[test]
fn foreign_service() {
    let store = cluster::store(&["m0"]);
    let server = cluster::plain_server();
    cluster::list_plain(&store, "i-0", server.address, "ready");
    let instance = cluster::start_ready("one", &store);
    assert_eq!(status(&instance, "a0"), 200);
    let foreign = json!({"service": "nobodys", "address": "127.0.0.1:9", "zone": "hall0",
        "version": "v1", "slots": 6, "state": "draining", "sequence": u64::MAX,
        "cold_left_ms": 0});
    store.put("servers/i-0", &foreign);
    until("it is left out", || status(&instance, "a1") == 503);
    cluster::list_plain(&store, "i-0", server.address, "ready");
    until("it is used again", || status(&instance, "a2") == 200);
}
