//! What versions of the configuration cost the instance that passes them on.
//!
//! Seen: an instance that passed large versions on to 78 others went over its memory and
//! its callers' requests were cut. Each listener's queue held whole copies of every version
//! that its link had not taken yet, and the last 400 changes were kept whole for listeners
//! that come later. Proved by the record of such a day (the sender's link full for ten
//! seconds, 275 MB used at one instance, 19 MB at the median one) and by the bytes that a
//! listener got here: 20 MB for one that is slow, while one that comes late was cut off, since
//! what is kept does not fit into the largest frame.

use crate::cluster::{self, configuration, until};
use passway_instance::Instance;
use passway_standins::platform::caller::HOST;
use passway_wire::message::{News, Subscribe};
use passway_wire::{Body, Link, LinkReader};
use prost::Message;
use serde_json::{Value, json};
use std::time::Duration;

/// Versions in quick succession.
const VERSIONS: u64 = 40;
/// Routes that are added to each; some 0.5 MB.
const ROUTES: u64 = 2_500;
/// What a listener may get in bytes: a few versions, not all forty (20 MB).
const MOST_BYTES: usize = 4 << 20;

/// Pause of a slow listener before each message.
const SLOW_PAUSE: Duration = Duration::from_millis(100);

/// A version with many routes.
fn large(version: u64) -> Value {
    let mut large = configuration(version, &["m0"]);
    let routes = large["routes"].as_array_mut().expect("routes");
    routes.extend((0..ROUTES).map(|number| {
        // Prefixes that do not repeat, as operators' do not.
        let prefix = format!("/{:x}/", number.wrapping_mul(0x9E37_79B9_7F4A_7C15));
        json!({"name": format!("more-{number}"), "host": HOST, "prefix": prefix,
            "kind": "idempotent", "timeout_ms": 10_000, "goal_ms": 1_000, "priority": 1,
            "service": "plain", "attempts": 2, "sticky": false, "resumable": false})
    }));
    large
}

/// Times that a listener connects: a holder on a busy machine may lose its term.
const CONNECTIONS: usize = 5;

/// Connects to the holder and asks for its news until it knows that somebody came.
fn listen(holder: &Instance, name: &str) -> LinkReader {
    until("the holder", || holder.holder().is_some());
    let address = holder.holder().expect("itself").address;
    let (link, reader) = Link::connect(address, Duration::from_secs(5)).expect("a link");
    let subscribe = || {
        link.send(Body::Subscribe(Subscribe {
            known: vec![1, 1],
            instance: name.into(),
            address: "127.0.0.1:1".into(),
            is_weak: false,
            placements: Vec::new(),
        }))
    };
    until("its coming", || {
        // A connection that the holder has closed meanwhile ends when it is read.
        subscribe().is_err() || holder.knows_member(name)
    });
    reader
}

/// Reads news, with a pause before each, until one names a key or the connection ends;
/// the bytes of all, and whether the key was named.
fn read_until(reader: &mut LinkReader, key: &str, pause: Duration) -> (usize, bool) {
    let mut bytes = 0;
    loop {
        std::thread::sleep(pause);
        let Ok(Some(body)) = reader.receive() else {
            return (bytes, false);
        };
        let Body::News(news) = body else { continue };
        bytes += news.encoded_len();
        let is_there = |news: &News| news.values.iter().any(|value| value.key == key);
        if is_there(&news) {
            return (bytes, true);
        }
    }
}

/// Bytes of all news until a key is named; `None` if that does not come about.
fn bytes_until(holder: &Instance, name: &str, key: &str, pause: Duration) -> Option<usize> {
    let mut all = 0;
    for _ in 0..CONNECTIONS {
        let (bytes, is_there) = read_until(&mut listen(holder, name), key, pause);
        all += bytes;
        if is_there {
            return Some(all);
        }
    }
    None
}

#[test]
fn newest_version_only() {
    let store = cluster::store(&["m0"]);
    let instance = cluster::start_ready("one", &store);
    until("the right to order", || instance.fence().is_some());
    let (slow, late) = std::thread::scope(|scope| {
        // One that takes versions more slowly than they come, as over a full link.
        let slow = scope.spawn(|| bytes_until(&instance, "slow", "op/end", SLOW_PAUSE));
        until("its coming", || instance.knows_member("slow"));
        for version in 2..=VERSIONS {
            store.put("op/config", &large(version));
            until("the version", || instance.config_version() == Some(version));
        }
        store.put("op/end", &json!({}));
        let slow = slow.join().expect("a listener");
        // One that comes back and knows the first version.
        let late = bytes_until(&instance, "late", "op/end", Duration::ZERO);
        (slow, late)
    });
    for (listener, bytes) in [("slow", slow), ("late", late)] {
        assert!(
            bytes.is_some_and(|bytes| bytes < MOST_BYTES),
            "bytes for the {listener} one: {bytes:?}"
        );
    }
}
