//! Replicas and runs of each model over all engines of its service, counted once for
//! the many questions of one pass.

use super::engine::Engine;
use passway_types::prelude::*;
use std::collections::HashMap;

#[derive(Debug, Clone, Default)]
struct Counts {
    /// Engines on which it stands and stays.
    replicas: Vec<UpstreamId>,
    coming: usize,
    runs: u32,
}

/// The counts of one moment. They hold until an engine changes.
#[derive(Debug, Default)]
pub(super) struct Census {
    /// Loads from the weight store that are under way or about to begin.
    fetches: usize,
    services: HashMap<ServiceName, HashMap<ModelName, Counts>>,
}

impl Census {
    /// Counts what engines hold and run. A model on an engine that does not bear its requests has
    /// no replica there.
    pub(super) fn of<'a>(
        engines: impl Iterator<Item = &'a Engine>,
        bears: impl Fn(&Engine, &ModelName) -> bool,
    ) -> Self {
        let mut services: HashMap<ServiceName, HashMap<ModelName, Counts>> = HashMap::new();
        let mut fetches = 0;
        for engine in engines {
            fetches += usize::from(engine.loads_from_store());
            let counts = services.entry(engine.entry.service.clone()).or_default();
            for model in engine.staying().filter(|model| bears(engine, model)) {
                let counts = counts.entry(model.clone()).or_default();
                counts.replicas.push(engine.entry.id.clone());
            }
            if let Some(model) = engine.coming() {
                counts.entry(model.clone()).or_default().coming += 1;
            }
            for (model, runs) in engine.all_runs() {
                counts.entry(model.clone()).or_default().runs += runs;
            }
        }
        Self { fetches, services }
    }

    /// A model begins to come to an engine, and others go there.
    pub(super) fn swapped(
        &mut self,
        service: &ServiceName,
        engine: &UpstreamId,
        coming: &ModelName,
        victims: &[ModelName],
        fetches: bool,
    ) {
        self.fetches += usize::from(fetches);
        let counts = self.services.entry(service.clone()).or_default();
        counts.entry(coming.clone()).or_default().coming += 1;
        for victim in victims {
            if let Some(counts) = counts.get_mut(victim) {
                counts.replicas.retain(|id| id != engine);
            }
        }
    }

    /// Loads from the weight store that are under way or about to begin.
    pub(super) fn fetches(&self) -> usize {
        self.fetches
    }

    fn counts(&self, service: &ServiceName, model: &ModelName) -> Option<&Counts> {
        self.services.get(service)?.get(model)
    }

    /// Engines on which a model stands and stays.
    pub(super) fn engines(&self, service: &ServiceName, model: &ModelName) -> &[UpstreamId] {
        let counts = self.counts(service, model);
        counts.map_or(&[], |counts| &counts.replicas)
    }

    /// How many there are.
    pub(super) fn replicas(&self, service: &ServiceName, model: &ModelName) -> usize {
        self.engines(service, model).len()
    }

    /// Engines on which a model is to be loaded.
    pub(super) fn coming(&self, service: &ServiceName, model: &ModelName) -> usize {
        self.counts(service, model)
            .map_or(0, |counts| counts.coming)
    }

    /// Requests that run for a model.
    pub(super) fn runs(&self, service: &ServiceName, model: &ModelName) -> u32 {
        self.counts(service, model).map_or(0, |counts| counts.runs)
    }
}
