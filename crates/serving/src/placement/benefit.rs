//! What a place on an engine is worth to a model, in one currency for busy and rare
//! models alike: requests that are served in time thanks to it.

use super::Planner;
use super::demand::{AwaitedModel, as_f64};
use passway_types::prelude::*;
use std::collections::BTreeMap;

/// Time over which a place counts, in seconds: what it takes to load a model again that was
/// wrongly sent away, the runs of what it replaces (0.8 s) and its load (0.3 to 0.5 s).
const HORIZON_S: f64 = 1.5;
/// What remains of a replica's worth that the demand does not need, as a part: enough
/// that the least asked for goes first.
const SPARE_REPLICA_RATIO: f64 = 0.02;
/// A wait of so many seconds adds one more request to the count of those that wait, so
/// that nothing that is asked for is left out however busy the others are.
const WAIT_S_PER_REQUEST: f64 = 1.0;

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
    pub(super) waiting_since: Option<Instant>,
}

/// A number of replicas to calculate with.
fn usize_as_f64(count: usize) -> f64 {
    as_f64(u64::try_from(count).unwrap_or(u64::MAX))
}

impl Planner {
    /// Models that are worth one more replica, those that gain most first.
    pub(super) fn candidates(&self, now: Instant) -> Vec<Candidate> {
        let waiting = self.demand.waiting();
        let mut models: BTreeMap<(&ServiceName, &ModelName), Vec<&AwaitedModel>> = BTreeMap::new();
        let busy = self.demand.busy_models(now);
        for (service, model) in busy {
            models.entry((service, model)).or_default();
        }
        for awaited in waiting {
            let model = (&awaited.service, &awaited.model_ref.model);
            models.entry(model).or_default().push(awaited);
        }
        let candidates = models
            .into_iter()
            .filter_map(|((service, model), waiting)| {
                let has_pool = self.pools.contains_key(service);
                has_pool.then(|| self.candidate(service, model, &waiting, now))?
            });
        let mut candidates: Vec<Candidate> = candidates.collect();
        candidates.sort_by(|a, b| b.gain.total_cmp(&a.gain));
        candidates
    }

    /// What one more replica of a model gains; `None` if it has enough of them.
    fn candidate(
        &self,
        service: &ServiceName,
        model: &ModelName,
        waiting: &[&AwaitedModel],
        now: Instant,
    ) -> Option<Candidate> {
        let replicas = self.replica_count(service, model) + self.pending_load_count(service, model);
        let target = self.target_replicas(service, model, now);
        if replicas >= target {
            return None;
        }
        let rate = self.demand.rate(service, model, now);
        // Where requests find no slot, one more replica takes its part of them at once;
        // else it only makes queues shorter, the less the more replicas are wanted.
        let sharing_replicas = if self.is_out_of_slots(service, model) {
            replicas + 1
        } else {
            target
        };
        let rate_share = rate / usize_as_f64(sharing_replicas.max(1));
        let mut candidate = Candidate {
            service: service.clone(),
            model: model.clone(),
            gain: rate_share * HORIZON_S,
            delay_cost_per_s: rate_share,
            waiting_since: None,
        };
        if replicas == 0 {
            let weights = self.policy.wait_scoring();
            let scores = waiting.iter().map(|awaited| {
                let count = if weights.should_count_requests {
                    awaited.count()
                } else {
                    1
                };
                let wait = now.saturating_duration_since(awaited.waiting_since);
                let requests_per_s = if weights.should_count_wait_time {
                    1.0 / WAIT_S_PER_REQUEST
                } else {
                    0.0
                };
                f64::from(count) + wait.as_secs_f64() * requests_per_s
            });
            let wait_score: f64 = scores.sum();
            candidate.gain = rate * HORIZON_S + wait_score;
            candidate.delay_cost_per_s = rate + wait_score;
            candidate.waiting_since = waiting.iter().map(|awaited| awaited.waiting_since).min();
        }
        Some(candidate)
    }

    /// Requests in time that one of a model's replicas is worth.
    pub(super) fn replica_benefit(
        &self,
        service: &ServiceName,
        model: &ModelName,
        now: Instant,
    ) -> f64 {
        let replicas = self.replica_count(service, model);
        let target = self.target_replicas(service, model, now);
        let rate = self.demand.rate(service, model, now);
        if replicas > target {
            return SPARE_REPLICA_RATIO * rate * HORIZON_S;
        }
        let waiters = f64::from(self.demand.waiters(service, model));
        (rate * HORIZON_S + waiters) / usize_as_f64(replicas.max(1))
    }
}
