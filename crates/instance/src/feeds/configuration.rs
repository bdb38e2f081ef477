//! The feed of the configuration.

use super::{Feed, Interruption};
use crate::freshness::STALE_DIVISOR;
use crate::shared::Shared;
use passway_process::logging::json::DECISION_TARGET;
use passway_serving::ports::{Directory, Listing, StoreChange, StoredValue};
use passway_types::clock;
use passway_types::prelude::*;
use std::collections::BTreeSet;

/// If the last two versions arrived within this time, more of them may have been missed.
const VERSION_BURST_WINDOW: Duration = Duration::from_secs(5);

/// Shortest interval between two versions of the configuration that is assumed for the versions
/// missed in a time of silence.
const MIN_VERSION_INTERVAL: Duration = Duration::from_millis(300);
/// Versions that may have been missed are listed, not watched, if they are larger than this together.
const MAX_MISSED_BYTES: u128 = 2 << 20;

/// After the store has returned from an older copy, operators write again what it has lost within
/// this time.
const REWRITE_DURATION: Duration = Duration::from_secs(2);

/// The metric label under which unknown halls are counted.
const UNKNOWN_HALL_LABEL: &str = "hall";

/// Applies the configuration.
pub struct ConfigurationFeed {
    /// The shared state of the instance.
    pub shared: Arc<Shared>,
    /// Decodes the configuration.
    pub directory: Arc<dyn Directory>,
    /// When the last version and the one before it arrived.
    last_versions_at: [Option<Instant>; 2],
    /// Halls that operators have emptied.
    emptied_halls: BTreeSet<DataHall>,
    /// Size of the last version that was received, in bytes.
    version_bytes: usize,
    /// Until when the store may lack a version that operators had written before it returned from
    /// an older copy, so that its answers prove nothing.
    unproven_until: Option<Instant>,
}

impl ConfigurationFeed {
    /// Creates a feed that has received nothing yet.
    pub fn new(shared: Arc<Shared>, directory: Arc<dyn Directory>) -> Self {
        Self {
            shared,
            directory,
            last_versions_at: [None; 2],
            emptied_halls: BTreeSet::new(),
            version_bytes: 0,
            unproven_until: None,
        }
    }

    /// Size of the versions that may have been written in a time of silence, in bytes.
    fn missed_bytes(&self, silence: Duration) -> u128 {
        let versions = silence.as_millis() / MIN_VERSION_INTERVAL.as_millis();
        versions.saturating_mul(self.version_bytes as u128)
    }

    /// Closes the emptied halls, and opens all others.
    fn apply_emptied_halls(&self) {
        let mut upstreams = self.shared.upstreams();
        let previous = upstreams.evacuated().clone();
        if !upstreams.set_evacuated(self.emptied_halls.clone(), clock::now()) {
            return;
        }
        let unknown = self.emptied_halls.difference(&previous);
        let unknown = unknown.filter(|hall| !upstreams.is_known_hall(hall));
        let unknown: Vec<DataHall> = unknown.cloned().collect();
        drop(upstreams);
        for hall in unknown {
            self.shared.metrics.unusable_signal(UNKNOWN_HALL_LABEL);
            log::error!(hall:% = hall; "cannot evacuate an unknown data hall");
        }
        log::info!(target: DECISION_TARGET, halls:? = self.emptied_halls; "data halls evacuated by operators");
        self.shared.notify_upstreams_changed();
    }

    fn apply_configuration(&mut self, value: &StoredValue) {
        self.version_bytes = value.value.len();
        match self.directory.decode_configuration(value) {
            Ok(Some(table)) => {
                let age = &self.shared.configuration_age;
                let known = self.shared.routes.load();
                // An older version never replaces a newer one.
                if known
                    .as_ref()
                    .is_some_and(|known| known.version >= table.version)
                {
                    age.set_superseded(false);
                    return;
                }
                log::info!(target: DECISION_TARGET, version = table.version; "configuration in force");
                let version = table.version;
                self.shared.allotments.retain(&table);
                let services = table.services.values();
                let cold = services
                    .filter_map(|service| Some((service.name.clone(), service.cold_limit?)));
                self.shared.upstreams().set_cold_limits(cold.collect());
                let services = table.services.values();
                let tokens_per_event = services.filter_map(|service| {
                    let tokens_per_event = service.pool.as_ref()?.tokens_per_event?;
                    Some((service.name.clone(), tokens_per_event))
                });
                self.shared
                    .upstreams()
                    .set_tokens_per_event(tokens_per_event.collect());
                self.shared.versions.apply_routes(&table);
                self.shared.routes.store(Some(Arc::new(table)));
                age.set_in_force(version);
                age.set_superseded(false);
            }
            Ok(None) => {}
            Err(error) => {
                self.shared.configuration_age.set_superseded(true);
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

    fn apply_listing(&mut self, listing: &Listing) {
        for value in &listing.values {
            self.apply_configuration(value);
        }
        let keys = listing.values.iter().map(|value| &value.key);
        let halls = keys.filter_map(|key| self.directory.evacuated_hall(key));
        self.emptied_halls = halls.map(Into::into).collect();
        self.apply_emptied_halls();
    }

    fn apply_change(&mut self, change: &StoreChange) -> bool {
        if let Some(hall) = self.directory.evacuated_hall(change.key()) {
            match change {
                StoreChange::Written(_) => self.emptied_halls.insert(hall.into()),
                StoreChange::Removed { .. } => self.emptied_halls.remove(hall),
            };
            self.apply_emptied_halls();
        } else if let StoreChange::Written(value) = change {
            // Operators have written again what the store had lost.
            self.unproven_until = None;
            self.apply_configuration(value);
            self.last_versions_at = [Some(clock::now()), self.last_versions_at[0]];
        }
        true
    }

    fn store_returned(&mut self) {
        self.unproven_until = Some(clock::now() + REWRITE_DURATION);
    }

    fn confirmed(&mut self, asked_at: Instant) {
        if self.unproven_until.is_some_and(|until| asked_at < until) {
            return;
        }
        // An unusable version counts as not written: the last usable one stays in effect, and only
        // what it denies remains unproved.
        if let Some(table) = &*self.shared.routes.load() {
            let age = &self.shared.configuration_age;
            age.record_store_answer(table.version, asked_at);
        }
    }

    fn finish_batch(&mut self) -> Duration {
        Duration::ZERO
    }

    /// A listing contains the whole configuration, 180 kB for 1,375 models. All instances query at
    /// the same time when the holder is lost: 53 MB for 295 of them, 0.4 s on the store's link. A
    /// watch returns nothing if no version was written meanwhile, but otherwise every version. If
    /// each unanswered watch became a list, the lists of a large fleet would keep the store's link
    /// full, so that the next watches would not be answered either.
    fn prefers_listing(&self, after: Interruption) -> bool {
        let is_recent =
            |at: Option<Instant>| at.is_some_and(|at| clock::since(at) < VERSION_BURST_WINDOW);
        let may_have_missed_many = match after {
            Interruption::HolderLost => false,
            Interruption::StoreSilent(silence) => self.missed_bytes(silence) > MAX_MISSED_BYTES,
        };
        may_have_missed_many || self.last_versions_at.into_iter().all(is_recent)
    }

    /// While the holder is relied on, its answers to queries prove the configuration. The store is
    /// queried too if those have proved nothing for long, or if requests that would be denied wait
    /// for a proof.
    fn must_query_store(&self) -> bool {
        let shared = &self.shared;
        let bound = shared.revocation_bound();
        let age = &shared.configuration_age;
        let is_proof_old = |bound: Duration| !age.is_younger(bound / STALE_DIVISOR);
        age.is_store_query_due() || bound.is_some_and(is_proof_old)
    }

    fn shared(&self) -> &Shared {
        &self.shared
    }
}
