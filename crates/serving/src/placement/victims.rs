//! Which models give way to another.

use super::Planner;
use super::engine::Engine;
use crate::routes::{EnginePool, ModelSpec};
use passway_types::prelude::*;

/// What it costs to wait for the runs of a model that gives way, in milliseconds.
const RUNS_COST_MS: f64 = 1_500.0;
/// What each run adds, since it shows that the model is in demand.
const RUN_COST_MS: f64 = 400.0;
/// What it costs to take a replica that its demand is worth, in milliseconds.
const WANTED_COST_MS: f64 = 6_000.0;
/// What one request a second for the model that gives way costs, in milliseconds.
const RATE_COST_MS: f64 = 4_000.0;
/// A model that was brought for somebody stays at least this long.
const SETTLE_TIME: Duration = Duration::from_millis(1_500);

/// Models that make room together.
#[derive(Debug)]
pub(super) struct Victims {
    pub(super) models: Vec<ModelName>,
    pub(super) cost_ms: f64,
}

impl Planner {
    /// The models of an engine whose going makes room for another at the least cost.
    pub(super) fn victims(
        &self,
        engine: &Engine,
        pool: &EnginePool,
        spec: &ModelSpec,
        now: Instant,
    ) -> Option<Victims> {
        let mut free_mb = engine.free_mb(pool);
        let service = &engine.entry.service;
        let mut costs: Vec<(f64, ModelName)> = Vec::new();
        for model in engine.model_names() {
            if let Some(cost) = self.leaving_cost_ms(engine, service, &model, now) {
                costs.push((cost, model));
            }
        }
        costs.sort_by(|one, other| one.0.total_cmp(&other.0));
        let mut victims = Victims {
            models: Vec::new(),
            cost_ms: 0.0,
        };
        let mut costs = costs.into_iter();
        while free_mb < spec.weights_mb {
            let (cost, model) = costs.next()?;
            free_mb += engine.size_mb(pool, &model);
            victims.cost_ms += cost;
            victims.models.push(model);
        }
        Some(victims)
    }

    fn leaving_cost_ms(
        &self,
        engine: &Engine,
        service: &ServiceName,
        model: &ModelName,
        now: Instant,
    ) -> Option<f64> {
        if self.demand.is_awaited(service, model) || engine.came_within(model, SETTLE_TIME, now) {
            return None;
        }
        let rate = self.demand.rate(service, model, now);
        let replicas = self.replicas(service, model);
        let wanted = self.wanted(service, model, now);
        let mut cost = 0.0;
        let runs = engine.runs(model);
        if runs > 0 {
            cost += RUNS_COST_MS + RUN_COST_MS * f64::from(runs);
        }
        if replicas <= wanted {
            cost += RATE_COST_MS * rate;
        }
        if wanted > 1 && replicas <= wanted {
            cost += WANTED_COST_MS;
        }
        Some(cost)
    }
}
