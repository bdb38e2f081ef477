//! How long the store takes to answer, and how long a lease must be for that latency.
//!
//! If a renewal takes longer than a short lease allows, the leadership changes hands every second,
//! and no holder keeps it long enough to give orders.

use passway_types::prelude::*;

/// Weight of the newest latency in the moving average.
const NEWEST_WEIGHT: f64 = 0.25;
/// Mean latencies that fit into one lease. The lease is renewed after a quarter of it, the answer
/// may take three times the mean, and the remainder allows for a retry.
const LATENCIES_PER_LEASE: f64 = 8.0;
/// Maximum lease as a multiple of the minimum. After a holder is lost, no instance gives orders
/// for up to the duration of a lease.
const MAX_LEASE_FACTOR: u32 = 3;

/// The moving average of the store's latency for one instance.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct StoreLatency(Option<Duration>);

impl StoreLatency {
    /// Records how long the store took to answer a call.
    pub(super) fn observe(&mut self, latency: Duration) {
        let mean = self.0.unwrap_or(latency);
        self.0 = Some(mean.mul_f64(1.0 - NEWEST_WEIGHT) + latency.mul_f64(NEWEST_WEIGHT));
    }

    /// The time-to-live of the next lease, at least `min_ttl`.
    pub(super) fn lease_ttl(self, min_ttl: Duration) -> Duration {
        let desired = self.0.unwrap_or_default().mul_f64(LATENCIES_PER_LEASE);
        desired.clamp(min_ttl, min_ttl * MAX_LEASE_FACTOR)
    }
}
