//! The holder of the right to order.

use crate::alone;
use crate::cluster::{self, until};
use passway_standins::platform::store::Faults;
use passway_types::clock;
use passway_types::prelude::*;

/// Its lease has lapsed, and another may hold the right: it must not order before it has asked.
#[test]
fn orders_nothing() {
    let _alone = alone();
    let store = cluster::store(&["m0"]);
    let way = store.serve_way();
    let instance = cluster::start_at("one", way.address());
    until("the right to order", || instance.fence().is_some());
    way.set_faults(Faults {
        refuses: Some(503),
        ..Faults::default()
    });
    clock::play_suspension(Duration::from_secs(30));
    assert_eq!(instance.fence(), None);
}
