//! Replicas and running requests of each model over all engines of its service, counted once per
//! pass because one pass reads them many times.

use super::engine::Engine;
use passway_types::prelude::*;
use std::collections::HashMap;

#[derive(Debug, Clone, Default)]
struct Counts {
    /// Engines on which the model is loaded and not about to be unloaded.
    replicas: Vec<UpstreamId>,
    /// Sum of the capacity ratios of these engines.
    capacity_ratios: f64,
    /// Engines that are loading the model or about to load it.
    pending_loads: Vec<UpstreamId>,
    running: u32,
}

/// The counts at one point in time. They are valid until an engine changes.
#[derive(Debug, Default)]
pub(super) struct ReplicaCounts {
    /// Loads from the weight store that are in progress or about to begin.
    store_loads: usize,
    /// Those whose order is not in flight, by service.
    unordered_store_loads: HashMap<ServiceName, usize>,
    counts_by_model: HashMap<ServiceName, HashMap<ModelName, Counts>>,
}

impl ReplicaCounts {
    /// Counts replicas and running requests. A model on an engine does not count as a replica if
    /// `can_serve` is false for it.
    pub(super) fn count<'a>(
        engines: impl Iterator<Item = &'a Engine>,
        can_serve: impl Fn(&Engine, &ModelName) -> bool,
    ) -> Self {
        let mut counts_by_model: HashMap<ServiceName, HashMap<ModelName, Counts>> = HashMap::new();
        let mut store_loads = 0;
        let mut unordered_store_loads: HashMap<ServiceName, usize> = HashMap::new();
        for engine in engines {
            store_loads += usize::from(engine.has_pending_store_load());
            if engine.has_unordered_store_load() {
                let service = engine.entry.service.clone();
                *unordered_store_loads.entry(service).or_default() += 1;
            }
            let counts = counts_by_model
                .entry(engine.entry.service.clone())
                .or_default();
            for model in engine
                .usable_models()
                .filter(|model| can_serve(engine, model))
            {
                let counts = counts.entry(model.clone()).or_default();
                counts.replicas.push(engine.entry.id.clone());
                counts.capacity_ratios += engine.speed.weights.capacity_ratio;
            }
            if let Some(model) = engine.pending_load() {
                let counts = counts.entry(model.clone()).or_default();
                counts.pending_loads.push(engine.entry.id.clone());
            }
            for (model, running) in engine.running_requests() {
                counts.entry(model.clone()).or_default().running += running;
            }
        }
        Self {
            store_loads,
            unordered_store_loads,
            counts_by_model,
        }
    }

    /// Records that a swap begins: one model will be loaded on an engine, and others are evicted.
    pub(super) fn record_swap(
        &mut self,
        engine: &Engine,
        loading: &ModelName,
        victims: &[ModelName],
    ) {
        self.store_loads += usize::from(engine.has_pending_store_load());
        let service = engine.entry.service.clone();
        if engine.has_unordered_store_load() {
            let unordered = self.unordered_store_loads.entry(service.clone());
            *unordered.or_default() += 1;
        }
        let counts = self.counts_by_model.entry(service).or_default();
        let loading = counts.entry(loading.clone()).or_default();
        loading.pending_loads.push(engine.entry.id.clone());
        for victim in victims {
            if let Some(counts) = counts.get_mut(victim) {
                let previous = counts.replicas.len();
                counts.replicas.retain(|id| *id != engine.entry.id);
                if counts.replicas.len() < previous {
                    counts.capacity_ratios -= engine.speed.weights.capacity_ratio;
                }
            }
        }
    }

    /// The mean capacity ratio of a model's replicas; 1 without any.
    pub(super) fn mean_capacity_ratio(&self, service: &ServiceName, model: &ModelName) -> f64 {
        let counts = self.counts(service, model);
        let replicas = counts.map_or(0, |counts| counts.replicas.len());
        match u32::try_from(replicas) {
            Ok(replicas) if replicas > 0 => {
                counts.map_or(1.0, |counts| counts.capacity_ratios) / f64::from(replicas)
            }
            _ => 1.0,
        }
    }

    /// Loads from the weight store that are in progress or about to begin.
    pub(super) fn pending_store_loads(&self) -> usize {
        self.store_loads
    }

    /// Loads of a service from the weight store that are about to begin and not ordered yet.
    pub(super) fn unordered_store_loads(&self, service: &ServiceName) -> usize {
        self.unordered_store_loads
            .get(service)
            .copied()
            .unwrap_or(0)
    }

    fn counts(&self, service: &ServiceName, model: &ModelName) -> Option<&Counts> {
        self.counts_by_model.get(service)?.get(model)
    }

    /// Engines on which a model is loaded and not about to be unloaded.
    pub(super) fn engines_with_replica(
        &self,
        service: &ServiceName,
        model: &ModelName,
    ) -> &[UpstreamId] {
        let counts = self.counts(service, model);
        counts.map_or(&[], |counts| &counts.replicas)
    }

    /// Number of engines on which a model is loaded and not about to be unloaded.
    pub(super) fn replica_count(&self, service: &ServiceName, model: &ModelName) -> usize {
        self.engines_with_replica(service, model).len()
    }

    /// Engines that are loading a model or about to load it.
    pub(super) fn engines_loading(
        &self,
        service: &ServiceName,
        model: &ModelName,
    ) -> &[UpstreamId] {
        let counts = self.counts(service, model);
        counts.map_or(&[], |counts| &counts.pending_loads)
    }

    /// Number of engines that are loading a model or about to load it.
    pub(super) fn pending_load_count(&self, service: &ServiceName, model: &ModelName) -> usize {
        self.engines_loading(service, model).len()
    }

    /// Running requests for a model.
    pub(super) fn running_count(&self, service: &ServiceName, model: &ModelName) -> u32 {
        self.counts(service, model)
            .map_or(0, |counts| counts.running)
    }
}
