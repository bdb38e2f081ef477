//! Invariants of the engines that must always hold.

use super::CellWorld;
use super::engine::engine_id;
use passway_types::prelude::*;
use std::collections::BTreeMap;

impl CellWorld {
    /// Checks memory, replica counts and that every loaded model is in the plan.
    pub(super) fn check_invariants(&mut self) {
        let mut found = Vec::new();
        let mut replicas: BTreeMap<&ModelName, u32> = BTreeMap::new();
        for (number, engine) in self.engines.iter().enumerate() {
            let held_mb: u64 = engine.loaded.values().map(|(size_mb, _)| size_mb).sum();
            if held_mb > engine.memory_mb {
                found.push(format!(
                    "engine{number} holds {held_mb} of {} MB",
                    engine.memory_mb
                ));
            }
            for model in engine.loaded.keys() {
                *replicas.entry(model).or_default() += 1;
                let plan = self.store.plan.as_ref().map(|(_, plan)| plan);
                let is_decided = plan.is_some_and(|p| p.find(model, &engine_id(number)).is_some());
                if !is_decided {
                    found.push(format!("{model} on engine{number} is not in the plan"));
                }
            }
        }
        for (model, count) in replicas {
            let max_replicas = self
                .catalog
                .models
                .get(model)
                .map_or(0, |model| model.max_replicas);
            if count > max_replicas {
                found.push(format!(
                    "{count} replicas of {model}, at most {max_replicas} are configured"
                ));
            }
        }
        let at_ms = (self.now - self.started_at).as_millis();
        self.violations
            .extend(found.into_iter().map(|text| format!("{at_ms} ms: {text}")));
    }
}
