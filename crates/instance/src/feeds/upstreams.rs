//! The feed of the upstreams.

use super::Feed;
use crate::holder::Input;
use crate::right::Right;
use crate::shared::Shared;
use anyhow::ensure;
use crossbeam::channel::Sender;
use passway_process::logging::json::DECISION_TARGET;
use passway_serving::ports::{Directory, Listing, StoreChange, StoredValue};
use passway_serving::upstreams::UpstreamEntry;
use passway_types::clock;
use passway_types::prelude::*;
use std::collections::BTreeSet;

/// Takes in the upstreams.
pub struct UpstreamFeed {
    /// What the instance shares.
    pub shared: Arc<Shared>,
    /// Decodes it.
    pub directory: Arc<dyn Directory>,
    /// The thread that orders, if this instance may.
    pub holder: Sender<Input>,
    /// Whether it may.
    pub right: Arc<Right>,
    /// Keys whose entries cannot be used, so that each is told once.
    unusable: BTreeSet<String>,
}

/// Changes of upstreams within this time are taken in by one call.
const UPSTREAM_PAUSE: Duration = Duration::from_millis(400);
/// The same at the holder of the right to order, which waits for engines' words.
const HOLDER_PAUSE: Duration = Duration::from_millis(30);
/// What each upstream adds to it, so that more of them do not make more calls.
const HOLDER_PAUSE_PER_UPSTREAM: Duration = Duration::from_micros(1_200);
/// Longest such pause. Each of the two orders of a swap shows its effect in an engine's entry,
/// half a pause late in the mean: with 317 ms, as 264 upstreams would make it, a third of a
/// swap of 1 s was waiting for that.
const LONGEST_HOLDER_PAUSE: Duration = Duration::from_millis(110);

impl UpstreamFeed {
    /// A feed that has heard nothing yet.
    pub fn new(
        shared: Arc<Shared>,
        directory: Arc<dyn Directory>,
        holder: Sender<Input>,
        right: Arc<Right>,
    ) -> Self {
        Self {
            shared,
            directory,
            holder,
            right,
            unusable: BTreeSet::new(),
        }
    }

    fn tell(&self, input: Input) {
        // The deciding thread ends only with the process.
        let _ = self.holder.send(input);
    }

    /// Forgets upstreams that are gone, here and at the holder.
    fn expire(&self) {
        let mut upstreams = self.shared.upstreams();
        let gone = upstreams.expire(clock::now());
        if gone.is_empty() {
            return;
        }
        let left = upstreams.entries().map(|entry| entry.id.clone()).collect();
        drop(upstreams);
        for entry in &gone {
            log::info!(target: DECISION_TARGET, upstream:% = entry.id; "an upstream is gone");
            self.shared.pool.close_idle(&entry.id);
            if !entry.draining {
                self.shared.starts_ended(&entry.id, u64::MAX);
            }
        }
        self.shared.limits.retain(&self.shared);
        self.tell(Input::Listed(left));
    }

    /// What an upstream says of itself; `None` if the entry names none that can be used. It
    /// may have been written by something else.
    fn decode(&mut self, value: &StoredValue) -> Option<UpstreamEntry> {
        let entry = self.directory.upstream(value, clock::now());
        match entry.and_then(|entry| self.of_its_service(entry)) {
            Ok(mut entry) => {
                self.unusable.remove(&value.key);
                let upstreams = self.shared.upstreams();
                entry.draining |= upstreams.leaves(&entry.id, entry.started_at_ms);
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

    /// An upstream stays with its service: what moves it to one that the configuration does
    /// not know is not its own word, and must not pass for the newest one.
    fn of_its_service(&self, entry: UpstreamEntry) -> anyhow::Result<UpstreamEntry> {
        let table = self.shared.routes.load();
        let is_known = |service| {
            let services = table.as_ref().map(|table| &table.services);
            services.is_some_and(|services| services.contains_key(service))
        };
        let upstreams = self.shared.upstreams();
        let before = upstreams.service_of(&entry.id);
        let moves = before.is_some_and(|before| *before != entry.service && is_known(before));
        ensure!(
            !moves || is_known(&entry.service),
            "an unknown service, {}",
            entry.service
        );
        drop(upstreams);
        Ok(entry)
    }

    /// Connections to what upstreams were before they started again lead nowhere.
    fn forget_restarted(&self) {
        let restarted = self.shared.upstreams().take_restarted();
        for id in restarted {
            log::info!(target: DECISION_TARGET, upstream:% = id; "an upstream has started again under its id");
            self.shared.pool.close_idle(&id);
            let started_at_ms = self.shared.upstreams().started_at_ms(&id);
            self.shared.starts_ended(&id, started_at_ms);
        }
    }

    /// An upstream is not listed any more.
    fn miss(&self, id: &str) {
        let gone_at = self.shared.store_health.gone_at(clock::now());
        self.shared.upstreams().miss(id, gone_at);
        self.expire();
    }
}

impl Feed for UpstreamFeed {
    fn prefix(&self) -> String {
        self.directory.upstream_prefix().to_owned()
    }

    fn listed(&mut self, listing: &Listing) {
        self.unusable
            .retain(|key| listing.values.iter().any(|value| value.key == *key));
        let entries = listing.values.iter().filter_map(|value| self.decode(value));
        let entries: Vec<_> = entries.collect();
        for entry in &entries {
            self.tell(Input::Heard(entry.clone()));
        }
        let now = clock::now();
        let gone_at = self.shared.store_health.gone_at(now);
        self.shared.upstreams().replace(entries, gone_at, now);
        self.forget_restarted();
        self.expire();
        self.shared.mark_upstreams_listed();
        self.shared.notify_upstreams_changed();
    }

    fn changed(&mut self, change: &StoreChange) -> bool {
        match change {
            StoreChange::Written(value) => {
                let Some(entry) = self.decode(value) else {
                    if let Some(id) = self.directory.upstream_id(&value.key) {
                        self.miss(id);
                    }
                    return true;
                };
                self.tell(Input::Heard(entry.clone()));
                // What stands on an engine travels by placements, which are shorter.
                let is_told = self.shared.upstreams().update(entry, clock::now());
                self.forget_restarted();
                is_told
            }
            StoreChange::Removed { key, .. } => {
                self.unusable.remove(key);
                if let Some(id) = self.directory.upstream_id(key) {
                    self.miss(id);
                }
                true
            }
        }
    }

    fn tick(&mut self) {
        self.expire();
    }

    fn settled(&mut self) -> Duration {
        self.shared.notify_upstreams_changed();
        if self.right.term().is_some() {
            let upstreams = self.shared.upstreams().entries().count();
            let upstreams = u32::try_from(upstreams).unwrap_or(u32::MAX);
            let pause = HOLDER_PAUSE_PER_UPSTREAM.saturating_mul(upstreams);
            pause.clamp(HOLDER_PAUSE, LONGEST_HOLDER_PAUSE)
        } else {
            UPSTREAM_PAUSE
        }
    }

    fn shared(&self) -> &Shared {
        &self.shared
    }
}
