//! The engines of other dispatchers, as these report them.

use super::{EngineReport, effective_load};
use crate::forecast::{EngineEstimate, EngineSpeeds, StreamPrior};
use crate::hash;
use crate::upstreams::{RequestNeeds, UpstreamTable, lateness_cost};
use passway_types::prelude::*;
use std::collections::HashMap;

/// How long a report counts: the two reports after it may be lost.
const REPORT_TTL: Duration = Duration::from_millis(1_500);
/// Largest number of engines that are kept: more than a fleet has.
const MAX_ENGINES: usize = 4_096;
/// A request is sent to another dispatcher only if its engine costs less by this much, in units of
/// an engine's slots. That corresponds to about a fifth of the requests being late, which is more
/// than an answer of one more dispatcher costs, and more than loads change within the age of a
/// report.
const REDIRECT_MARGIN: f64 = 0.5;
/// Largest random part of the cost of another dispatcher's engine, in units of its slots.
const RANDOM_COST: f64 = 0.2;

#[derive(Debug)]
struct PeerEngine {
    estimate: EngineEstimate,
    /// Its runs by the report, and the requests that were sent to its dispatcher because of it
    /// since.
    load: u32,
    reported_at: Instant,
}

impl PeerEngine {
    fn is_current(&self, now: Instant) -> bool {
        now < self.reported_at + REPORT_TTL
    }
}

/// The request that may go to another dispatcher's engine.
#[derive(Debug, Clone, Copy)]
pub(super) struct Redirectable<'a> {
    pub(super) needs: RequestNeeds<'a>,
    pub(super) tried: &'a [String],
    pub(super) prior: &'a StreamPrior,
    /// The load of the engine that would be granted.
    pub(super) load: u32,
    /// The engine that would be granted.
    pub(super) engine: &'a UpstreamId,
    /// Whether engines admit the request before all other waiting requests.
    pub(super) is_urgent: bool,
}

/// The engines of other dispatchers.
#[derive(Debug, Default)]
pub(super) struct PeerEngines {
    engines: HashMap<UpstreamId, PeerEngine>,
}

impl PeerEngines {
    /// Replaces what is known about the reported engines.
    pub(super) fn merge(&mut self, reports: &[EngineReport], now: Instant) {
        for report in reports {
            let is_known = self.engines.contains_key(&report.engine);
            if is_known || self.engines.len() < MAX_ENGINES {
                let engine = PeerEngine {
                    estimate: EngineEstimate::of_report(&report.gaps, report.first_event),
                    load: report.load,
                    reported_at: now,
                };
                self.engines.insert(report.engine.clone(), engine);
            }
        }
    }

    /// Removes engines that are not reported any more.
    pub(super) fn remove_expired(&mut self, now: Instant) {
        self.engines.retain(|_, engine| engine.is_current(now));
    }

    /// What its dispatcher reports of an engine.
    pub(super) fn estimate(&self, engine: &UpstreamId) -> Option<&EngineEstimate> {
        self.engines.get(engine).map(|engine| &engine.estimate)
    }

    /// The engine of another dispatcher that is clearly better for a request than the one that
    /// would be granted, by its forecast of pauses alone and by its cost as a whole.
    pub(super) fn redirect(
        &mut self,
        request: Redirectable<'_>,
        speeds: &EngineSpeeds,
        upstreams: &UpstreamTable,
        is_own: &dyn Fn(&UpstreamId) -> bool,
        now: Instant,
    ) -> Option<UpstreamId> {
        let Redirectable { needs, prior, .. } = request;
        let cost = |estimate: &EngineEstimate| lateness_cost(prior.pause_probability(estimate));
        let own_lateness = cost(&speeds.estimate(request.engine, now));
        if own_lateness < REDIRECT_MARGIN {
            return None;
        }
        let own_cost = upstreams.cost_of(request.engine, needs, request.load, now)?;
        let mut least = (own_cost + own_lateness - REDIRECT_MARGIN, None);
        for (id, engine) in &self.engines {
            let lateness = cost(&engine.estimate);
            let is_clear = lateness <= own_lateness - REDIRECT_MARGIN && lateness < least.0;
            let is_tried = || request.tried.iter().any(|tried| **tried == **id);
            if !is_clear || !engine.is_current(now) || is_tried() {
                continue;
            }
            // A full or unusable engine has no cost.
            let slots = upstreams.slots_of(id);
            let load = effective_load(engine.load, slots, request.is_urgent);
            let other_cost = upstreams.cost_of(id, needs, load, now);
            // Dispatchers know the same reports. The random part keeps them from choosing alike.
            let random = RANDOM_COST * hash::fraction(needs.random, id);
            if let Some(total) = other_cost.map(|cost| cost + lateness + random)
                && total < least.0
                && !is_own(id)
            {
                least = (total, Some(id.clone()));
            }
        }
        let id = least.1?;
        if let Some(engine) = self.engines.get_mut(&id) {
            engine.load = engine.load.saturating_add(1);
        }
        Some(id)
    }
}
