//! Replicas and runs of each model over all engines of its service, counted once for
//! the many questions of one pass.

use super::engine::Engine;
use passway_types::prelude::*;
use std::collections::HashMap;

#[derive(Debug, Clone, Copy, Default)]
struct Counts {
    replicas: usize,
    coming: usize,
    runs: u32,
}

/// The counts of one moment. They hold until an engine changes.
#[derive(Debug, Default)]
pub(super) struct Census {
    services: HashMap<ServiceName, HashMap<ModelName, Counts>>,
}

impl Census {
    /// Counts what engines hold and run.
    pub(super) fn of<'a>(engines: impl Iterator<Item = &'a Engine>) -> Self {
        let mut services: HashMap<ServiceName, HashMap<ModelName, Counts>> = HashMap::new();
        for engine in engines {
            let counts = services.entry(engine.entry.service.clone()).or_default();
            for model in engine.staying() {
                counts.entry(model.clone()).or_default().replicas += 1;
            }
            if let Some(model) = engine.coming() {
                counts.entry(model.clone()).or_default().coming += 1;
            }
            for (model, runs) in engine.all_runs() {
                counts.entry(model.clone()).or_default().runs += runs;
            }
        }
        Self { services }
    }

    fn counts(&self, service: &ServiceName, model: &ModelName) -> Counts {
        let counts = self.services.get(service);
        let counts = counts.and_then(|models| models.get(model));
        counts.copied().unwrap_or_default()
    }

    /// Engines on which a model stands and stays.
    pub(super) fn replicas(&self, service: &ServiceName, model: &ModelName) -> usize {
        self.counts(service, model).replicas
    }

    /// Engines on which a model is to be loaded.
    pub(super) fn coming(&self, service: &ServiceName, model: &ModelName) -> usize {
        self.counts(service, model).coming
    }

    /// Requests that run for a model.
    pub(super) fn runs(&self, service: &ServiceName, model: &ModelName) -> u32 {
        self.counts(service, model).runs
    }
}
