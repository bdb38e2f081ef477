//! Which models are evicted for another.

use super::Planner;
use super::engine::Engine;
use crate::routes::{EnginePool, ModelSpec};
use passway_types::prelude::*;

/// Time that an engine takes to unload a model that runs nothing, in seconds: an order
/// and its effect, as seen in the logs of instances.
const IDLE_UNLOAD_S: f64 = 0.08;
/// Time until the runs of an evicted model have ended, in seconds: an engine
/// unloads a model when its last run is over.
const BUSY_UNLOAD_S: f64 = 0.8;
/// A model or adapter that was loaded for somebody stays at least this long: instances hear of it
/// and send what waits.
pub(super) const MIN_RESIDENCY: Duration = Duration::from_millis(500);

/// Models that make room together.
#[derive(Debug, Default)]
pub(super) struct Victims {
    pub(super) models: Vec<ModelName>,
    /// Requests in time that their going costs.
    pub(super) benefit: f64,
    /// Time until they are gone, in seconds.
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
    /// The models of an engine whose going makes room for another at the least cost;
    /// `None` if there is no room however many go.
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
        // One that runs something costs time, which counts like a request or so.
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
        // What came in for its low worth may have become needless by a larger one.
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
            benefit: chosen.iter().map(|candidate| candidate.benefit).sum(),
            models: chosen
                .into_iter()
                .map(|candidate| candidate.model)
                .collect(),
        })
    }
}
