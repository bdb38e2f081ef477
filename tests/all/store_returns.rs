//! A store that returns from a copy some seconds old: what was written since is lost, revisions go
//! back and are given out again, and the era in its answers rises.

use crate::cluster::{self, configuration, fetch, list_plain, plain_server, request, until};
use passway_instance::Instance;
use passway_standins::platform::model_server::ModelServer;
use passway_standins::platform::raw::RawServer;
use passway_standins::platform::store::{Faults, MetadataStandIn};
use passway_types::prelude::*;
use serde_json::json;

/// The users' bound from the store's ack of a version or of a leaving until it holds everywhere.
const BOUND: Duration = Duration::from_secs(2);
/// Writes after the copy, whose revisions are given out again.
const LOST_WRITES: u64 = 40;

/// Three instances in front of three plain servers.
struct TestBed {
    store: MetadataStandIn,
    servers: Vec<RawServer>,
    instances: Vec<Instance>,
}

impl TestBed {
    fn start() -> Self {
        let store = cluster::store(&[]);
        let servers: Vec<_> = (0..3).map(|_| plain_server()).collect();
        for (number, server) in servers.iter().enumerate() {
            list_plain(&store, &format!("p-{number}"), server.address, "ready");
        }
        let instances: Vec<_> = ["one", "two", "three"]
            .iter()
            .map(|name| cluster::start_ready(name, &store))
            .collect();
        until("a holder that all know", || {
            let holders: Vec<_> = instances.iter().filter_map(Instance::holder).collect();
            holders.len() == instances.len() && instances.iter().any(|one| one.fence().is_some())
        });
        // The instances rely on the holder's updates from now on.
        std::thread::sleep(Duration::from_secs(1));
        Self {
            store,
            servers,
            instances,
        }
    }

    /// Makes writes that change nothing for the instances but raise the revision.
    fn write_noise(&self, count: u64) {
        for number in 0..count {
            self.store.put(
                "servers/noise",
                &json!({"service": "none", "sequence": number}),
            );
        }
    }

    /// Writes, loses the writes and returns from the copy before them.
    fn lose_writes(&self) {
        let copy = self.store.copy();
        self.write_noise(LOST_WRITES);
        std::thread::sleep(Duration::from_millis(1_200));
        self.store.return_from(&copy);
    }

    /// Waits until all instances have a version, at most the bound.
    fn await_version(&self, version: u64) {
        let acked_at = Instant::now();
        let has_version = |one: &Instance| one.config_version() == Some(version);
        while !self.instances.iter().all(has_version) {
            let versions: Vec<_> = self
                .instances
                .iter()
                .map(Instance::config_version)
                .collect();
            assert!(acked_at.elapsed() < BOUND, "{versions:?}, not {version}");
            std::thread::sleep(Duration::from_millis(5));
        }
    }
}

/// Guards against updates of the holder that are dropped because their revision is lower than one
/// from before the return.
#[test]
fn configuration_after_return() {
    let test_bed = TestBed::start();
    for version in [2, 4, 6] {
        test_bed.lose_writes();
        std::thread::sleep(Duration::from_millis(100));
        test_bed
            .store
            .put("op/config", &configuration(version, &[]));
        test_bed.await_version(version);
        std::thread::sleep(Duration::from_secs(1));
        test_bed
            .store
            .put("op/config", &configuration(version + 1, &[]));
        test_bed.await_version(version + 1);
    }
}

/// Guards against changes that are missed because their revisions were given out before.
#[test]
fn revisions_given_out_again() {
    let test_bed = TestBed::start();
    let copy = test_bed.store.copy();
    test_bed.write_noise(LOST_WRITES);
    std::thread::sleep(Duration::from_millis(500));
    test_bed.store.set_faults(Faults {
        error_status: Some(503),
        ..Faults::default()
    });
    std::thread::sleep(Duration::from_millis(300));
    test_bed.store.return_from(&copy);
    test_bed.store.put("op/config", &configuration(5, &[]));
    test_bed.write_noise(LOST_WRITES + 10);
    test_bed.store.set_faults(Faults::default());
    test_bed.await_version(5);
}

/// Guards against requests to an upstream whose leaving was written again at a lower revision.
#[test]
fn leaving_after_return() {
    let test_bed = TestBed::start();
    for (number, server) in test_bed.servers[1..].iter().enumerate() {
        test_bed.lose_writes();
        std::thread::sleep(Duration::from_millis(100));
        let id = format!("p-{}", number + 1);
        list_plain(&test_bed.store, &id, server.address, "draining");
        std::thread::sleep(BOUND);
        let before = server.received().len();
        for (number, instance) in test_bed.instances.iter().enumerate() {
            for round in 0..10 {
                let bytes = request("GET", "/read/", &format!("l-{number}-{round}"), "", "");
                let answer = fetch(instance.callers_address(), &bytes).expect("an answer");
                assert_eq!(answer.status, 200);
            }
        }
        assert_eq!(server.received().len(), before);
    }
}

/// Guards against the removal of upstreams whose entries are written again some time after the
/// return.
#[test]
fn entries_written_again() {
    let store = cluster::store(&[]);
    let server = plain_server();
    let copy = store.copy();
    list_plain(&store, "p-0", server.address, "ready");
    let instance = cluster::start_ready("one", &store);
    let read = |id: &str| {
        let bytes = request("GET", "/read/", id, "", "");
        fetch(instance.callers_address(), &bytes)
            .expect("an answer")
            .status
    };
    assert_eq!(read("before"), 200);
    store.return_from(&copy);
    let returned_at = Instant::now();
    while returned_at.elapsed() < Duration::from_millis(1_700) {
        assert_eq!(read("meanwhile"), 200);
        std::thread::sleep(Duration::from_millis(50));
    }
    list_plain(&store, "p-0", server.address, "ready");
    std::thread::sleep(Duration::from_secs(3));
    assert_eq!(read("after"), 200);
    // An entry that stays away is gone.
    store.remove("servers/p-0");
    until("a refusal", || read("gone") == 503);
}

/// Guards against two holders at once, and against orders with a fencing number that was used
/// before or is lower than an earlier one.
#[test]
fn one_holder_over_returns() {
    let store = cluster::store(&["m0", "m1", "m2"]);
    let copy = store.copy();
    let engine = ModelServer::start(&store, "e-0", "engines", 2, &["m0"], &["m1", "m2"]);
    let instances = ["one", "two", "three"].map(|name| cluster::start_ready(name, &store));
    until("a holder", || {
        instances.iter().any(|one| one.fence().is_some())
    });
    for round in 0..3 {
        for (number, model) in ["m1", "m2", "m0"].iter().enumerate() {
            let id = format!("h-{round}-{number}");
            let answer = cluster::stream(instances[number].callers_address(), "chat", &id, model);
            assert!(matches!(answer.status, 200 | 503), "{}", answer.head);
        }
        store.return_from(&copy);
        store.put("op/config", &configuration(2 + round, &["m0", "m1", "m2"]));
        engine.publish_entry("ready");
        let until = Instant::now() + Duration::from_secs(3);
        while Instant::now() < until {
            let holders = instances.iter().filter(|one| one.fence().is_some()).count();
            assert!(holders <= 1, "{holders} holders in round {round}");
            std::thread::sleep(Duration::from_millis(5));
        }
        let answer = cluster::stream(
            instances[0].callers_address(),
            "chat",
            &format!("w-{round}"),
            "m1",
        );
        assert_eq!(answer.status, 200, "round {round}: {}", answer.head);
    }
    let orders = engine.accepted_orders();
    for pair in orders.windows(2) {
        assert!(pair[1].fence >= pair[0].fence, "{orders:?}");
        let is_same_holder = pair[1].holder == pair[0].holder;
        assert!(
            is_same_holder || pair[1].fence > pair[0].fence,
            "{orders:?}"
        );
    }
}
