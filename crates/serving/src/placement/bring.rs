//! What is brought to engines: what requests wait for, further replicas of what is
//! asked for often, and models that nobody waits for yet.

use super::Planner;
use super::ceiling::STORE_LOADS_AT_ONCE;
use super::demand;
use super::engine::{Engine, Tier};
use crate::routes::{EnginePool, ModelSpec};
use passway_types::prelude::*;
use std::collections::BTreeSet;

/// An exchange that costs more than this is not made for a further replica.
const REPLICA_COST_MS: f64 = 2_500.0;

/// Under which terms a model is brought.
#[derive(Debug, Clone, Copy)]
struct Terms {
    /// Most that it may cost, in milliseconds.
    most_ms: Option<f64>,
    /// Whether it may come from the weight store although an engine has it nearer.
    may_fetch: bool,
}

impl Terms {
    const REPLICA: Self = Self {
        most_ms: Some(REPLICA_COST_MS),
        may_fetch: false,
    };
    const PREFETCH: Self = Self {
        most_ms: None,
        may_fetch: true,
    };
}

/// A way to bring a model to an engine.
#[derive(Debug)]
struct Exchange {
    engine: UpstreamId,
    /// Models that make room for it.
    victims: Vec<ModelName>,
    /// Time until the model stands, and what the victims' going costs, in milliseconds.
    cost_ms: f64,
}

impl Planner {
    /// Begins to bring what requests wait for and nobody brings yet.
    pub(super) fn serve_needs(&mut self, now: Instant) {
        for need in self.demand.waiting() {
            let model = &need.wish.model;
            let resident = self.replicas(&need.service, model) > 0;
            let mut engines = self.engines.values();
            let stands = resident && engines.any(|e| e.serves(&need.service, &need.wish));
            if stands {
                self.demand.served(&need.service, &need.wish);
                continue;
            }
            let on_way = self
                .engines
                .values()
                .any(|e| e.will_have(&need.service, &need.wish));
            if on_way {
                continue;
            }
            match &need.wish.adapter {
                Some(adapter) if resident => self.place_adapter(&need.service, model, adapter, now),
                _ => {
                    let terms = Terms {
                        most_ms: None,
                        may_fetch: now >= need.since + self.policy.home_patience(),
                    };
                    self.place_model(&need.service, model, terms, now);
                }
            }
        }
    }

    /// Brings an adapter to the engine that has its model and most room.
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

    /// Brings one more replica of a model that is asked for more than its replicas bear.
    pub(super) fn add_replicas(&mut self, now: Instant) {
        let services: Vec<ServiceName> = self.pools.keys().cloned().collect();
        for service in services {
            for model in self.demand.busy_models(&service, now) {
                let wanted = self.wanted(&service, &model, now);
                let replicas = self.replicas(&service, &model);
                let coming = self
                    .engines
                    .values()
                    .any(|e| e.is_bringing(&service, &model));
                if replicas < wanted && !coming {
                    self.place_model(&service, &model, Terms::REPLICA, now);
                }
            }
        }
    }

    /// Fetches models that lie nowhere, while the weight store has nothing else to do.
    pub(super) fn prefetch(&mut self, now: Instant) {
        if self.loads_under_way() >= self.policy.prefetches() {
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
                self.place_model(&service, &model, Terms::PREFETCH, now);
            }
        }
    }

    /// Loads from the weight store that are under way or about to begin.
    fn loads_under_way(&self) -> usize {
        let engines = self.engines.values();
        engines.filter(|e| e.loads_from_store()).count()
    }

    /// Begins to bring a model to the engine where that costs least.
    fn place_model(
        &mut self,
        service: &ServiceName,
        model: &ModelName,
        terms: Terms,
        now: Instant,
    ) {
        let Some(exchange) = self.cheapest_exchange(service, model, terms, now) else {
            return;
        };
        if terms.most_ms.is_some_and(|most| exchange.cost_ms > most) {
            return;
        }
        if let Some(engine) = self.engines.get_mut(&exchange.engine) {
            engine.exchange(model.clone(), exchange.victims);
            self.changed.insert(exchange.engine);
            self.count();
        }
    }

    /// The cheapest way to bring a model to an engine that does not have it.
    fn cheapest_exchange(
        &self,
        service: &ServiceName,
        model: &ModelName,
        terms: Terms,
        now: Instant,
    ) -> Option<Exchange> {
        let pool = self.pools.get(service)?;
        let spec = pool.models.iter().find(|spec| spec.name == *model)?;
        let may_fetch = self.may_fetch(service, pool, spec, terms, now);
        let mut best: Option<Exchange> = None;
        for engine in self.engines.values() {
            if engine.entry.service != *service
                || !engine.takes_orders()
                || engine.has(service, model)
                || (engine.tier(model) == Tier::Store && !may_fetch)
            {
                continue;
            }
            let Some(exchange) = self.exchange(engine, pool, spec, now) else {
                continue;
            };
            let least = best.as_ref().map(|known| known.cost_ms);
            if least.is_none_or(|least| exchange.cost_ms < least) {
                best = Some(exchange);
            }
        }
        best
    }

    /// How a model comes to one engine; `None` if no models may give way to it there.
    fn exchange(
        &self,
        engine: &Engine,
        pool: &EnginePool,
        spec: &ModelSpec,
        now: Instant,
    ) -> Option<Exchange> {
        let victims = self.victims(engine, pool, spec, now)?;
        let load_ms = demand::as_f64(engine.tier(&spec.name).load_ms(spec));
        Some(Exchange {
            engine: engine.entry.id.clone(),
            cost_ms: load_ms + engine.wait_ms(now) + victims.cost_ms,
            victims: victims.models,
        })
    }

    /// Whether a model may come from the weight store now.
    fn may_fetch(
        &self,
        service: &ServiceName,
        pool: &EnginePool,
        spec: &ModelSpec,
        terms: Terms,
        now: Instant,
    ) -> bool {
        // An engine that has it nearer will be free before a load from the store ends.
        let is_at_hand = self.engines.values().any(|engine| {
            let here = engine.entry.service == *service && !engine.entry.draining;
            here && engine.tier(&spec.name) != Tier::Store
        });
        let ceiling = self.store_loads.get(service);
        let has_room = ceiling.is_none_or(|loads| loads.has_room(pool, now))
            && self.loads_under_way() < STORE_LOADS_AT_ONCE;
        has_room && (terms.may_fetch || !is_at_hand)
    }
}
