//! Which starts of upstreams have said that they leave.
//!
//! Leaving is final for a start, whatever its entry says later, and whether or not it has an entry: while
//! the store is away entries lapse and come back as they were before.

use passway_types::prelude::*;
use std::collections::HashMap;

/// A start that leaves is remembered for so long, far longer than it serves on.
const MEMORY: Duration = Duration::from_mins(10);

#[derive(Debug, Clone, Copy)]
struct Departure {
    started_at_ms: u64,
    heard_at: Instant,
}

/// Starts of upstreams that leave.
#[derive(Debug, Default)]
pub(super) struct LeavingStarts(HashMap<UpstreamId, Departure>);

impl LeavingStarts {
    /// A start says that it leaves. Returns whether that is news.
    pub(super) fn record(&mut self, id: &UpstreamId, started_at_ms: u64, now: Instant) -> bool {
        let known = self.0.get(id).map(|known| known.started_at_ms);
        if known.is_some_and(|known| known >= started_at_ms) {
            return false;
        }
        let departure = Departure {
            started_at_ms,
            heard_at: now,
        };
        self.0.insert(id.clone(), departure);
        true
    }

    /// Whether a start has said that it leaves.
    pub(super) fn leaves(&self, id: &str, started_at_ms: u64) -> bool {
        let known = self.0.get(id);
        known.is_some_and(|known| known.started_at_ms == started_at_ms)
    }

    /// All of them: the upstream and its start.
    pub(super) fn all(&self) -> impl Iterator<Item = (&UpstreamId, u64)> {
        self.0.iter().map(|(id, known)| (id, known.started_at_ms))
    }

    /// Forgets those that have ended long ago.
    pub(super) fn remove_expired(&mut self, is_listed: impl Fn(&UpstreamId) -> bool, now: Instant) {
        self.0
            .retain(|id, known| now < known.heard_at + MEMORY || is_listed(id));
    }
}
