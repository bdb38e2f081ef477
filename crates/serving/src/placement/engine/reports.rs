//! What one engine tells of itself: its entry in the directory, and its answer when
//! it is asked for its state.

use super::{Engine, UnderWay};
use crate::placement::{ASK_PAUSE, PlannedOrder};
use crate::ports::{EngineReport, OrderAction};
use crate::upstreams::{ResidentModel, UpstreamEntry};
use passway_types::prelude::*;
use std::collections::BTreeSet;

/// An engine that is busy with an order of before is asked again after this.
const BUSY_PAUSE: Duration = Duration::from_millis(250);
/// The pause between questions without an answer doubles at most so often.
const MAX_DOUBLINGS: u32 = 3;

/// Whether a model order has taken effect on an engine with these models.
fn has_taken_effect(order: &PlannedOrder, models: &[ResidentModel]) -> bool {
    let stands = models.iter().any(|m| m.name == order.wish.model);
    stands == (order.action == OrderAction::Load)
}

impl Engine {
    /// The engine has said something of itself.
    pub(in crate::placement) fn update(&mut self, entry: UpstreamEntry, now: Instant) {
        if entry.started_at_ms > self.entry.started_at_ms {
            self.restart(entry);
            return;
        }
        if entry.started_at_ms < self.entry.started_at_ms {
            // It was said before the engine started again.
            return;
        }
        if entry.heartbeat < self.entry.heartbeat {
            // An older check-in that came late; only leaving is final.
            if entry.draining {
                self.leaves();
            }
            return;
        }
        let leaves = entry.draining || self.entry.draining;
        self.entry = entry;
        if leaves {
            self.leaves();
        }
        if self.orders_taken.is_none() && self.under_way.is_none() {
            self.models.clone_from(&self.entry.models);
        }
        let is_new = self.shown.is_new(&self.entry.models);
        if let Some(UnderWay::Taken { order, .. }) = &self.under_way
            && is_new
            && self.is_effect_of(order)
        {
            self.model_order_done(now);
        }
    }

    /// It says that it leaves, which is final for its start: nothing is brought to it any more.
    pub(in crate::placement) fn leaves(&mut self) {
        self.entry.draining = true;
        self.adapters_wanted.clear();
        // Whatever comes to it, that is not why it ends.
        self.loading = None;
    }

    /// Whether the entry shows the models that stand here after an order and nothing else.
    fn is_effect_of(&self, order: &PlannedOrder) -> bool {
        let others = self.models.iter().filter(|m| m.name != order.wish.model);
        let ordered = (order.action == OrderAction::Load).then_some(&order.wish.model);
        let after: BTreeSet<&ModelName> = others.map(|m| &m.name).chain(ordered).collect();
        let shown = self.entry.models.iter().map(|m| &m.name);
        after == shown.collect()
    }

    /// The engine told its state, which is some hundred milliseconds old.
    pub(in crate::placement) fn reported(&mut self, report: Option<EngineReport>, now: Instant) {
        self.asked = false;
        let Some(report) = report else {
            self.unanswered += 1;
            if self.is_unreachable() {
                // What was to come here may come elsewhere; it is asked before any order.
                self.abandon();
            }
            let pause = ASK_PAUSE * (1 << self.unanswered.min(MAX_DOUBLINGS));
            self.ask_at = Some(now + pause);
            return;
        };
        self.unanswered = 0;
        self.ask_at = Some(now + ASK_PAUSE);
        if report.started_at_ms > self.entry.started_at_ms {
            let entry = UpstreamEntry {
                models: report.models.clone(),
                heartbeat: 0,
                started_at_ms: report.started_at_ms,
                ..self.entry.clone()
            };
            self.restart(entry);
        }
        let is_older = report.started_at_ms < self.entry.started_at_ms
            || report.orders_taken < self.least_orders;
        if is_older {
            // Older than the last answer, or than the engine's start.
            return;
        }
        self.count_is(report.orders_taken);
        if report.busy {
            self.ask_at = Some(now + BUSY_PAUSE);
            // What an order under way will change is not known: no order may be
            // decided on this state.
            if self.under_way.is_none() {
                self.orders_taken = None;
            }
            return;
        }
        self.orders_taken = Some(report.orders_taken);
        self.loading = None;
        self.ask_at = None;
        if let Some(UnderWay::Taken { order, .. }) = &self.under_way {
            if has_taken_effect(order, &report.models) {
                self.model_order_done(now);
            } else {
                // It was taken and came to nothing.
                self.under_way = None;
            }
        }
        self.models = report.models;
        self.adapters_loading = report.adapters_loading;
        if !self.adapters_loading.is_empty() {
            self.ask_at = Some(now + ASK_PAUSE);
        }
        self.entry.in_memory = report.in_memory;
        self.entry.on_disk = report.on_disk;
        let coming = self.coming.clone();
        if coming.is_some_and(|model| self.resident(&model).is_some()) {
            self.coming = None;
            self.closing.clear();
        }
        let models = &self.models;
        let stands = |model: &ModelName| models.iter().any(|m| m.name == *model);
        self.closing.retain(stands);
        self.shown.has(&self.models, &self.entry.models);
    }
}
