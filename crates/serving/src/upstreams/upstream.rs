//! One upstream: its own word, and what this instance saw of it.

use super::backoff::Backoff;
use super::{ModelRef, Outcome, UpstreamEntry};
use crate::limits::ObservedLimit;
use passway_types::prelude::*;
use std::collections::{HashMap, HashSet};

/// Weight of the newest outcome in an upstream's failure rate.
const FAILURE_WEIGHT: f64 = 0.25;
/// Time in which a failure rate halves when nothing is sent, so that the upstream is tried again.
const FAILURE_HALF_LIFE_S: f64 = 2.0;
/// An upstream that took a request for one too many is not asked again for this long.
const SHED_PAUSE: Duration = Duration::from_millis(80);
/// An upstream that could not be reached gets nothing for this long if there is another.
const UNREACHABLE_PAUSE: Duration = Duration::from_millis(700);
/// An upstream that works and is not heard of for this long counts as silent: its
/// streams send an event every few hundredths of a second.
const SILENCE_LIMIT: Duration = Duration::from_millis(700);
/// A word that an upstream stays cold for so much longer is news: the same word heard twice is no more than
/// some tenths of a second apart.
const COLDER_TIME: Duration = Duration::from_millis(600);
/// A model that an upstream said it does not have is not asked for there for this long.
const ABSENT_PAUSE: Duration = Duration::from_millis(400);

/// An upstream's word and what this instance saw of it.
#[derive(Debug)]
pub(super) struct Upstream {
    pub(super) entry: UpstreamEntry,
    /// Requests of this instance that run there, in all and by model; no model without any.
    pub(super) in_flight: u32,
    pub(super) in_flight_models: HashMap<ModelName, u32>,
    /// Since when nothing was heard while requests run; `None` while none runs.
    silent_since: Option<Instant>,
    /// As it was at `judged_at`, between 0 and 1.
    failure_rate: f64,
    outcome_at: Instant,
    /// Until when it gets nothing if there is another.
    pub(super) unreachable_until: Instant,
    /// Until when it counts as full.
    pub(super) full_until: Instant,
    /// Until when it counts as lacking what it said it does not have.
    pub(super) absent_until: HashMap<ModelRef, Instant>,
    /// Models that the holder of the right to order is about to unload.
    pub(super) closing: Vec<ModelName>,
    /// Models that stood here since it is known, which it keeps a copy of.
    loaded_before: HashSet<ModelName>,
    /// When it is gone unless its entry comes back; `None` while the entry is there.
    pub(super) removed_at: Option<Instant>,
    /// What it said last of how much it takes; `None` if it never named a limit.
    limit: Option<ObservedLimit>,
    /// Requests a second that it bears while it is cold; `None` if that is not bounded.
    pub(super) cold_per_s: Option<f64>,
    /// Until when it may be cold without having said so.
    pub(super) may_be_cold_until: Option<Instant>,
    /// What it asked this instance for.
    pub(super) backoff: Backoff,
}

impl Upstream {
    /// One of which nothing was seen yet.
    pub(super) fn new(entry: UpstreamEntry, now: Instant) -> Self {
        Self {
            entry,
            in_flight: 0,
            in_flight_models: HashMap::new(),
            silent_since: None,
            failure_rate: 0.0,
            outcome_at: now,
            unreachable_until: now,
            full_until: now,
            absent_until: HashMap::new(),
            closing: Vec::new(),
            loaded_before: HashSet::new(),
            removed_at: None,
            limit: None,
            cold_per_s: None,
            may_be_cold_until: None,
            backoff: Backoff::default(),
        }
    }

    /// Requests a second that it takes from all instances together, as it says or as a cold one bears;
    /// `None` without a limit.
    pub(super) fn limit_per_s(&self, now: Instant) -> Option<f64> {
        let cold = self.cold_per_s.filter(|_| self.is_cold(now));
        let limits = self.advertised_per_s().into_iter().chain(cold);
        limits.reduce(f64::min)
    }

    /// Requests a second that it says it takes from all instances together; `None` without a limit.
    pub(super) fn advertised_per_s(&self) -> Option<f64> {
        self.limit?.per_s
    }

    /// Whether it is cold, as it says or as it may be.
    pub(super) fn is_cold(&self, now: Instant) -> bool {
        let until = self.entry.cold_until.max(self.may_be_cold_until);
        until.is_some_and(|until| now < until)
    }

    /// Whether its next word says that it stays cold for longer than was known.
    pub(super) fn stays_cold_longer(&self, entry: &UpstreamEntry) -> bool {
        let known = self.entry.cold_until;
        entry.cold_until.is_some_and(|until| {
            known.is_none_or(|known| until.saturating_duration_since(known) >= COLDER_TIME)
        })
    }

    /// What it said last of how much it takes; `None` if it never named a limit.
    pub(super) fn limit_word(&self) -> Option<ObservedLimit> {
        self.limit
    }

    /// It has said how much it takes. Returns whether that is another limit than before.
    pub(super) fn record_limit(&mut self, word: ObservedLimit) -> bool {
        let known = self.limit.as_ref();
        // One that never named a limit says in each answer that it is in no need.
        let is_news = known.map_or(word.per_s.is_some(), |known| word.replaces(known));
        if !is_news {
            return false;
        }
        let before = self.advertised_per_s();
        self.limit = Some(word);
        word.per_s != before
    }

    /// Notes what stands here now.
    pub(super) fn record_loaded(&mut self) {
        for model in &self.entry.models {
            if !self.loaded_before.contains(&model.name) {
                self.loaded_before.insert(model.name.clone());
            }
        }
    }

    /// Whether a model can come here from nearer than the weight store, as far as is known.
    pub(super) fn has_cached(&self, model: &ModelName) -> bool {
        let entry = &self.entry;
        self.loaded_before.contains(model)
            || entry.models.iter().any(|standing| standing.name == *model)
            || entry.in_memory.contains(model)
            || entry.on_disk.contains(model)
    }

    /// Whether its entry is missing for too long.
    pub(super) fn is_removed(&self, now: Instant) -> bool {
        self.removed_at.is_some_and(|at| now >= at)
    }

    /// Whether it has what a request needs, as far as is known.
    pub(super) fn has(&self, model_ref: &ModelRef, now: Instant) -> bool {
        if self.closing.contains(&model_ref.model) {
            return false;
        }
        if self
            .absent_until
            .get(model_ref)
            .is_some_and(|until| now < *until)
        {
            return false;
        }
        let resident = self.entry.models.iter().find(|m| m.name == model_ref.model);
        resident.is_some_and(|model| {
            let adapter = model_ref.adapter.as_ref();
            adapter.is_none_or(|adapter| model.adapters.contains(adapter))
        })
    }

    /// The part of its attempts that failed, faded by the time since the last one.
    pub(super) fn failure_rate(&self, now: Instant) -> f64 {
        let quiet_s = now.saturating_duration_since(self.outcome_at).as_secs_f64();
        self.failure_rate * 0.5_f64.powf(quiet_s / FAILURE_HALF_LIFE_S)
    }

    /// Whether it works and has not been heard of for long.
    pub(super) fn is_silent(&self, now: Instant) -> bool {
        self.silent_since
            .is_some_and(|since| now >= since + SILENCE_LIMIT)
    }

    /// A request was sent to it.
    pub(super) fn record_start(&mut self, model_ref: Option<&ModelRef>, now: Instant) {
        self.in_flight += 1;
        self.silent_since.get_or_insert(now);
        if let Some(model_ref) = model_ref {
            let count = self.in_flight_models.entry(model_ref.model.clone());
            *count.or_default() += 1;
        }
    }

    /// Bytes have come from it.
    pub(super) fn record_activity(&mut self, now: Instant) {
        self.silent_since = Some(now);
    }

    /// A request that was sent to it has ended.
    pub(super) fn record_end(
        &mut self,
        model_ref: Option<&ModelRef>,
        outcome: Outcome,
        now: Instant,
    ) {
        self.in_flight = self.in_flight.saturating_sub(1);
        if self.in_flight == 0 {
            self.silent_since = None;
        }
        if let Some(model_ref) = model_ref
            && let Some(count) = self.in_flight_models.get_mut(&model_ref.model)
        {
            *count = count.saturating_sub(1);
            if *count == 0 {
                self.in_flight_models.remove(&model_ref.model);
            }
        }
        self.record_outcome(outcome, now);
    }

    /// Takes an outcome into the failure rate and the pauses.
    pub(super) fn record_outcome(&mut self, outcome: Outcome, now: Instant) {
        let failed = match outcome {
            Outcome::Answered => 0.0,
            Outcome::Failed => 1.0,
            Outcome::Shed => {
                self.full_until = now + SHED_PAUSE;
                1.0
            }
            Outcome::Unreachable => {
                self.unreachable_until = now + UNREACHABLE_PAUSE;
                1.0
            }
            Outcome::Unknown => return,
        };
        let rate = self.failure_rate(now);
        self.failure_rate = rate + FAILURE_WEIGHT * (failed - rate);
        self.outcome_at = now;
    }

    /// It may have ended: it gets nothing for a while if there is another.
    pub(super) fn mark_unreachable(&mut self, now: Instant) {
        self.unreachable_until = now + UNREACHABLE_PAUSE;
    }

    /// It said that it does not have what a request needs.
    pub(super) fn mark_model_absent(&mut self, model_ref: &ModelRef, now: Instant) {
        self.absent_until
            .insert(model_ref.clone(), now + ABSENT_PAUSE);
    }
}
