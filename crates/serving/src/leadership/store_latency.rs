//! How long the store takes to answer, and how long a lease has to be for that.
//!
//! Where a renewal's answer takes longer than a short lease leaves for it, the right changes hands every second, and
//! nobody holds it for long enough to order anything.

use passway_types::prelude::*;

/// Weight of the newest time in the mean.
const WEIGHT: f64 = 0.25;
/// Mean answers that fit into a lease: it is renewed after a quarter of it, the answer may take three times the mean,
/// and what is left is for asking again.
const ANSWERS_IN_LEASE: f64 = 8.0;
/// Longest lease, in shortest ones: nobody orders for so long after a holder is lost.
const MOST_LEASES: u32 = 3;

/// The mean time of the store's answers to one instance.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct StoreLatency(Option<Duration>);

impl StoreLatency {
    /// The store has answered a call within some time.
    pub(super) fn observe(&mut self, took: Duration) {
        let mean = self.0.unwrap_or(took);
        self.0 = Some(mean.mul_f64(1.0 - WEIGHT) + took.mul_f64(WEIGHT));
    }

    /// The time-to-live of the next lease, where there is a shortest one.
    pub(super) fn lease(self, shortest: Duration) -> Duration {
        let wanted = self.0.unwrap_or_default().mul_f64(ANSWERS_IN_LEASE);
        wanted.clamp(shortest, shortest * MOST_LEASES)
    }
}
