//! Decides when an upstream whose entry is missing counts as removed.
//!
//! An upstream's entry is stored under a lease. While the store is unavailable the lease may
//! expire although the upstream is alive. A living upstream restores its entry soon after the
//! store returns, so only an entry that is still missing then counts as removed. At all other
//! times a missing entry means that the upstream has left.

use passway_types::prelude::*;

/// Minimum time of failing calls that counts as an outage in which entries may expire. An entry
/// expires after three missed check-ins, about 3.6 s, and a call that waits for an answer takes up
/// to 1.3 s until it counts as failed. The time counts from that failure, so that an outage of 2.3
/// s is recognized.
const MIN_OUTAGE: Duration = Duration::from_secs(1);
/// Living upstreams restore their entries within this time after the store returns.
const RESTORE_DURATION: Duration = Duration::from_secs(2);

/// The store's outages as observed by one instance.
#[derive(Debug, Clone, Copy, Default)]
pub struct StoreOutages {
    failing_since: Option<Instant>,
    returned_at: Option<Instant>,
}

impl StoreOutages {
    /// Records that a call was not answered or was refused.
    pub fn record_failure(&mut self, now: Instant) {
        self.failing_since.get_or_insert(now);
    }

    /// Records that a call was answered.
    pub fn record_answer(&mut self, now: Instant) {
        let Some(since) = self.failing_since.take() else {
            return;
        };
        if now >= since + MIN_OUTAGE {
            self.returned_at = Some(now);
        }
    }

    /// Records that the store has returned from an older copy, in which entries may be missing that
    /// living upstreams write again.
    pub fn record_return(&mut self, now: Instant) {
        self.returned_at = Some(now);
    }

    /// When a missing entry means that its upstream is removed: now, or after the time that it
    /// needs to restore the entry.
    pub fn removal_at(&self, now: Instant) -> Instant {
        let is_unavailable = self
            .failing_since
            .is_some_and(|since| now >= since + MIN_OUTAGE);
        let returned_at = if is_unavailable {
            Some(now)
        } else {
            self.returned_at
        };
        returned_at.map_or(now, |at| now.max(at + RESTORE_DURATION))
    }
}
