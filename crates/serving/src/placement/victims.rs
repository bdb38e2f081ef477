//! Selects the models to evict for another model.

use super::Planner;
use super::engine::Engine;
use crate::routes::{EnginePool, ModelSpec};
use passway_types::prelude::*;

/// Time to unload a model without running requests, in seconds, as seen in the logs of instances:
/// the order and its effect.
const IDLE_UNLOAD_S: f64 = 0.08;
/// Time to unload a model with running requests, in seconds: an engine unloads a model when its
/// last request has ended.
const BUSY_UNLOAD_S: f64 = 0.8;
/// Minimum time that a newly loaded model or adapter stays loaded: instances first have to learn of
/// the load and send the waiting requests.
pub(super) const MIN_RESIDENCY: Duration = Duration::from_millis(500);

/// Models whose eviction frees enough memory.
#[derive(Debug, Default)]
pub(super) struct Victims {
    pub(super) models: Vec<ModelName>,
    /// Requests that are no longer served in time because of the evictions.
    pub(super) lost_benefit: f64,
    /// Time until the models are unloaded, in seconds.
    pub(super) eviction_s: f64,
}

/// A model that may be evicted.
#[derive(Debug)]
struct VictimCandidate {
    model: ModelName,
    benefit: f64,
    size_mb: f64,
    has_running_requests: bool,
}

impl Planner {
    /// The models of an engine whose eviction frees enough memory for another model at the lowest
    /// cost; `None` if no eviction frees enough.
    pub(super) fn victims(
        &self,
        engine: &Engine,
        pool: &EnginePool,
        spec: &ModelSpec,
        now: Instant,
    ) -> Option<Victims> {
        let mut missing_mb = spec.weights_mb - engine.free_mb(pool);
        if missing_mb <= 0.0 {
            return Some(Victims::default());
        }
        let service = &engine.entry.service;
        let models = engine.model_names().into_iter();
        let evictable = models.filter(|model| !engine.was_loaded_within(model, MIN_RESIDENCY, now));
        let mut candidates: Vec<VictimCandidate> = evictable
            .map(|model| VictimCandidate {
                benefit: self.replica_benefit(service, &model, now),
                size_mb: engine.size_mb(pool, &model),
                has_running_requests: engine.running_count(&model) > 0,
                model,
            })
            .collect();
        // The time to unload a model with running requests costs about as much as one late request.
        let cost = |candidate: &VictimCandidate| {
            candidate.benefit
                + if candidate.has_running_requests {
                    BUSY_UNLOAD_S
                } else {
                    0.0
                }
        };
        candidates.sort_by(|a, b| cost(a).total_cmp(&cost(b)));
        let mut chosen: Vec<VictimCandidate> = Vec::new();
        for candidate in candidates {
            if missing_mb <= 0.0 {
                break;
            }
            missing_mb -= candidate.size_mb;
            chosen.push(candidate);
        }
        if missing_mb > 0.0 {
            return None;
        }
        // A model that was chosen for its low benefit may have become unnecessary once a larger one
        // was chosen.
        for index in (0..chosen.len()).rev() {
            if missing_mb + chosen[index].size_mb <= 0.0 {
                missing_mb += chosen.remove(index).size_mb;
            }
        }
        let eviction_s = chosen.iter().map(|candidate| {
            if candidate.has_running_requests {
                BUSY_UNLOAD_S
            } else {
                IDLE_UNLOAD_S
            }
        });
        Some(Victims {
            eviction_s: eviction_s.sum(),
            lost_benefit: chosen.iter().map(|candidate| candidate.benefit).sum(),
            models: chosen
                .into_iter()
                .map(|candidate| candidate.model)
                .collect(),
        })
    }
}
