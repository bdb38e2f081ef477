//! Whether the store answers, shared by all that ask it, so that few calls go to one
//! that does not.

use passway_serving::absence::Outages;
use passway_types::prelude::*;
use rand::RngExt;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

/// First pause after a call that failed.
const FIRST_PAUSE: Duration = Duration::from_millis(150);
/// Longest pause of the one that finds out whether the store is back.
const PROBE_PAUSE: Duration = Duration::from_millis(600);
/// Longest pause of the others; they go on as soon as it is.
const OTHER_PAUSE: Duration = Duration::from_secs(2);
/// Pause between two looks whether the store is back.
const LOOK_STEP: Duration = Duration::from_millis(100);

/// Whether the store answered last.
#[derive(Debug, Default)]
pub struct StoreHealth {
    failing: AtomicBool,
    outages: Mutex<Outages>,
}

impl StoreHealth {
    fn outages(&self) -> MutexGuard<'_, Outages> {
        self.outages.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A call was answered.
    pub fn answered(&self) {
        self.outages().answered(Instant::now());
        self.failing.store(false, Ordering::Release);
    }

    /// A call was not answered, or refused.
    pub fn failed(&self) {
        self.outages().failed(Instant::now());
        self.failing.store(true, Ordering::Release);
    }

    /// When an entry that is missing now means that its upstream is gone.
    pub fn gone_at(&self, now: Instant) -> Instant {
        self.outages().gone_at(now)
    }

    /// Whether the last call failed.
    pub fn is_failing(&self) -> bool {
        self.failing.load(Ordering::Acquire)
    }

    /// Pauses after so many failures in a row; shorter if the store is back meanwhile.
    pub fn pause(&self, failures: u32, probes: bool) {
        let longest = if probes { PROBE_PAUSE } else { OTHER_PAUSE };
        let doubled = FIRST_PAUSE * (1 << failures.min(5));
        let part = rand::rng().random_range(0.7..1.3);
        let until = Instant::now() + doubled.min(longest).mul_f64(part);
        loop {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() || !self.is_failing() {
                return;
            }
            std::thread::sleep(left.min(LOOK_STEP));
        }
    }
}
