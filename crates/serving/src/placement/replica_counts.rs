//! Replicas and runs of each model over all engines of its service, counted once for
//! the many questions of one pass.

use super::engine::Engine;
use passway_types::prelude::*;
use std::collections::HashMap;

#[derive(Debug, Clone, Default)]
struct Counts {
    /// Engines on which it stands and stays.
    replicas: Vec<UpstreamId>,
    pending_loads: usize,
    running: u32,
}

/// The counts of one moment. They hold until an engine changes.
#[derive(Debug, Default)]
pub(super) struct ReplicaCounts {
    /// Loads from the weight store that are under way or about to begin.
    store_loads: usize,
    services: HashMap<ServiceName, HashMap<ModelName, Counts>>,
}

impl ReplicaCounts {
    /// Counts what engines hold and run. A model on an engine that does not bear its requests has
    /// no replica there.
    pub(super) fn count<'a>(
        engines: impl Iterator<Item = &'a Engine>,
        can_serve: impl Fn(&Engine, &ModelName) -> bool,
    ) -> Self {
        let mut services: HashMap<ServiceName, HashMap<ModelName, Counts>> = HashMap::new();
        let mut store_loads = 0;
        for engine in engines {
            store_loads += usize::from(engine.has_pending_store_load());
            let counts = services.entry(engine.entry.service.clone()).or_default();
            for model in engine
                .usable_models()
                .filter(|model| can_serve(engine, model))
            {
                let counts = counts.entry(model.clone()).or_default();
                counts.replicas.push(engine.entry.id.clone());
            }
            if let Some(model) = engine.pending_load() {
                counts.entry(model.clone()).or_default().pending_loads += 1;
            }
            for (model, running) in engine.running_requests() {
                counts.entry(model.clone()).or_default().running += running;
            }
        }
        Self {
            store_loads,
            services,
        }
    }

    /// A model begins to come to an engine, and others go there.
    pub(super) fn record_swap(
        &mut self,
        service: &ServiceName,
        engine: &UpstreamId,
        loading: &ModelName,
        victims: &[ModelName],
        is_store_load: bool,
    ) {
        self.store_loads += usize::from(is_store_load);
        let counts = self.services.entry(service.clone()).or_default();
        counts.entry(loading.clone()).or_default().pending_loads += 1;
        for victim in victims {
            if let Some(counts) = counts.get_mut(victim) {
                counts.replicas.retain(|id| id != engine);
            }
        }
    }

    /// Loads from the weight store that are under way or about to begin.
    pub(super) fn pending_store_loads(&self) -> usize {
        self.store_loads
    }

    fn counts(&self, service: &ServiceName, model: &ModelName) -> Option<&Counts> {
        self.services.get(service)?.get(model)
    }

    /// Engines on which a model stands and stays.
    pub(super) fn engines_with_replica(
        &self,
        service: &ServiceName,
        model: &ModelName,
    ) -> &[UpstreamId] {
        let counts = self.counts(service, model);
        counts.map_or(&[], |counts| &counts.replicas)
    }

    /// How many there are.
    pub(super) fn replica_count(&self, service: &ServiceName, model: &ModelName) -> usize {
        self.engines_with_replica(service, model).len()
    }

    /// Engines on which a model is to be loaded.
    pub(super) fn pending_load_count(&self, service: &ServiceName, model: &ModelName) -> usize {
        self.counts(service, model)
            .map_or(0, |counts| counts.pending_loads)
    }

    /// Requests that run for a model.
    pub(super) fn running_count(&self, service: &ServiceName, model: &ModelName) -> u32 {
        self.counts(service, model)
            .map_or(0, |counts| counts.running)
    }
}
