//! Memory that the holder needs for new versions of the configuration.
//!
//! Guards against a holder that exceeds its memory while it sends large versions to 78 subscribers,
//! so that its callers' requests are cut. Each subscriber's queue held a copy of every version its
//! link had not sent yet, and the last 400 changes were kept whole for later subscribers. With a
//! full link for ten seconds, one instance used 275 MB (median 19 MB); in this test, a slow
//! subscriber got 20 MB, and a late one was disconnected because the kept changes exceeded the
//! largest frame.

use crate::cluster::{self, configuration, until};
use passway_instance::Instance;
use passway_standins::platform::caller::HOST;
use passway_wire::message::{Subscribe, Updates};
use passway_wire::{Body, Link, LinkReader};
use prost::Message;
use serde_json::{Value, json};
use std::time::{Duration, Instant};

/// Number of versions written in quick succession.
const VERSION_COUNT: u64 = 40;
/// Number of routes added to each version, about 0.5 MB.
const ROUTE_COUNT: u64 = 2_500;
/// Limit of the bytes that a subscriber receives: a few versions instead of all forty (20 MB).
const MAX_BYTES: usize = 4 << 20;

/// Maximum time to read from one connection. Without it the test would not end after one of its
/// other waits has failed, because heartbeats keep arriving.
const READ_LIMIT: Duration = Duration::from_mins(2);

/// Delay of a slow subscriber before it reads a message.
const SLOW_READ_DELAY: Duration = Duration::from_millis(100);

/// A version of the configuration with many routes.
fn large(version: u64) -> Value {
    let mut large = configuration(version, &["m0"]);
    let routes = large["routes"].as_array_mut().expect("routes");
    routes.extend((0..ROUTE_COUNT).map(|number| {
        // Prefixes that do not repeat, like those of operators.
        let prefix = format!("/{:x}/", number.wrapping_mul(0x9E37_79B9_7F4A_7C15));
        json!({"name": format!("more-{number}"), "host": HOST, "prefix": prefix,
            "kind": "idempotent", "timeout_ms": 10_000, "goal_ms": 1_000, "priority": 1,
            "service": "plain", "attempts": 2, "sticky": false, "resumable": false})
    }));
    large
}

/// How often a subscriber may connect: a holder on a busy machine may lose its term.
const MAX_CONNECTIONS: usize = 5;

/// Connects to the holder and subscribes until the holder knows the member.
fn subscribe(holder: &Instance, name: &str) -> LinkReader {
    until("the holder", || holder.holder().is_some());
    let address = holder.holder().expect("itself").address;
    let (link, reader) = Link::connect(address, Duration::from_secs(5)).expect("a link");
    let send_subscription = || {
        link.send(Body::Subscribe(Subscribe {
            known_revisions: vec![1, 1],
            instance: name.into(),
            address: "127.0.0.1:1".into(),
            has_low_cpu: false,
            placement_digests: Vec::new(),
        }))
    };
    until("the subscriber to be known", || {
        // The connection may be closed by the holder meanwhile; reading it then returns the end.
        send_subscription().is_err() || holder.knows_member(name)
    });
    reader
}

/// Reads updates with a delay before each, until one contains the key, the connection ends or
/// [`READ_LIMIT`] is over. Returns the bytes of all updates and whether the key was found.
fn read_until(reader: &mut LinkReader, key: &str, pause: Duration) -> (usize, bool) {
    let limit_at = Instant::now() + READ_LIMIT;
    let mut bytes = 0;
    loop {
        std::thread::sleep(pause);
        let Ok(Some(body)) = reader.receive() else {
            return (bytes, false);
        };
        if Instant::now() >= limit_at {
            return (bytes, false);
        }
        let Body::Updates(delta) = body else { continue };
        bytes += delta.encoded_len();
        let has_key = |delta: &Updates| delta.values.iter().any(|value| value.key == key);
        if has_key(&delta) {
            return (bytes, true);
        }
    }
}

/// Bytes of all updates until one contains the key; `None` if none does.
fn bytes_until(holder: &Instance, name: &str, key: &str, pause: Duration) -> Option<usize> {
    let mut all = 0;
    for _ in 0..MAX_CONNECTIONS {
        let (bytes, has_key) = read_until(&mut subscribe(holder, name), key, pause);
        all += bytes;
        if has_key {
            return Some(all);
        }
    }
    None
}

#[test]
fn newest_version_only() {
    let store = cluster::store(&["m0"]);
    let instance = cluster::start_ready("one", &store);
    until("leadership", || instance.fence().is_some());
    let (slow, late) = std::thread::scope(|scope| {
        // A subscriber that reads more slowly than versions arrive, as over a full link.
        let slow = scope.spawn(|| bytes_until(&instance, "slow", "op/end", SLOW_READ_DELAY));
        until("the subscriber to be known", || {
            instance.knows_member("slow")
        });
        for version in 2..=VERSION_COUNT {
            store.put("op/config", &large(version));
            until("the version", || instance.config_version() == Some(version));
        }
        store.put("op/end", &json!({}));
        let slow = slow.join().expect("a subscriber");
        // A subscriber that reconnects and knows the first version.
        let late = bytes_until(&instance, "late", "op/end", Duration::ZERO);
        (slow, late)
    });
    for (subscriber, bytes) in [("slow", slow), ("late", late)] {
        assert!(
            bytes.is_some_and(|bytes| bytes < MAX_BYTES),
            "bytes for the {subscriber} subscriber: {bytes:?}"
        );
    }
}
