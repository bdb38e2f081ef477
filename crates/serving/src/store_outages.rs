//! Whether an upstream whose entry is missing is gone.
//!
//! An upstream's entry lies under a lease. While the store is away the lease may run
//! out although the upstream lives; it is back soon after the store's return, and only
//! one that is still missing then is taken as gone. At all other times a missing entry
//! means that its upstream has left.

use passway_types::prelude::*;

/// Calls that fail for less than this are no outage that lets entries lapse: an entry
/// lapses after three check-ins of silence, about 3.6 s (users' pages), of which a call
/// that waits for an answer takes up to 1.3 s before it counts as failed. Counted from there,
/// so that an outage of 2.3 s is one.
const SHORTEST_OUTAGE: Duration = Duration::from_secs(1);
/// Upstreams that live are back so soon after the store's return (users' pages).
const RETURN_TIME: Duration = Duration::from_secs(2);

/// When the store was away, as one instance has seen it.
#[derive(Debug, Clone, Copy, Default)]
pub struct StoreOutages {
    failing_since: Option<Instant>,
    returned_at: Option<Instant>,
}

impl StoreOutages {
    /// A call was not answered, or refused.
    pub fn record_failure(&mut self, now: Instant) {
        self.failing_since.get_or_insert(now);
    }

    /// A call was answered.
    pub fn record_answer(&mut self, now: Instant) {
        let Some(since) = self.failing_since.take() else {
            return;
        };
        if now >= since + SHORTEST_OUTAGE {
            self.returned_at = Some(now);
        }
    }

    /// When an entry that is missing now means that its upstream is gone: at once, or
    /// as soon as it has had the time to come back.
    pub fn removal_at(&self, now: Instant) -> Instant {
        let away = self
            .failing_since
            .is_some_and(|since| now >= since + SHORTEST_OUTAGE);
        let returned_at = if away { Some(now) } else { self.returned_at };
        returned_at.map_or(now, |at| now.max(at + RETURN_TIME))
    }
}
