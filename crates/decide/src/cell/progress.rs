//! How far placements are on their upstreams, by reports and by answers to orders.

use super::upstreams::{OrderInFlight, UpstreamView};
use crate::estimate::LoadEstimator;
use crate::messages::{LoadedState, OrderAnswer, OrderKind, Tier};
use crate::plan::{Placement, PlacementState, Plan};
use passway_types::prelude::*;
use std::collections::HashMap;

/// How far a placement is on its upstream, as far as the holder knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// Nothing is known; an order is needed.
    Unknown,
    /// The upstream loads it.
    Loading,
    /// It serves.
    Ready,
    /// An unload order handed over at this time was answered with "absent".
    Absent {
        /// When the order was handed to the sender.
        ordered_at: Instant,
    },
}

/// A placement's stage and the times that go with it.
#[derive(Debug, Clone, Copy)]
struct Progress {
    stage: Stage,
    entered_at: Instant,
    /// When the routes to it were taken back.
    routes_withdrawn_at: Option<Instant>,
}

/// The progress of all placements of a term.
#[derive(Debug)]
pub(super) struct ProgressTable {
    placements: HashMap<PlacementId, Progress>,
    /// Follows the stages: a load begins, ends or is given up.
    pub(super) estimator: LoadEstimator,
}

impl ProgressTable {
    /// Nothing is known of any placement.
    pub(super) fn new(estimator: LoadEstimator) -> Self {
        Self {
            placements: HashMap::new(),
            estimator,
        }
    }

    /// How far a placement is.
    pub(super) fn stage(&self, id: PlacementId) -> Stage {
        let progress = self.placements.get(&id);
        progress.map_or(Stage::Unknown, |progress| progress.stage)
    }

    /// Since when a placement is as far as it is; `None` if nothing is known of it.
    pub(super) fn entered_at(&self, id: PlacementId) -> Option<Instant> {
        self.placements.get(&id).map(|progress| progress.entered_at)
    }

    /// When the routes to a placement were taken back.
    pub(super) fn routes_withdrawn_at(&self, id: PlacementId) -> Option<Instant> {
        self.placements.get(&id)?.routes_withdrawn_at
    }

    /// The routes to a placement are taken back, unless they were previous.
    pub(super) fn withdraw_routes(&mut self, now: Instant, id: PlacementId) {
        let progress = self.placements.entry(id).or_insert(Progress {
            stage: Stage::Unknown,
            entered_at: now,
            routes_withdrawn_at: None,
        });
        progress.routes_withdrawn_at.get_or_insert(now);
    }

    /// Placements that upstreams load.
    pub(super) fn loading_count(&self) -> usize {
        let all = self.placements.values();
        all.filter(|p| p.stage == Stage::Loading).count()
    }

    /// Forgets a placement.
    pub(super) fn forget(&mut self, id: PlacementId) {
        self.placements.remove(&id);
        self.estimator.abandon(id);
    }

    /// Takes in an upstream's report about what the plan has there.
    pub(super) fn apply_report(&mut self, now: Instant, plan: &Plan, view: &UpstreamView) {
        let Some((polled_at, _)) = &view.status else {
            return;
        };
        let placements = plan.on_upstream(&view.entry.id);
        for placement in placements.filter(|p| p.state == PlacementState::Held) {
            if let Some(stage) = self.stage_from_report(*polled_at, view, placement) {
                self.enter(now, stage, view, placement);
            }
        }
    }

    /// The stage that a report takes a placement to; `None` if it changes nothing.
    fn stage_from_report(
        &self,
        polled_at: Instant,
        view: &UpstreamView,
        placement: &Placement,
    ) -> Option<Stage> {
        let state = view
            .reported_model(&placement.model)
            .map(|loaded| loaded.state);
        let is_newer = self
            .entered_at(placement.id)
            .is_none_or(|at| polled_at > at);
        match (self.stage(placement.id), state) {
            (Stage::Unknown | Stage::Loading, Some(LoadedState::Ready)) => Some(Stage::Ready),
            (Stage::Unknown, Some(LoadedState::Loading)) => Some(Stage::Loading),
            (Stage::Loading | Stage::Ready, None | Some(LoadedState::Unloading)) if is_newer => {
                Some(Stage::Unknown)
            }
            _ => None,
        }
    }

    fn enter(&mut self, now: Instant, stage: Stage, view: &UpstreamView, placement: &Placement) {
        match stage {
            Stage::Ready => self.estimator.finish(now, placement.id),
            Stage::Loading => {
                let tier = view.checkpoint_tier(&placement.model);
                self.estimator
                    .begin(now, placement.id, tier, placement.reserved_bytes);
            }
            Stage::Unknown | Stage::Absent { .. } => self.estimator.abandon(placement.id),
        }
        let progress = Progress {
            stage,
            entered_at: now,
            routes_withdrawn_at: None,
        };
        self.placements.insert(placement.id, progress);
    }

    /// Takes in the answer to an order; `tier` is where the upstream has the model.
    pub(super) fn apply_answer(
        &mut self,
        now: Instant,
        sent: &OrderInFlight,
        answer: OrderAnswer,
        tier: Tier,
    ) {
        let order = &sent.order;
        let stage = match (order.kind, answer) {
            (OrderKind::Load, OrderAnswer::Loading) => Stage::Loading,
            (OrderKind::Load, OrderAnswer::Loaded) => Stage::Ready,
            (OrderKind::Unload, OrderAnswer::Absent) => Stage::Absent {
                ordered_at: sent.handed_at,
            },
            _ => return,
        };
        if stage == Stage::Loading {
            self.estimator
                .begin(now, order.placement, tier, order.size_bytes);
        }
        let progress = Progress {
            stage,
            entered_at: now,
            routes_withdrawn_at: self.routes_withdrawn_at(order.placement),
        };
        self.placements.insert(order.placement, progress);
    }
}
