//! Whether the store answers, shared by all that ask it, so that few calls go to one
//! that does not.

use passway_serving::store_outages::StoreOutages;
use passway_types::clock;
use passway_types::prelude::*;
use rand::RngExt;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

/// First pause after a call that failed.
const FIRST_PAUSE: Duration = Duration::from_millis(150);
/// Longest pause of the one that finds out whether the store is back, in a small fleet.
const PROBE_PAUSE: Duration = Duration::from_millis(600);
/// The same in a large one: what an instance hears of the configuration within this is
/// soon enough after an outage (users' pages: 3 s).
const LONGEST_PROBE_PAUSE: Duration = Duration::from_millis(1_800);
/// What each instance adds, so that an outage costs a fleet of ninety a third of the calls
/// that the pause of a small one would.
const PROBE_PAUSE_PER_INSTANCE: Duration = Duration::from_millis(20);
/// Longest pause of the others; they go on as soon as it is.
const OTHER_PAUSE: Duration = Duration::from_secs(2);

/// Whether the store answered last.
#[derive(Debug, Default)]
pub struct StoreHealth {
    failing: AtomicBool,
    outages: Mutex<StoreOutages>,
    /// Instances that ask the store, as far as is known.
    instances: AtomicU32,
}

impl StoreHealth {
    fn outages(&self) -> MutexGuard<'_, StoreOutages> {
        self.outages.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A call was answered.
    pub fn answered(&self) {
        self.outages().record_answer(clock::now());
        self.failing.store(false, Ordering::Release);
    }

    /// The holder of the right to order tells what the store says. What it tells as gone is
    /// gone: an instance that is cut off itself calls the store no more while it listens, and
    /// would take its own cut for an outage in which entries lapse until it called again.
    pub fn relayed(&self) {
        self.outages().record_answer(clock::now());
    }

    /// A call was not answered, or refused.
    pub fn failed(&self) {
        self.outages().record_failure(clock::now());
        self.failing.store(true, Ordering::Release);
    }

    /// When an entry that is missing now means that its upstream is gone.
    pub fn gone_at(&self, now: Instant) -> Instant {
        self.outages().removal_at(now)
    }

    /// Whether the last call failed.
    pub fn is_failing(&self) -> bool {
        self.failing.load(Ordering::Acquire)
    }

    /// So many instances ask the store.
    pub fn set_instances(&self, instances: usize) {
        let instances = u32::try_from(instances).unwrap_or(u32::MAX);
        self.instances.store(instances, Ordering::Release);
    }

    fn probe_pause(&self) -> Duration {
        let instances = self.instances.load(Ordering::Acquire);
        let pause = PROBE_PAUSE_PER_INSTANCE.saturating_mul(instances);
        pause.clamp(PROBE_PAUSE, LONGEST_PROBE_PAUSE)
    }

    /// The pause after a call that failed, with so many failures in a row before it.
    pub fn pause_after(&self, failures: u32, probes: bool) -> Duration {
        let longest = if probes {
            self.probe_pause()
        } else {
            OTHER_PAUSE.max(self.probe_pause() * 2)
        };
        let doubled = FIRST_PAUSE * (1 << failures.min(5));
        let part = rand::rng().random_range(0.7..1.3);
        doubled.min(longest).mul_f64(part)
    }
}
