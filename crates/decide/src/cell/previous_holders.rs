//! Former holders of a cell, which may still have an order under way.

use crate::plan::{Plan, PreviousHolder};
use passway_types::prelude::*;
use std::collections::HashMap;

/// Pause between two probes of holder holders.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// What is known of the holder holders that a plan names.
#[derive(Debug)]
pub(super) struct PreviousHolders {
    /// Holders that are gone, and when the last order of each has arrived or never will.
    settling: HashMap<Epoch, Instant>,
    /// When the last of them was cleared.
    last_cleared_at: Option<Instant>,
    next_probe_at: Instant,
}

impl PreviousHolders {
    /// Nothing is known; all are probed at once.
    pub(super) fn new(now: Instant) -> Self {
        Self {
            settling: HashMap::new(),
            last_cleared_at: None,
            next_probe_at: now,
        }
    }

    /// When the last of them was cleared.
    pub(super) fn last_cleared_at(&self) -> Option<Instant> {
        self.last_cleared_at
    }

    /// The holder of an epoch sends no more; what it sent is settled at a moment.
    pub(super) fn mark_stopped(&mut self, epoch: Epoch, settled_at: Instant) {
        self.settling.entry(epoch).or_insert(settled_at);
    }

    /// Takes out the epochs whose orders are settled.
    pub(super) fn take_settled(&mut self, now: Instant) -> Vec<Epoch> {
        let settled = self.settling.extract_if(|_, at| now >= *at);
        let settled: Vec<Epoch> = settled.map(|(epoch, _)| epoch).collect();
        if !settled.is_empty() {
            self.last_cleared_at = Some(now);
        }
        settled
    }

    /// The holders to probe now: those that the plan names and that are not known to be gone.
    pub(super) fn due_probes(&mut self, now: Instant, plan: &Plan) -> Vec<PreviousHolder> {
        if now < self.next_probe_at {
            return Vec::new();
        }
        self.next_probe_at = now + PROBE_INTERVAL;
        let not_known_stopped =
            |holder: &&PreviousHolder| !self.settling.contains_key(&holder.epoch);
        plan.previous_holders()
            .iter()
            .filter(not_known_stopped)
            .cloned()
            .collect()
    }
}
