//! The demand for models: waiting requests, and the request rate of each model.

use crate::upstreams::ModelRef;
use crate::versions::SoftwareVersion;
use passway_types::prelude::*;
use std::collections::{BTreeMap, HashMap};

/// Time constant of the average request rates, in seconds: long enough to see a rare model twice,
/// short enough to follow demand that changes within some seconds.
const RATE_WINDOW_S: f64 = 4.0;
/// Models with a lower request rate are considered for a replica only if requests wait for them:
/// one replica is enough for them under any policy.
const BUSY_RATE_PER_S: f64 = 0.5;

/// A model with a lower request rate is forgotten. The rate of a single request falls below this
/// value after 31 s. All 730 models of a large fleet together then stay below [`IDLE_RATE_PER_S`],
/// so that forgetting them changes no decision.
const FORGOTTEN_RATE_PER_S: f64 = 0.000_1;
/// Interval between two searches for models to forget; equals the time constant of the rates.
const FORGET_INTERVAL: Duration = Duration::from_secs(4);

/// The fleet counts as idle if the rate of all models together is lower.
const IDLE_RATE_PER_S: f64 = 0.5;

/// Current usage of a model.
#[derive(Debug, Clone, Copy)]
pub struct Usage {
    /// Running requests, over all engines.
    pub running: u32,
    /// Requests that wait because no engine accepts them.
    pub waiters: u32,
    /// Requests that one engine runs concurrently.
    pub slots: u32,
}

/// Requests of one instance that wait for a model or adapter.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Waiters {
    /// The instance.
    pub instance: InstanceId,
    /// The service.
    pub service: ServiceName,
    /// The model or adapter that the requests wait for.
    pub model_ref: ModelRef,
    /// The only software version at which the requests may run; `None` if any may run them.
    pub required_software: Option<SoftwareVersion>,
    /// Number of waiting requests; 0 if no request waits any more.
    pub count: u32,
    /// The latest deadline of these requests.
    pub latest_deadline: Instant,
}

/// A number as a floating-point number; times and counts in this module are far below 2^52.
#[expect(clippy::cast_precision_loss, reason = "far below 2^52")]
pub(super) fn as_f64(number: u64) -> f64 {
    number as f64
}

/// What waiting requests need: a model or adapter, at engines of one software version or at any.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct Need {
    pub(super) service: ServiceName,
    pub(super) model_ref: ModelRef,
    /// The only software version at which the requests may run; `None` if any may run them.
    pub(super) required_software: Option<SoftwareVersion>,
}

impl Need {
    /// Whether the requests may run at engines of a software version.
    pub(super) fn accepts(&self, software: &SoftwareVersion) -> bool {
        let required = self.required_software.as_ref();
        required.is_none_or(|required| required == software)
    }
}

/// A model or adapter that requests wait for.
#[derive(Debug, Clone)]
pub(super) struct AwaitedModel {
    pub(super) need: Need,
    /// Since when at least one request has been waiting at all times.
    pub(super) waiting_since: Instant,
    /// Number of waiting requests and their latest deadline, by instance.
    by_instance: BTreeMap<InstanceId, (u32, Instant)>,
}

impl AwaitedModel {
    /// Number of waiting requests, over all instances.
    pub(super) fn count(&self) -> u32 {
        self.by_instance.values().map(|(count, _)| count).sum()
    }
}

/// Requests per second, as an exponentially decaying average.
#[derive(Debug, Clone, Copy)]
struct Rate {
    per_s: f64,
    updated_at: Instant,
}

impl Rate {
    fn at(self, now: Instant) -> f64 {
        let elapsed_s = now.saturating_duration_since(self.updated_at).as_secs_f64();
        self.per_s * (-elapsed_s / RATE_WINDOW_S).exp()
    }
}

/// A model of a service, and the software version that requests for it need.
type ModelKey = (ServiceName, ModelName, Option<SoftwareVersion>);

fn model_key(need: &Need) -> ModelKey {
    let model = need.model_ref.model.clone();
    (need.service.clone(), model, need.required_software.clone())
}

/// Waiting requests and request rates.
#[derive(Debug, Default)]
pub(super) struct Demand {
    awaited: HashMap<Need, AwaitedModel>,
    /// Waiting requests by model and required software version, including requests for the model's
    /// adapters.
    waiters_by_model: HashMap<ModelKey, u32>,
    /// Names come from callers, so models without recent requests must be dropped.
    rates: HashMap<(ServiceName, ModelName), Rate>,
    /// When to drop decayed rates next.
    forget_at: Option<Instant>,
}

impl Demand {
    /// Sets how many requests of an instance currently wait for a model or adapter.
    pub(super) fn set_waiters(&mut self, waiters: Waiters, now: Instant) {
        let Waiters {
            instance,
            service,
            model_ref,
            required_software,
            count,
            latest_deadline,
        } = waiters;
        let need = Need {
            service,
            model_ref,
            required_software,
        };
        if count == 0 && !self.awaited.contains_key(&need) {
            return;
        }
        let model_key = model_key(&need);
        let awaited = self.awaited.entry(need.clone()).or_insert(AwaitedModel {
            need: need.clone(),
            waiting_since: now,
            by_instance: BTreeMap::new(),
        });
        let previous = if count == 0 {
            awaited.by_instance.remove(&instance)
        } else {
            awaited
                .by_instance
                .insert(instance, (count, latest_deadline))
        };
        if awaited.by_instance.is_empty() {
            self.awaited.remove(&need);
        }
        let previous = previous.map_or(0, |(count, _)| count);
        let waiters = self.waiters_by_model.entry(model_key.clone()).or_default();
        *waiters = (*waiters + count).saturating_sub(previous);
        if *waiters == 0 {
            self.waiters_by_model.remove(&model_key);
        }
    }

    /// Removes the waiting requests of an instance.
    pub(super) fn remove_instance(&mut self, instance: &InstanceId) {
        self.retain(|waiting_instance, _| waiting_instance != instance);
    }

    /// Drops waiting requests past their deadline, and the rates of models without recent requests.
    pub(super) fn expire(&mut self, now: Instant) {
        self.retain(|_, deadline| now < deadline);
        if self.forget_at.is_none_or(|at| now >= at) {
            self.forget_at = Some(now + FORGET_INTERVAL);
            self.rates
                .retain(|_, rate| rate.at(now) >= FORGOTTEN_RATE_PER_S);
        }
    }

    fn retain(&mut self, should_stay: impl Fn(&InstanceId, Instant) -> bool) {
        let mut is_changed = false;
        self.awaited.retain(|_, awaited| {
            let previous = awaited.by_instance.len();
            awaited
                .by_instance
                .retain(|instance, (_, deadline)| should_stay(instance, *deadline));
            is_changed |= awaited.by_instance.len() != previous;
            !awaited.by_instance.is_empty()
        });
        if is_changed {
            self.recount();
        }
    }

    fn recount(&mut self) {
        self.waiters_by_model.clear();
        for awaited in self.awaited.values() {
            let key = model_key(&awaited.need);
            *self.waiters_by_model.entry(key).or_default() += awaited.count();
        }
    }

    /// Models and adapters that requests wait for, the longest wait first.
    pub(super) fn awaited_models(&self) -> Vec<&AwaitedModel> {
        let mut awaited_models: Vec<&AwaitedModel> = self.awaited.values().collect();
        awaited_models.sort_by(|a, b| {
            let rank = |awaited: &AwaitedModel| awaited.waiting_since;
            rank(a)
                .cmp(&rank(b))
                .then_with(|| a.need.model_ref.cmp(&b.need.model_ref))
                .then_with(|| a.need.required_software.cmp(&b.need.required_software))
        });
        awaited_models
    }

    /// Models and adapters that requests have waited for at least `min_wait`.
    pub(super) fn awaited_for_at_least(
        &self,
        now: Instant,
        min_wait: Duration,
    ) -> impl Iterator<Item = &AwaitedModel> {
        let awaited_models = self.awaited.values();
        awaited_models.filter(move |awaited| now >= awaited.waiting_since + min_wait)
    }

    /// Instances whose requests wait for a model or adapter that an engine of this software version
    /// may serve to them.
    pub(super) fn waiting_instances<'a>(
        &'a self,
        service: &ServiceName,
        model_ref: &ModelRef,
        software: &SoftwareVersion,
    ) -> impl Iterator<Item = &'a InstanceId> + use<'a> {
        let versions = [None, Some(software.clone())];
        let needs = versions.map(|required_software| Need {
            service: service.clone(),
            model_ref: model_ref.clone(),
            required_software,
        });
        let awaited_models = needs.map(|need| self.awaited.get(&need));
        awaited_models
            .into_iter()
            .flatten()
            .flat_map(|awaited| awaited.by_instance.keys())
    }

    /// Requests that wait for a model at any software version, including requests for its adapters.
    pub(super) fn waiters(&self, service: &ServiceName, model: &ModelName) -> u32 {
        self.waiters_requiring(service, model, None)
    }

    /// Requests that wait for a model and may run at engines of this software version, including
    /// requests for the model's adapters.
    pub(super) fn waiters_accepting(
        &self,
        service: &ServiceName,
        model: &ModelName,
        software: &SoftwareVersion,
    ) -> u32 {
        self.waiters(service, model) + self.waiters_requiring(service, model, Some(software))
    }

    fn waiters_requiring(
        &self,
        service: &ServiceName,
        model: &ModelName,
        software: Option<&SoftwareVersion>,
    ) -> u32 {
        if self.waiters_by_model.is_empty() {
            return 0;
        }
        let key = (service.clone(), model.clone(), software.cloned());
        self.waiters_by_model.get(&key).copied().unwrap_or(0)
    }

    /// Records that `count` requests for a model arrived.
    pub(super) fn record_arrivals(
        &mut self,
        service: &ServiceName,
        model_ref: &ModelRef,
        count: u32,
        now: Instant,
    ) {
        let key = (service.clone(), model_ref.model.clone());
        let rate = self.rates.entry(key).or_insert(Rate {
            per_s: 0.0,
            updated_at: now,
        });
        rate.per_s = rate.at(now) + f64::from(count) / RATE_WINDOW_S;
        rate.updated_at = now;
    }

    /// Requests per second for a model.
    pub(super) fn rate(&self, service: &ServiceName, model: &ModelName, now: Instant) -> f64 {
        let key = (service.clone(), model.clone());
        self.rates.get(&key).map_or(0.0, |rate| rate.at(now))
    }

    /// Whether there is no demand, for example before traffic starts.
    pub(super) fn is_idle(&self, now: Instant) -> bool {
        let total_per_s = self.rates.values().map(|rate| rate.at(now)).sum::<f64>();
        self.awaited.is_empty() && total_per_s < IDLE_RATE_PER_S
    }

    /// Models whose request rate may justify more than one replica.
    pub(super) fn busy_models(
        &self,
        now: Instant,
    ) -> impl Iterator<Item = (&ServiceName, &ModelName)> {
        let busy = self
            .rates
            .iter()
            .filter(move |(_, rate)| rate.at(now) >= BUSY_RATE_PER_S);
        busy.map(|((service, model), _)| (service, model))
    }
}
