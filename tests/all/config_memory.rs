//! What versions of the configuration cost the instance that passes them on.
//!
//! Seen: an instance that passed large versions on to 78 others went over its memory and
//! its callers' requests were cut. Each listener's queue held whole copies of every version
//! that its link had not taken yet, and the last 400 changes were kept whole for listeners
//! that come later. Proved by the record of such a day (the sender's link full for ten
//! seconds, 275 MB used at one instance, 19 MB at the median one) and by the bytes that a
//! listener got here: 20 MB for one that is slow, while one that comes late was cut off, since
//! what is kept does not fit into the largest frame.

use crate::site::{self, configuration, until};
use passway_instance::Instance;
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
        json!({"name": format!("more-{number}"), "host": site::HOST, "prefix": prefix,
            "kind": "idempotent", "timeout_ms": 10_000, "goal_ms": 1_000, "priority": 1,
            "service": "plain", "attempts": 2, "sticky": false, "resumable": false})
    }));
    large
}

/// Connects to the holder and asks for its news until it knows that somebody came.
fn listen(holder: &Instance, name: &str) -> LinkReader {
    let address = holder.holder().expect("itself").address;
    let (link, reader) = Link::connect(address, Duration::from_secs(5)).expect("a link");
    let before = holder.known_members();
    until("its coming", || {
        let subscribe = Subscribe {
            known: vec![1, 1],
            instance: name.into(),
            address: "127.0.0.1:1".into(),
            is_weak: false,
        };
        link.send(Body::Subscribe(subscribe)).expect("sent");
        holder.known_members() > before
    });
    reader
}

/// Reads news until one names a key, with a pause before each; the bytes of all, `None` if
/// the holder closes before.
fn read_until(reader: &mut LinkReader, key: &str, pause: Duration) -> Option<usize> {
    let mut bytes = 0;
    loop {
        std::thread::sleep(pause);
        let Body::News(news) = reader.receive().expect("news")? else {
            continue;
        };
        bytes += news.encoded_len();
        let is_there = |news: &News| news.values.iter().any(|value| value.key == key);
        if is_there(&news) {
            return Some(bytes);
        }
    }
}

#[test]
fn newest_version_only() {
    let store = site::store(&["m0"]);
    let instance = site::ready("one", &store);
    until("the right to order", || instance.fence().is_some());
    // One that takes versions more slowly than they come, as over a full link.
    let mut slow = listen(&instance, "slow");
    let slow = std::thread::spawn(move || read_until(&mut slow, "op/end", SLOW_PAUSE));
    for version in 2..=VERSIONS {
        store.put("op/config", &large(version));
        until("the version", || instance.version() == Some(version));
    }
    store.put("op/end", &json!({}));
    let slow = slow.join().expect("a listener");
    // One that comes back and knows the first version.
    let mut late = listen(&instance, "late");
    let late = read_until(&mut late, "op/end", Duration::ZERO);
    for (listener, bytes) in [("slow", slow), ("late", late)] {
        assert!(
            bytes.is_some_and(|bytes| bytes < MOST_BYTES),
            "bytes for the {listener} one: {bytes:?}"
        );
    }
}
