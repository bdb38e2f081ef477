//! The benefit of a replica: the number of requests that are served in time because of it. The unit
//! is the same for busy and rare models, so that they can be compared.

use super::Planner;
use super::demand::{AwaitedModel, as_f64};
use crate::versions::SoftwareVersion;
use passway_types::prelude::*;
use std::collections::BTreeMap;

/// Time over which the benefit of a replica counts, in seconds: roughly the time to reload a model
/// that was wrongly evicted, i.e. until the running requests of its replacement have ended (0.8 s)
/// and the model is loaded (0.3 to 0.5 s).
const HORIZON_S: f64 = 1.5;
/// Remaining ratio of the benefit of a replica beyond the demand. The value stays above 0 so that
/// the replica with the lowest request rate is evicted first.
const SPARE_REPLICA_RATIO: f64 = 0.02;
/// This many seconds of waiting count as one more waiting request, so that every model is
/// eventually loaded, however busy the others are.
const WAIT_S_PER_REQUEST: f64 = 1.0;

/// A model that would benefit from one more replica.
#[derive(Debug, Clone)]
pub(super) struct Candidate {
    pub(super) service: ServiceName,
    pub(super) model: ModelName,
    /// The software version at which the replica is needed; `None` if any version will do.
    pub(super) required_software: Option<SoftwareVersion>,
    /// Requests served in time because of the replica.
    pub(super) gain: f64,
    /// Requests that become late during each second until the replica is loaded.
    pub(super) delay_cost_per_s: f64,
    /// Start of the longest wait for the model; `None` if no request waits.
    pub(super) waiting_since: Option<Instant>,
    /// Whether the model has enough replicas, but some on slow engines.
    pub(super) is_for_speed: bool,
}

impl Candidate {
    /// Whether the replica may be loaded on engines of a software version.
    pub(super) fn accepts(&self, software: &SoftwareVersion) -> bool {
        let required = self.required_software.as_ref();
        required.is_none_or(|required| required == software)
    }
}

/// Start of the longest of the waits.
fn longest_wait_start(awaited_models: &[&AwaitedModel]) -> Option<Instant> {
    let starts = awaited_models.iter().map(|awaited| awaited.waiting_since);
    starts.min()
}

/// A number of replicas as a floating-point number.
fn usize_as_f64(count: usize) -> f64 {
    as_f64(u64::try_from(count).unwrap_or(u64::MAX))
}

impl Planner {
    /// Models that would benefit from one more replica, in descending order of gain.
    pub(super) fn candidates(&self, now: Instant) -> Vec<Candidate> {
        let awaited_models = self.demand.awaited_models();
        let mut models: BTreeMap<(&ServiceName, &ModelName), Vec<&AwaitedModel>> = BTreeMap::new();
        let busy = self.demand.busy_models(now);
        for (service, model) in busy {
            models.entry((service, model)).or_default();
        }
        let mut models_by_version: BTreeMap<_, Vec<&AwaitedModel>> = BTreeMap::new();
        for awaited in awaited_models {
            let model = (&awaited.need.service, &awaited.need.model_ref.model);
            if let Some(software) = &awaited.need.required_software {
                let key = (model, software);
                models_by_version.entry(key).or_default().push(awaited);
            } else {
                models.entry(model).or_default().push(awaited);
            }
        }
        let candidates = models
            .into_iter()
            .filter_map(|((service, model), awaited_models)| {
                let has_pool = self.pools.contains_key(service);
                has_pool.then(|| self.candidate(service, model, &awaited_models, now))?
            });
        let mut candidates: Vec<Candidate> = candidates.collect();
        for ((model, software), awaited_models) in models_by_version {
            let plain = candidates.iter().find(|candidate| {
                candidate.required_software.is_none()
                    && (&candidate.service, &candidate.model) == model
            });
            let candidate = self.version_candidate(model, software, plain, &awaited_models, now);
            candidates.extend(candidate);
        }
        candidates.sort_by(|a, b| b.gain.total_cmp(&a.gain));
        candidates
    }

    /// The gain of one more replica of a model; `None` if the model has enough replicas.
    fn candidate(
        &self,
        service: &ServiceName,
        model: &ModelName,
        awaited_models: &[&AwaitedModel],
        now: Instant,
    ) -> Option<Candidate> {
        let replicas = self.replica_count(service, model) + self.pending_load_count(service, model);
        let target = self.target_replicas(service, model, now);
        if replicas >= target {
            return None;
        }
        let rate = self.demand.rate(service, model, now);
        // If all slots are taken, a new replica takes over its share of the requests at once.
        // Otherwise it only shortens queues, and its share shrinks as the target number of replicas
        // grows.
        let plain_target = self.plain_target_replicas(service, model, now);
        let is_for_speed = replicas >= plain_target;
        let sharing_replicas = if self.is_out_of_slots(service, model) {
            replicas + 1
        } else if is_for_speed {
            target
        } else {
            // A replica that is needed at any speed is worth as much as if all engines were equal.
            plain_target
        };
        let rate_share = rate / usize_as_f64(sharing_replicas.max(1));
        let mut candidate = Candidate {
            service: service.clone(),
            model: model.clone(),
            required_software: None,
            gain: rate_share * HORIZON_S,
            delay_cost_per_s: rate_share,
            waiting_since: None,
            is_for_speed,
        };
        if replicas == 0 {
            let wait_score = self.wait_score(awaited_models, now);
            candidate.gain = rate * HORIZON_S + wait_score;
            candidate.delay_cost_per_s = rate + wait_score;
            candidate.waiting_since = longest_wait_start(awaited_models);
        }
        Some(candidate)
    }

    /// The gain of a replica at engines of one software version, for requests that may run only
    /// there; `None` if such an engine has the model or is about to load it.
    ///
    /// The replica serves other requests too, so the gain includes that of `plain`, the candidate
    /// for a replica at any version.
    fn version_candidate(
        &self,
        (service, model): (&ServiceName, &ModelName),
        software: &SoftwareVersion,
        plain: Option<&Candidate>,
        awaited_models: &[&AwaitedModel],
        now: Instant,
    ) -> Option<Candidate> {
        let has_version = |id: &UpstreamId| {
            let engine = self.engines.get(id);
            engine.is_some_and(|engine| engine.entry.software == *software)
        };
        let counts = &self.replica_counts;
        let loaded = counts.engines_with_replica(service, model);
        let loading = counts.engines_loading(service, model);
        let has_pool = self.pools.contains_key(service);
        if !has_pool || loaded.iter().chain(loading).any(has_version) {
            return None;
        }
        let wait_score = self.wait_score(awaited_models, now);
        Some(Candidate {
            service: service.clone(),
            model: model.clone(),
            required_software: Some(software.clone()),
            gain: plain.map_or(0.0, |plain| plain.gain) + wait_score,
            delay_cost_per_s: plain.map_or(0.0, |plain| plain.delay_cost_per_s) + wait_score,
            waiting_since: longest_wait_start(awaited_models),
            is_for_speed: false,
        })
    }

    /// How much the requests that wait for a model count, in requests.
    fn wait_score(&self, awaited_models: &[&AwaitedModel], now: Instant) -> f64 {
        let scoring = self.policy.wait_scoring();
        let scores = awaited_models.iter().map(|awaited| {
            let count = if scoring.should_count_requests {
                awaited.count()
            } else {
                1
            };
            let wait = now.saturating_duration_since(awaited.waiting_since);
            let requests_per_s = if scoring.should_count_wait_time {
                1.0 / WAIT_S_PER_REQUEST
            } else {
                0.0
            };
            f64::from(count) + wait.as_secs_f64() * requests_per_s
        });
        scores.sum()
    }

    /// The benefit of one of a model's replicas, in requests served in time.
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
