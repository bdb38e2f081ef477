//! The feed of the configuration.

use super::{Feed, Outage};
use crate::freshness::OLD_PART;
use crate::shared::Shared;
use passway_process::logging::json::DECISION_TARGET;
use passway_serving::ports::{Directory, Listing, StoreChange, StoredValue};
use passway_types::clock;
use passway_types::prelude::*;
use std::collections::BTreeSet;

/// Versions that came within this time are a series: more of them may lie behind.
const SERIES_TIME: Duration = Duration::from_secs(5);

/// The name under which halls that are not known are counted.
const HALL_WORD: &str = "hall";

/// Takes in the configuration.
pub struct ConfigurationFeed {
    /// What the instance shares.
    pub shared: Arc<Shared>,
    /// Decodes it.
    pub directory: Arc<dyn Directory>,
    /// When the last version and the one before it came.
    versions_at: [Option<Instant>; 2],
    /// Halls that operators have emptied.
    emptied: BTreeSet<DataHall>,
}

impl ConfigurationFeed {
    /// A feed that has heard nothing yet.
    pub fn new(shared: Arc<Shared>, directory: Arc<dyn Directory>) -> Self {
        Self {
            shared,
            directory,
            versions_at: [None; 2],
            emptied: BTreeSet::new(),
        }
    }

    /// Halls of which nobody is to be sent anything are closed from now on, and no others.
    fn use_emptied(&self) {
        let mut upstreams = self.shared.upstreams();
        let before = upstreams.emptied().clone();
        if !upstreams.set_emptied(self.emptied.clone(), clock::now()) {
            return;
        }
        let unknown = self.emptied.difference(&before);
        let unknown = unknown.filter(|hall| !upstreams.knows_hall(hall));
        let unknown: Vec<DataHall> = unknown.cloned().collect();
        drop(upstreams);
        for hall in unknown {
            self.shared.metrics.unusable_signal(HALL_WORD);
            log::error!(hall:% = hall; "a hall that is not known is to be emptied");
        }
        log::info!(target: DECISION_TARGET, halls:? = self.emptied; "halls emptied by operators");
        self.shared.notify_upstreams_changed();
    }

    fn take(&self, value: &StoredValue) {
        match self.directory.configuration(value) {
            Ok(Some(table)) => {
                let known = self.shared.routes.load();
                // A version never gives way to an older one.
                if known
                    .as_ref()
                    .is_some_and(|known| known.version >= table.version)
                {
                    return;
                }
                log::info!(target: DECISION_TARGET, version = table.version; "configuration in force");
                let version = table.version;
                self.shared.allotments.retain(&table);
                let services = table.services.values();
                let cold =
                    services.filter_map(|service| Some((service.name.clone(), service.cold?)));
                self.shared.upstreams().set_cold_bounds(cold.collect());
                self.shared.routes.store(Some(Arc::new(table)));
                self.shared.configuration_age.set_in_force(version);
            }
            Ok(None) => {}
            Err(error) => {
                self.shared.metrics.unusable_configuration();
                log::error!(error:% = format!("{error:#}"); "a configuration cannot be used; the last good one stays in force");
            }
        }
    }
}

impl Feed for ConfigurationFeed {
    fn prefix(&self) -> String {
        self.directory.configuration_prefix().to_owned()
    }

    fn listed(&mut self, listing: &Listing) {
        for value in &listing.values {
            self.take(value);
        }
        let keys = listing.values.iter().map(|value| &value.key);
        let halls = keys.filter_map(|key| self.directory.emptied_hall(key));
        self.emptied = halls.map(Into::into).collect();
        self.use_emptied();
    }

    fn changed(&mut self, change: &StoreChange) -> bool {
        if let Some(hall) = self.directory.emptied_hall(change.key()) {
            match change {
                StoreChange::Written(_) => self.emptied.insert(hall.into()),
                StoreChange::Removed { .. } => self.emptied.remove(hall),
            };
            self.use_emptied();
        } else if let StoreChange::Written(value) = change {
            self.take(value);
            self.versions_at = [Some(clock::now()), self.versions_at[0]];
        }
        true
    }

    fn confirmed(&mut self, asked_at: Instant) {
        // One that cannot be used counts as not written: the last good one stays in force.
        if let Some(table) = &*self.shared.routes.load() {
            let age = &self.shared.configuration_age;
            age.store_answered(table.version, asked_at);
        }
    }

    fn settled(&mut self) -> Duration {
        Duration::ZERO
    }

    /// A list has the whole configuration, 180 kB for 1,375 models, and all instances ask at
    /// the same moment when the holder is lost: 53 MB for 295 of them, 0.4 s of the store's
    /// link. A watch has nothing if no version came meanwhile, and each that did if some have.
    fn lists_rather(&self, after: Outage) -> bool {
        let is_recent = |at: Option<Instant>| at.is_some_and(|at| clock::since(at) < SERIES_TIME);
        after == Outage::OfStore || self.versions_at.into_iter().all(is_recent)
    }

    /// While the holder is relied on it is asked how old its proof is; the store is, too, where that has
    /// proved nothing for long.
    fn must_ask(&self) -> bool {
        let shared = &self.shared;
        let bound = shared.revocation_bound();
        bound.is_some_and(|bound| !shared.configuration_age.is_younger(bound / OLD_PART))
    }

    fn shared(&self) -> &Shared {
        &self.shared
    }
}
