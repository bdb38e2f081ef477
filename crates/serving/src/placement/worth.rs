//! What a place on an engine is worth to a model, in one currency for busy and rare
//! models alike: requests that are served in time thanks to it.

use super::Planner;
use super::demand::{Waiting, as_f64};
use passway_types::prelude::*;
use std::collections::BTreeMap;

/// Time over which a place counts, in seconds: what it takes to load a model again that was
/// wrongly sent away, the runs of what it replaces (0.8 s) and its load (0.3 to 0.5 s).
const HORIZON_S: f64 = 1.5;
/// What remains of a replica's worth that the demand does not need, as a part: enough
/// that the least asked for goes first.
const SPARE_PART: f64 = 0.02;
/// A wait of so many seconds adds one more request to the count of those that wait, so
/// that nothing that is asked for is left out however busy the others are.
const AGEING_S: f64 = 1.0;

/// A model that is worth one more replica.
#[derive(Debug, Clone)]
pub(super) struct Candidate {
    pub(super) service: ServiceName,
    pub(super) model: ModelName,
    /// Requests in time that the replica gains.
    pub(super) gain: f64,
    /// Requests that are late by each second that it takes.
    pub(super) delay_cost_per_s: f64,
    /// Since when requests have waited for it; `None` if none does.
    pub(super) since: Option<Instant>,
}

/// A number of replicas to calculate with.
fn whole(number: usize) -> f64 {
    as_f64(u64::try_from(number).unwrap_or(u64::MAX))
}

impl Planner {
    /// Models that are worth one more replica, those that gain most first.
    pub(super) fn candidates(&self, now: Instant) -> Vec<Candidate> {
        let waiting = self.demand.waiting();
        let mut models: BTreeMap<(&ServiceName, &ModelName), Vec<&Waiting>> = BTreeMap::new();
        let busy = self.demand.busy_models(now);
        for (service, model) in busy {
            models.entry((service, model)).or_default();
        }
        for waiter in waiting {
            let model = (&waiter.service, &waiter.model_ref.model);
            models.entry(model).or_default().push(waiter);
        }
        let worth = models
            .into_iter()
            .filter_map(|((service, model), waiting)| {
                let has_pool = self.pools.contains_key(service);
                has_pool.then(|| self.candidate(service, model, &waiting, now))?
            });
        let mut candidates: Vec<Candidate> = worth.collect();
        candidates.sort_by(|one, other| other.gain.total_cmp(&one.gain));
        candidates
    }

    /// What one more replica of a model gains; `None` if it has enough of them.
    fn candidate(
        &self,
        service: &ServiceName,
        model: &ModelName,
        waiting: &[&Waiting],
        now: Instant,
    ) -> Option<Candidate> {
        let replicas = self.replicas(service, model) + self.coming(service, model);
        let wanted = self.wanted(service, model, now);
        if replicas >= wanted {
            return None;
        }
        let rate = self.demand.rate(service, model, now);
        // Where requests find no slot, one more replica takes its part of them at once;
        // else it only makes queues shorter, the less the more replicas are wanted.
        let sharing = if self.lacks_slots(service, model) {
            replicas + 1
        } else {
            wanted
        };
        let part = rate / whole(sharing.max(1));
        let mut candidate = Candidate {
            service: service.clone(),
            model: model.clone(),
            gain: part * HORIZON_S,
            delay_cost_per_s: part,
            since: None,
        };
        if replicas == 0 {
            let weights = self.policy.wait_scoring();
            let counts = waiting.iter().map(|waiting| {
                let count = if weights.should_count_requests {
                    waiting.count()
                } else {
                    1
                };
                let age = now.saturating_duration_since(waiting.since);
                let ageing = if weights.should_count_wait_time {
                    1.0 / AGEING_S
                } else {
                    0.0
                };
                f64::from(count) + age.as_secs_f64() * ageing
            });
            let waiters: f64 = counts.sum();
            candidate.gain = rate * HORIZON_S + waiters;
            candidate.delay_cost_per_s = rate + waiters;
            candidate.since = waiting.iter().map(|waiting| waiting.since).min();
        }
        Some(candidate)
    }

    /// Requests in time that one of a model's replicas is worth.
    pub(super) fn replica_worth(
        &self,
        service: &ServiceName,
        model: &ModelName,
        now: Instant,
    ) -> f64 {
        let replicas = self.replicas(service, model);
        let wanted = self.wanted(service, model, now);
        let rate = self.demand.rate(service, model, now);
        if replicas > wanted {
            return SPARE_PART * rate * HORIZON_S;
        }
        let waiters = f64::from(self.demand.waiters(service, model));
        (rate * HORIZON_S + waiters) / whole(replicas.max(1))
    }
}
