//! Which engines have a model's checkpoint near: in their memory or on their disk.
//!
//! Most models have one such engine or two, so a pass over all candidates looks at a few
//! engines each instead of all of them: at 600 engines and 730 models that all wait, 5 ms a
//! pass without this. What an engine has changes with each load, so only what differs is
//! taken in: to gather all anew cost a millisecond a pass at 256 engines.

use super::engine::Engine;
use passway_types::prelude::*;
use std::collections::{BTreeSet, HashMap};

/// Engines by the models that they have near.
#[derive(Debug, Default)]
pub(super) struct Homes {
    services: HashMap<ServiceName, HashMap<ModelName, BTreeSet<UpstreamId>>>,
    /// What each engine was last known to have, and its service.
    known: HashMap<UpstreamId, (ServiceName, BTreeSet<ModelName>)>,
}

impl Homes {
    /// Takes in what an engine tells of itself.
    pub(super) fn update(&mut self, engine: &Engine) {
        let entry = &engine.entry;
        let near = entry.in_memory.iter().chain(&entry.on_disk);
        let near: BTreeSet<ModelName> = near.cloned().collect();
        let known = self.known.get(&entry.id);
        if known.is_some_and(|(service, known)| *service == entry.service && *known == near) {
            return;
        }
        self.forget(&entry.id);
        let models = self.services.entry(entry.service.clone()).or_default();
        for model in &near {
            let homes = models.entry(model.clone()).or_default();
            homes.insert(entry.id.clone());
        }
        self.known
            .insert(entry.id.clone(), (entry.service.clone(), near));
    }

    /// An engine is gone.
    fn forget(&mut self, id: &UpstreamId) {
        let Some((service, near)) = self.known.remove(id) else {
            return;
        };
        let Some(models) = self.services.get_mut(&service) else {
            return;
        };
        for model in near {
            if let Some(homes) = models.get_mut(&model) {
                homes.remove(id);
                if homes.is_empty() {
                    models.remove(&model);
                }
            }
        }
    }

    /// Only these engines are there.
    pub(super) fn retain(&mut self, ids: &BTreeSet<UpstreamId>) {
        let gone = self.known.keys().filter(|id| !ids.contains(*id));
        let gone: Vec<UpstreamId> = gone.cloned().collect();
        for id in gone {
            self.forget(&id);
        }
    }

    /// Engines that have a model near.
    pub(super) fn of_model<'a>(
        &'a self,
        service: &ServiceName,
        model: &ModelName,
    ) -> impl Iterator<Item = &'a UpstreamId> + use<'a> {
        let models = self.services.get(service);
        let homes = models.and_then(|models| models.get(model));
        homes.into_iter().flatten()
    }
}
