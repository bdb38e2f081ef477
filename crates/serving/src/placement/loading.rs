//! What is loaded on engines: adapters that requests wait for, models by what a replica
//! is worth to them, and models that nobody waits for yet.

use super::Planner;
use super::ceiling::STORE_LOADS_AT_ONCE;
use super::demand;
use super::engine::Engine;
use super::worth::Candidate;
use crate::hash;
use crate::routes::{EnginePool, ModelSpec};
use crate::upstreams::ModelRef;
use passway_types::prelude::*;

/// A replica must gain so many times what the models lose that make room for it, so that
/// two models of like worth do not take turns.
const GAIN_MARGIN: f64 = 1.25;
/// Requests in time that an engine serves by a second of loading for others, which it
/// cannot do while it loads this one.
const ENGINE_TIME_WORTH_PER_S: f64 = 0.5;

/// While nobody asks for anything, one more load may run at a time for each so many engines.
const ENGINES_PER_QUIET_LOAD: usize = 40;

/// Engines among which the one is chosen that fetches a model from the weight store: enough
/// that one with little to lose is among them. To weigh all of 256 engines for each of 250
/// models that wait took 2.5 ms of a pass of 3 ms.
const FETCHING_ENGINES: usize = 32;

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
        let adapters = waiting.filter(|need| need.model_ref.adapter.is_some());
        let needs: Vec<(ServiceName, ModelRef)> = adapters
            .map(|need| (need.service.clone(), need.model_ref.clone()))
            .collect();
        for (service, model_ref) in needs {
            let rate = self.demand.rate(&service, &model_ref.model, now);
            let mut engines = self.engines.values();
            let is_met = engines.any(|engine| {
                (engine.serves(&service, &model_ref) && engine.bears(rate))
                    || engine.will_have(&service, &model_ref)
            });
            if let Some(adapter) = model_ref.adapter.as_ref().filter(|_| !is_met) {
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
        let having = engines.filter(|engine| {
            engine.has(service, model)
                && engine.takes_orders()
                && !engine.serves(service, &model_ref)
        });
        let best = having.min_by_key(|engine| {
            let id = engine.entry.id.clone();
            (engine.is_in_need(), engine.adapter_count(), id)
        });
        if let Some(engine) = best {
            engine.want_adapter(pool, model, adapter, now);
        }
    }

    /// Begins to load models that are worth one more replica, those that gain most first.
    pub(super) fn place_models(&mut self, now: Instant) {
        for candidate in self.candidates(now) {
            // Engines that have it near have it by now, or no room for it, and more requests
            // are turned away each second than a fetch costs its engine.
            let insists = self.lacks_slots(&candidate.service, &candidate.model)
                || self.home_is_too_late(&candidate, now);
            self.place_model(&candidate, insists, now);
        }
    }

    /// Whether requests have waited for an engine that has the model near for so long that
    /// another one had better fetch it.
    fn home_is_too_late(&self, candidate: &Candidate, now: Instant) -> bool {
        let pool = self.pools.get(&candidate.service);
        let spec = pool.and_then(|pool| pool.models.named(&candidate.model));
        let (Some(spec), Some(since)) = (spec, candidate.since) else {
            return false;
        };
        let fetch_time = Duration::from_millis(spec.load_ms);
        now >= since + self.policy.max_wait_for_cached(fetch_time)
    }

    /// Fetches models that lie nowhere, while the weight store has nothing else to do.
    pub(super) fn prefetch(&mut self, now: Instant) {
        let mut most = self.policy.max_prefetches();
        if most > 0 && self.demand.is_quiet(now) {
            // Nobody misses an engine that loads, unless traffic comes within its six
            // seconds: a small fleet would begin without half of its engines.
            let spare = self.engines.len() / ENGINES_PER_QUIET_LOAD;
            most = (most + spare).min(STORE_LOADS_AT_ONCE);
        }
        if self.loads_under_way() >= most {
            return;
        }
        let services: Vec<ServiceName> = self.pools.keys().cloned().collect();
        for service in services {
            let specs = self.pools.get(&service).map(|pool| &pool.models);
            let lies_nowhere = |spec: &&ModelSpec| {
                !self.crashing_loads.is_refused(&service, &spec.name)
                    && self.homes_of(&service, &spec.name).next().is_none()
                    && self.replicas(&service, &spec.name) == 0
                    && self.coming(&service, &spec.name) == 0
            };
            let missing = specs.into_iter().flatten().find(lies_nowhere);
            if let Some(model) = missing.map(|spec| spec.name.clone()) {
                let candidate = Candidate {
                    service,
                    model,
                    // Whatever it displaces can come back from near.
                    gain: f64::INFINITY,
                    delay_cost_per_s: 0.0,
                    since: None,
                };
                self.place_model(&candidate, true, now);
            }
        }
    }

    /// Loads from the weight store that are under way or about to begin.
    fn loads_under_way(&self) -> usize {
        self.census.fetches()
    }

    /// Begins to load a model on the engine where that costs least, if it is worth it.
    fn place_model(&mut self, candidate: &Candidate, may_fetch: bool, now: Instant) {
        let is_refused = self
            .crashing_loads
            .is_refused(&candidate.service, &candidate.model);
        let swap = self.cheapest_swap(candidate, may_fetch, now);
        let Some(swap) = swap.filter(|_| !is_refused) else {
            return;
        };
        if let Some(engine) = self.engines.get_mut(&swap.engine) {
            let (service, model) = (&candidate.service, &candidate.model);
            let victims = swap.victims.clone();
            engine.swap(model.clone(), swap.victims);
            let fetches = engine.loads_from_store();
            self.census
                .swapped(service, &swap.engine, model, &victims, fetches);
            self.changed.insert(swap.engine);
        }
    }

    /// The cheapest way to load a model on an engine that does not have it.
    fn cheapest_swap(&self, candidate: &Candidate, may_fetch: bool, now: Instant) -> Option<Swap> {
        let (service, model) = (&candidate.service, &candidate.model);
        let pool = self.pools.get(service)?;
        let spec = pool.models.named(model)?;
        let may_fetch = self.may_fetch(service, pool, spec, may_fetch, now);
        let near: Vec<&Engine> = self.homes_of(service, model).collect();
        let others = may_fetch.then(|| self.fetching_engines(model, &near));
        let engines = near.iter().copied().chain(others.into_iter().flatten());
        let mut best: Option<Swap> = None;
        for engine in engines {
            if engine.entry.service != *service
                || !engine.takes_orders()
                || engine.has(service, model)
                // What comes there would serve few.
                || engine.is_in_need()
                || engine.rests(now)
            {
                continue;
            }
            let Some(swap) = self.swap(engine, pool, spec, candidate, now) else {
                continue;
            };
            let least = best.as_ref().map(|known| known.cost);
            if least.is_none_or(|least| swap.cost < least) {
                best = Some(swap);
            }
        }
        best
    }

    /// Engines that may fetch a model that they do not have near: [`FETCHING_ENGINES`] of them,
    /// others for each model.
    fn fetching_engines<'a>(
        &'a self,
        model: &ModelName,
        near: &[&Engine],
    ) -> impl Iterator<Item = &'a Engine> + use<'a> {
        let near: Vec<UpstreamId> = near.iter().map(|e| e.entry.id.clone()).collect();
        let count = self.engines.len().max(1);
        let drawn = hash::mixed(0, model) % u64::try_from(count).unwrap_or(1);
        let first = usize::try_from(drawn).unwrap_or(0);
        let engines = self.engines.values();
        let in_turn = engines.clone().skip(first).chain(engines.take(first));
        let others = in_turn.filter(move |engine| !near.contains(&engine.entry.id));
        others.take(FETCHING_ENGINES)
    }

    /// How a model comes to one engine; `None` if nothing may be evicted for it there, or
    /// what would be evicted is worth more.
    fn swap(
        &self,
        engine: &Engine,
        pool: &EnginePool,
        spec: &ModelSpec,
        candidate: &Candidate,
        now: Instant,
    ) -> Option<Swap> {
        let victims = self.victims(engine, pool, spec, now)?;
        if candidate.gain < GAIN_MARGIN * victims.worth {
            return None;
        }
        let load_s = demand::as_f64(engine.tier(&spec.name).load_ms(spec)) / 1_000.0;
        let wait_s = engine.wait_ms(now) / 1_000.0;
        let delay_s = wait_s + victims.time_s + load_s;
        Some(Swap {
            engine: engine.entry.id.clone(),
            cost: victims.worth
                + delay_s * candidate.delay_cost_per_s
                + (victims.time_s + load_s) * ENGINE_TIME_WORTH_PER_S,
            victims: victims.models,
        })
    }

    /// Whether a model may come from the weight store now; `insists` if that may be
    /// although an engine has it nearer.
    fn may_fetch(
        &self,
        service: &ServiceName,
        pool: &EnginePool,
        spec: &ModelSpec,
        insists: bool,
        now: Instant,
    ) -> bool {
        // An engine that has it nearer will be free before a load from the store ends.
        let mut homes = self.homes_of(service, &spec.name);
        let rate = self.demand.rate(service, &spec.name, now);
        let is_at_hand = homes.any(|engine| {
            let serves = if engine.has(service, &spec.name) {
                engine.bears(rate)
            } else {
                !engine.is_in_need()
            };
            serves && !engine.is_going()
        });
        let ceiling = self.store_loads.get(service);
        let has_room = ceiling.is_none_or(|loads| loads.has_room(pool, now))
            && self.loads_under_way() < STORE_LOADS_AT_ONCE;
        has_room && (insists || !is_at_hand)
    }
}
