//! The feed of the upstreams.

use super::Feed;
use crate::holder::Input;
use crate::leadership::LeadershipDriver;
use crate::shared::Shared;
use anyhow::ensure;
use crossbeam::channel::Sender;
use passway_process::logging::json::DECISION_TARGET;
use passway_serving::ports::{Directory, Listing, StoreChange, StoredValue};
use passway_serving::upstreams::UpstreamEntry;
use passway_types::clock;
use passway_types::prelude::*;
use std::collections::BTreeSet;

/// Applies the upstreams' entries.
pub struct UpstreamFeed {
    /// The shared state of the instance.
    pub shared: Arc<Shared>,
    /// Decodes the entries.
    pub directory: Arc<dyn Directory>,
    /// Inputs of the holder thread.
    pub holder_inputs: Sender<Input>,
    /// Whether this instance is the holder.
    pub leadership: Arc<LeadershipDriver>,
    /// Keys of unusable entries, so that each is logged once.
    unusable: BTreeSet<String>,
}

/// Changes of upstreams within this time are fetched by one call.
const BATCH_DELAY: Duration = Duration::from_millis(400);
/// The same at the holder of leadership, which waits for the effects of its orders.
const HOLDER_BATCH_DELAY: Duration = Duration::from_millis(30);
/// Added to the holder's delay for each upstream, so that more upstreams do not cause more calls.
const HOLDER_BATCH_DELAY_PER_UPSTREAM: Duration = Duration::from_micros(1_200);
/// Maximum of the holder's delay. The effects of the two orders of a model swap show in the
/// engine's entry half a delay late on average. With 317 ms, as 264 upstreams would make it, a
/// third of a swap of 1 s was waiting.
const MAX_HOLDER_BATCH_DELAY: Duration = Duration::from_millis(110);

/// Time for which a store's link of 1,000 Mbit/s carries the answer with the entry of an upstream to
/// one instance: 500 bytes.
const TRANSFER_TIME_PER_ENTRY: Duration = Duration::from_micros(4);
/// Divides the time within which an instance must learn of leaving upstreams to get the longest mean
/// interval of its own queries. Half as much again by chance, a second in which the holder's
/// silence is noticed, and the answer itself fit into the rest.
const QUERY_INTERVAL_DIVISOR: u32 = 4;
/// Divides the time after a start for which no bound holds to get the mean time for which an
/// instance that has read its first list leaves changes to the holder. Upstreams that start
/// together with the instances write thousands of entries a second.
const FIRST_QUERY_DIVISOR: u32 = 2;

impl UpstreamFeed {
    /// Creates a feed that has received nothing yet.
    pub fn new(
        shared: Arc<Shared>,
        directory: Arc<dyn Directory>,
        holder_inputs: Sender<Input>,
        leadership: Arc<LeadershipDriver>,
    ) -> Self {
        Self {
            shared,
            directory,
            holder_inputs,
            leadership,
            unusable: BTreeSet::new(),
        }
    }

    fn send_to_holder(&self, input: Input) {
        // The channel closes only when the process exits.
        let _ = self.holder_inputs.send(input);
    }

    /// Forgets expired upstreams, in this instance and in the holder thread.
    fn expire(&self) {
        let mut upstreams = self.shared.upstreams();
        let expired = upstreams.remove_expired(clock::now());
        if expired.is_empty() {
            return;
        }
        let remaining = upstreams.entries().map(|entry| entry.id.clone()).collect();
        drop(upstreams);
        for entry in &expired {
            log::info!(target: DECISION_TARGET, upstream:% = entry.id; "an upstream is gone");
            self.shared.pool.close_idle(&entry.id);
            if !entry.draining {
                self.shared.starts_ended(&entry.id, u64::MAX);
            }
        }
        self.shared.limits.retain(&self.shared);
        self.send_to_holder(Input::UpstreamsListed(remaining));
    }

    /// Decodes an upstream's entry; `None` if it is unusable, since it may have been written by
    /// another program.
    fn decode(&mut self, value: &StoredValue) -> Option<UpstreamEntry> {
        let entry = self.directory.decode_upstream(value, clock::now());
        match entry.and_then(|entry| self.check_service(entry)) {
            Ok(mut entry) => {
                self.unusable.remove(&value.key);
                let upstreams = self.shared.upstreams();
                entry.draining |= upstreams.is_leaving(&entry.id, entry.started_at_ms);
                drop(upstreams);
                Some(entry)
            }
            Err(error) => {
                if self.unusable.insert(value.key.clone()) {
                    self.shared.metrics.unusable_entry();
                    log::warn!(key = value.key, error:% = format!("{error:#}"); "an upstream's entry cannot be used");
                }
                None
            }
        }
    }

    /// Checks that a known upstream does not move to a service that the configuration does not
    /// know. Such an entry was not written by the upstream itself, and must not count as its newest
    /// one.
    fn check_service(&self, entry: UpstreamEntry) -> anyhow::Result<UpstreamEntry> {
        let table = self.shared.routes.load();
        let is_known = |service| {
            let services = table.as_ref().map(|table| &table.services);
            services.is_some_and(|services| services.contains_key(service))
        };
        let upstreams = self.shared.upstreams();
        let current_service = upstreams.service_of(&entry.id);
        let moves =
            current_service.is_some_and(|current| *current != entry.service && is_known(current));
        ensure!(
            !moves || is_known(&entry.service),
            "an unknown service, {}",
            entry.service
        );
        drop(upstreams);
        Ok(entry)
    }

    /// Records that an upstream is no longer listed.
    fn mark_missing(&self, id: &str) {
        let expires_at = self
            .shared
            .store_health
            .missing_entry_expires_at(clock::now());
        self.shared.upstreams().mark_missing(id, expires_at);
        self.expire();
    }
}

impl Feed for UpstreamFeed {
    fn prefix(&self) -> String {
        self.directory.upstream_prefix().to_owned()
    }

    fn apply_listing(&mut self, listing: &Listing) {
        self.unusable
            .retain(|key| listing.values.iter().any(|value| value.key == *key));
        let entries = listing.values.iter().filter_map(|value| self.decode(value));
        let entries: Vec<_> = entries.collect();
        for entry in &entries {
            self.send_to_holder(Input::UpstreamSeen(entry.clone()));
        }
        let now = clock::now();
        let expires_at = self.shared.store_health.missing_entry_expires_at(now);
        self.shared
            .upstreams()
            .replace_all(entries, expires_at, now);
        self.shared.handle_restarts();
        self.expire();
        self.shared.mark_upstreams_listed();
        self.shared.versions.wake();
        self.shared.notify_upstreams_changed();
    }

    fn apply_change(&mut self, change: &StoreChange) -> bool {
        match change {
            StoreChange::Written(value) => {
                let Some(entry) = self.decode(value) else {
                    if let Some(id) = self.directory.upstream_id(&value.key) {
                        self.mark_missing(id);
                    }
                    return true;
                };
                self.send_to_holder(Input::UpstreamSeen(entry.clone()));
                // Models on an engine are published as placements, which are shorter.
                let must_publish = self.shared.upstreams().update(entry, clock::now());
                self.shared.handle_restarts();
                must_publish
            }
            StoreChange::Removed { key, .. } => {
                self.unusable.remove(key);
                if let Some(id) = self.directory.upstream_id(key) {
                    self.mark_missing(id);
                }
                true
            }
        }
    }

    fn tick(&mut self) {
        self.expire();
    }

    fn finish_batch(&mut self) -> Duration {
        self.shared.versions.wake();
        self.shared.notify_upstreams_changed();
        if self.leadership.term().is_some() {
            let upstreams = self.shared.upstreams().entries().count();
            let upstreams = u32::try_from(upstreams).unwrap_or(u32::MAX);
            let delay = HOLDER_BATCH_DELAY_PER_UPSTREAM.saturating_mul(upstreams);
            delay.clamp(HOLDER_BATCH_DELAY, MAX_HOLDER_BATCH_DELAY)
        } else {
            BATCH_DELAY
        }
    }

    /// If all instances of a large fleet watched the upstreams while there is no holder, their
    /// answers would fill the store's link, and no instance could renew the lease of the leadership.
    /// Leaving upstreams must still become known in time.
    fn min_query_interval(&self) -> Duration {
        let longest = self.shared.bounds.load().leaving / QUERY_INTERVAL_DIVISOR;
        self.min_list_interval().min(longest)
    }

    /// The store's link cannot carry the lists of all instances faster.
    fn min_list_interval(&self) -> Duration {
        let count = |number| u32::try_from(number).unwrap_or(u32::MAX);
        let instances = count(self.shared.instance_count());
        let upstreams = count(self.shared.upstreams().entries().count());
        TRANSFER_TIME_PER_ENTRY.saturating_mul(instances.saturating_mul(upstreams))
    }

    fn first_query_delay(&self) -> Duration {
        self.shared.bounds.load().joining / FIRST_QUERY_DIVISOR
    }

    /// The holder reads the whole list, because the other instances receive it from the holder.
    fn may_leave_to_holder(&self) -> bool {
        self.leadership.term().is_none()
    }

    fn shared(&self) -> &Shared {
        &self.shared
    }
}
