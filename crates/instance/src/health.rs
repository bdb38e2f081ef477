//! Tracks whether the store answers, for all threads that query it, so that few calls go to a store
//! that does not.

use passway_serving::store_outages::StoreOutages;
use passway_types::clock;
use passway_types::prelude::*;
use rand::RngExt;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Backoff after the first failed call.
const FIRST_BACKOFF: Duration = Duration::from_millis(150);
/// Maximum backoff of the feed that checks whether the store is back, in a small fleet.
const MAX_PROBE_BACKOFF_SMALL_FLEET: Duration = Duration::from_millis(600);
/// The same in a large fleet. After an outage, an instance must receive a new configuration within
/// 3 s (users' pages), so this is soon enough.
const MAX_PROBE_BACKOFF: Duration = Duration::from_millis(1_800);
/// Added to the maximum backoff for each instance. An outage then costs a fleet of ninety instances
/// a third of the calls that the backoff of a small fleet would.
const PROBE_BACKOFF_PER_INSTANCE: Duration = Duration::from_millis(20);
/// Maximum backoff of the other feeds in a small fleet; they resume once the store is back.
const MAX_OTHER_BACKOFF_SMALL_FLEET: Duration = Duration::from_secs(2);

/// Whether the store answered the last call.
#[derive(Debug, Default)]
pub struct StoreHealth {
    is_failing: AtomicBool,
    outages: Mutex<StoreOutages>,
    /// Number of instances that query the store, as far as known.
    instances: AtomicU32,
}

impl StoreHealth {
    fn outages(&self) -> MutexGuard<'_, StoreOutages> {
        self.outages.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that a call was answered.
    pub fn record_answer(&self) {
        self.outages().record_answer(clock::now());
        self.is_failing.store(false, Ordering::Release);
    }

    /// Records an update that the holder relayed from the store. A removal that it contains counts
    /// at once. Otherwise, an instance that is cut off from the store and does not query it while
    /// it follows the holder would treat its own cut as an outage, during which entries expire only
    /// later.
    pub fn record_relayed(&self) {
        self.outages().record_answer(clock::now());
    }

    /// Records that a call was refused or not answered.
    pub fn record_failure(&self) {
        self.outages().record_failure(clock::now());
        self.is_failing.store(true, Ordering::Release);
    }

    /// Records that the store has returned from an older copy.
    pub fn record_return(&self) {
        self.outages().record_return(clock::now());
    }

    /// When the upstream of an entry that is missing now counts as removed.
    pub fn missing_entry_expires_at(&self, now: Instant) -> Instant {
        self.outages().removal_at(now)
    }

    /// Whether the last call failed.
    pub fn is_failing(&self) -> bool {
        self.is_failing.load(Ordering::Acquire)
    }

    /// Sets the number of instances that query the store.
    pub fn set_instances(&self, instances: usize) {
        let instances = u32::try_from(instances).unwrap_or(u32::MAX);
        self.instances.store(instances, Ordering::Release);
    }

    fn max_probe_backoff(&self) -> Duration {
        let instances = self.instances.load(Ordering::Acquire);
        let backoff = PROBE_BACKOFF_PER_INSTANCE.saturating_mul(instances);
        backoff.clamp(MAX_PROBE_BACKOFF_SMALL_FLEET, MAX_PROBE_BACKOFF)
    }

    /// The backoff after a failed call, with the number of consecutive failures before it.
    pub fn backoff_after(&self, failures: u32, is_prober: bool) -> Duration {
        let max_backoff = if is_prober {
            self.max_probe_backoff()
        } else {
            MAX_OTHER_BACKOFF_SMALL_FLEET.max(self.max_probe_backoff() * 2)
        };
        let doubled = FIRST_BACKOFF * (1 << failures.min(5));
        let jitter = rand::rng().random_range(0.7..1.3);
        doubled.min(max_backoff).mul_f64(jitter)
    }
}
