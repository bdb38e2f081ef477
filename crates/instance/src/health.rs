//! Whether the store answers, shared by all that ask it, so that few calls go to one
//! that does not.

use passway_serving::absence::Outages;
use passway_types::clock;
use passway_types::prelude::*;
use rand::RngExt;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

/// First pause after a call that failed.
const FIRST_BACKOFF: Duration = Duration::from_millis(150);
/// Longest pause of the one that finds out whether the store is back, in a small fleet.
const MAX_PROBE_BACKOFF_SMALL_FLEET: Duration = Duration::from_millis(600);
/// The same in a large one: what an instance hears of the configuration within this is
/// soon enough after an outage (users' pages: 3 s).
const MAX_PROBE_BACKOFF: Duration = Duration::from_millis(1_800);
/// What each instance adds, so that an outage costs a fleet of ninety a third of the calls
/// that the pause of a small one would.
const PROBE_BACKOFF_PER_INSTANCE: Duration = Duration::from_millis(20);
/// Longest pause of the others; they go on as soon as it is.
const MAX_OTHER_BACKOFF_SMALL_FLEET: Duration = Duration::from_secs(2);

/// Whether the store answered last.
#[derive(Debug, Default)]
pub struct StoreHealth {
    is_failing: AtomicBool,
    outages: Mutex<Outages>,
    /// Instances that ask the store, as far as is known.
    instances: AtomicU32,
}

impl StoreHealth {
    fn outages(&self) -> MutexGuard<'_, Outages> {
        self.outages.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A call was answered.
    pub fn record_answer(&self) {
        self.outages().answered(clock::now());
        self.is_failing.store(false, Ordering::Release);
    }

    /// The holder of the right to order tells what the store says. What it tells as gone is
    /// gone: an instance that is cut off itself calls the store no more while it listens, and
    /// would take its own cut for an outage in which entries lapse until it called again.
    pub fn record_relayed(&self) {
        self.outages().answered(clock::now());
    }

    /// A call was not answered, or refused.
    pub fn record_failure(&self) {
        self.outages().failed(clock::now());
        self.is_failing.store(true, Ordering::Release);
    }

    /// When an entry that is missing now means that its upstream is gone.
    pub fn missing_entry_expires_at(&self, now: Instant) -> Instant {
        self.outages().gone_at(now)
    }

    /// Whether the last call failed.
    pub fn is_failing(&self) -> bool {
        self.is_failing.load(Ordering::Acquire)
    }

    /// So many instances ask the store.
    pub fn set_instances(&self, instances: usize) {
        let instances = u32::try_from(instances).unwrap_or(u32::MAX);
        self.instances.store(instances, Ordering::Release);
    }

    fn max_probe_backoff(&self) -> Duration {
        let instances = self.instances.load(Ordering::Acquire);
        let backoff = PROBE_BACKOFF_PER_INSTANCE.saturating_mul(instances);
        backoff.clamp(MAX_PROBE_BACKOFF_SMALL_FLEET, MAX_PROBE_BACKOFF)
    }

    /// The pause after a call that failed, with so many failures in a row before it.
    pub fn backoff_after(&self, failures: u32, is_prober: bool) -> Duration {
        let longest = if is_prober {
            self.max_probe_backoff()
        } else {
            MAX_OTHER_BACKOFF_SMALL_FLEET.max(self.max_probe_backoff() * 2)
        };
        let doubled = FIRST_BACKOFF * (1 << failures.min(5));
        let jitter = rand::rng().random_range(0.7..1.3);
        doubled.min(longest).mul_f64(jitter)
    }
}
