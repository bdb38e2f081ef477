//! Which models are evicted for another.

use super::Planner;
use super::engine::Engine;
use crate::routes::{EnginePool, ModelSpec};
use passway_types::prelude::*;

/// Time that an engine takes to unload a model that runs nothing, in seconds: an order
/// and its effect, as seen in the logs of instances.
const UNLOAD_S: f64 = 0.08;
/// Time until the runs of an evicted model have ended, in seconds: an engine
/// unloads a model when its last run is over.
const RUNS_S: f64 = 0.8;
/// A model or adapter that was loaded for somebody stays at least this long: instances hear of it
/// and send what waits.
pub(super) const SETTLE_TIME: Duration = Duration::from_millis(500);

/// Models that make room together.
#[derive(Debug, Default)]
pub(super) struct Victims {
    pub(super) models: Vec<ModelName>,
    /// Requests in time that their going costs.
    pub(super) worth: f64,
    /// Time until they are gone, in seconds.
    pub(super) time_s: f64,
}

/// A model that may be evicted.
#[derive(Debug)]
struct Leaving {
    model: ModelName,
    worth: f64,
    size_mb: f64,
    has_runs: bool,
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
        let mut lacking_mb = spec.weights_mb - engine.free_mb(pool);
        if lacking_mb <= 0.0 {
            return Some(Victims::default());
        }
        let service = &engine.entry.service;
        let names = engine.model_names().into_iter();
        let may_leave = names.filter(|model| !engine.loaded_within(model, SETTLE_TIME, now));
        let mut leaving: Vec<Leaving> = may_leave
            .map(|model| Leaving {
                worth: self.replica_worth(service, &model, now),
                size_mb: engine.size_mb(pool, &model),
                has_runs: engine.runs(&model) > 0,
                model,
            })
            .collect();
        // One that runs something costs time, which counts like a request or so.
        let cost = |l: &Leaving| l.worth + if l.has_runs { RUNS_S } else { 0.0 };
        leaving.sort_by(|one, other| cost(one).total_cmp(&cost(other)));
        let mut chosen: Vec<Leaving> = Vec::new();
        for model in leaving {
            if lacking_mb <= 0.0 {
                break;
            }
            lacking_mb -= model.size_mb;
            chosen.push(model);
        }
        if lacking_mb > 0.0 {
            return None;
        }
        // What came in for its low worth may have become needless by a larger one.
        for index in (0..chosen.len()).rev() {
            if lacking_mb + chosen[index].size_mb <= 0.0 {
                lacking_mb += chosen.remove(index).size_mb;
            }
        }
        let time_s = chosen
            .iter()
            .map(|l| if l.has_runs { RUNS_S } else { UNLOAD_S });
        Some(Victims {
            time_s: time_s.sum(),
            worth: chosen.iter().map(|l| l.worth).sum(),
            models: chosen.into_iter().map(|l| l.model).collect(),
        })
    }
}
