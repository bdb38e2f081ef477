//! Model servers of which each that has crashed is replaced by another one.

use super::model_server::{Faults, ModelServer};
use super::store::MetadataStandIn;
use passway_types::prelude::*;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Interval at which crashes are looked for.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Model servers with the same model and faults.
#[derive(Debug)]
pub struct ReplacedEngines {
    /// The store that lists the servers.
    pub store: MetadataStandIn,
    model: String,
    faults: Faults,
    /// How long a server takes to be replaced.
    replacement_delay: Duration,
    engines: Mutex<Vec<ModelServer>>,
    is_over: AtomicBool,
}

impl ReplacedEngines {
    /// Starts `count` servers and lists them in the store.
    pub fn start(
        store: MetadataStandIn,
        count: usize,
        model: &str,
        faults: Faults,
        replacement_delay: Duration,
    ) -> Self {
        let fleet = Self {
            store,
            model: model.to_owned(),
            faults,
            replacement_delay,
            engines: Mutex::default(),
            is_over: AtomicBool::new(false),
        };
        (0..count).for_each(|_| fleet.add_engine());
        fleet
    }

    fn lock_engines(&self) -> MutexGuard<'_, Vec<ModelServer>> {
        self.engines.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns all servers so far, crashed ones included.
    pub fn engines(&self) -> Vec<ModelServer> {
        self.lock_engines().clone()
    }

    fn add_engine(&self) {
        let mut engines = self.lock_engines();
        let id = format!("i-{}", engines.len());
        let models = [&*self.model];
        let engine = ModelServer::start(&self.store, &id, "engines", 1, &models, &[]);
        engine.set_faults(self.faults.clone());
        engines.push(engine);
    }

    /// Replaces servers that have crashed, until [`ReplacedEngines::stop_replacing`].
    pub fn replace_crashed(&self) {
        std::thread::scope(|scope| {
            let mut replaced = Vec::new();
            while !self.is_over.load(Ordering::Acquire) {
                for engine in self.engines() {
                    if !engine.has_crashed() || replaced.contains(&engine.id) {
                        continue;
                    }
                    replaced.push(engine.id.clone());
                    scope.spawn(move || {
                        std::thread::sleep(self.replacement_delay);
                        self.store.remove(&format!("servers/{}", engine.id));
                        self.add_engine();
                    });
                }
                std::thread::sleep(POLL_INTERVAL);
            }
        });
    }

    /// Ends [`ReplacedEngines::replace_crashed`].
    pub fn stop_replacing(&self) {
        self.is_over.store(true, Ordering::Release);
    }
}
