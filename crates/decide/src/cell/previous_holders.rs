//! Previous holders of a cell, whose orders may still be in flight.

use crate::plan::{Plan, PreviousHolder};
use passway_types::prelude::*;
use std::collections::HashMap;

/// Interval between probes of previous holders.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// The known state of the previous holders in a plan.
#[derive(Debug)]
pub(super) struct PreviousHolders {
    /// Holders that send no more orders, by epoch, and when their last order has settled.
    settling: HashMap<Epoch, Instant>,
    /// When a previous holder was last cleared from the plan.
    last_cleared_at: Option<Instant>,
    next_probe_at: Instant,
}

impl PreviousHolders {
    /// Returns an empty state, in which all previous holders are probed at once.
    pub(super) fn new(now: Instant) -> Self {
        Self {
            settling: HashMap::new(),
            last_cleared_at: None,
            next_probe_at: now,
        }
    }

    /// Returns when a previous holder was last cleared from the plan.
    pub(super) fn last_cleared_at(&self) -> Option<Instant> {
        self.last_cleared_at
    }

    /// Records that the holder of `epoch` sends no more orders and that all its orders have settled
    /// at `settled_at`.
    pub(super) fn mark_stopped(&mut self, epoch: Epoch, settled_at: Instant) {
        self.settling.entry(epoch).or_insert(settled_at);
    }

    /// Removes and returns the epochs whose orders have settled.
    pub(super) fn take_settled(&mut self, now: Instant) -> Vec<Epoch> {
        let settled = self.settling.extract_if(|_, at| now >= *at);
        let settled: Vec<Epoch> = settled.map(|(epoch, _)| epoch).collect();
        if !settled.is_empty() {
            self.last_cleared_at = Some(now);
        }
        settled
    }

    /// Returns the holders in the plan that are due for a probe, except those known to have
    /// stopped.
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
