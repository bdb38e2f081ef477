//! What is loaded on engines: adapters that requests wait for, models by what a replica
//! is worth to them, and models that nobody waits for yet.

use super::Planner;
use super::ceiling::STORE_LOADS_AT_ONCE;
use super::demand;
use super::engine::{Engine, Tier};
use super::worth::Candidate;
use crate::routes::{EnginePool, ModelSpec};
use passway_types::prelude::*;
use std::collections::BTreeSet;

/// A replica must gain so many times what the models lose that make room for it, so that
/// two models of like worth do not take turns.
const GAIN_MARGIN: f64 = 1.25;
/// Requests in time that an engine serves by a second of loading for others, which it
/// cannot do while it loads this one.
const ENGINE_TIME_WORTH_PER_S: f64 = 0.5;

/// While nobody asks for anything, one more load may run at a time for each so many engines.
const ENGINES_PER_QUIET_LOAD: usize = 40;

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
        for need in self.demand.waiting() {
            let Some(adapter) = &need.model_ref.adapter else {
                continue;
            };
            let mut engines = self.engines.values();
            let is_met = engines.any(|e| {
                e.serves(&need.service, &need.model_ref)
                    || e.will_have(&need.service, &need.model_ref)
            });
            if !is_met {
                self.place_adapter(&need.service, &need.model_ref.model, adapter, now);
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
        let having = engines.filter(|e| e.has(service, model) && e.takes_orders());
        let best = having.min_by_key(|engine| (engine.adapter_count(), engine.entry.id.clone()));
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
        now >= since + self.policy.home_patience(fetch_time)
    }

    /// Fetches models that lie nowhere, while the weight store has nothing else to do.
    pub(super) fn prefetch(&mut self, now: Instant) {
        let mut most = self.policy.prefetches();
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
            let engines = self.engines.values().filter(|e| e.entry.service == service);
            let at_hand: BTreeSet<ModelName> = engines.flat_map(Engine::at_hand).collect();
            let specs = self.pools.get(&service).map(|pool| &pool.models);
            let missing = specs
                .into_iter()
                .flatten()
                .find(|s| !at_hand.contains(&s.name));
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
        let engines = self.engines.values();
        engines.filter(|e| e.loads_from_store()).count()
    }

    /// Begins to load a model on the engine where that costs least, if it is worth it.
    fn place_model(&mut self, candidate: &Candidate, may_fetch: bool, now: Instant) {
        let Some(swap) = self.cheapest_swap(candidate, may_fetch, now) else {
            return;
        };
        if let Some(engine) = self.engines.get_mut(&swap.engine) {
            engine.swap(candidate.model.clone(), swap.victims);
            self.changed.insert(swap.engine);
            self.count();
        }
    }

    /// The cheapest way to load a model on an engine that does not have it.
    fn cheapest_swap(&self, candidate: &Candidate, may_fetch: bool, now: Instant) -> Option<Swap> {
        let (service, model) = (&candidate.service, &candidate.model);
        let pool = self.pools.get(service)?;
        let spec = pool.models.named(model)?;
        let may_fetch = self.may_fetch(service, pool, spec, may_fetch, now);
        let near = self.homes_of(service, model);
        let near: Vec<&Engine> = if may_fetch {
            self.engines.values().collect()
        } else {
            near.collect()
        };
        let mut best: Option<Swap> = None;
        for engine in near {
            if engine.entry.service != *service
                || !engine.takes_orders()
                || engine.has(service, model)
                || (engine.tier(model) == Tier::Store && !may_fetch)
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
        let is_at_hand = homes.any(|engine| !engine.entry.draining);
        let ceiling = self.store_loads.get(service);
        let has_room = ceiling.is_none_or(|loads| loads.has_room(pool, now))
            && self.loads_under_way() < STORE_LOADS_AT_ONCE;
        has_room && (insists || !is_at_hand)
    }
}
