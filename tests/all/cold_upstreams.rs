//! Upstreams that are cold after their start get no more requests than they accept, over all
//! instances.

use crate::cluster::{self, fetch, request, until};
use crate::signalling::SignallingServer;
use passway_serving::upstreams::{ColdLimit, UpstreamEntry, UpstreamTable};
use passway_standins::platform::documents::{configuration, plain_entry};
use passway_types::prelude::*;
use serde_json::json;

const COLD_BOUND: ColdLimit = ColdLimit {
    per_s: 8.0,
    duration: Duration::from_secs(3),
};

fn entry(heartbeat: u64, cold_until: Option<Instant>) -> UpstreamEntry {
    UpstreamEntry {
        id: "i-0".into(),
        service: "plain".into(),
        address: ([127, 0, 0, 1], 9).into(),
        hall: "hall0".into(),
        slots: 16,
        draining: false,
        cold_until,
        models: Vec::new(),
        in_memory: Vec::new(),
        on_disk: Vec::new(),
        heartbeat,
        started_at_ms: 0,
        software: "v1".into(),
    }
}

#[test]
fn bounded_while_cold() {
    let now = Instant::now();
    let at = |ms| now + Duration::from_millis(ms);
    let mut table = UpstreamTable::new("hall0".into());
    table.update(entry(1, None), now);
    table.set_cold_limits([("plain".into(), COLD_BOUND)].into());
    assert_eq!(table.limit_per_s("i-0", now), None);
    // An upstream may become cold at any time. The change is published; further entries in the same
    // state are not.
    assert!(table.update(entry(2, Some(at(2_000))), now));
    assert!(!table.update(entry(3, Some(at(2_100))), at(500)));
    assert_eq!(table.limit_per_s("i-0", at(2_000)), Some(COLD_BOUND.per_s));
    assert_eq!(table.limit_per_s("i-0", at(2_100)), None);
    // An upstream of a hall that is put back into service may be cold without reporting it.
    table.set_evacuated(["hall0".into()].into(), at(2_200));
    assert_eq!(table.limit_per_s("i-0", at(2_200)), None);
    table.set_evacuated([].into(), at(2_300));
    table.update(entry(4, None), at(2_400));
    assert_eq!(table.limit_per_s("i-0", at(5_200)), Some(COLD_BOUND.per_s));
    assert_eq!(table.limit_per_s("i-0", at(5_300)), None);
    // A configuration without a bound for cold upstreams.
    table.update(entry(5, Some(at(9_000))), at(6_000));
    table.set_cold_limits([].into());
    assert_eq!(table.limit_per_s("i-0", at(6_000)), None);
}

/// Guards against instances that ignore the bound: after a failover, the first instance sent a cold
/// upstream all its requests.
#[test]
fn bounded_over_instances() {
    let mut document = configuration(1, &[]);
    document["services"][0]["cold_per_s"] = json!(COLD_BOUND.per_s);
    document["services"][0]["cold_start_s"] = json!(30.0);
    let store = cluster::store(&[]);
    store.put("op/config", &document);
    let server = SignallingServer::start();
    let mut cold = plain_entry(server.address());
    cold["cold_left_ms"] = json!(30_000);
    cold["slots"] = json!(64);
    store.put("servers/i-0", &cold);
    let instances = ["one", "two", "three"].map(|name| cluster::start_ready(name, &store));
    until("a holder", || store.get("passway/holder").is_some());
    let callers: Vec<_> = (0..30)
        .map(|number| {
            let address = instances[number % instances.len()].callers_address();
            std::thread::spawn(move || {
                let bytes = request("GET", "/read/", &format!("id{number}"), "", "");
                fetch(address, &bytes).expect("an answer").status
            })
        })
        .collect();
    for caller in callers {
        assert!([200, 503].contains(&caller.join().expect("a caller")));
    }
    let arrivals = server.arrivals();
    let count_within_second = |from: &Instant| {
        let until = *from + Duration::from_secs(1);
        arrivals
            .iter()
            .filter(|at| (*from..until).contains(at))
            .count()
    };
    let max_count = arrivals.iter().map(count_within_second).max().unwrap_or(0);
    // One second's quota, the burst, and one late arrival.
    assert!((1..=11).contains(&max_count), "{max_count} in a second");
}
