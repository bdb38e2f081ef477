//! Decides what to load on engines: adapters that requests wait for, models in the order of their
//! benefit, and prefetches of models that no request waits for.

use super::Planner;
use super::benefit::Candidate;
use super::demand::{self, Need};
use super::engine::{Engine, Tier};
use super::speed;
use super::store_load_limiter::MAX_CONCURRENT_STORE_LOADS;
use crate::hash;
use crate::routes::{EnginePool, ModelSpec};
use passway_types::prelude::*;

/// A new replica must gain at least this many times the benefit of the models evicted for it.
/// Otherwise two models of similar benefit would keep evicting each other.
const MIN_GAIN_RATIO: f64 = 1.25;
/// Requests that an engine serves in time because of one second of loading other models. The engine
/// cannot load them while it loads this one.
const ENGINE_TIME_BENEFIT_PER_S: f64 = 0.5;

/// While the fleet is idle, one more concurrent prefetch is allowed per this many engines.
const ENGINES_PER_IDLE_PREFETCH: usize = 40;

/// Number of engines considered for fetching a model from the weight store: enough that one with a
/// low eviction cost is among them. Evaluating all of 256 engines for each of 250 awaited models
/// took 2.5 ms of a pass of 3 ms.
const MAX_FETCH_CANDIDATES: usize = 32;

/// A possible load of a model on an engine, with the necessary evictions.
#[derive(Debug)]
pub(super) struct Swap {
    engine: UpstreamId,
    /// Models to evict.
    victims: Vec<ModelName>,
    /// Requests that are not served in time because of the evictions.
    pub(super) lost_benefit: f64,
    /// Requests that are not served in time because of the evictions and the duration of the swap.
    pub(super) cost: f64,
    /// Requests that are not served in time because of the engine's speed.
    pub(super) speed_cost: f64,
    /// Whether the model is loaded from the weight store.
    pub(super) is_store_load: bool,
}

impl Planner {
    /// Plans the loads of adapters that requests wait for, on engines that have their model.
    pub(super) fn place_adapters(&mut self, now: Instant) {
        let awaited = self.demand.awaited_models().into_iter();
        let adapters = awaited.filter(|awaited| awaited.need.model_ref.adapter.is_some());
        let needs: Vec<Need> = adapters.map(|awaited| awaited.need.clone()).collect();
        for need in needs {
            let (service, model_ref) = (&need.service, &need.model_ref);
            let rate = self.demand.rate(service, &model_ref.model, now);
            let mut engines = self.engines.values();
            let is_satisfied = engines.any(|engine| {
                need.accepts(&engine.entry.software)
                    && ((engine.can_serve(service, model_ref) && engine.can_serve_rate(rate))
                        || engine.is_load_planned(service, model_ref))
            });
            if !is_satisfied {
                self.place_adapter(&need, now);
            }
        }
    }

    /// Plans an adapter on the engine with its model and the fewest adapters; limited engines come
    /// last.
    fn place_adapter(&mut self, need: &Need, now: Instant) {
        let (service, model_ref) = (&need.service, &need.model_ref);
        let model = &model_ref.model;
        let (Some(pool), Some(adapter)) = (self.pools.get(service), &model_ref.adapter) else {
            return;
        };
        let engines = self.engines.values_mut();
        let usable = engines.filter(|engine| {
            need.accepts(&engine.entry.software)
                && engine.has_model(service, model)
                && engine.can_start_swap()
                && !engine.can_serve(service, model_ref)
        });
        let best = usable.min_by_key(|engine| {
            let id = engine.entry.id.clone();
            (engine.is_limited(), engine.adapter_count(), id)
        });
        if let Some(engine) = best {
            engine.plan_adapter(pool, model, adapter, now);
        }
    }

    /// Plans the loads of models that would benefit from one more replica, in descending order of
    /// gain.
    pub(super) fn place_models(&mut self, now: Instant) {
        let mut placed_for_version: Vec<Candidate> = Vec::new();
        for candidate in self.candidates(now) {
            // A replica at the version that some requests need serves the other requests too.
            let is_placed = placed_for_version.iter().any(|placed| {
                candidate.required_software.is_none()
                    && (&placed.service, &placed.model) == (&candidate.service, &candidate.model)
            });
            if is_placed {
                continue;
            }
            // In both cases the engines that cache the model either serve it already or have no
            // memory for it, and more requests are refused each second than the fetch costs the
            // fetching engine.
            let is_out_of_slots = candidate.required_software.is_none()
                && self.is_out_of_slots(&candidate.service, &candidate.model);
            let should_fetch_anyway =
                is_out_of_slots || self.has_waited_too_long_for_cached(&candidate, now);
            let is_placed = self.place_model(&candidate, should_fetch_anyway, now);
            if is_placed && candidate.required_software.is_some() {
                placed_for_version.push(candidate);
            }
        }
    }

    /// Whether requests have waited so long for an engine that caches the model that another engine
    /// should fetch it.
    fn has_waited_too_long_for_cached(&self, candidate: &Candidate, now: Instant) -> bool {
        let pool = self.pools.get(&candidate.service);
        let spec = pool.and_then(|pool| pool.models.named(&candidate.model));
        let (Some(spec), Some(waiting_since)) = (spec, candidate.waiting_since) else {
            return false;
        };
        let fetch_time = Duration::from_millis(spec.load_ms);
        now >= waiting_since + self.policy.max_wait_for_cached(fetch_time)
    }

    /// Fetches models that are stored on no engine while the weight store is idle.
    pub(super) fn prefetch(&mut self, now: Instant) {
        let mut max_loads = self.policy.max_prefetches();
        if max_loads > 0 && self.demand.is_idle(now) {
            // An idle fleet does not need the engines that are loading, unless traffic starts
            // within the six seconds of a load: a small fleet would then start without half of its
            // engines.
            let extra = self.engines.len() / ENGINES_PER_IDLE_PREFETCH;
            max_loads = (max_loads + extra).min(MAX_CONCURRENT_STORE_LOADS);
        }
        if self.pending_store_loads() >= max_loads {
            return;
        }
        let services: Vec<ServiceName> = self.pools.keys().cloned().collect();
        for service in services {
            let specs = self.pools.get(&service).map(|pool| &pool.models);
            let is_missing = |spec: &&ModelSpec| {
                !self.crashing_loads.is_refused(&service, &spec.name)
                    && self.engines_caching(&service, &spec.name).next().is_none()
                    && self.replica_count(&service, &spec.name) == 0
                    && self.pending_load_count(&service, &spec.name) == 0
            };
            let missing_spec = specs.into_iter().flatten().find(is_missing);
            if let Some(model) = missing_spec.map(|spec| spec.name.clone()) {
                let candidate = Candidate {
                    service,
                    model,
                    required_software: None,
                    // An evicted model can be loaded again from the engine's memory or disk.
                    gain: f64::INFINITY,
                    delay_cost_per_s: 0.0,
                    waiting_since: None,
                    is_for_speed: false,
                };
                self.place_model(&candidate, true, now);
            }
        }
    }

    /// Loads from the weight store that are in progress or about to begin.
    fn pending_store_loads(&self) -> usize {
        self.replica_counts.pending_store_loads()
    }

    /// Plans the load of a model on the engine with the lowest cost, if the gain justifies it.
    /// Returns whether a load was planned.
    fn place_model(
        &mut self,
        candidate: &Candidate,
        should_fetch_anyway: bool,
        now: Instant,
    ) -> bool {
        let is_refused = self
            .crashing_loads
            .is_refused(&candidate.service, &candidate.model);
        let swap = self.cheapest_swap(candidate, should_fetch_anyway, now);
        let Some(swap) = swap.filter(|_| !is_refused) else {
            return false;
        };
        let Some(engine) = self.engines.get_mut(&swap.engine) else {
            return false;
        };
        let model = &candidate.model;
        let victims = swap.victims.clone();
        engine.start_swap(model.clone(), swap.victims);
        self.replica_counts.record_swap(engine, model, &victims);
        self.changed_engines.insert(swap.engine);
        true
    }

    /// The swap of lowest cost, with regard to speed, that loads a model on an engine without it.
    fn cheapest_swap(
        &self,
        candidate: &Candidate,
        should_fetch_anyway: bool,
        now: Instant,
    ) -> Option<Swap> {
        let (service, model) = (&candidate.service, &candidate.model);
        let pool = self.pools.get(service)?;
        let spec = pool.models.named(model)?;
        let caching = self.engines_caching(service, model);
        let caching: Vec<&Engine> = caching
            .filter(|engine| candidate.accepts(&engine.entry.software))
            .collect();
        let can_fetch = !candidate.is_for_speed
            && self.can_fetch((service, pool, spec), &caching, should_fetch_anyway, now);
        let fetchers = can_fetch.then(|| self.fetch_candidates(candidate, &caching));
        let engines = caching
            .iter()
            .copied()
            .chain(fetchers.into_iter().flatten());
        let usable = engines.filter(|engine| {
            engine.entry.service == *service
                && engine.can_start_swap()
                && !engine.has_model(service, model)
                // A replica on such an engine would serve few requests.
                && !engine.is_limited()
                && !engine.is_backing_off(now)
        });
        let swaps = usable
            .filter_map(|engine| self.evaluate_swap(engine, pool, spec, candidate, now))
            .collect();
        speed::preferred_swap(swaps)
    }

    /// Engines that may fetch a model that they do not cache: up to [`MAX_FETCH_CANDIDATES`], a
    /// different selection for each model.
    fn fetch_candidates<'a>(
        &'a self,
        candidate: &'a Candidate,
        caching: &[&Engine],
    ) -> impl Iterator<Item = &'a Engine> + use<'a> {
        let caching: Vec<UpstreamId> = caching.iter().map(|e| e.entry.id.clone()).collect();
        let count = self.engines.len().max(1);
        let offset = hash::mixed(0, &candidate.model) % u64::try_from(count).unwrap_or(1);
        let start = usize::try_from(offset).unwrap_or(0);
        let engines = self.engines.values();
        let rotated = engines.clone().skip(start).chain(engines.take(start));
        let others = rotated.filter(move |engine| {
            candidate.accepts(&engine.entry.software) && !caching.contains(&engine.entry.id)
        });
        others.take(MAX_FETCH_CANDIDATES)
    }

    /// The swap that loads a model on one engine; `None` if the engine cannot free enough memory or
    /// the gain is too low for the benefit of the evicted models.
    fn evaluate_swap(
        &self,
        engine: &Engine,
        pool: &EnginePool,
        spec: &ModelSpec,
        candidate: &Candidate,
        now: Instant,
    ) -> Option<Swap> {
        let victims = self.victims(engine, pool, spec, now)?;
        // On an engine of another speed both sides count for more or less alike, so the comparison
        // does not depend on it.
        if candidate.gain < MIN_GAIN_RATIO * victims.lost_benefit {
            return None;
        }
        let weights = engine.speed.weights;
        if candidate.is_for_speed && !speed::may_add_for_speed(victims.lost_benefit, weights) {
            return None;
        }
        let tier = engine.tier(&spec.name);
        let load_s = demand::as_f64(tier.load_ms(spec)) / 1_000.0;
        let wait_s = engine.order_remaining_ms(now) / 1_000.0;
        let delay_s = wait_s + victims.eviction_s + load_s;
        Some(Swap {
            engine: engine.entry.id.clone(),
            cost: victims.lost_benefit
                + delay_s * candidate.delay_cost_per_s
                + (victims.eviction_s + load_s) * ENGINE_TIME_BENEFIT_PER_S,
            speed_cost: speed::speed_cost(candidate.gain, victims.lost_benefit, weights),
            lost_benefit: victims.lost_benefit,
            is_store_load: tier == Tier::Store,
            victims: victims.models,
        })
    }

    /// Whether a model may be fetched from the weight store now. With `should_fetch_anyway`, also
    /// if a usable engine among `caching`, those that have it cached, could load it.
    fn can_fetch(
        &self,
        (service, pool, spec): (&ServiceName, &EnginePool, &ModelSpec),
        caching: &[&Engine],
        should_fetch_anyway: bool,
        now: Instant,
    ) -> bool {
        // An engine that caches the model becomes free before a load from the store would end.
        let rate = self.demand.rate(service, &spec.name, now);
        let is_cached_on_usable = caching.iter().any(|engine| {
            let can_serve = if engine.has_model(service, &spec.name) {
                engine.can_serve_rate(rate)
            } else {
                !engine.is_limited()
            };
            can_serve && !engine.is_leaving()
        });
        // A planned load takes models out of use before its order, so it must not find the capacity
        // taken by another one.
        let planned = self.replica_counts.unordered_store_loads(service);
        let limiter = self.store_load_limiters.get(service);
        let has_capacity = limiter
            .is_none_or(|limiter| limiter.has_capacity_beside(planned, pool, now))
            && self.pending_store_loads() < MAX_CONCURRENT_STORE_LOADS;
        has_capacity && (should_fetch_anyway || !is_cached_on_usable)
    }
}
