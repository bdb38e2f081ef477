//! The runs that a dispatcher has granted and those that instances report.

use super::{REFRESH_INTERVAL, RunKey};
use passway_types::prelude::*;
use std::collections::HashMap;

/// A run that is not reported again within this time has ended: two reports may be lost.
const RUN_TTL: Duration = Duration::from_millis(1_300);

#[derive(Debug)]
struct Run {
    engine: UpstreamId,
    expires_at: Instant,
}

/// The runs on the engines of one dispatcher.
#[derive(Debug, Default)]
pub struct RunTable {
    runs: HashMap<RunKey, Run>,
    counts: HashMap<UpstreamId, u32>,
    expire_at: Option<Instant>,
}

impl RunTable {
    /// The number of runs on an engine.
    pub fn load(&self, engine: &str) -> u32 {
        self.counts.get(engine).copied().unwrap_or(0)
    }

    /// The number of runs.
    pub fn len(&self) -> usize {
        self.runs.len()
    }

    /// Whether there are no runs.
    pub fn is_empty(&self) -> bool {
        self.runs.is_empty()
    }

    /// The engine that was granted to an attempt, whose request may arrive twice.
    pub fn engine_of(&self, key: RunKey) -> Option<&UpstreamId> {
        self.runs.get(&key).map(|run| &run.engine)
    }

    /// Records a run that was granted or reported on an engine.
    pub fn record(&mut self, key: RunKey, engine: &UpstreamId, now: Instant) {
        let expires_at = now + RUN_TTL;
        if let Some(run) = self.runs.get_mut(&key)
            && run.engine == *engine
        {
            run.expires_at = expires_at;
            return;
        }
        self.remove(key);
        *self.counts.entry(engine.clone()).or_default() += 1;
        let engine = engine.clone();
        self.runs.insert(key, Run { engine, expires_at });
    }

    /// Removes a run that has ended. Returns its engine.
    pub fn remove(&mut self, key: RunKey) -> Option<UpstreamId> {
        let run = self.runs.remove(&key)?;
        decrement(&mut self.counts, &run.engine);
        Some(run.engine)
    }

    /// Removes runs that are no longer reported: their instance has terminated or their end
    /// message was lost.
    pub fn remove_expired(&mut self, now: Instant) {
        if self.expire_at.is_some_and(|at| now < at) {
            return;
        }
        self.expire_at = Some(now + REFRESH_INTERVAL / 2);
        let counts = &mut self.counts;
        self.runs.retain(|_, run| {
            let is_current = now < run.expires_at;
            if !is_current {
                decrement(counts, &run.engine);
            }
            is_current
        });
    }
}

fn decrement(counts: &mut HashMap<UpstreamId, u32>, engine: &UpstreamId) {
    if let Some(count) = counts.get_mut(engine) {
        *count -= 1;
        if *count == 0 {
            counts.remove(engine);
        }
    }
}
