//! A key that was revoked while the machine was suspended.

use crate::cluster::{list_plain, plain_server, until};
use crate::keyed_cluster::{KEY, keyed_configuration, start_ready, status_with_key};
use crate::lock_tests;
use passway_standins::platform::documents::workspace;
use passway_standins::platform::store::{Faults, MetadataStandIn};
use passway_types::clock;
use passway_types::prelude::*;

/// After a suspension, an instance accepts no key before it has queried whether the key is still
/// valid.
#[test]
fn queries_before_serving() {
    let _lock = lock_tests();
    let store = MetadataStandIn::default();
    store.put(
        "op/config",
        &keyed_configuration(1, &[workspace("alpha", &[KEY], 0.0)]),
    );
    let server = plain_server();
    list_plain(&store, "i-0", server.address, "ready");
    let bounds = "strict_revoke = true\nrevoke_ms = 5000";
    let instance = start_ready("one", store.serve(), bounds);
    assert_eq!(status_with_key(&instance, "/read/", "id1").0, 200);
    store.set_faults(Faults {
        error_status: Some(503),
        ..Faults::default()
    });
    clock::simulate_suspension(Duration::from_secs(6));
    assert_eq!(status_with_key(&instance, "/read/", "id2").0, 503);
    assert_eq!(server.received().len(), 1);
    store.set_faults(Faults::default());
    until("service", || {
        status_with_key(&instance, "/read/", "id3").0 == 200
    });
}
