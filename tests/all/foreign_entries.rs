//! Another program may write invalid entries under the upstreams' keys of the store. Instances must
//! ignore such entries, keep using the other upstreams, and use an upstream again once its entry is
//! valid.

use crate::cluster::{self, until};
use passway_serving::ports::{Directory, StoreRevision, StoredValue};
use passway_serving::upstreams::UpstreamEntry;
use passway_types::prelude::*;
use passway_users_platform::PlatformDirectory;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use serde_json::{Value, json};

/// A valid entry of an engine.
fn valid_entry() -> Value {
    json!({"service": "engines", "address": "127.0.0.1:9", "zone": "hall0", "version": "v1",
        "slots": 12, "state": "ready", "cold_left_ms": 0, "stage": "colocated",
        "models": [{"name": "m0", "version": 1, "adapters": []}], "sequence": 4,
        "at_hand": {"in_memory": ["m0"], "on_disk": ["m0"]}, "born": 1_792_321_983_006_u64})
}

fn decode(bytes: &[u8]) -> anyhow::Result<UpstreamEntry> {
    let value = StoredValue {
        key: "servers/i-0".into(),
        value: bytes.to_vec().into(),
        revision: StoreRevision::new(0, 7),
        lease: None,
    };
    PlatformDirectory.decode_upstream(&value, Instant::now())
}

/// Values of all JSON types, large and small ones.
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

/// Fields that all entries must have.
const REQUIRED_FIELDS: [&str; 8] = [
    "service",
    "address",
    "zone",
    "version",
    "slots",
    "state",
    "cold_left_ms",
    "sequence",
];
/// Fields that only entries of engines have, or only some of them.
const OPTIONAL_FIELDS: [&str; 3] = ["models", "at_hand", "born"];

/// Returns whether two values have the same JSON type. Unsigned integers and other numbers are
/// different types.
fn has_same_type(a: &Value, b: &Value) -> bool {
    std::mem::discriminant(a) == std::mem::discriminant(b) && a.is_u64() == b.is_u64()
}

/// Generates the same cases in each run.
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
    fn arbitrary_bytes_never_panic(bytes in proptest::collection::vec(any::<u8>(), 0..400)) {
        let _ = decode(&bytes);
    }

    #[test]
    fn corrupted_byte(index in 0_usize..200, byte in any::<u8>()) {
        let mut bytes = valid_entry().to_string().into_bytes();
        let index = index % bytes.len();
        bytes[index] = byte;
        if let Ok(entry) = decode(&bytes) {
            prop_assert!(entry.slots <= 65_536);
        }
    }

    #[test]
    fn missing_field(index in 0..REQUIRED_FIELDS.len()) {
        let mut entry = valid_entry();
        entry.as_object_mut().expect("an object").remove(REQUIRED_FIELDS[index]);
        prop_assert!(decode(entry.to_string().as_bytes()).is_err());
    }

    #[test]
    fn wrong_type(index in 0..REQUIRED_FIELDS.len() + OPTIONAL_FIELDS.len(), value in any_value()) {
        let all = [&REQUIRED_FIELDS[..], &OPTIONAL_FIELDS[..]].concat();
        let field = all[index];
        let mut entry = valid_entry();
        let has_same_type = has_same_type(&entry[field], &value);
        // This field accepts integers and fractions.
        let is_valid_number = field == "cold_left_ms" && value.is_number();
        entry[field] = value;
        let decoded = decode(entry.to_string().as_bytes());
        prop_assert!(has_same_type || is_valid_number || decoded.is_err(), "{entry}");
    }

    #[test]
    fn unknown_state(state in "[a-z]{0,12}") {
        let mut entry = valid_entry();
        entry["state"] = state.clone().into();
        let decoded = decode(entry.to_string().as_bytes());
        let is_known = state == "ready" || state == "draining";
        prop_assert_eq!(decoded.is_ok(), is_known);
    }
}

#[test]
fn huge_values() {
    let encode = |entry: &Value| entry.to_string().into_bytes();
    assert!(decode(&encode(&valid_entry())).is_ok());
    let mut many_slots = valid_entry();
    many_slots["slots"] = u32::MAX.into();
    assert!(decode(&encode(&many_slots)).is_err());
    let mut long_zone = valid_entry();
    long_zone["zone"] = "z".repeat(1 << 20).into();
    assert!(decode(&encode(&long_zone)).is_err());
    let mut long_remaining = valid_entry();
    long_remaining["remaining_ms"] = 1e308.into();
    assert!(decode(&encode(&long_remaining)).is_ok());
    for (cold_left_ms, is_cold) in [(1e308, true), (0.0, false), (-1e308, false)] {
        let mut cold = valid_entry();
        cold["cold_left_ms"] = cold_left_ms.into();
        let decoded = decode(&encode(&cold)).expect("an entry");
        assert_eq!(decoded.cold_until.is_some(), is_cold, "{cold_left_ms}");
    }
}

/// Sends a request with this id to the plain service and returns the status of the answer.
fn request_status(instance: &passway_instance::Instance, id: &str) -> u16 {
    let request = cluster::request("GET", "/read/", id, "", "");
    let answer = cluster::fetch(instance.callers_address(), &request);
    answer.expect("an answer").status
}

#[test]
fn other_upstreams_are_used() {
    let store = cluster::store(&["m0"]);
    let (overwritten, other) = (cluster::plain_server(), cluster::plain_server());
    cluster::list_plain(&store, "i-0", overwritten.address, "ready");
    cluster::list_plain(&store, "i-1", other.address, "ready");
    let instance = cluster::start_ready("one", &store);
    // Another program overwrites one entry with invalid values, and adds entries with the same
    // values.
    let invalid: [&[u8]; 4] = [b"", b"\xff\xfe{", b"{\"service\": 3}", b"[1, 2]"];
    for (number, bytes) in invalid.into_iter().enumerate() {
        store.put_bytes("servers/i-0", bytes);
        store.put_bytes(&format!("servers/other-{number}"), bytes);
    }
    until("the overwritten upstream gets no requests", || {
        let requests_before = overwritten.received().len();
        let all_answered = (0..6).all(|n| request_status(&instance, &format!("a{n}")) == 200);
        assert!(all_answered, "the other upstream answers all requests");
        overwritten.received().len() == requests_before
    });
    cluster::list_plain(&store, "i-0", overwritten.address, "ready");
    let requests_before = overwritten.received().len();
    let mut number = 0;
    until("the overwritten upstream is used again", || {
        number += 1;
        assert_eq!(request_status(&instance, &format!("b{number}")), 200);
        overwritten.received().len() > requests_before
    });
}

/// Another program may overwrite an entry with an unknown service and a higher sequence number than
/// the upstream ever reports. Later entries of the upstream must not be ignored as outdated.
#[test]
fn unknown_service_with_high_sequence() {
    let store = cluster::store(&["m0"]);
    let server = cluster::plain_server();
    cluster::list_plain(&store, "i-0", server.address, "ready");
    let instance = cluster::start_ready("one", &store);
    assert_eq!(request_status(&instance, "a0"), 200);
    let foreign = json!({"service": "nobodys", "address": "127.0.0.1:9", "zone": "hall0",
        "version": "v1", "slots": 6, "state": "draining", "sequence": u64::MAX,
        "cold_left_ms": 0});
    store.put("servers/i-0", &foreign);
    until("the upstream gets no requests", || {
        request_status(&instance, "a1") == 503
    });
    cluster::list_plain(&store, "i-0", server.address, "ready");
    until("the upstream is used again", || {
        request_status(&instance, "a2") == 200
    });
}
