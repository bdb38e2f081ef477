//! Upstreams: what they report, what this instance has observed of them, and the choice of one for
//! a request.

mod backoff;
mod choice;
mod leaving;
mod upstream;
mod version_counts;

use crate::halls::{AllowedRegions, HallRegions, Halls};
use crate::limits::ObservedLimit;
use crate::placement::{PlacementDigest, digest};
use crate::versions::{ServiceVersion, SoftwareVersion};
pub use choice::{Choice, HallEngine, RequestNeeds, lateness_cost};
use leaving::LeavingStarts;
use passway_types::prelude::*;
use std::collections::{BTreeSet, HashMap, HashSet};
use std::net::SocketAddr;
use upstream::{OtherStart, Upstream};
use version_counts::VersionCounts;

/// A model that is loaded on an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ResidentModel {
    /// The model's name.
    pub name: ModelName,
    /// The model's adapters that are loaded with it.
    pub adapters: Vec<AdapterName>,
}

/// An upstream's report about itself.
#[derive(Debug, Clone, PartialEq)]
pub struct UpstreamEntry {
    /// The upstream's id, which it may keep when it starts again (`started_at_ms`).
    pub id: UpstreamId,
    /// The service that the upstream belongs to.
    pub service: ServiceName,
    /// The address at which the upstream listens.
    pub address: SocketAddr,
    /// The data hall of the upstream.
    pub hall: DataHall,
    /// Maximum number of requests that run concurrently.
    pub slots: u32,
    /// Whether the upstream accepts no new requests.
    pub draining: bool,
    /// Until when the upstream is slow after its start; `None` if it is not.
    pub cold_until: Option<Instant>,
    /// Models loaded on the accelerators.
    pub models: Vec<ResidentModel>,
    /// Checkpoints in memory.
    pub in_memory: Vec<ModelName>,
    /// Checkpoints on disk.
    pub on_disk: Vec<ModelName>,
    /// Sequence number of this report; it grows while the upstream runs.
    pub heartbeat: u64,
    /// When the upstream started, in Unix milliseconds by its own clock; 0 if not reported. An
    /// upstream may start again under its id and then has nothing of its earlier state.
    pub started_at_ms: u64,
    /// The version of the upstream's software. It belongs to this start.
    pub software: SoftwareVersion,
}

/// An upstream that has started again under its id.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RestartedUpstream {
    /// The upstream.
    pub id: UpstreamId,
    /// The start before.
    pub previous: ListedStart,
    /// The software version of the present start.
    pub software: SoftwareVersion,
}

/// A start of an upstream, as its entry reports it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ListedStart {
    /// When the upstream started, in Unix milliseconds by its own clock; 0 if not reported.
    pub started_at_ms: u64,
    /// The version of its software; `None` if the upstream is not listed, or if its entries contradict
    /// each other.
    pub software: Option<SoftwareVersion>,
}

/// A process's own report of its start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StartReport {
    /// When the process started, in Unix milliseconds by its own clock.
    pub started_at_ms: u64,
    /// The address at which the process was asked.
    pub address: SocketAddr,
    /// When the process was asked.
    pub asked_at: Instant,
}

/// What a [`StartReport`] shows of the listed start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartFinding {
    /// Nothing new.
    Unchanged,
    /// A later start has replaced it, whose entry has not arrived.
    ReplacedByUnlisted,
    /// It was replaced by a start that seems to be earlier, whose entry counts from now on.
    ReplacedByEarlier,
}

/// What a request needs on an engine.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ModelRef {
    /// The model.
    pub model: ModelName,
    /// The adapter, if one is requested.
    pub adapter: Option<AdapterName>,
}

/// The rate limit of a service's cold upstreams.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdLimit {
    /// Requests a second, from all instances together.
    pub per_s: f64,
    /// How long an upstream stays cold after its start.
    pub duration: Duration,
}

/// How an attempt at an upstream ended, as far as it is evidence about the upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The upstream answered completely.
    Answered,
    /// The upstream failed, disconnected, or refused a request that it should have accepted.
    Failed,
    /// The upstream refused the request because it was full.
    Shed,
    /// The upstream could not be reached.
    Unreachable,
    /// The caller disconnected, or the end says nothing else about the upstream.
    Unknown,
}

/// The upstreams that this instance knows.
#[derive(Debug)]
pub struct UpstreamTable {
    hall: DataHall,
    halls: Halls,
    /// Rate limits of cold upstreams, by service.
    cold_limits: HashMap<ServiceName, ColdLimit>,
    /// Output tokens in one event of a stream, by service; only of services whose operators name
    /// it.
    tokens_per_event: HashMap<ServiceName, u32>,
    upstreams: HashMap<UpstreamId, Upstream>,
    restarted: Vec<RestartedUpstream>,
    version_counts: VersionCounts,
    /// The upstreams whose software versions are not known: their entries contradict each other, or they
    /// have restarted and the entries of their new starts have not arrived.
    unknown_versions: BTreeSet<UpstreamId>,
    leaving: LeavingStarts,
    /// The few upstreams that have asked for backoff, until one of their answers shows that it is
    /// over.
    backing_off: BTreeSet<UpstreamId>,
}

impl UpstreamTable {
    /// Creates an empty table for an instance in a data hall.
    pub fn new(hall: DataHall) -> Self {
        Self {
            hall,
            halls: Halls::default(),
            cold_limits: HashMap::new(),
            tokens_per_event: HashMap::new(),
            upstreams: HashMap::new(),
            restarted: Vec::new(),
            version_counts: VersionCounts::default(),
            unknown_versions: BTreeSet::new(),
            leaving: LeavingStarts::default(),
            backing_off: BTreeSet::new(),
        }
    }

    /// Sets the regions of the fleet's halls.
    #[must_use]
    pub fn with_regions(self, regions: HallRegions) -> Self {
        Self {
            halls: Halls::new(regions),
            ..self
        }
    }

    /// Whether no upstream is known.
    pub fn is_empty(&self) -> bool {
        self.upstreams.is_empty()
    }

    /// Sets the halls that operators have evacuated. Returns whether they have changed.
    ///
    /// Upstreams of a hall that is no longer evacuated may be cold without having reported it yet.
    pub fn set_evacuated(&mut self, emptied: BTreeSet<DataHall>, now: Instant) -> bool {
        if *self.halls.evacuated() == emptied {
            return false;
        }
        let reopened = self.halls.set_evacuated(emptied);
        for upstream in self.upstreams.values_mut() {
            let cold_limit = self.cold_limits.get(&upstream.entry.service);
            if reopened.contains(&upstream.entry.hall)
                && let Some(cold_limit) = cold_limit
            {
                upstream.may_be_cold_until = Some(now + cold_limit.duration);
            }
        }
        true
    }

    /// The evacuated halls, to which no request may be sent.
    pub fn evacuated(&self) -> &BTreeSet<DataHall> {
        self.halls.evacuated()
    }

    /// Whether a hall belongs to the fleet; true for any hall while none is known.
    pub fn is_known_hall(&self, hall: &DataHall) -> bool {
        self.halls.is_known(hall)
    }

    /// Whether a request with these allowed regions may be sent to an upstream in its hall. The
    /// hall of an unlisted upstream is unknown.
    pub fn admits(&self, id: &str, allowed: &AllowedRegions) -> bool {
        let upstream = self.upstreams.get(id);
        upstream.map_or(!self.halls.has_restrictions(allowed), |upstream| {
            self.halls.admits(&upstream.entry.hall, allowed)
        })
    }

    /// Whether a request with these allowed regions may be sent to an instance or an upstream in a
    /// data hall.
    pub fn admits_hall(&self, hall: &DataHall, allowed: &AllowedRegions) -> bool {
        self.halls.admits(hall, allowed)
    }

    /// Sets a configuration's rate limits for cold upstreams.
    pub fn set_cold_limits(&mut self, cold_limits: HashMap<ServiceName, ColdLimit>) {
        self.cold_limits = cold_limits;
        for upstream in self.upstreams.values_mut() {
            let cold_limit = self.cold_limits.get(&upstream.entry.service);
            upstream.cold_per_s = cold_limit.map(|cold_limit| cold_limit.per_s);
        }
    }

    /// Sets a configuration's numbers of output tokens in one event, by service.
    pub fn set_tokens_per_event(&mut self, tokens_per_event: HashMap<ServiceName, u32>) {
        self.tokens_per_event = tokens_per_event;
    }

    /// Output tokens in one event of a service's streams; `None` if the operators do not name it.
    pub fn tokens_per_event(&self, service: &ServiceName) -> Option<u32> {
        self.tokens_per_event.get(service).copied()
    }

    /// The latest entries.
    pub fn entries(&self) -> impl Iterator<Item = &UpstreamEntry> {
        self.upstreams.values().map(|upstream| &upstream.entry)
    }

    /// Updates an upstream's entry. Returns whether more than its loaded models has changed, or whether the
    /// entry is of a start that was not known.
    pub fn update(&mut self, mut entry: UpstreamEntry, now: Instant) -> bool {
        if entry.draining {
            let _ = self.leaving.record(&entry.id, entry.started_at_ms, now);
        }
        let has_reported_leaving = entry.draining;
        // Leaving is final for a start, even if a report is older or does not include it yet.
        entry.draining = self.is_leaving(&entry.id, entry.started_at_ms);
        let cold_per_s = self
            .cold_limits
            .get(&entry.service)
            .map(|cold_limit| cold_limit.per_s);
        let new_upstream = |entry| {
            let mut upstream = Upstream::new(entry, now);
            upstream.cold_per_s = cold_per_s;
            upstream
        };
        let Some(known) = self.upstreams.get_mut(&entry.id) else {
            self.version_counts.add(&entry);
            let id = entry.id.clone();
            self.upstreams.insert(id, new_upstream(entry));
            return true;
        };
        if entry.started_at_ms < known.entry.started_at_ms {
            // The report is from before the upstream started again, or its clock went back, which only
            // the process can tell, to each instance.
            entry.draining |= has_reported_leaving;
            return known.keep_other_start(entry);
        }
        if entry.started_at_ms > known.entry.started_at_ms {
            let id = entry.id.clone();
            let _ = known.keep_other_start(entry);
            self.change_start(&id, now);
            return true;
        }
        if known.entry.software != entry.software {
            known.is_software_unknown = true;
            self.unknown_versions.insert(entry.id.clone());
        }
        let has_returned = known.removed_at.take().is_some();
        if entry.heartbeat < known.entry.heartbeat {
            // An older report that arrived late; only leaving is final.
            let is_leaving = entry.draining && !known.entry.draining;
            known.entry.draining |= entry.draining;
            return is_leaving || has_returned;
        }
        if known.entry.models != entry.models {
            known.absent_until.clear();
        }
        let has_changed = has_returned
            || known.entry.service != entry.service
            || known.entry.address != entry.address
            || known.entry.slots != entry.slots
            || known.entry.draining != entry.draining
            || known.stays_cold_longer(&entry);
        if known.entry.address != entry.address {
            known.address_since = now;
        }
        self.version_counts.replace(&known.entry, &entry);
        known.cold_per_s = cold_per_s;
        known.entry = entry;
        known.record_loaded();
        has_changed
    }

    /// Upstreams that have started again under their ids since the last call.
    pub fn take_restarted(&mut self) -> Vec<RestartedUpstream> {
        std::mem::take(&mut self.restarted)
    }

    /// Whether an upstream has reported that it is leaving.
    pub fn is_draining(&self, id: &str) -> bool {
        let upstream = self.upstreams.get(id);
        upstream.is_some_and(|upstream| upstream.entry.draining)
    }

    /// When an upstream started, in Unix milliseconds by its own clock; 0 if not reported.
    pub fn started_at_ms(&self, id: &str) -> u64 {
        let upstream = self.upstreams.get(id);
        upstream.map_or(0, |upstream| upstream.entry.started_at_ms)
    }

    /// The latest start of an upstream.
    pub fn listed_start(&self, id: &str) -> ListedStart {
        let upstream = self.upstreams.get(id);
        upstream.map_or_else(ListedStart::default, Upstream::listed_start)
    }

    /// Exchanges the listed start of an upstream for the other one that is known.
    fn change_start(&mut self, id: &str, now: Instant) {
        let Some(known) = self.upstreams.get_mut(id) else {
            return;
        };
        let Some(other) = known.other_start.take() else {
            return;
        };
        let OtherStart {
            mut entry,
            is_software_unknown,
        } = *other;
        self.leaving.forget_later(id, entry.started_at_ms);
        if entry.draining {
            let _ = self.leaving.record(&entry.id, entry.started_at_ms, now);
        }
        entry.draining = self.leaving.is_leaving(id, entry.started_at_ms);
        self.restarted.push(RestartedUpstream {
            id: entry.id.clone(),
            previous: known.listed_start(),
            software: entry.software.clone(),
        });
        self.version_counts.replace(&known.entry, &entry);
        if is_software_unknown {
            self.unknown_versions.insert(entry.id.clone());
        } else {
            self.unknown_versions.remove(id);
        }
        let cold_limit = self.cold_limits.get(&entry.service);
        // Observations of the previous start do not apply to the new one.
        let mut upstream = Upstream::new(entry, now);
        upstream.cold_per_s = cold_limit.map(|cold_limit| cold_limit.per_s);
        upstream.is_software_unknown = is_software_unknown;
        let previous = std::mem::replace(known, upstream);
        known.other_start = Some(Box::new(OtherStart {
            entry: previous.entry,
            is_software_unknown: previous.is_software_unknown,
        }));
    }

    /// Records the start that an upstream's process itself has reported.
    ///
    /// If it is later than the listed one, the upstream's software version is not known until its entry
    /// arrives. An earlier one may be of a process that began later, after the clock of its machine went
    /// back. It is, if the process answered at the address of the listed start to a question that was
    /// asked after that start's entry had arrived: two processes do not listen there. Then the entry with
    /// the reported start counts.
    pub fn record_reported_start(&mut self, id: &str, report: StartReport) -> StartFinding {
        let Some(upstream) = self.upstreams.get_mut(id) else {
            return StartFinding::Unchanged;
        };
        if report.started_at_ms > upstream.entry.started_at_ms {
            upstream.is_software_unknown = true;
            self.unknown_versions.insert(upstream.entry.id.clone());
            return StartFinding::ReplacedByUnlisted;
        }
        if !upstream.is_replaced_by_other(report) {
            return StartFinding::Unchanged;
        }
        let removed_at = upstream.removed_at;
        self.change_start(id, report.asked_at);
        if let Some(upstream) = self.upstreams.get_mut(id) {
            upstream.removed_at = removed_at;
        }
        StartFinding::ReplacedByEarlier
    }

    /// Whether the software version of any upstream is not known.
    pub fn has_unknown_versions(&self) -> bool {
        !self.unknown_versions.is_empty()
    }

    /// Number of changes of [`Self::listed_versions`].
    pub fn version_changes(&self) -> u64 {
        self.version_counts.changes()
    }

    /// The software versions of all listed upstreams, by service.
    pub fn listed_versions(&self) -> BTreeSet<ServiceVersion> {
        self.version_counts.versions().cloned().collect()
    }

    /// Whether an upstream of a service with this software version accepts new requests of the allowed
    /// regions, whatever models it has.
    pub fn serves_version(
        &self,
        service: &ServiceName,
        software: &SoftwareVersion,
        allowed: &AllowedRegions,
        now: Instant,
    ) -> bool {
        let mut upstreams = self.admitted_upstreams(service, allowed);
        upstreams.any(|upstream| {
            let entry = &upstream.entry;
            let is_version = entry.software == *software && !upstream.is_software_unknown;
            is_version && !entry.draining && !upstream.is_removed(now)
        })
    }

    /// The service that an upstream reports to belong to.
    pub fn service_of(&self, id: &str) -> Option<&ServiceName> {
        let upstream = self.upstreams.get(id)?;
        Some(&upstream.entry.service)
    }

    /// Records that an upstream's entry is missing. The upstream counts as removed at the given
    /// time unless the entry returns.
    pub fn mark_missing(&mut self, id: &str, removed_at: Instant) {
        if let Some(upstream) = self.upstreams.get_mut(id) {
            upstream.removed_at.get_or_insert(removed_at);
        }
    }

    /// Replaces the whole list. Upstreams that are not listed count as removed at the given time.
    pub fn replace_all(&mut self, entries: Vec<UpstreamEntry>, removed_at: Instant, now: Instant) {
        let listed: HashSet<&str> = entries.iter().map(|entry| &*entry.id).collect();
        for (id, upstream) in &mut self.upstreams {
            if !listed.contains(&**id) {
                upstream.removed_at.get_or_insert(removed_at);
            }
        }
        for entry in entries {
            self.update(entry, now);
        }
    }

    /// Drops upstreams that are removed by now. Returns their last entries.
    pub fn remove_expired(&mut self, now: Instant) -> Vec<UpstreamEntry> {
        let removed = self
            .upstreams
            .extract_if(|_, upstream| upstream.is_removed(now));
        let removed: Vec<_> = removed.map(|(_, upstream)| upstream.entry).collect();
        for entry in &removed {
            self.unknown_versions.remove(&entry.id);
            self.version_counts.remove(entry);
        }
        let upstreams = &self.upstreams;
        self.leaving
            .remove_expired(|id| upstreams.contains_key(id), now);
        self.backing_off.retain(|id| upstreams.contains_key(id));
        removed
    }

    /// Sets an engine's models as published by the holder, which are newer than the engine's own
    /// report. `evicting` are the models about to be unloaded.
    pub fn set_placement(
        &mut self,
        id: &str,
        models: Vec<ResidentModel>,
        evicting: Vec<ModelName>,
    ) {
        if let Some(upstream) = self.upstreams.get_mut(id) {
            if upstream.entry.models != models {
                upstream.absent_until.clear();
            }
            upstream.entry.models = models;
            upstream.record_loaded();
            upstream.evicting = evicting;
        }
    }

    /// Digests of the models on each engine, as known to this instance.
    pub fn placement_digests(&self) -> impl Iterator<Item = PlacementDigest> {
        let engines = self.upstreams.values();
        engines.map(|engine| digest(&engine.entry.id, &engine.entry.models, &engine.evicting))
    }

    /// Clears the models that the previous holder was about to unload, when a term of this
    /// instance begins.
    pub fn clear_evicting(&mut self) {
        for upstream in self.upstreams.values_mut() {
            upstream.evicting.clear();
        }
    }

    /// Records that a request was sent to an upstream.
    pub fn record_start(&mut self, id: &str, model_ref: Option<&ModelRef>, now: Instant) {
        if let Some(upstream) = self.upstreams.get_mut(id) {
            upstream.record_start(model_ref, now);
        }
    }

    /// Records that bytes were received from an upstream.
    pub fn record_activity(&mut self, id: &str, now: Instant) {
        if let Some(upstream) = self.upstreams.get_mut(id) {
            upstream.record_activity(now);
        }
    }

    /// Whether nothing was received from an upstream for long although it runs requests.
    pub fn is_silent(&self, id: &str, now: Instant) -> bool {
        self.upstreams
            .get(id)
            .is_some_and(|upstream| upstream.is_silent(now))
    }

    /// Upstreams from which nothing was received for long although they run requests.
    pub fn silent_upstreams(&self, now: Instant) -> impl Iterator<Item = &UpstreamId> {
        let all = self.upstreams.values();
        all.filter(move |upstream| upstream.is_silent(now))
            .map(|upstream| &upstream.entry.id)
    }

    /// Records that a request that was sent to an upstream has ended.
    pub fn record_end(
        &mut self,
        id: &str,
        model_ref: Option<&ModelRef>,
        outcome: Outcome,
        now: Instant,
    ) {
        if let Some(upstream) = self.upstreams.get_mut(id) {
            upstream.record_end(model_ref, outcome, now);
        }
    }

    /// Records how another instance's request to an upstream ended.
    pub fn record_peer_outcome(&mut self, id: &str, outcome: Outcome, now: Instant) {
        if let Some(upstream) = self.upstreams.get_mut(id) {
            upstream.record_outcome(outcome, now);
        }
    }

    /// Records that a start of an upstream has reported in an answer that it is leaving. Returns
    /// whether this is new.
    pub fn record_leaving(&mut self, id: &UpstreamId, started_at_ms: u64, now: Instant) -> bool {
        let is_new = self.leaving.record(id, started_at_ms, now);
        let is_leaving = self.is_leaving(id, started_at_ms);
        if let Some(upstream) = self.upstreams.get_mut(id)
            && upstream.entry.started_at_ms == started_at_ms
        {
            upstream.entry.draining |= is_leaving;
        }
        is_new
    }

    /// Whether a start of an upstream has reported that it is leaving, in an answer or in its
    /// entry.
    pub fn is_leaving(&self, id: &str, started_at_ms: u64) -> bool {
        self.leaving.is_leaving(id, started_at_ms)
    }

    /// Upstreams that are known to be leaving, with their starts in Unix milliseconds by their own
    /// clocks.
    pub fn leaving(&self) -> impl Iterator<Item = (&UpstreamId, u64)> {
        self.leaving.iter()
    }

    /// Admits a request to a start of an upstream unless that is leaving or has asked this
    /// instance to back off. An upstream that is not listed any more may still serve.
    pub fn try_admit(&mut self, id: &str, started_at_ms: u64, now: Instant) -> bool {
        let backoff = self
            .upstreams
            .get_mut(id)
            .map(|upstream| &mut upstream.backoff);
        !self.leaving.is_leaving(id, started_at_ms)
            && backoff.is_none_or(|backoff| backoff.try_admit(now))
    }

    /// Records that an upstream has asked this instance to back off until a time.
    pub fn record_backoff(&mut self, id: &UpstreamId, until: Instant) {
        if let Some(upstream) = self.upstreams.get_mut(id) {
            upstream.backoff.extend(until);
            self.backing_off.insert(id.clone());
        }
    }

    /// Records an answer without backoff to a request that was sent at `sent_at`.
    pub fn record_no_backoff(&mut self, id: &str, sent_at: Instant) {
        if !self.backing_off.contains(id) {
            return;
        }
        let upstream = self.upstreams.get_mut(id);
        if upstream.is_none_or(|upstream| upstream.backoff.record_no_backoff(sent_at)) {
            self.backing_off.remove(id);
        }
    }

    /// Until when an upstream accepts no request from this instance; `None` if a request may be
    /// sent.
    pub fn backoff_until(&self, id: &str, now: Instant) -> Option<Instant> {
        self.upstreams.get(id)?.backoff.blocked_until(now)
    }

    /// Upstreams that accept no request from this instance now, with the time when they do.
    pub fn backing_off(&self, now: Instant) -> impl Iterator<Item = (&UpstreamId, Instant)> {
        self.backing_off.iter().filter_map(move |id| {
            let backoff = &self.upstreams.get(id)?.backoff;
            let until = backoff
                .blocked_until(now)
                .filter(|_| backoff.is_active(now))?;
            Some((id, until))
        })
    }

    /// Upstreams that could serve a request if they did not ask this instance to back off, with
    /// the time when they accept requests.
    pub fn backing_off_for(
        &self,
        needs: RequestNeeds<'_>,
        now: Instant,
    ) -> Vec<(UpstreamId, Instant)> {
        let backing_off = self.backing_off.iter().filter_map(|id| {
            let upstream = self.upstreams.get(id)?;
            let until = upstream.backoff.blocked_until(now)?;
            let is_usable = self.is_usable(upstream, needs, now);
            is_usable.then(|| (id.clone(), until))
        });
        backing_off.collect()
    }

    /// Records the limit that an upstream advertises. Returns whether it differs from the previous
    /// one.
    pub fn record_limit(&mut self, id: &str, limit: ObservedLimit) -> bool {
        let upstream = self.upstreams.get_mut(id);
        upstream.is_some_and(|upstream| upstream.record_limit(limit))
    }

    /// Requests a second that an upstream accepts from all instances together, as advertised or
    /// because it is cold; `None` without a limit.
    pub fn limit_per_s(&self, id: &str, now: Instant) -> Option<f64> {
        self.upstreams.get(id)?.limit_per_s(now)
    }

    /// Requests a second that an upstream advertises to accept from all instances together; `None`
    /// without a limit.
    pub fn advertised_limit_per_s(&self, id: &str) -> Option<f64> {
        self.upstreams.get(id)?.advertised_per_s()
    }

    /// The latest observed limits of all upstreams that have ever advertised one, with their
    /// starts in Unix milliseconds by their own clocks.
    pub fn observed_limits(&self) -> impl Iterator<Item = (&UpstreamId, u64, ObservedLimit)> {
        self.upstreams.iter().filter_map(|(id, upstream)| {
            let limit = upstream.observed_limit()?;
            Some((id, upstream.entry.started_at_ms, limit))
        })
    }

    /// The number of upstreams that advertise a limit.
    pub fn limited_count(&self) -> usize {
        let all = self.upstreams.values();
        all.filter(|upstream| upstream.advertised_per_s().is_some())
            .count()
    }

    /// Whether an upstream has what a request needs, as far as is known.
    pub fn has(&self, id: &str, model_ref: &ModelRef, now: Instant) -> bool {
        let upstream = self.upstreams.get(id);
        upstream.is_some_and(|upstream| upstream.has(model_ref, now))
    }

    /// Whether none of a service's engines, or of those with the software version that a request
    /// requires, has the model loaded or cached, so that it must be loaded from the weight store.
    /// Returns false if no such engine is known, because an unknown one may have it.
    pub fn is_cached_nowhere(
        &self,
        service: &ServiceName,
        model: &ModelName,
        allowed: &AllowedRegions,
        required: Option<&SoftwareVersion>,
    ) -> bool {
        self.is_cached_only_on(service, model, allowed, required, &[])
    }

    /// As [`Self::is_cached_nowhere`], apart from the engines `except`.
    pub fn is_cached_only_on(
        &self,
        service: &ServiceName,
        model: &ModelName,
        allowed: &AllowedRegions,
        required: Option<&SoftwareVersion>,
        except: &[UpstreamId],
    ) -> bool {
        let engines = self.admitted_upstreams(service, allowed);
        let mut engines = engines
            .filter(|engine| !except.contains(&engine.entry.id))
            .filter(|engine| required.is_none_or(|required| engine.entry.software == *required))
            .peekable();
        engines.peek().is_some() && !engines.any(|upstream| upstream.has_cached(model))
    }

    /// Whether an engine that accepts requests without limit has the model loaded or cached.
    pub fn is_cached_on_available_engine(
        &self,
        service: &ServiceName,
        model: &ModelName,
        allowed: &AllowedRegions,
        now: Instant,
    ) -> bool {
        let mut engines = self.admitted_upstreams(service, allowed);
        engines.any(|upstream| {
            let accepts = upstream.limit_per_s(now).is_none()
                && !upstream.backoff.is_active(now)
                && !upstream.entry.draining;
            accepts && upstream.has_cached(model)
        })
    }

    /// Upstreams of a service to which requests with these allowed regions may be sent.
    fn admitted_upstreams<'a>(
        &'a self,
        service: &ServiceName,
        allowed: &AllowedRegions,
    ) -> impl Iterator<Item = &'a Upstream> {
        let all = self.upstreams.values();
        let of_service = all.filter(move |upstream| upstream.entry.service == *service);
        of_service.filter(move |upstream| self.halls.admits(&upstream.entry.hall, allowed))
    }

    /// The models on an engine, whether or not it accepts requests for them.
    pub fn models_of(&self, id: &str) -> impl Iterator<Item = &ModelName> {
        let engine = self.upstreams.get(id).into_iter();
        engine.flat_map(|engine| engine.entry.models.iter().map(|model| &model.name))
    }

    /// Maximum number of requests that an upstream runs concurrently.
    pub fn slots_of(&self, id: &str) -> u32 {
        self.upstreams
            .get(id)
            .map_or(0, |upstream| upstream.entry.slots)
    }

    /// The address at which an upstream listens.
    pub fn address_of(&self, id: &str) -> Option<SocketAddr> {
        let upstream = self.upstreams.get(id)?;
        Some(upstream.entry.address)
    }

    /// Records that an upstream disconnected and may have terminated. For a while it receives
    /// requests only if there is no other.
    pub fn mark_unreachable(&mut self, id: &str, now: Instant) {
        if let Some(upstream) = self.upstreams.get_mut(id) {
            upstream.mark_unreachable(now);
        }
    }

    /// Whether an upstream could not be reached a short time ago.
    pub fn is_unreachable(&self, id: &str, now: Instant) -> bool {
        let upstream = self.upstreams.get(id);
        upstream.is_some_and(|upstream| now < upstream.unreachable_until)
    }

    /// Records that an upstream that disconnected is still running.
    pub fn mark_reachable(&mut self, id: &str, now: Instant) {
        if let Some(upstream) = self.upstreams.get_mut(id) {
            upstream.unreachable_until = now;
        }
    }

    /// Records that an engine reported that it does not have what a request needs.
    pub fn mark_model_absent(&mut self, id: &str, model_ref: &ModelRef, now: Instant) {
        if let Some(upstream) = self.upstreams.get_mut(id) {
            upstream.mark_model_absent(model_ref, now);
        }
    }

    /// Running requests of this instance, by engine and model.
    pub fn in_flight_by_model(&self) -> impl Iterator<Item = (&UpstreamId, &ModelName, u32)> {
        self.upstreams.iter().flat_map(|(id, upstream)| {
            let models = upstream.in_flight_models.iter();
            models.map(move |(model, count)| (id, model, *count))
        })
    }
}
