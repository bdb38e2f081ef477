//! A store that answers, and takes long to.

use crate::site::{self, until};
use passway_standins::platform::proxy::{Proxy, WayFaults};
use passway_types::prelude::*;

/// Each way. An answer takes twice as long, longer than an instance waits for the answer to a renewal.
const ONE_WAY_DELAY: Duration = Duration::from_millis(275);
/// Several of the shortest leases.
const MIN_TERM: Duration = Duration::from_secs(6);

/// Every renewal was given up before its answer came, so each term ended with its first lease: nobody held the right
/// for longer than a second, and nothing that needs an order or a count was served.
#[test]
fn leadership_is_kept() {
    let store = site::store(&[]);
    let way = Proxy::start(store.serve());
    way.set_faults(WayFaults {
        delay: ONE_WAY_DELAY,
        ..WayFaults::default()
    });
    let instance = site::start_at("one", way.address);
    let mut current_term = None;
    until("a term that lasts", || {
        let now = Instant::now();
        current_term = match (instance.fence(), current_term) {
            (Some(fence), Some((known, since))) if fence == known => Some((known, since)),
            (Some(fence), _) => Some((fence, now)),
            (None, _) => None,
        };
        current_term.is_some_and(|(_, since)| now - since >= MIN_TERM)
    });
}
