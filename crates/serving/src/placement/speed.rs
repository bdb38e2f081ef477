//! How an engine's speed weighs in the choice of the engine that loads a model, and in the number
//! of replicas.
//!
//! Speed decides only among loads that are needed anyway and cost about the same. It never leads to
//! a load from the weight store, and never evicts a model that is requested once a second or more.

use super::Planner;
use super::loading::Swap;
use crate::forecast::relative_speed::{EngineSpeed, RelativeSpeed, SpeedClass};
use passway_types::prelude::*;
use std::collections::HashMap;

/// Share of the answers of an engine of usual speed that are late because of a pause between
/// events: 6% had a pause of more than 200 ms where the median gap was 44 to 55 ms.
const USUAL_LATE_SHARE: f64 = 0.06;
/// How steeply that share grows as an engine becomes slower: 34% were late where the median gap was
/// 71 to 92 ms, and 0.3% where it was 26 to 31 ms.
const LATE_SHARE_EXPONENT: f64 = -3.5;
/// Upper limit of the share of late answers, so that a replica on any engine is better than none.
const MAX_LATE_SHARE: f64 = 0.9;
/// Lower limit of the capacity of a slow replica: speed at most doubles the number of replicas.
/// Requests on slow engines run longer, so the running requests already show part of the slowness.
const MIN_CAPACITY_RATIO: f64 = 0.5;
/// Benefit, in requests served in time, that models evicted on a faster engine may have beyond that
/// of the cheapest swap. Any model with a request within the last second has more.
const MAX_EXTRA_LOST_BENEFIT: f64 = 0.25;
/// Gain of a replica that no request waits for, for the choice of its engine.
const PREFETCH_GAIN: f64 = 1.0;

/// How the speed of an engine weighs. All weights are exactly 1 at the usual speed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct SpeedWeights {
    /// Share of requests served in time, relative to an engine of usual speed.
    pub(super) served_ratio: f64,
    /// Requests that the engine can run well at the same time, relative to its slots.
    pub(super) capacity_ratio: f64,
}

impl SpeedWeights {
    pub(super) const USUAL: Self = Self {
        served_ratio: 1.0,
        capacity_ratio: 1.0,
    };

    /// Whether the engine has less capacity than its slots.
    pub(super) fn is_slow(self) -> bool {
        self.capacity_ratio < 1.0
    }

    fn of(speed: RelativeSpeed) -> Self {
        if speed.class() == SpeedClass::Usual {
            return Self::USUAL;
        }
        let late_share = USUAL_LATE_SHARE * speed.ratio().powf(LATE_SHARE_EXPONENT);
        let served_share = 1.0 - late_share.min(MAX_LATE_SHARE);
        Self {
            served_ratio: served_share / (1.0 - USUAL_LATE_SHARE),
            // A fast replica counts as one replica: its pace falls once more requests run on it.
            capacity_ratio: speed.ratio().clamp(MIN_CAPACITY_RATIO, 1.0),
        }
    }
}

/// The speed of an engine and its weights.
#[derive(Debug, Clone, Copy)]
pub(super) struct WeightedSpeed {
    /// The estimate; `None` if too little is known.
    pub(super) estimate: Option<EngineSpeed>,
    pub(super) weights: SpeedWeights,
}

impl Default for WeightedSpeed {
    fn default() -> Self {
        Self::from(None)
    }
}

impl From<Option<EngineSpeed>> for WeightedSpeed {
    fn from(estimate: Option<EngineSpeed>) -> Self {
        let weights = estimate.map(|speed| SpeedWeights::of(speed.relative));
        Self {
            estimate,
            weights: weights.unwrap_or(SpeedWeights::USUAL),
        }
    }
}

/// Requests that are not served in time because a new replica with this gain, rather than the
/// evicted ones, is on an engine that is not of usual speed; negative on a fast engine.
pub(super) fn speed_cost(gain: f64, lost_benefit: f64, weights: SpeedWeights) -> f64 {
    let gain = if gain.is_finite() {
        gain
    } else {
        PREFETCH_GAIN
    };
    (gain - lost_benefit) * (1.0 - weights.served_ratio)
}

/// Whether a replica that is needed only because others are on slow engines may be added where
/// these weights apply and models with this benefit are evicted.
pub(super) fn may_add_for_speed(lost_benefit: f64, weights: SpeedWeights) -> bool {
    !weights.is_slow() && lost_benefit <= MAX_EXTRA_LOST_BENEFIT
}

/// The swap of lowest cost with regard to speed, among those that evict hardly more than the
/// cheapest swap and need no load from the weight store that the cheapest swap does not need.
pub(super) fn preferred_swap(mut swaps: Vec<Swap>) -> Option<Swap> {
    let cheapest = swaps.iter().min_by(|a, b| a.cost.total_cmp(&b.cost))?;
    let max_lost_benefit = cheapest.lost_benefit + MAX_EXTRA_LOST_BENEFIT;
    let is_store_load = cheapest.is_store_load;
    swaps.retain(|swap| {
        swap.lost_benefit <= max_lost_benefit && (is_store_load || !swap.is_store_load)
    });
    let cost = |swap: &Swap| swap.cost + swap.speed_cost;
    swaps.into_iter().min_by(|a, b| cost(a).total_cmp(&cost(b)))
}

impl Planner {
    /// Sets the speeds of engines. An engine that is not listed counts as one of usual speed.
    pub fn set_engine_speeds(&mut self, speeds: &HashMap<UpstreamId, EngineSpeed>) {
        for (id, engine) in &mut self.engines {
            engine.speed = WeightedSpeed::from(speeds.get(id).copied());
        }
        let mut weights = self.engines.values().map(|engine| engine.speed.weights);
        self.has_slow_engines = weights.any(SpeedWeights::is_slow);
    }

    /// The speed of an engine, as last set; `None` if unknown.
    pub fn engine_speed(&self, id: &UpstreamId) -> Option<EngineSpeed> {
        self.engines.get(id)?.speed.estimate
    }
}

/// The slots of an engine, reduced by the mean capacity of a model's replicas.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a whole number between 0 and the number of slots"
)]
pub(super) fn effective_slots(slots: u32, mean_capacity_ratio: f64) -> u32 {
    (f64::from(slots) * mean_capacity_ratio).round() as u32
}
