//! Detects models whose loads crash engines.

use super::engine::Engine;
use crate::poison::{MAX_CRASHES, UpstreamStart};
use passway_types::prelude::*;
use std::collections::{BTreeMap, BTreeSet};

/// A model is not loaded for this long after the last engine crashed while loading it. This also
/// bounds the cost to a model if the engines terminated for other reasons.
const REFUSAL_DURATION: Duration = Duration::from_mins(10);

/// The engines that crashed while loading one model.
#[derive(Debug)]
struct CrashedEngines {
    engines: BTreeSet<UpstreamStart>,
    last_crash_at: Instant,
}

impl CrashedEngines {
    fn is_refused(&self) -> bool {
        usize::try_from(MAX_CRASHES).is_ok_and(|max| self.engines.len() >= max)
    }
}

/// Loads of this term during which an engine crashed.
#[derive(Debug, Default)]
pub(super) struct CrashingLoads {
    by_model: BTreeMap<(ServiceName, ModelName), CrashedEngines>,
}

impl CrashingLoads {
    /// Records that an engine terminated while it was loading a model.
    pub(super) fn record_crash(
        &mut self,
        service: &ServiceName,
        model: &ModelName,
        engine: UpstreamStart,
        now: Instant,
    ) {
        let key = (service.clone(), model.clone());
        let crashed = self.by_model.entry(key).or_insert(CrashedEngines {
            engines: BTreeSet::new(),
            last_crash_at: now,
        });
        crashed.engines.insert(engine);
        crashed.last_crash_at = now;
    }

    /// Drops crashes that are too old, and models that an engine has loaded since the last crash.
    pub(super) fn expire(&mut self, engines: &BTreeMap<UpstreamId, Engine>, now: Instant) {
        self.by_model.retain(|(service, model), crashed| {
            let mut engines = engines.values();
            let was_loaded_since =
                engines.any(|e| e.has_loaded(service, model, crashed.last_crash_at));
            !was_loaded_since && now < crashed.last_crash_at + REFUSAL_DURATION
        });
    }

    /// The models that must not be loaded.
    pub(super) fn refused(&self) -> impl Iterator<Item = &(ServiceName, ModelName)> {
        let refused = self
            .by_model
            .iter()
            .filter(|(_, crashed)| crashed.is_refused());
        refused.map(|(key, _)| key)
    }

    /// Whether a model must not be loaded.
    pub(super) fn is_refused(&self, service: &ServiceName, model: &ModelName) -> bool {
        if self.by_model.is_empty() {
            return false;
        }
        let crashed = self.by_model.get(&(service.clone(), model.clone()));
        crashed.is_some_and(CrashedEngines::is_refused)
    }
}
