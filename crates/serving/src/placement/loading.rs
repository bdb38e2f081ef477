//! What is loaded on engines: adapters that requests wait for, models by what a replica
//! is worth to them, and models that nobody waits for yet.

use super::Planner;
use super::benefit::Candidate;
use super::demand;
use super::engine::Engine;
use super::store_load_limiter::MAX_CONCURRENT_STORE_LOADS;
use crate::hash;
use crate::routes::{EnginePool, ModelSpec};
use crate::upstreams::ModelRef;
use passway_types::prelude::*;

/// A replica must gain so many times what the models lose that make room for it, so that
/// two models of like worth do not take turns.
const MIN_GAIN_RATIO: f64 = 1.25;
/// Requests in time that an engine serves by a second of loading for others, which it
/// cannot do while it loads this one.
const ENGINE_TIME_BENEFIT_PER_S: f64 = 0.5;

/// While nobody asks for anything, one more load may run at a time for each so many engines.
const ENGINES_PER_IDLE_PREFETCH: usize = 40;

/// Engines among which the one is chosen that fetches a model from the weight store: enough
/// that one with little to lose is among them. To weigh all of 256 engines for each of 250
/// models that wait took 2.5 ms of a pass of 3 ms.
const MAX_FETCH_CANDIDATES: usize = 32;

/// A way to load a model on an engine.
#[derive(Debug)]
struct Swap {
    engine: UpstreamId,
    /// Models that make room for it.
    victims: Vec<ModelName>,
    /// Requests in time that it costs, with the time that it takes.
    cost: f64,
}

impl Planner {
    /// Begins to load adapters that requests wait for, where their model stands.
    pub(super) fn place_adapters(&mut self, now: Instant) {
        let waiting = self.demand.waiting().into_iter();
        let adapters = waiting.filter(|awaited| awaited.model_ref.adapter.is_some());
        let awaited_adapters: Vec<(ServiceName, ModelRef)> = adapters
            .map(|awaited| (awaited.service.clone(), awaited.model_ref.clone()))
            .collect();
        for (service, model_ref) in awaited_adapters {
            let rate = self.demand.rate(&service, &model_ref.model, now);
            let mut engines = self.engines.values();
            let is_satisfied = engines.any(|engine| {
                (engine.serves(&service, &model_ref) && engine.can_serve_rate(rate))
                    || engine.will_have(&service, &model_ref)
            });
            if let Some(adapter) = model_ref.adapter.as_ref().filter(|_| !is_satisfied) {
                self.place_adapter(&service, &model_ref.model, adapter, now);
            }
        }
    }

    /// Loads an adapter on the engine that has its model and most room.
    fn place_adapter(
        &mut self,
        service: &ServiceName,
        model: &ModelName,
        adapter: &AdapterName,
        now: Instant,
    ) {
        let Some(pool) = self.pools.get(service) else {
            return;
        };
        let engines = self.engines.values_mut();
        let model_ref = ModelRef {
            model: model.clone(),
            adapter: Some(adapter.clone()),
        };
        let usable = engines.filter(|engine| {
            engine.has(service, model)
                && engine.can_start_swap()
                && !engine.serves(service, &model_ref)
        });
        let best = usable.min_by_key(|engine| {
            let id = engine.entry.id.clone();
            (engine.is_limited(), engine.adapter_count(), id)
        });
        if let Some(engine) = best {
            engine.plan_adapter(pool, model, adapter, now);
        }
    }

    /// Begins to load models that are worth one more replica, those that gain most first.
    pub(super) fn place_models(&mut self, now: Instant) {
        for candidate in self.candidates(now) {
            // Engines that have it near have it by now, or no room for it, and more requests
            // are turned away each second than a fetch costs its engine.
            let should_fetch_anyway = self.is_out_of_slots(&candidate.service, &candidate.model)
                || self.has_waited_too_long_for_cached(&candidate, now);
            self.place_model(&candidate, should_fetch_anyway, now);
        }
    }

    /// Whether requests have waited for an engine that has the model near for so long that
    /// another one had better fetch it.
    fn has_waited_too_long_for_cached(&self, candidate: &Candidate, now: Instant) -> bool {
        let pool = self.pools.get(&candidate.service);
        let spec = pool.and_then(|pool| pool.models.named(&candidate.model));
        let (Some(spec), Some(waiting_since)) = (spec, candidate.waiting_since) else {
            return false;
        };
        let fetch_time = Duration::from_millis(spec.load_ms);
        now >= waiting_since + self.policy.max_wait_for_cached(fetch_time)
    }

    /// Fetches models that lie nowhere, while the weight store has nothing else to do.
    pub(super) fn prefetch(&mut self, now: Instant) {
        let mut max_loads = self.policy.max_prefetches();
        if max_loads > 0 && self.demand.is_idle(now) {
            // Nobody misses an engine that loads, unless traffic comes within its six
            // seconds: a small fleet would begin without half of its engines.
            let extra = self.engines.len() / ENGINES_PER_IDLE_PREFETCH;
            max_loads = (max_loads + extra).min(MAX_CONCURRENT_STORE_LOADS);
        }
        if self.pending_store_loads() >= max_loads {
            return;
        }
        let services: Vec<ServiceName> = self.pools.keys().cloned().collect();
        for service in services {
            let specs = self.pools.get(&service).map(|pool| &pool.models);
            let is_nowhere = |spec: &&ModelSpec| {
                !self.crashing_loads.is_refused(&service, &spec.name)
                    && self.engines_caching(&service, &spec.name).next().is_none()
                    && self.replica_count(&service, &spec.name) == 0
                    && self.pending_load_count(&service, &spec.name) == 0
            };
            let missing = specs.into_iter().flatten().find(is_nowhere);
            if let Some(model) = missing.map(|spec| spec.name.clone()) {
                let candidate = Candidate {
                    service,
                    model,
                    // Whatever it displaces can come back from near.
                    gain: f64::INFINITY,
                    delay_cost_per_s: 0.0,
                    waiting_since: None,
                };
                self.place_model(&candidate, true, now);
            }
        }
    }

    /// Loads from the weight store that are under way or about to begin.
    fn pending_store_loads(&self) -> usize {
        self.replica_counts.pending_store_loads()
    }

    /// Begins to load a model on the engine where that costs least, if it is worth it.
    fn place_model(&mut self, candidate: &Candidate, can_fetch: bool, now: Instant) {
        let is_refused = self
            .crashing_loads
            .is_refused(&candidate.service, &candidate.model);
        let swap = self.cheapest_swap(candidate, can_fetch, now);
        let Some(swap) = swap.filter(|_| !is_refused) else {
            return;
        };
        if let Some(engine) = self.engines.get_mut(&swap.engine) {
            let (service, model) = (&candidate.service, &candidate.model);
            let victims = swap.victims.clone();
            engine.start_swap(model.clone(), swap.victims);
            let is_store_load = engine.has_pending_store_load();
            self.replica_counts
                .record_swap(service, &swap.engine, model, &victims, is_store_load);
            self.changed_engines.insert(swap.engine);
        }
    }

    /// The cheapest way to load a model on an engine that does not have it.
    fn cheapest_swap(&self, candidate: &Candidate, can_fetch: bool, now: Instant) -> Option<Swap> {
        let (service, model) = (&candidate.service, &candidate.model);
        let pool = self.pools.get(service)?;
        let spec = pool.models.named(model)?;
        let can_fetch = self.can_fetch(service, pool, spec, can_fetch, now);
        let caching: Vec<&Engine> = self.engines_caching(service, model).collect();
        let fetchers = can_fetch.then(|| self.fetch_candidates(model, &caching));
        let engines = caching
            .iter()
            .copied()
            .chain(fetchers.into_iter().flatten());
        let mut best: Option<Swap> = None;
        for engine in engines {
            if engine.entry.service != *service
                || !engine.can_start_swap()
                || engine.has(service, model)
                // What comes there would serve few.
                || engine.is_limited()
                || engine.is_backing_off(now)
            {
                continue;
            }
            let Some(swap) = self.evaluate_swap(engine, pool, spec, candidate, now) else {
                continue;
            };
            let lowest_cost = best.as_ref().map(|swap| swap.cost);
            if lowest_cost.is_none_or(|lowest| swap.cost < lowest) {
                best = Some(swap);
            }
        }
        best
    }

    /// Engines that may fetch a model that they do not have near: [`MAX_FETCH_CANDIDATES`] of them,
    /// others for each model.
    fn fetch_candidates<'a>(
        &'a self,
        model: &ModelName,
        caching: &[&Engine],
    ) -> impl Iterator<Item = &'a Engine> + use<'a> {
        let caching: Vec<UpstreamId> = caching.iter().map(|e| e.entry.id.clone()).collect();
        let count = self.engines.len().max(1);
        let hash = hash::mixed(0, model) % u64::try_from(count).unwrap_or(1);
        let start = usize::try_from(hash).unwrap_or(0);
        let engines = self.engines.values();
        let rotated = engines.clone().skip(start).chain(engines.take(start));
        let others = rotated.filter(move |engine| !caching.contains(&engine.entry.id));
        others.take(MAX_FETCH_CANDIDATES)
    }

    /// How a model comes to one engine; `None` if nothing may be evicted for it there, or
    /// what would be evicted is worth more.
    fn evaluate_swap(
        &self,
        engine: &Engine,
        pool: &EnginePool,
        spec: &ModelSpec,
        candidate: &Candidate,
        now: Instant,
    ) -> Option<Swap> {
        let victims = self.victims(engine, pool, spec, now)?;
        if candidate.gain < MIN_GAIN_RATIO * victims.benefit {
            return None;
        }
        let load_s = demand::as_f64(engine.tier(&spec.name).load_ms(spec)) / 1_000.0;
        let wait_s = engine.order_remaining_ms(now) / 1_000.0;
        let delay_s = wait_s + victims.eviction_s + load_s;
        Some(Swap {
            engine: engine.entry.id.clone(),
            cost: victims.benefit
                + delay_s * candidate.delay_cost_per_s
                + (victims.eviction_s + load_s) * ENGINE_TIME_BENEFIT_PER_S,
            victims: victims.models,
        })
    }

    /// Whether a model may come from the weight store now; `should_fetch_anyway` if that may be
    /// although an engine has it nearer.
    fn can_fetch(
        &self,
        service: &ServiceName,
        pool: &EnginePool,
        spec: &ModelSpec,
        should_fetch_anyway: bool,
        now: Instant,
    ) -> bool {
        // An engine that has it nearer will be free before a load from the store ends.
        let mut caching = self.engines_caching(service, &spec.name);
        let rate = self.demand.rate(service, &spec.name, now);
        let is_cached_on_usable = caching.any(|engine| {
            let can_serve = if engine.has(service, &spec.name) {
                engine.can_serve_rate(rate)
            } else {
                !engine.is_limited()
            };
            can_serve && !engine.is_leaving()
        });
        let limiter = self.store_load_limiters.get(service);
        let has_capacity = limiter.is_none_or(|limiter| limiter.has_capacity(pool, now))
            && self.pending_store_loads() < MAX_CONCURRENT_STORE_LOADS;
        has_capacity && (should_fetch_anyway || !is_cached_on_usable)
    }
}
