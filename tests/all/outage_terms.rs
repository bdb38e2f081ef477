//! The holder of leadership continues while nobody reaches the store.

use crate::cluster::{self, until};
use passway_standins::platform::model_server::ModelServer;
use passway_standins::platform::store::{Faults, MetadataStandIn};
use passway_types::prelude::*;

/// Long enough to be renewed in time on a busy machine.
const LEASE: Duration = Duration::from_secs(3);
/// Longer than a lease and a call to a silent store take together.
const OUTAGE: Duration = Duration::from_secs(6);

/// Whether the store lists three candidates.
fn lists_candidates(store: &MetadataStandIn) -> bool {
    let stored = store.get("passway/holders").unwrap_or_default();
    let text = String::from_utf8(stored).expect("text");
    text.matches('=').count() == 3
}

fn serves_through_outage(faults: Faults) {
    let store = cluster::store(&["m0", "m1", "m2", "m3"]);
    let server = ModelServer::start(&store, "i-0", "engines", 2, &["m0", "m1"], &["m2", "m3"]);
    let address = store.serve();
    let instances = ["one", "two", "three"].map(|name| {
        let mut settings = cluster::settings(name, address);
        settings.bounds.shortest_lease = LEASE;
        cluster::start_with(settings)
    });
    for instance in &instances {
        until("readiness", || instance.is_ready());
    }
    let is_holder = |number: &usize| instances[*number].fence().is_some();
    until("a holder", || (0..3).any(|number| is_holder(&number)));
    until("a list of candidates", || lists_candidates(&store));
    let first = (0..3).find(is_holder).expect("a holder");
    let other = instances[(first + 1) % 3].callers_address();
    assert_eq!(cluster::stream(other, "report", "r1", "m2").status, 200);

    store.set_faults(faults);
    std::thread::sleep(OUTAGE);
    // The model is not loaded anywhere, so a holder must send orders although nobody reaches the
    // store.
    assert_eq!(cluster::stream(other, "report", "r2", "m3").status, 200);
    assert_eq!(cluster::stream(other, "report", "r3", "m0").status, 200);
    let holders = (0..3).filter(is_holder).count();
    assert!(holders <= 1, "{holders} holders");

    store.set_faults(Faults::default());
    until("a holder in the store", || {
        store.get("passway/holder").is_some() && (0..3).any(|number| is_holder(&number))
    });
    assert_eq!(cluster::stream(other, "report", "r4", "m2").status, 200);
    assert_eq!(server.loads_over_capacity(), 0);
}

#[test]
fn refusing_store() {
    serves_through_outage(Faults {
        error_status: Some(503),
        ..Faults::default()
    });
}

#[test]
fn silent_store() {
    serves_through_outage(Faults {
        is_silent: true,
        ..Faults::default()
    });
}
