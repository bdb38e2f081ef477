//! A store that answers, and takes long to.

use crate::cluster::{self, until};
use passway_standins::platform::proxy::{Proxy, WayFaults};
use passway_types::prelude::*;

/// Each way. An answer takes twice as long, longer than an instance waits for the answer to a renewal.
const DELAY: Duration = Duration::from_millis(275);
/// Several of the shortest leases.
const LONG: Duration = Duration::from_secs(6);

/// Every renewal was given up before its answer came, so each term ended with its first lease: nobody held the right
/// for longer than a second, and nothing that needs an order or a count was served.
#[test]
fn right_is_kept() {
    let store = cluster::store(&[]);
    let way = Proxy::start(store.serve());
    way.set_faults(WayFaults {
        delay: DELAY,
        ..WayFaults::default()
    });
    let instance = cluster::start_at("one", way.address);
    let mut kept = None;
    until("a term that lasts", || {
        let now = Instant::now();
        kept = match (instance.fence(), kept) {
            (Some(fence), Some((known, since))) if fence == known => Some((known, since)),
            (Some(fence), _) => Some((fence, now)),
            (None, _) => None,
        };
        kept.is_some_and(|(_, since)| now - since >= LONG)
    });
}
