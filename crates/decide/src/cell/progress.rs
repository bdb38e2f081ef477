//! Progress of placements on their upstreams, from status reports and answers to orders.

use super::upstreams::{OrderInFlight, UpstreamView};
use crate::estimate::LoadEstimator;
use crate::messages::{LoadedState, OrderAnswer, OrderKind, Tier};
use crate::plan::{Placement, PlacementState, Plan};
use passway_types::prelude::*;
use std::collections::HashMap;

/// The stage of a placement on its upstream, as known to the holder.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// Nothing is known; an order is needed.
    Unknown,
    /// The upstream is loading the model.
    Loading,
    /// The model serves requests.
    Ready,
    /// The upstream answered "absent" to an unload order.
    Absent {
        /// When that order was handed to the sender.
        ordered_at: Instant,
    },
}

/// The stage of a placement and when it changed.
#[derive(Debug, Clone, Copy)]
struct Progress {
    stage: Stage,
    entered_at: Instant,
    /// When the routes to the replica were withdrawn.
    routes_withdrawn_at: Option<Instant>,
}

/// The progress of all placements in a term.
#[derive(Debug)]
pub(super) struct ProgressTable {
    placements: HashMap<PlacementId, Progress>,
    /// Load time estimates, updated whenever a load begins, ends or is given up.
    pub(super) estimator: LoadEstimator,
}

impl ProgressTable {
    /// Returns a table in which nothing is known of any placement.
    pub(super) fn new(estimator: LoadEstimator) -> Self {
        Self {
            placements: HashMap::new(),
            estimator,
        }
    }

    /// Returns the stage of a placement.
    pub(super) fn stage(&self, id: PlacementId) -> Stage {
        let progress = self.placements.get(&id);
        progress.map_or(Stage::Unknown, |progress| progress.stage)
    }

    /// Returns when a placement entered its stage; `None` if nothing is known of it.
    pub(super) fn entered_at(&self, id: PlacementId) -> Option<Instant> {
        self.placements.get(&id).map(|progress| progress.entered_at)
    }

    /// Returns when the routes to a placement were withdrawn.
    pub(super) fn routes_withdrawn_at(&self, id: PlacementId) -> Option<Instant> {
        self.placements.get(&id)?.routes_withdrawn_at
    }

    /// Records that the routes to a placement are withdrawn, unless they were withdrawn earlier.
    pub(super) fn withdraw_routes(&mut self, now: Instant, id: PlacementId) {
        let progress = self.placements.entry(id).or_insert(Progress {
            stage: Stage::Unknown,
            entered_at: now,
            routes_withdrawn_at: None,
        });
        progress.routes_withdrawn_at.get_or_insert(now);
    }

    /// Returns the number of placements that upstreams are loading.
    pub(super) fn loading_count(&self) -> usize {
        let all = self.placements.values();
        all.filter(|p| p.stage == Stage::Loading).count()
    }

    /// Removes a placement.
    pub(super) fn forget(&mut self, id: PlacementId) {
        self.placements.remove(&id);
        self.estimator.abandon(id);
    }

    /// Applies an upstream's status report to the held placements on it.
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

    /// Returns the stage that a status report leads to; `None` if the report changes nothing.
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

    /// Applies the answer to an order. `tier` is the storage tier of the checkpoint at the
    /// upstream.
    pub(super) fn apply_answer(
        &mut self,
        now: Instant,
        answered: &OrderInFlight,
        answer: OrderAnswer,
        tier: Tier,
    ) {
        let order = &answered.order;
        let stage = match (order.kind, answer) {
            (OrderKind::Load, OrderAnswer::Loading) => Stage::Loading,
            (OrderKind::Load, OrderAnswer::Loaded) => Stage::Ready,
            (OrderKind::Unload, OrderAnswer::Absent) => Stage::Absent {
                ordered_at: answered.handed_at,
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
