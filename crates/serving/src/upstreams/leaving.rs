//! The starts of upstreams that have reported that they are leaving.
//!
//! Leaving is final for a start, whatever its entry says later and whether or not it has an entry:
//! while the store is unavailable, entries expire and return unchanged.

use passway_types::prelude::*;
use std::collections::HashMap;

/// How long a leaving start is remembered, far longer than it continues to serve.
const RETENTION: Duration = Duration::from_mins(10);

#[derive(Debug, Clone, Copy)]
struct LeavingStart {
    started_at_ms: u64,
    received_at: Instant,
}

/// Starts of upstreams that are leaving.
#[derive(Debug, Default)]
pub(super) struct LeavingStarts(HashMap<UpstreamId, LeavingStart>);

impl LeavingStarts {
    /// Records that a start is leaving. Returns whether this is new.
    pub(super) fn record(&mut self, id: &UpstreamId, started_at_ms: u64, now: Instant) -> bool {
        let known = self.0.get(id).map(|known| known.started_at_ms);
        if known.is_some_and(|known| known >= started_at_ms) {
            return false;
        }
        let start = LeavingStart {
            started_at_ms,
            received_at: now,
        };
        self.0.insert(id.clone(), start);
        true
    }

    /// Forgets a start that has ended although it seems to be later than the present one.
    pub(super) fn forget_later(&mut self, id: &str, started_at_ms: u64) {
        let known = self.0.get(id);
        if known.is_some_and(|known| known.started_at_ms > started_at_ms) {
            self.0.remove(id);
        }
    }

    /// Whether a start has reported that it is leaving.
    pub(super) fn is_leaving(&self, id: &str, started_at_ms: u64) -> bool {
        let known = self.0.get(id);
        known.is_some_and(|known| known.started_at_ms == started_at_ms)
    }

    /// All leaving upstreams with their starts.
    pub(super) fn iter(&self) -> impl Iterator<Item = (&UpstreamId, u64)> {
        self.0.iter().map(|(id, known)| (id, known.started_at_ms))
    }

    /// Removes those that have terminated long ago.
    pub(super) fn remove_expired(&mut self, is_listed: impl Fn(&UpstreamId) -> bool, now: Instant) {
        self.0
            .retain(|id, known| now < known.received_at + RETENTION || is_listed(id));
    }
}
