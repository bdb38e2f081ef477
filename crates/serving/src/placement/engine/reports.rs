//! What an engine publishes about itself: its entry in the directory, and its report in answer to a
//! state query.

use super::{Engine, InFlightOrder};
use crate::placement::{PlannedOrder, QUERY_DELAY};
use crate::ports::{EngineReport, OrderAction};
use crate::upstreams::{ResidentModel, UpstreamEntry};
use passway_types::prelude::*;
use std::collections::BTreeSet;

/// Delay before the next query of an engine that is still busy with an earlier order.
const BUSY_QUERY_DELAY: Duration = Duration::from_millis(250);
/// The delay between unanswered queries doubles at most this many times.
const MAX_DOUBLINGS: u32 = 3;

/// Whether a model order has taken effect on an engine with these models.
fn has_taken_effect(order: &PlannedOrder, models: &[ResidentModel]) -> bool {
    let is_loaded = models.iter().any(|m| m.name == order.model_ref.model);
    is_loaded == (order.action == OrderAction::Load)
}

impl Engine {
    /// Applies a newer entry of the engine.
    pub(in crate::placement) fn update_entry(&mut self, entry: UpstreamEntry, now: Instant) {
        if entry.started_at_ms > self.entry.started_at_ms {
            self.restart(entry);
            return;
        }
        if entry.started_at_ms < self.entry.started_at_ms {
            // The entry was written before the engine restarted.
            return;
        }
        if entry.heartbeat < self.entry.heartbeat {
            // An older check-in that arrived late. Only the signal to leave is final.
            if entry.draining {
                self.set_leaving();
            }
            return;
        }
        let is_leaving = entry.draining || self.entry.draining;
        self.entry = entry;
        if is_leaving {
            self.set_leaving();
        }
        if self.orders_taken.is_none() && self.model_order.is_none() {
            self.models.clone_from(&self.entry.models);
        }
        let has_new_models = self.entry_history.shows_new_models(&self.entry.models);
        if let Some(InFlightOrder::Taken { order, .. }) = &self.model_order
            && has_new_models
            && self.entry_confirms(order)
        {
            self.complete_model_order(now);
        }
    }

    /// Marks the engine as leaving, which is final for this engine process: nothing more is loaded
    /// on it.
    pub(in crate::placement) fn set_leaving(&mut self) {
        self.entry.draining = true;
        self.pending_adapters.clear();
        // The load in progress is not the reason why the engine terminates.
        self.accepted_load = None;
    }

    /// Whether the entry shows exactly the models that the engine has after the order.
    fn entry_confirms(&self, order: &PlannedOrder) -> bool {
        let others = self
            .models
            .iter()
            .filter(|m| m.name != order.model_ref.model);
        let ordered_load = (order.action == OrderAction::Load).then_some(&order.model_ref.model);
        let expected: BTreeSet<&ModelName> = others.map(|m| &m.name).chain(ordered_load).collect();
        let entry_models = self.entry.models.iter().map(|m| &m.name);
        expected == entry_models.collect()
    }

    /// Applies a report, whose state is some hundred milliseconds old, or a missing answer.
    pub(in crate::placement) fn apply_report(
        &mut self,
        report: Option<EngineReport>,
        now: Instant,
    ) {
        self.is_query_in_flight = false;
        let Some(report) = report else {
            self.unanswered_queries += 1;
            if self.is_unreachable() {
                // The model may then be loaded elsewhere. The engine is queried before its next
                // order.
                self.abandon_swap();
            }
            let delay = QUERY_DELAY * (1 << self.unanswered_queries.min(MAX_DOUBLINGS));
            self.query_at = Some(now + delay);
            return;
        };
        self.unanswered_queries = 0;
        self.query_at = Some(now + QUERY_DELAY);
        if report.started_at_ms > self.entry.started_at_ms {
            let entry = UpstreamEntry {
                models: report.models.clone(),
                heartbeat: 0,
                started_at_ms: report.started_at_ms,
                ..self.entry.clone()
            };
            self.restart(entry);
        }
        let is_outdated = report.started_at_ms < self.entry.started_at_ms
            || report.orders_taken < self.min_orders_taken;
        if is_outdated {
            // The report is older than the last known answer or than the engine's start.
            return;
        }
        self.raise_orders_taken(report.orders_taken);
        if report.busy {
            self.query_at = Some(now + BUSY_QUERY_DELAY);
            // The order in progress will change the state in an unknown way: no order may be
            // decided on this state.
            if self.model_order.is_none() {
                self.orders_taken = None;
            }
            return;
        }
        self.orders_taken = Some(report.orders_taken);
        self.accepted_load = None;
        self.query_at = None;
        if let Some(InFlightOrder::Taken { order, .. }) = &self.model_order {
            if has_taken_effect(order, &report.models) {
                self.complete_model_order(now);
            } else {
                // The order was taken but had no effect.
                self.model_order = None;
            }
        }
        self.models = report.models;
        self.adapters_loading = report.adapters_loading;
        if !self.adapters_loading.is_empty() {
            self.query_at = Some(now + QUERY_DELAY);
        }
        self.entry.in_memory = report.in_memory;
        self.entry.on_disk = report.on_disk;
        let pending_load = self.pending_load.clone();
        if pending_load.is_some_and(|model| self.resident_model(&model).is_some()) {
            self.pending_load = None;
            self.evicting.clear();
        }
        let models = &self.models;
        let is_loaded = |model: &ModelName| models.iter().any(|m| m.name == *model);
        self.evicting.retain(is_loaded);
        self.entry_history.record(&self.models, &self.entry.models);
    }
}
