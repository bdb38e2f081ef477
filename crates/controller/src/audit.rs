//! The latest decisions of this controller: why was this model loaded, and when.

use passway_decide::cell::Decision;
use passway_types::prelude::*;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::time::{SystemTime, UNIX_EPOCH};

/// Entries kept; older ones are in the logs.
const CAPACITY: usize = 1_000;

/// One decision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditEntry {
    /// When, in milliseconds since 1970-01-01 UTC.
    pub at_unix_ms: u64,
    /// The instance that decided.
    pub instance: String,
    /// The cell.
    pub cell: String,
    /// `took_over`, `stood_down`, `placed`, `unloading` or `freed`.
    pub event: String,
    /// The placement or epoch.
    pub number: u64,
    /// The model, where there is one.
    pub model: String,
    /// The upstream, where there is one.
    pub upstream: String,
    /// Why.
    pub reason: String,
}

/// A bounded list of decisions.
#[derive(Debug, Default)]
pub struct AuditTrail {
    entries: VecDeque<AuditEntry>,
}

impl AuditTrail {
    /// Records a decision and logs it.
    pub fn record(&mut self, instance: &str, cell: &str, decision: &Decision) {
        let entry = entry_of(instance, cell, decision);
        log::info!(
            cell = entry.cell, event = entry.event, number = entry.number, model = entry.model,
            upstream = entry.upstream, reason = entry.reason;
            "decision"
        );
        if self.entries.len() == CAPACITY {
            self.entries.pop_front();
        }
        self.entries.push_back(entry);
    }

    /// All entries, oldest first.
    pub fn entries(&self) -> Vec<AuditEntry> {
        self.entries.iter().cloned().collect()
    }
}

fn entry_of(instance: &str, cell: &str, decision: &Decision) -> AuditEntry {
    let elapsed = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    let mut entry = AuditEntry {
        at_unix_ms: u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX),
        instance: instance.to_owned(),
        cell: cell.to_owned(),
        event: String::new(),
        number: 0,
        model: String::new(),
        upstream: String::new(),
        reason: String::new(),
    };
    let mut place = |event: &str, number: PlacementId, model: &str, upstream: &str| {
        event.clone_into(&mut entry.event);
        entry.number = number;
        model.clone_into(&mut entry.model);
        upstream.clone_into(&mut entry.upstream);
    };
    match decision {
        Decision::TookOver { epoch } => place("took_over", *epoch, "", ""),
        Decision::StoodDown { epoch } => place("stood_down", *epoch, "", ""),
        Decision::Placed {
            placement,
            model,
            upstream,
            reason,
        } => {
            place("placed", *placement, model, upstream);
            entry.reason.clone_from(reason);
        }
        Decision::Unloading {
            placement,
            model,
            upstream,
            reason,
        } => {
            place("unloading", *placement, model, upstream);
            (*reason).clone_into(&mut entry.reason);
        }
        Decision::Freed { placement } => place("freed", *placement, "", ""),
    }
    entry
}
