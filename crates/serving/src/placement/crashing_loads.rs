//! Models whose loads end engines.

use super::engine::Engine;
use crate::poison::{MAX_CRASHES, UpstreamStart};
use passway_types::prelude::*;
use std::collections::{BTreeMap, BTreeSet};

/// A model is not loaded for so long after the last engine that ended while it came: engines
/// that ended for other reasons cost a model that much at most.
const REFUSED_TIME: Duration = Duration::from_mins(10);

/// The engines that ended while one model came to them.
#[derive(Debug)]
struct Ended {
    engines: BTreeSet<UpstreamStart>,
    last_at: Instant,
}

impl Ended {
    fn is_refused(&self) -> bool {
        usize::try_from(MAX_CRASHES).is_ok_and(|most| self.engines.len() >= most)
    }
}

/// Loads of this term that engines did not outlast.
#[derive(Debug, Default)]
pub(super) struct CrashingLoads {
    by_model: BTreeMap<(ServiceName, ModelName), Ended>,
}

impl CrashingLoads {
    /// An engine has ended while a model came to it.
    pub(super) fn ended(
        &mut self,
        service: &ServiceName,
        model: &ModelName,
        engine: UpstreamStart,
        now: Instant,
    ) {
        let key = (service.clone(), model.clone());
        let ended = self.by_model.entry(key).or_insert(Ended {
            engines: BTreeSet::new(),
            last_at: now,
        });
        ended.engines.insert(engine);
        ended.last_at = now;
    }

    /// Forgets what is old, and models that have come to an engine since.
    pub(super) fn expire(&mut self, engines: &BTreeMap<UpstreamId, Engine>, now: Instant) {
        self.by_model.retain(|(service, model), ended| {
            let mut engines = engines.values();
            let has_come = engines.any(|e| e.has_loaded(service, model, ended.last_at));
            !has_come && now < ended.last_at + REFUSED_TIME
        });
    }

    /// The models that are not to be loaded.
    pub(super) fn refused(&self) -> impl Iterator<Item = &(ServiceName, ModelName)> {
        let refused = self.by_model.iter().filter(|(_, ended)| ended.is_refused());
        refused.map(|(key, _)| key)
    }

    /// Whether a model is not to be loaded.
    pub(super) fn is_refused(&self, service: &ServiceName, model: &ModelName) -> bool {
        if self.by_model.is_empty() {
            return false;
        }
        let ended = self.by_model.get(&(service.clone(), model.clone()));
        ended.is_some_and(Ended::is_refused)
    }
}
