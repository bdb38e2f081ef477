//! Upstreams: what they say of themselves, what this instance saw, and the choice.

mod backoff;
mod choice;
mod leaving;
mod upstream;

use crate::halls::{AllowedRegions, HallRegions, Halls};
use crate::limits::ObservedLimit;
use crate::placement::{PlacementDigest, digest};
pub use choice::{Choice, RequestNeeds};
use leaving::LeavingStarts;
use passway_types::prelude::*;
use std::collections::{BTreeSet, HashMap, HashSet};
use std::net::SocketAddr;
use upstream::Upstream;

/// A model that stands on an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ResidentModel {
    /// The model.
    pub name: ModelName,
    /// Its adapters that stand there.
    pub adapters: Vec<AdapterName>,
}

/// What an upstream says of itself.
#[derive(Debug, Clone, PartialEq)]
pub struct UpstreamEntry {
    /// Its id; an upstream that starts again may keep it (`started_at_ms`).
    pub id: UpstreamId,
    /// The service it belongs to.
    pub service: ServiceName,
    /// Where it listens.
    pub address: SocketAddr,
    /// Where it stands.
    pub hall: DataHall,
    /// Requests that it works on at one time.
    pub slots: u32,
    /// Whether it takes nothing new.
    pub draining: bool,
    /// Until when it is slow from its start; `None` if it is not.
    pub cold_until: Option<Instant>,
    /// Models on its accelerators.
    pub models: Vec<ResidentModel>,
    /// Checkpoints in its memory.
    pub in_memory: Vec<ModelName>,
    /// Checkpoints on its disk.
    pub on_disk: Vec<ModelName>,
    /// Number of this word of its; grows while it lives.
    pub heartbeat: u64,
    /// When it started, in Unix milliseconds by its own clock; 0 if it does not tell. It may
    /// start again under its id, and then holds and knows nothing of before.
    pub started_at_ms: u64,
}

/// What a request needs on an engine.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ModelRef {
    /// The model.
    pub model: ModelName,
    /// The adapter, if one is asked for.
    pub adapter: Option<AdapterName>,
}

/// What a cold upstream of a service bears.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdLimit {
    /// Requests a second, from all instances together.
    pub per_s: f64,
    /// How long an upstream stays cold from its start.
    pub duration: Duration,
}

/// How an attempt at an upstream ended, as far as it tells about the upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// A whole answer.
    Answered,
    /// It failed, broke off, or did not take the request though it should have.
    Failed,
    /// It did not take the request, being too full.
    Shed,
    /// It could not be reached.
    Unreachable,
    /// The caller left, or nothing else can be said.
    Unknown,
}

/// The upstreams that this instance knows.
#[derive(Debug)]
pub struct UpstreamTable {
    hall: DataHall,
    halls: Halls,
    /// What cold upstreams bear, by service.
    cold_bounds: HashMap<ServiceName, ColdLimit>,
    upstreams: HashMap<UpstreamId, Upstream>,
    restarted: Vec<UpstreamId>,
    departures: LeavingStarts,
    /// Upstreams that have asked for rest, until an answer of theirs shows that it is over: few of many.
    resting: BTreeSet<UpstreamId>,
}

impl UpstreamTable {
    /// No upstreams, for an instance in a data hall.
    pub fn new(hall: DataHall) -> Self {
        Self {
            hall,
            halls: Halls::default(),
            cold_bounds: HashMap::new(),
            upstreams: HashMap::new(),
            restarted: Vec::new(),
            departures: LeavingStarts::default(),
            resting: BTreeSet::new(),
        }
    }

    /// The same in a fleet whose halls lie in some regions.
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

    /// Operators have emptied these halls and no others; returns whether that is news.
    ///
    /// Upstreams of a hall that is given back may be cold without having said so yet.
    pub fn set_evacuated(&mut self, emptied: BTreeSet<DataHall>, now: Instant) -> bool {
        if *self.halls.evacuated() == emptied {
            return false;
        }
        let given_back = self.halls.set_evacuated(emptied);
        for upstream in self.upstreams.values_mut() {
            let bound = self.cold_bounds.get(&upstream.entry.service);
            if given_back.contains(&upstream.entry.hall)
                && let Some(bound) = bound
            {
                upstream.may_be_cold_until = Some(now + bound.duration);
            }
        }
        true
    }

    /// The halls to which nothing may be sent.
    pub fn evacuated(&self) -> &BTreeSet<DataHall> {
        self.halls.evacuated()
    }

    /// Whether a hall is one of the fleet's; any is while none is known.
    pub fn is_known_hall(&self, hall: &DataHall) -> bool {
        self.halls.is_known(hall)
    }

    /// Whether a request with some allowed regions may be sent to an upstream where it stands. Where one stands
    /// that is not listed is not known.
    pub fn admits(&self, id: &str, allowed: &AllowedRegions) -> bool {
        let upstream = self.upstreams.get(id);
        upstream.map_or(!self.halls.has_restrictions(allowed), |upstream| {
            self.halls.admits(&upstream.entry.hall, allowed)
        })
    }

    /// Uses a configuration's bounds on cold upstreams.
    pub fn set_cold_limits(&mut self, bounds: HashMap<ServiceName, ColdLimit>) {
        self.cold_bounds = bounds;
        for upstream in self.upstreams.values_mut() {
            let bound = self.cold_bounds.get(&upstream.entry.service);
            upstream.cold_per_s = bound.map(|bound| bound.per_s);
        }
    }

    /// The entries as they were last heard.
    pub fn entries(&self) -> impl Iterator<Item = &UpstreamEntry> {
        self.upstreams.values().map(|upstream| &upstream.entry)
    }

    /// An upstream has said something of itself. Returns whether more has changed than
    /// the models that stand on it.
    pub fn update(&mut self, mut entry: UpstreamEntry, now: Instant) -> bool {
        if entry.draining {
            let _ = self.departures.record(&entry.id, entry.started_at_ms, now);
        }
        // Leaving is final for a start, whatever a word says that is older or does not know it yet.
        entry.draining = self.is_leaving(&entry.id, entry.started_at_ms);
        let cold_per_s = self
            .cold_bounds
            .get(&entry.service)
            .map(|bound| bound.per_s);
        let new = |entry| {
            let mut upstream = Upstream::new(entry, now);
            upstream.cold_per_s = cold_per_s;
            upstream
        };
        let Some(known) = self.upstreams.get_mut(&entry.id) else {
            let id = entry.id.clone();
            self.upstreams.insert(id, new(entry));
            return true;
        };
        if entry.started_at_ms < known.entry.started_at_ms {
            // It was said before the upstream started again.
            return false;
        }
        if entry.started_at_ms > known.entry.started_at_ms {
            // Nothing that was seen of it before holds for it now.
            self.restarted.push(entry.id.clone());
            *known = new(entry);
            return true;
        }
        let returned = known.removed_at.take().is_some();
        if entry.heartbeat < known.entry.heartbeat {
            // An older word, told late; only leaving is final.
            let leaves = entry.draining && !known.entry.draining;
            known.entry.draining |= entry.draining;
            return leaves || returned;
        }
        if known.entry.models != entry.models {
            known.absent_until.clear();
        }
        let more = returned
            || known.entry.service != entry.service
            || known.entry.address != entry.address
            || known.entry.slots != entry.slots
            || known.entry.draining != entry.draining
            || known.stays_cold_longer(&entry);
        known.cold_per_s = cold_per_s;
        known.entry = entry;
        known.record_loaded();
        more
    }

    /// Upstreams that have started again under their ids since the last call.
    pub fn take_restarted(&mut self) -> Vec<UpstreamId> {
        std::mem::take(&mut self.restarted)
    }

    /// Whether an upstream has said that it leaves.
    pub fn is_draining(&self, id: &str) -> bool {
        let upstream = self.upstreams.get(id);
        upstream.is_some_and(|upstream| upstream.entry.draining)
    }

    /// When an upstream has started, in Unix milliseconds by its own clock; 0 if it does not tell.
    pub fn started_at_ms(&self, id: &str) -> u64 {
        let upstream = self.upstreams.get(id);
        upstream.map_or(0, |upstream| upstream.entry.started_at_ms)
    }

    /// The service that an upstream has said to belong to.
    pub fn service_of(&self, id: &str) -> Option<&ServiceName> {
        let upstream = self.upstreams.get(id)?;
        Some(&upstream.entry.service)
    }

    /// An upstream's entry is missing; it is gone at the moment given unless the entry
    /// comes back.
    pub fn mark_missing(&mut self, id: &str, gone_at: Instant) {
        if let Some(upstream) = self.upstreams.get_mut(id) {
            upstream.removed_at.get_or_insert(gone_at);
        }
    }

    /// The whole list was read; what is not on it is gone at the moment given.
    pub fn replace_all(&mut self, entries: Vec<UpstreamEntry>, gone_at: Instant, now: Instant) {
        let listed: HashSet<&str> = entries.iter().map(|entry| &*entry.id).collect();
        for (id, upstream) in &mut self.upstreams {
            if !listed.contains(&**id) {
                upstream.removed_at.get_or_insert(gone_at);
            }
        }
        for entry in entries {
            self.update(entry, now);
        }
    }

    /// Forgets upstreams that are gone by now, and hands out their last entries.
    pub fn remove_expired(&mut self, now: Instant) -> Vec<UpstreamEntry> {
        let gone = self
            .upstreams
            .extract_if(|_, upstream| upstream.is_removed(now));
        let gone = gone.map(|(_, upstream)| upstream.entry).collect();
        let upstreams = &self.upstreams;
        self.departures
            .remove_expired(|id| upstreams.contains_key(id), now);
        self.resting.retain(|id| upstreams.contains_key(id));
        gone
    }

    /// What the holder of the right to order says of an engine's models, which is
    /// newer than the engine's own word.
    pub fn set_placement(&mut self, id: &str, models: Vec<ResidentModel>, closing: Vec<ModelName>) {
        if let Some(upstream) = self.upstreams.get_mut(id) {
            if upstream.entry.models != models {
                upstream.absent_until.clear();
            }
            upstream.entry.models = models;
            upstream.record_loaded();
            upstream.closing = closing;
        }
    }

    /// Digests of what stands on each engine, as far as is known here.
    pub fn placement_digests(&self) -> impl Iterator<Item = PlacementDigest> {
        let engines = self.upstreams.values();
        engines.map(|engine| digest(&engine.entry.id, &engine.entry.models, &engine.closing))
    }

    /// A term of this instance begins: what a holder before was about to evict stays.
    pub fn clear_closing(&mut self) {
        for upstream in self.upstreams.values_mut() {
            upstream.closing.clear();
        }
    }

    /// A request was sent to an upstream.
    pub fn record_start(&mut self, id: &str, model_ref: Option<&ModelRef>, now: Instant) {
        if let Some(upstream) = self.upstreams.get_mut(id) {
            upstream.record_start(model_ref, now);
        }
    }

    /// Bytes have come from an upstream.
    pub fn record_activity(&mut self, id: &str, now: Instant) {
        if let Some(upstream) = self.upstreams.get_mut(id) {
            upstream.record_activity(now);
        }
    }

    /// Whether an upstream that works has not been heard of for long.
    pub fn is_silent(&self, id: &str, now: Instant) -> bool {
        self.upstreams
            .get(id)
            .is_some_and(|upstream| upstream.is_silent(now))
    }

    /// A request that was sent to an upstream has ended.
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

    /// Another instance's request that was sent to an upstream has ended so.
    pub fn record_peer_outcome(&mut self, id: &str, outcome: Outcome, now: Instant) {
        if let Some(upstream) = self.upstreams.get_mut(id) {
            upstream.record_outcome(outcome, now);
        }
    }

    /// A start of an upstream has said in an answer that it leaves. Returns whether that is news.
    pub fn record_leaving(&mut self, id: &UpstreamId, started_at_ms: u64, now: Instant) -> bool {
        let is_news = self.departures.record(id, started_at_ms, now);
        let leaves = self.is_leaving(id, started_at_ms);
        if let Some(upstream) = self.upstreams.get_mut(id)
            && upstream.entry.started_at_ms == started_at_ms
        {
            upstream.entry.draining |= leaves;
        }
        is_news
    }

    /// Whether a start of an upstream has said that it leaves, in an answer or in its entry.
    pub fn is_leaving(&self, id: &str, started_at_ms: u64) -> bool {
        self.departures.leaves(id, started_at_ms)
    }

    /// Upstreams that are known to leave, with their starts in Unix milliseconds by their own clocks.
    pub fn leaving(&self) -> impl Iterator<Item = (&UpstreamId, u64)> {
        self.departures.all()
    }

    /// Lets a request through to a start of an upstream, if that wants one from this instance as far as it has
    /// said. One that is not listed any more may serve on.
    pub fn try_admit(&mut self, id: &str, started_at_ms: u64, now: Instant) -> bool {
        let rest = self
            .upstreams
            .get_mut(id)
            .map(|upstream| &mut upstream.backoff);
        !self.departures.leaves(id, started_at_ms) && rest.is_none_or(|rest| rest.try_admit(now))
    }

    /// An upstream has asked this instance for rest until a moment.
    pub fn record_backoff(&mut self, id: &UpstreamId, until: Instant) {
        if let Some(upstream) = self.upstreams.get_mut(id) {
            upstream.backoff.begin(until);
            self.resting.insert(id.clone());
        }
    }

    /// An upstream asks for no rest in its answer to what was sent at a moment.
    pub fn record_no_backoff(&mut self, id: &str, sent_at: Instant) {
        if !self.resting.contains(id) {
            return;
        }
        let upstream = self.upstreams.get_mut(id);
        if upstream.is_none_or(|upstream| upstream.backoff.record_no_backoff_answer(sent_at)) {
            self.resting.remove(id);
        }
    }

    /// Until when an upstream wants nothing from this instance; `None` if a request may go there.
    pub fn backoff_until(&self, id: &str, now: Instant) -> Option<Instant> {
        self.upstreams.get(id)?.backoff.blocked_until(now)
    }

    /// Upstreams that want nothing from this instance now, with when they do.
    pub fn backing_off(&self, now: Instant) -> impl Iterator<Item = (&UpstreamId, Instant)> {
        self.resting.iter().filter_map(move |id| {
            let rest = &self.upstreams.get(id)?.backoff;
            let until = rest.blocked_until(now).filter(|_| rest.is_active(now))?;
            Some((id, until))
        })
    }

    /// Those that could serve a request, if they wanted one from this instance now, with when they do.
    pub fn backing_off_for(
        &self,
        wanted: RequestNeeds<'_>,
        now: Instant,
    ) -> Vec<(UpstreamId, Instant)> {
        let closed = self.resting.iter().filter_map(|id| {
            let upstream = self.upstreams.get(id)?;
            let until = upstream.backoff.blocked_until(now)?;
            let is_usable = self.is_usable(upstream, wanted, now);
            is_usable.then(|| (id.clone(), until))
        });
        closed.collect()
    }

    /// An upstream has said how much it takes. Returns whether that is another limit than before.
    pub fn record_limit(&mut self, id: &str, word: ObservedLimit) -> bool {
        let upstream = self.upstreams.get_mut(id);
        upstream.is_some_and(|upstream| upstream.record_limit(word))
    }

    /// Requests a second that an upstream takes from all instances together, as it says or as a cold one bears;
    /// `None` without a limit.
    pub fn limit_per_s(&self, id: &str, now: Instant) -> Option<f64> {
        self.upstreams.get(id)?.limit_per_s(now)
    }

    /// Requests a second that an upstream says it takes from all instances together; `None` without a limit.
    pub fn advertised_limit_per_s(&self, id: &str) -> Option<f64> {
        self.upstreams.get(id)?.advertised_per_s()
    }

    /// What upstreams said last of how much they take, those that ever named a limit, with their starts
    /// in Unix milliseconds by their own clocks.
    pub fn observed_limits(&self) -> impl Iterator<Item = (&UpstreamId, u64, ObservedLimit)> {
        self.upstreams.iter().filter_map(|(id, upstream)| {
            let word = upstream.limit_word()?;
            Some((id, upstream.entry.started_at_ms, word))
        })
    }

    /// Upstreams that name a limit.
    pub fn limited_count(&self) -> usize {
        let all = self.upstreams.values();
        all.filter(|one| one.advertised_per_s().is_some()).count()
    }

    /// Whether an upstream has what a request needs, as far as is known.
    pub fn has(&self, id: &str, model_ref: &ModelRef, now: Instant) -> bool {
        let upstream = self.upstreams.get(id);
        upstream.is_some_and(|upstream| upstream.has(model_ref, now))
    }

    /// Whether none of a service's engines has a model or a copy of it, so that it can only come from
    /// the weight store. Unknown engines may have it: false if there is none.
    pub fn is_cached_nowhere(
        &self,
        service: &ServiceName,
        model: &ModelName,
        allowed: &AllowedRegions,
    ) -> bool {
        let mut engines = self.admitted_upstreams(service, allowed).peekable();
        engines.peek().is_some() && !engines.any(|one| one.has_cached(model))
    }

    /// Whether an engine that takes any requests has a model or a copy of it.
    pub fn is_cached_on_available_engine(
        &self,
        service: &ServiceName,
        model: &ModelName,
        allowed: &AllowedRegions,
        now: Instant,
    ) -> bool {
        let mut engines = self.admitted_upstreams(service, allowed);
        engines.any(|one| {
            let takes = one.limit_per_s(now).is_none()
                && !one.backoff.is_active(now)
                && !one.entry.draining;
            takes && one.has_cached(model)
        })
    }

    /// Upstreams of a service where requests with some allowed regions may go.
    fn admitted_upstreams<'a>(
        &'a self,
        service: &ServiceName,
        allowed: &AllowedRegions,
    ) -> impl Iterator<Item = &'a Upstream> {
        let all = self.upstreams.values();
        let of_service = all.filter(move |one| one.entry.service == *service);
        of_service.filter(move |one| self.halls.admits(&one.entry.hall, allowed))
    }

    /// Requests that an upstream works on at one time.
    pub fn slots_of(&self, id: &str) -> u32 {
        self.upstreams
            .get(id)
            .map_or(0, |upstream| upstream.entry.slots)
    }

    /// Where an upstream listens.
    pub fn address_of(&self, id: &str) -> Option<SocketAddr> {
        let upstream = self.upstreams.get(id)?;
        Some(upstream.entry.address)
    }

    /// An upstream broke off and may have ended: it gets nothing for a while if there is another.
    pub fn mark_unreachable(&mut self, id: &str, now: Instant) {
        if let Some(upstream) = self.upstreams.get_mut(id) {
            upstream.mark_unreachable(now);
        }
    }

    /// An upstream that broke off runs on.
    pub fn mark_reachable(&mut self, id: &str, now: Instant) {
        if let Some(upstream) = self.upstreams.get_mut(id) {
            upstream.unreachable_until = now;
        }
    }

    /// An engine said that it does not have what a request needs.
    pub fn mark_model_absent(&mut self, id: &str, model_ref: &ModelRef, now: Instant) {
        if let Some(upstream) = self.upstreams.get_mut(id) {
            upstream.mark_model_absent(model_ref, now);
        }
    }

    /// Requests of this instance that run, by engine and model.
    pub fn in_flight_by_model(&self) -> impl Iterator<Item = (&UpstreamId, &ModelName, u32)> {
        self.upstreams.iter().flat_map(|(id, upstream)| {
            let models = upstream.in_flight_models.iter();
            models.map(move |(model, count)| (id, model, *count))
        })
    }
}
