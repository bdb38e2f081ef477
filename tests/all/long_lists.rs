//! Fleets whose list of upstreams no store can tell to all instances: what is read, told and compared follows what
//! changes, not upstreams times instances.
//!
//! The load: a thousand instances that start before ten thousand upstreams. Each read the whole list, 5 MB in twenty
//! answers, and began anew where one of them failed; the store's link was full, the holder's lease lapsed behind that every
//! second or two, and nothing was ordered all day.

use crate::planned::entry;
use crate::site::{self, until};
use passway_instance::Instance;
use passway_instance::feed_log::FeedLog;
use passway_instance::news::{Bases, Told};
use passway_instance::relay::UPSTREAMS;
use passway_serving::placement::policy::PolicyName;
use passway_serving::placement::{Planner, USUAL_LOAD_WINDOW, sums};
use passway_serving::ports::{Directory, Listing, StoredValue};
use passway_serving::upstreams::{UpstreamEntry, UpstreamTable};
use passway_standins::platform::documents::plain_entry;
use passway_types::hash::stable_digest;
use passway_types::prelude::*;
use passway_users_platform::PlatformDirectory;
use passway_wire::message::Subscribe;
use prost::Message;
use serde_json::json;
use std::collections::BTreeSet;

/// What an engine says of itself, as long as real ones do: a random id and address, three models of 800, two copies.
fn said(number: u32) -> StoredValue {
    let drawn = stable_digest(&[&number.to_be_bytes()]);
    let model = |at: usize| format!("m{:03}", u16::from(drawn[at]) * 3);
    let id = u64::from_be_bytes(drawn[..8].try_into().expect("eight bytes")) >> 24;
    let models = [6, 7, 8].map(|at| json!({"name": model(at), "version": 1, "adapters": []}));
    let text = json!({"service": "engines", "address": format!("10.{}.{}.{}:8080", drawn[9] % 5, drawn[10], drawn[11]),
        "zone": format!("hall{}", drawn[9] % 5), "version": "v1", "slots": 12, "state": "ready", "cold_left_ms": 0,
        "stage": "colocated", "models": models, "sequence": number % 50,
        "at_hand": {"in_memory": [model(12)], "on_disk": [model(13), model(6)]}, "born": 1_788_089_100_000_u64 + u64::from(number)});
    StoredValue {
        key: format!("servers/i-{id:010x}"),
        value: text.to_string().into_bytes().into(),
        revision: u64::from(number) + 1,
    }
}

/// The list of so many engines as it is told, in bytes, and as it stands in the store.
fn told(engines: u32) -> (usize, usize) {
    let listing = Listing {
        values: (0..engines).map(said).collect(),
        revision: u64::from(engines) + 1,
    };
    let plain = listing.values.iter().map(|value| value.value.len()).sum();
    let mut log = FeedLog::default();
    log.add(&Told::Whole(listing.clone()));
    let news = log.after(UPSTREAMS, 0).expect("all");
    let bytes = news.encoded_len();
    let Told::Whole(heard) = Bases::default().decode(news).expect("readable") else {
        panic!("not whole");
    };
    assert_eq!(heard.values.len(), listing.values.len());
    assert!(
        heard
            .values
            .iter()
            .all(|value| listing.values.contains(value) || engines > 1_000)
    );
    (bytes, plain)
}

#[test]
fn list_is_packed() {
    let (small, small_plain) = told(1_000);
    let (large, large_plain) = told(10_000);
    println!("{small} of {small_plain} bytes, {large} of {large_plain}");
    assert!(small * 4 < small_plain, "{small} of {small_plain}");
    assert!(large * 4 < large_plain, "{large} of {large_plain}");
    assert!(large < 11 * small);
}

fn planner(engines: usize, now: Instant) -> (Planner, UpstreamTable) {
    let mut planner = Planner::new(USUAL_LOAD_WINDOW, PolicyName::Balanced.policy());
    let value = StoredValue {
        key: "op/config".into(),
        value: site::configuration(1, &["m0", "m1"]).to_string().into(),
        revision: 1,
    };
    let table = PlatformDirectory.configuration(&value).expect("decoded");
    planner.set_table(&table.expect("a configuration"));
    let entries = (0..engines).map(|number| entry(&format!("i-{number}"), 1, &["m0"]));
    planner.begin_term(entries.clone(), &BTreeSet::new(), now);
    let mut known = UpstreamTable::new("hall0".into());
    for entry in entries {
        known.update(entry, now);
    }
    (planner, known)
}

/// Each of a thousand that connected at once told a digest an engine, and was told all engines if it knew none.
#[test]
fn comparison_follows_change() {
    let now = Instant::now();
    let sizes = [1_000, 10_000].map(|engines| {
        let (mut planner, known) = planner(engines, now);
        let believed = sums(known.placement_digests());
        assert_eq!(planner.placements_beside(&believed), []);
        let changed = UpstreamEntry {
            beat: 2,
            ..entry("i-7", 1, &["m1"])
        };
        planner.heard(changed, now);
        planner.take_changed();
        let lacking = planner.placements_beside(&believed);
        assert!(lacking.iter().any(|placement| *placement.engine == *"i-7"));
        let subscribe = Subscribe {
            placement_sums: believed,
            ..Subscribe::default()
        };
        (lacking.len(), subscribe.encoded_len())
    });
    let [(few, bytes), (more, more_bytes)] = sizes;
    assert!(few <= 10 && more <= 40, "{few}, {more}");
    assert_eq!(bytes, more_bytes);
}

/// One instance reads a long list, whoever has the right; the others ask for one part of it and are told the rest.
#[test]
fn one_reads_for_all() {
    let reads = [600_u32, 1_200].map(|upstreams| {
        let store = site::store(&[]);
        let server = site::plain_server();
        for number in 0..upstreams {
            store.put(
                &format!("servers/i-{number:05}"),
                &plain_entry(server.address),
            );
        }
        let instances = ["one", "two", "three", "four"].map(|name| site::start(name, &store));
        until("readiness", || instances.iter().all(Instance::is_ready));
        store.calls().get("/kv-range").copied().unwrap_or(0)
    });
    // One part for each instance, all parts for one or two that held the right, and what else each reads.
    let [few, more] = reads;
    assert!(more <= few + 2 * 3, "{few} and {more} reads");
}
