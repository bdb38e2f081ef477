//! The wait for a long list that the holder sends.

use passway_types::clock;
use passway_types::prelude::*;
use rand::RngExt;

/// Minimum wait: a fleet that starts has a holder that has read the list within it, and a lost
/// holder has a successor.
const MIN_WAIT: Duration = Duration::from_secs(5);
/// Maximum random addition to the minimum wait.
const MAX_JITTER: Duration = Duration::from_secs(5);
/// Wait for each instance to which the holder sends the list: the list of 10,000 upstreams, 0.44 MB
/// compressed, takes 18 ms of a link of 200 Mbit/s.
const SEND_TIME_PER_INSTANCE: Duration = Duration::from_millis(20);
/// Maximum random addition for each instance, so that instances that read the list by themselves
/// leave the store's link free: 5 MB take 40 ms of a link of 1,000 Mbit/s.
const READ_TIME_PER_INSTANCE: Duration = Duration::from_millis(40);

/// For how long an instance leaves the rest of a long list to the holder.
#[derive(Debug, Clone, Copy)]
pub(super) struct ListWait {
    began_at: Instant,
    /// The part of the maximum additions that applies to this instance.
    jitter: f64,
}

impl ListWait {
    /// Begins to wait.
    pub fn begin() -> Self {
        Self {
            began_at: clock::now(),
            jitter: rand::rng().random_range(0.0..1.0),
        }
    }

    /// When the instance reads the list by itself, given the number of instances that the holder
    /// knows; 0 if no holder has named it yet.
    pub fn ends_at(&self, instances: usize) -> Instant {
        let instances = u32::try_from(instances).unwrap_or(u32::MAX);
        let send_time = SEND_TIME_PER_INSTANCE.saturating_mul(instances);
        let read_time = READ_TIME_PER_INSTANCE.saturating_mul(instances);
        let jitter = (MAX_JITTER + read_time).mul_f64(self.jitter);
        self.began_at + MIN_WAIT + send_time + jitter
    }
}
