//! What one engine tells of itself: its entry in the directory, and its answer when
//! it is asked for its state.

use super::{Engine, UnderWay};
use crate::placement::{ASK_PAUSE, PlannedOrder};
use crate::ports::{EngineReport, OrderAction};
use crate::upstreams::{ResidentModel, UpstreamEntry};
use passway_types::prelude::*;

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
        if entry.beat < self.entry.beat {
            // An older check-in that came late; only leaving is final.
            self.entry.draining |= entry.draining;
            return;
        }
        let was_draining = self.entry.draining;
        self.entry = entry;
        self.entry.draining |= was_draining;
        if self.orders_taken.is_none() && self.under_way.is_none() {
            self.models.clone_from(&self.entry.models);
        }
        let Some(UnderWay::Taken { order, .. }) = &self.under_way else {
            return;
        };
        if has_taken_effect(order, &self.entry.models) {
            self.model_order_done(now);
        }
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
        if self
            .orders_taken
            .is_some_and(|taken| report.orders_taken < taken)
        {
            // Older than the last answer.
            return;
        }
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
        self.entry.in_memory = report.in_memory;
        self.entry.on_disk = report.on_disk;
        let coming = self.coming.clone();
        if coming.is_some_and(|model| self.resident(&model).is_some()) {
            self.coming = None;
            self.closing.clear();
        }
        let models = &self.models;
        self.closing
            .retain(|model| models.iter().any(|m| m.name == *model));
    }
}
