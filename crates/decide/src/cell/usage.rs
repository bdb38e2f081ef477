//! Usage of the models of a cell, from the reports of all routers.

use crate::messages::Usage;
use crate::retention::IdleHistory;
use passway_types::prelude::*;
use std::collections::HashMap;

/// Usage of one model.
#[derive(Debug, Default)]
pub(super) struct ModelUsage {
    running: HashMap<Incarnation, u32>,
    pub(super) last_used_at: Option<Instant>,
    pub(super) history: IdleHistory,
}

impl ModelUsage {
    /// Whether requests run on the model at any router.
    pub(super) fn is_running(&self) -> bool {
        self.running.values().any(|running| *running > 0)
    }

    /// Records a router's report.
    pub(super) fn record(&mut self, usage: &Usage) {
        if !self.is_running()
            && let Some(last) = self.last_used_at
            && usage.last_used_at > last
        {
            self.history.record(usage.last_used_at - last);
        }
        self.running.insert(usage.router, usage.running);
        self.last_used_at = self.last_used_at.max(Some(usage.last_used_at));
    }

    /// Removes a router.
    pub(super) fn remove_router(&mut self, router: Incarnation) {
        self.running.remove(&router);
    }
}
