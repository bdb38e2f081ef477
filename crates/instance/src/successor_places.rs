//! Successors of silent runs that this instance has under way.

use crate::shared::Shared;
use passway_types::prelude::*;
use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Successors that an instance has under way to one upstream at a time. Each must begin to answer
/// within a few hundred milliseconds, and when an engine falls silent, all of its streams look for
/// another one in the same millisecond.
const MAX_PER_UPSTREAM: usize = 2;

/// The number of successors under way, by upstream.
#[derive(Debug, Default)]
pub struct SuccessorPlaces(Mutex<HashMap<UpstreamId, usize>>);

/// The right to have a successor under way to an upstream; it ends when this is dropped.
#[derive(Debug)]
pub struct SuccessorPlace {
    shared: Arc<Shared>,
    upstream: UpstreamId,
}

impl SuccessorPlaces {
    fn counts(&self) -> MutexGuard<'_, HashMap<UpstreamId, usize>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Upstreams to which no further successor may be sent now.
    pub fn full_upstreams(&self) -> Vec<UpstreamId> {
        let counts = self.counts();
        let full = counts
            .iter()
            .filter(|(_, count)| **count >= MAX_PER_UPSTREAM);
        full.map(|(upstream, _)| upstream.clone()).collect()
    }

    /// Takes a place; `None` if the upstream has no free one.
    pub fn try_take(shared: &Arc<Shared>, upstream: &UpstreamId) -> Option<SuccessorPlace> {
        let mut counts = shared.successor_places.counts();
        let count = counts.entry(upstream.clone()).or_default();
        if *count >= MAX_PER_UPSTREAM {
            return None;
        }
        *count += 1;
        Some(SuccessorPlace {
            shared: shared.clone(),
            upstream: upstream.clone(),
        })
    }
}

impl Drop for SuccessorPlace {
    fn drop(&mut self) {
        let mut counts = self.shared.successor_places.counts();
        if let Some(count) = counts.get_mut(&self.upstream) {
            *count -= 1;
            if *count == 0 {
                counts.remove(&self.upstream);
            }
        }
    }
}
