//! A store that answers, but slowly.

use crate::cluster::{self, until};
use passway_standins::platform::proxy::{Proxy, ProxyFaults};
use passway_types::prelude::*;

/// Delay in each direction. An answer takes twice as long, which is longer than an instance usually
/// waits for the answer to a renewal.
const ONE_WAY_DELAY: Duration = Duration::from_millis(275);
/// Several times the shortest lease.
const MIN_TERM: Duration = Duration::from_secs(6);

/// Guards against renewals that are abandoned before their answers arrive, so that each term ends
/// with its first lease. No instance was the holder for longer than a second, and no request that
/// needs an order or a count was served.
#[test]
fn leadership_is_kept() {
    let store = cluster::store(&[]);
    let proxy = Proxy::start(store.serve());
    proxy.set_faults(ProxyFaults {
        delay: ONE_WAY_DELAY,
        ..ProxyFaults::default()
    });
    let instance = cluster::start_at("one", proxy.address);
    let mut current_term = None;
    until("a lasting term", || {
        let now = Instant::now();
        current_term = match (instance.fence(), current_term) {
            (Some(fence), Some((known, since))) if fence == known => Some((known, since)),
            (Some(fence), _) => Some((fence, now)),
            (None, _) => None,
        };
        current_term.is_some_and(|(_, since)| now - since >= MIN_TERM)
    });
}
