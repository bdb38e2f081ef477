//! The holder of leadership.

use crate::cluster::{self, until};
use crate::lock_tests;
use passway_standins::platform::store::Faults;
use passway_types::clock;
use passway_types::prelude::*;

/// The lease has expired, and another instance may be the holder: this one must not send orders
/// before it queries the store.
#[test]
fn orders_nothing() {
    let _lock = lock_tests();
    let store = cluster::store(&["m0"]);
    let proxy = store.serve_endpoint();
    let instance = cluster::start_at("one", proxy.address());
    until("leadership", || instance.fence().is_some());
    proxy.set_faults(Faults {
        error_status: Some(503),
        ..Faults::default()
    });
    clock::simulate_suspension(Duration::from_secs(30));
    assert_eq!(instance.fence(), None);
}
