//! The latest decisions of this controller with their times and reasons.

use passway_decide::cell::Decision;
use passway_types::prelude::*;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::time::{SystemTime, UNIX_EPOCH};

/// Maximum number of entries in memory; older entries are only in the logs.
const MAX_ENTRIES: usize = 1_000;

/// One decision of a cell's controller.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditEntry {
    /// Time of the decision, in milliseconds since 1970-01-01 UTC.
    pub at_unix_ms: u64,
    /// The instance that made the decision.
    pub instance: String,
    /// The cell that the decision is about.
    pub cell: String,
    /// `took_over`, `stood_down`, `placed`, `unloading` or `freed`.
    pub event: String,
    /// The epoch for `took_over` and `stood_down`, otherwise the placement's id.
    pub number: u64,
    /// The model; empty if the event has none.
    pub model: String,
    /// The upstream; empty if the event has none.
    pub upstream: String,
    /// The reason for the decision; empty if the event has none.
    pub reason: String,
}

/// A bounded list of the latest decisions.
#[derive(Debug, Default)]
pub struct AuditTrail {
    entries: VecDeque<AuditEntry>,
}

impl AuditTrail {
    /// Records and logs a decision; drops the oldest entry if the list is full.
    pub fn record(&mut self, instance: &str, cell: &str, decision: &Decision) {
        let entry = audit_entry(instance, cell, decision);
        log::info!(
            cell = entry.cell, event = entry.event, number = entry.number, model = entry.model,
            upstream = entry.upstream, reason = entry.reason;
            "decision"
        );
        if self.entries.len() == MAX_ENTRIES {
            self.entries.pop_front();
        }
        self.entries.push_back(entry);
    }

    /// Returns all entries, oldest first.
    pub fn entries(&self) -> Vec<AuditEntry> {
        self.entries.iter().cloned().collect()
    }
}

fn audit_entry(instance: &str, cell: &str, decision: &Decision) -> AuditEntry {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    let mut entry = AuditEntry {
        at_unix_ms: u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX),
        instance: instance.to_owned(),
        cell: cell.to_owned(),
        event: String::new(),
        number: 0,
        model: String::new(),
        upstream: String::new(),
        reason: String::new(),
    };
    let mut set_fields = |event: &str, number: PlacementId, model: &str, upstream: &str| {
        event.clone_into(&mut entry.event);
        entry.number = number;
        model.clone_into(&mut entry.model);
        upstream.clone_into(&mut entry.upstream);
    };
    match decision {
        Decision::TookOver { epoch } => set_fields("took_over", *epoch, "", ""),
        Decision::StoodDown { epoch } => set_fields("stood_down", *epoch, "", ""),
        Decision::Placed {
            placement,
            model,
            upstream,
            reason,
        } => {
            set_fields("placed", *placement, model, upstream);
            entry.reason.clone_from(reason);
        }
        Decision::Unloading {
            placement,
            model,
            upstream,
            reason,
        } => {
            set_fields("unloading", *placement, model, upstream);
            (*reason).clone_into(&mut entry.reason);
        }
        Decision::Freed { placement } => set_fields("freed", *placement, "", ""),
    }
    entry
}
