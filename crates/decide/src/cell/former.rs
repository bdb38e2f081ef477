//! Former holders of a cell, which may still have an order under way.

use crate::plan::{FormerHolder, Plan};
use passway_types::prelude::*;
use std::collections::HashMap;

/// Pause between two probes of former holders.
const PROBE_PAUSE: Duration = Duration::from_secs(1);

/// What is known of the former holders that a plan names.
#[derive(Debug)]
pub(super) struct FormerHolders {
    /// Holders that are gone, and when the last order of each has arrived or never will.
    settling: HashMap<Epoch, Instant>,
    /// When the last of them was cleared.
    cleared_at: Option<Instant>,
    probe_at: Instant,
}

impl FormerHolders {
    /// Nothing is known; all are probed at once.
    pub(super) fn new(now: Instant) -> Self {
        Self {
            settling: HashMap::new(),
            cleared_at: None,
            probe_at: now,
        }
    }

    /// When the last of them was cleared.
    pub(super) fn cleared_at(&self) -> Option<Instant> {
        self.cleared_at
    }

    /// The holder of an epoch sends no more; what it sent is settled at a moment.
    pub(super) fn gone(&mut self, epoch: Epoch, settled_at: Instant) {
        self.settling.entry(epoch).or_insert(settled_at);
    }

    /// Takes out the epochs whose orders are settled.
    pub(super) fn take_settled(&mut self, now: Instant) -> Vec<Epoch> {
        let settled = self.settling.extract_if(|_, at| now >= *at);
        let settled: Vec<Epoch> = settled.map(|(epoch, _)| epoch).collect();
        if !settled.is_empty() {
            self.cleared_at = Some(now);
        }
        settled
    }

    /// The holders to probe now: those that the plan names and that are not known to be gone.
    pub(super) fn due_probes(&mut self, now: Instant, plan: &Plan) -> Vec<FormerHolder> {
        if now < self.probe_at {
            return Vec::new();
        }
        self.probe_at = now + PROBE_PAUSE;
        let unknown = |former: &&FormerHolder| !self.settling.contains_key(&former.epoch);
        plan.former().iter().filter(unknown).cloned().collect()
    }
}
