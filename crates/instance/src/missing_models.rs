//! Since when requests have found a model on no engine, as seen by this instance: the load that the
//! first of them caused tells the others when to come back.

use passway_serving::versions::SoftwareVersion;
use passway_types::prelude::*;
use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

/// A model of a service, at engines of one software version or of any.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct MissingModel {
    /// The service of the engines.
    pub service: ServiceName,
    /// The model.
    pub model: ModelName,
    /// The software version that the request requires; `None` if any will do.
    pub required_software: Option<SoftwareVersion>,
}

/// The models that requests have missed. Only configured models are entered.
#[derive(Debug, Default)]
pub struct MissingModels {
    missing_since: Mutex<HashMap<MissingModel, Instant>>,
}

impl MissingModels {
    fn lock(&self) -> MutexGuard<'_, HashMap<MissingModel, Instant>> {
        let locked = self.missing_since.lock();
        locked.unwrap_or_else(PoisonError::into_inner)
    }

    /// Enters a model that a request has missed. Returns when the load ends that the first such
    /// request caused. If it should have ended long ago, it counts as caused by this request.
    pub fn load_ends_at(
        &self,
        missing: MissingModel,
        load_time: Duration,
        now: Instant,
    ) -> Instant {
        let mut missing_since = self.lock();
        let since = missing_since.entry(missing).or_insert(now);
        if now >= *since + load_time * 2 {
            *since = now;
        }
        *since + load_time
    }

    /// Removes a model that has served a request.
    pub fn remove(&self, missing: &MissingModel) {
        let mut missing_since = self.lock();
        if !missing_since.is_empty() {
            missing_since.remove(missing);
        }
    }
}
