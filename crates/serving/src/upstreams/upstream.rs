//! One upstream: its own report, and what this instance has observed of it.

use super::backoff::Backoff;
use super::{ListedStart, ModelRef, Outcome, StartReport, UpstreamEntry};
use crate::limits::ObservedLimit;
use passway_types::prelude::*;
use std::collections::{HashMap, HashSet};

/// Weight of the newest outcome in an upstream's failure rate.
const FAILURE_WEIGHT: f64 = 0.25;
/// Half-life of a failure rate when nothing is sent, in seconds, so that the upstream is tried
/// again.
const FAILURE_HALF_LIFE_S: f64 = 2.0;
/// How long an upstream that refused a request because it was full gets no further one.
const SHED_BACKOFF: Duration = Duration::from_millis(80);
/// How long an upstream that could not be reached gets requests only if there is no other.
const UNREACHABLE_BACKOFF: Duration = Duration::from_millis(700);
/// A working upstream from which nothing is received for this long counts as silent: its streams
/// send an event every few hundredths of a second.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(700);
/// A report counts as new if it extends the cold time by at least this much: the same report
/// received twice differs by no more than some tenths of a second.
const MIN_COLD_EXTENSION: Duration = Duration::from_millis(600);
/// How long an upstream gets no requests for a model that it reported missing.
const ABSENT_BACKOFF: Duration = Duration::from_millis(400);

/// The entry of another start than the listed one.
#[derive(Debug)]
pub(super) struct OtherStart {
    pub(super) entry: UpstreamEntry,
    /// As in [`Upstream`].
    pub(super) is_software_unknown: bool,
}

/// An upstream's report and what this instance has observed of it.
#[derive(Debug)]
pub(super) struct Upstream {
    pub(super) entry: UpstreamEntry,
    /// Whether the software version is unknown: the entries of this process name different versions, or a
    /// newer process has replaced it and its entry has not arrived.
    pub(super) is_software_unknown: bool,
    /// Since when the entry's address is known for its start.
    pub(super) address_since: Instant,
    /// The entry of the start that was listed before, or the last one that seemed to be of an earlier
    /// start.
    pub(super) other_start: Option<Box<OtherStart>>,
    /// Running requests of this instance, in total and by model; models without requests are not
    /// listed.
    pub(super) in_flight: u32,
    pub(super) in_flight_models: HashMap<ModelName, u32>,
    /// Since when nothing was received while requests run; `None` while none runs.
    silent_since: Option<Instant>,
    /// The failure rate at `outcome_at`, between 0 and 1.
    failure_rate: f64,
    outcome_at: Instant,
    /// Until when the upstream gets requests only if there is no other.
    pub(super) unreachable_until: Instant,
    /// Until when the upstream counts as full.
    pub(super) full_until: Instant,
    /// Until when the upstream counts as lacking what it reported missing.
    pub(super) absent_until: HashMap<ModelRef, Instant>,
    /// Models that the holder is about to unload.
    pub(super) evicting: Vec<ModelName>,
    /// Models that have been loaded since the upstream is known; it has cached copies of them.
    loaded_before: HashSet<ModelName>,
    /// When the upstream counts as removed unless its entry returns; `None` while the entry is
    /// present.
    pub(super) removed_at: Option<Instant>,
    /// The latest advertised limit; `None` if the upstream never advertised one.
    limit: Option<ObservedLimit>,
    /// Requests a second that the upstream accepts while it is cold; `None` without a limit.
    pub(super) cold_per_s: Option<f64>,
    /// Until when the upstream may be cold without having reported it.
    pub(super) may_be_cold_until: Option<Instant>,
    /// The backoff that the upstream asked this instance for.
    pub(super) backoff: Backoff,
}

impl Upstream {
    /// Creates an upstream that was not observed yet.
    pub(super) fn new(entry: UpstreamEntry, now: Instant) -> Self {
        Self {
            entry,
            is_software_unknown: false,
            address_since: now,
            other_start: None,
            in_flight: 0,
            in_flight_models: HashMap::new(),
            silent_since: None,
            failure_rate: 0.0,
            outcome_at: now,
            unreachable_until: now,
            full_until: now,
            absent_until: HashMap::new(),
            evicting: Vec::new(),
            loaded_before: HashSet::new(),
            removed_at: None,
            limit: None,
            cold_per_s: None,
            may_be_cold_until: None,
            backoff: Backoff::default(),
        }
    }

    /// Keeps the entry of another start. Returns whether its start was not known.
    pub(super) fn keep_other_start(&mut self, entry: UpstreamEntry) -> bool {
        let known = self.other_start.as_mut();
        let known = known.filter(|known| known.entry.started_at_ms == entry.started_at_ms);
        if let Some(known) = known {
            known.is_software_unknown |= known.entry.software != entry.software;
            let is_leaving = known.entry.draining || entry.draining;
            if known.entry.heartbeat <= entry.heartbeat {
                known.entry = entry;
            }
            known.entry.draining = is_leaving;
            false
        } else {
            self.other_start = Some(Box::new(OtherStart {
                entry,
                is_software_unknown: false,
            }));
            true
        }
    }

    /// Whether the process that reported its start has replaced the listed start, and its entry is known.
    pub(super) fn is_replaced_by_other(&self, report: StartReport) -> bool {
        self.other_start.as_ref().is_some_and(|other| {
            report.started_at_ms != 0
                && other.entry.started_at_ms == report.started_at_ms
                && other.entry.address == report.address
                && self.entry.address == report.address
                && report.asked_at > self.address_since
        })
    }

    /// The start that the entry reports.
    pub(super) fn listed_start(&self) -> ListedStart {
        ListedStart {
            started_at_ms: self.entry.started_at_ms,
            software: Some(self.entry.software.clone()).filter(|_| !self.is_software_unknown),
        }
    }

    /// Requests a second that the upstream accepts from all instances together, as advertised or
    /// because it is cold; `None` without a limit.
    pub(super) fn limit_per_s(&self, now: Instant) -> Option<f64> {
        let cold = self.cold_per_s.filter(|_| self.is_cold(now));
        let limits = self.advertised_per_s().into_iter().chain(cold);
        limits.reduce(f64::min)
    }

    /// Requests a second that the upstream advertises to accept from all instances together;
    /// `None` without a limit.
    pub(super) fn advertised_per_s(&self) -> Option<f64> {
        self.limit?.per_s
    }

    /// Whether the upstream is cold, as reported or as assumed.
    pub(super) fn is_cold(&self, now: Instant) -> bool {
        let until = self.entry.cold_until.max(self.may_be_cold_until);
        until.is_some_and(|until| now < until)
    }

    /// Whether a new report extends the cold time.
    pub(super) fn stays_cold_longer(&self, entry: &UpstreamEntry) -> bool {
        let known = self.entry.cold_until;
        entry.cold_until.is_some_and(|until| {
            known.is_none_or(|known| until.saturating_duration_since(known) >= MIN_COLD_EXTENSION)
        })
    }

    /// The latest advertised limit; `None` if the upstream never advertised one.
    pub(super) fn observed_limit(&self) -> Option<ObservedLimit> {
        self.limit
    }

    /// Records an advertised limit. Returns whether it differs from the previous one.
    pub(super) fn record_limit(&mut self, limit: ObservedLimit) -> bool {
        let known = self.limit.as_ref();
        // Upstreams that never had a limit report in each answer that they have none.
        let is_new = known.map_or(limit.per_s.is_some(), |known| limit.replaces(known));
        if !is_new {
            return false;
        }
        let previous_per_s = self.advertised_per_s();
        self.limit = Some(limit);
        limit.per_s != previous_per_s
    }

    /// Records the models that are loaded now.
    pub(super) fn record_loaded(&mut self) {
        for model in &self.entry.models {
            if !self.loaded_before.contains(&model.name) {
                self.loaded_before.insert(model.name.clone());
            }
        }
    }

    /// Whether the upstream can load a model from a nearer place than the weight store, as far as
    /// is known.
    pub(super) fn has_cached(&self, model: &ModelName) -> bool {
        let entry = &self.entry;
        self.loaded_before.contains(model)
            || entry.models.iter().any(|loaded| loaded.name == *model)
            || entry.in_memory.contains(model)
            || entry.on_disk.contains(model)
    }

    /// Whether the upstream's entry has been missing for too long.
    pub(super) fn is_removed(&self, now: Instant) -> bool {
        self.removed_at.is_some_and(|at| now >= at)
    }

    /// Whether the upstream has what a request needs, as far as is known.
    pub(super) fn has(&self, model_ref: &ModelRef, now: Instant) -> bool {
        if self.evicting.contains(&model_ref.model) {
            return false;
        }
        if self
            .absent_until
            .get(model_ref)
            .is_some_and(|until| now < *until)
        {
            return false;
        }
        let loaded = self
            .entry
            .models
            .iter()
            .find(|model| model.name == model_ref.model);
        loaded.is_some_and(|model| {
            let adapter = model_ref.adapter.as_ref();
            adapter.is_none_or(|adapter| model.adapters.contains(adapter))
        })
    }

    /// The ratio of failed attempts, decayed by the time since the last one.
    pub(super) fn failure_rate(&self, now: Instant) -> f64 {
        let idle_s = now.saturating_duration_since(self.outcome_at).as_secs_f64();
        self.failure_rate * 0.5_f64.powf(idle_s / FAILURE_HALF_LIFE_S)
    }

    /// Whether nothing was received for long although requests run.
    pub(super) fn is_silent(&self, now: Instant) -> bool {
        self.silent_since
            .is_some_and(|since| now >= since + SILENCE_TIMEOUT)
    }

    /// Records that a request was sent.
    pub(super) fn record_start(&mut self, model_ref: Option<&ModelRef>, now: Instant) {
        self.in_flight += 1;
        self.silent_since.get_or_insert(now);
        if let Some(model_ref) = model_ref {
            let count = self.in_flight_models.entry(model_ref.model.clone());
            *count.or_default() += 1;
        }
    }

    /// Records that bytes were received.
    pub(super) fn record_activity(&mut self, now: Instant) {
        self.silent_since = Some(now);
    }

    /// Records that a request has ended.
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

    /// Updates the failure rate and the backoffs by an outcome.
    pub(super) fn record_outcome(&mut self, outcome: Outcome, now: Instant) {
        let failed = match outcome {
            Outcome::Answered => 0.0,
            Outcome::Failed => 1.0,
            Outcome::Shed => {
                self.full_until = now + SHED_BACKOFF;
                1.0
            }
            Outcome::Unreachable => {
                self.unreachable_until = now + UNREACHABLE_BACKOFF;
                1.0
            }
            Outcome::Unknown => return,
        };
        let rate = self.failure_rate(now);
        self.failure_rate = rate + FAILURE_WEIGHT * (failed - rate);
        self.outcome_at = now;
    }

    /// Records that the upstream may have terminated. For a while it gets requests only if there
    /// is no other.
    pub(super) fn mark_unreachable(&mut self, now: Instant) {
        self.unreachable_until = now + UNREACHABLE_BACKOFF;
    }

    /// Records that the upstream reported that it does not have what a request needs.
    pub(super) fn mark_model_absent(&mut self, model_ref: &ModelRef, now: Instant) {
        self.absent_until
            .insert(model_ref.clone(), now + ABSENT_BACKOFF);
    }
}
