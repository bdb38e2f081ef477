//! Which models stand on which engines: the decisions of the holder of the right to order.
//!
//! Needs, uses, engines' words and answers to orders go in; orders, questions and
//! changed placements come out. Each engine has at most one model order under way.
//! Every order names the count of orders that the engine must have taken, so an
//! order that is carried out late can only take effect in the state that it was
//! decided for; memory is therefore checked against that state alone.

mod announced;
mod benefit;
mod checkpoint_locations;
mod crashing_loads;
mod demand;
mod engine;
mod loading;
pub mod policy;
mod query_budget;
mod replica_counts;
mod store_load_limiter;
mod victims;

use crate::ports::{EngineReport, OrderAction, OrderAnswer};
use crate::routes::{EnginePool, RouteTable};
use crate::upstreams::{ModelRef, ResidentModel, UpstreamEntry};
use announced::AnnouncedPlacements;
pub use announced::{PlacementDigest, digest};
use checkpoint_locations::CheckpointLocations;
use crashing_loads::CrashingLoads;
use demand::Demand;
pub use demand::{Usage, Waiters};
use engine::{Engine, InterruptedLoad};
use passway_types::prelude::*;
use policy::PlacementPolicy;
use query_budget::QueryBudget;
use replica_counts::ReplicaCounts;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
pub use store_load_limiter::DEFAULT_LOAD_WINDOW;
use store_load_limiter::StoreLoadLimiter;

/// An order whose effect shows neither in the engine's word nor in a report is asked for after this.
const QUERY_DELAY: Duration = Duration::from_millis(120);
/// Time for an unload that no run holds up.
const UNLOAD_DURATION: Duration = Duration::from_millis(30);
/// Instances hear of a model that has come, and send what waits for it, well within this.
const WAIT_BEFORE_CHECK: Duration = Duration::from_millis(500);
/// How old the state that an engine reports may be: some hundred milliseconds (users' pages).
/// What may have changed since then is not known to whoever did not order it.
const MAX_REPORT_AGE: Duration = Duration::from_millis(500);
/// Time in which instances that hear of a new holder connect and tell what they use.
const LISTENING_WINDOW: Duration = Duration::from_millis(300);

/// A model or adapter order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlannedOrder {
    /// The engine.
    pub engine: UpstreamId,
    /// Where it is_listening.
    pub address: SocketAddr,
    /// Load or unload.
    pub action: OrderAction,
    /// What.
    pub model_ref: ModelRef,
    /// The count of orders that it must have taken.
    pub expected_orders: u64,
    /// The start of the engine for which it was decided.
    pub started_at_ms: u64,
}

/// Requests for a model that run on an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunningRequests {
    /// The engine.
    pub engine: UpstreamId,
    /// The model.
    pub model: ModelName,
    /// How many there are.
    pub count: u32,
}

/// What the holder is to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Give an order.
    Order(PlannedOrder),
    /// Ask an engine for its state.
    Ask {
        /// The engine.
        engine: UpstreamId,
        /// Where it is_listening.
        address: SocketAddr,
    },
}

/// Where requests may go on one engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Placement {
    /// The engine.
    pub engine: UpstreamId,
    /// Models and adapters that stand there.
    pub models: Vec<ResidentModel>,
    /// Models that are about to go.
    pub evicting: Vec<ModelName>,
}

/// The decisions over all engines.
#[derive(Debug)]
pub struct Planner {
    engines: BTreeMap<UpstreamId, Engine>,
    pools: BTreeMap<ServiceName, EnginePool>,
    demand: Demand,
    policy: Box<dyn PlacementPolicy>,
    /// Replicas and runs, as they were counted at the last change of a pass.
    replica_counts: ReplicaCounts,
    /// Engines that have each model near.
    checkpoint_locations: CheckpointLocations,
    /// Loads that count against each service's ceiling of the weight store.
    store_load_limiters: BTreeMap<ServiceName, StoreLoadLimiter>,
    /// The span over which they count.
    load_window: Duration,
    changed_engines: BTreeSet<UpstreamId>,
    /// Engines on which each instance has runs.
    engines_by_instance: HashMap<InstanceId, Vec<UpstreamId>>,
    announced: AnnouncedPlacements,
    /// Engines that were there and are not, or have started again, while a model came to them.
    interrupted_loads: Vec<InterruptedLoad>,
    crashing_loads: CrashingLoads,
    query_budget: QueryBudget,
    /// Halls that operators have emptied.
    evacuated_halls: BTreeSet<DataHall>,
    /// Engines that want nothing from this instance, and until when.
    backing_off: BTreeMap<UpstreamId, Instant>,
    /// When engines may be asked for their state in this term: what a holder before ordered
    /// last shows in a report by then. `None` until the term's first decision.
    queries_from: Option<Instant>,
    listening_until: Option<Instant>,
}

impl Planner {
    /// No engines; loads from the weight store count over a span.
    pub fn new(load_window: Duration, policy: Box<dyn PlacementPolicy>) -> Self {
        Self {
            engines: BTreeMap::new(),
            pools: BTreeMap::new(),
            demand: Demand::default(),
            policy,
            replica_counts: ReplicaCounts::default(),
            checkpoint_locations: CheckpointLocations::default(),
            store_load_limiters: BTreeMap::new(),
            load_window,
            changed_engines: BTreeSet::new(),
            engines_by_instance: HashMap::new(),
            announced: AnnouncedPlacements::default(),
            interrupted_loads: Vec::new(),
            crashing_loads: CrashingLoads::default(),
            query_budget: QueryBudget::default(),
            evacuated_halls: BTreeSet::new(),
            backing_off: BTreeMap::new(),
            queries_from: None,
            listening_until: None,
        }
    }

    /// Uses a configuration.
    pub fn set_table(&mut self, table: &RouteTable) {
        let services = table.services.values();
        let pools = services.filter_map(|s| Some((s.name.clone(), s.pool.clone()?)));
        self.pools = pools.collect();
        for service in self.pools.keys() {
            let new_limiter = || StoreLoadLimiter::new(self.load_window);
            let limiter = self.store_load_limiters.entry(service.clone());
            limiter.or_insert_with(new_limiter);
        }
    }

    /// Begins a term with what this instance knew of engines as a listener, and forgets what
    /// was known of their orders. In `doubtful` engines orders that the holder before had no
    /// answer to may be carried out yet. Instances tell within moments what they need and use; until
    /// then nothing is evicted.
    pub fn begin_term(
        &mut self,
        entries: impl Iterator<Item = UpstreamEntry>,
        unconfirmed: &BTreeSet<UpstreamId>,
        now: Instant,
    ) {
        self.listening_until = Some(now + LISTENING_WINDOW);
        self.queries_from = None;
        for (service, limiter) in &mut self.store_load_limiters {
            if let Some(pool) = self.pools.get(service) {
                limiter.begin_term(pool, now);
            }
        }
        for (id, engine) in &mut self.engines {
            engine.begin_term(unconfirmed.contains(id));
        }
        for entry in entries {
            self.update_engine(entry, now);
        }
        // Instances compare what they know with this when they connect.
        self.changed_engines.clear();
        let placements = self.engines.values().map(Engine::placement);
        self.announced.begin_term(placements);
    }

    /// An engine has said something of itself.
    pub fn update_engine(&mut self, entry: UpstreamEntry, now: Instant) {
        if !self.pools.contains_key(&entry.service) {
            return;
        }
        let id = entry.id.clone();
        let is_evacuated = self.evacuated_halls.contains(&entry.hall);
        if let Some(engine) = self.engines.get_mut(&id) {
            engine.set_evacuated(is_evacuated);
            if entry.started_at_ms > engine.entry.started_at_ms {
                self.interrupted_loads.extend(engine.interrupted_load());
            }
            engine.update_entry(entry, now);
            self.checkpoint_locations.update(engine);
        } else {
            let mut engine = Engine::new(entry);
            engine.set_evacuated(is_evacuated);
            self.checkpoint_locations.update(&engine);
            self.engines.insert(id.clone(), engine);
        }
        self.changed_engines.insert(id);
    }

    /// Engines to which an order has no answer and may be carried out yet, for a successor.
    pub fn unconfirmed_engines(&self, now: Instant) -> impl Iterator<Item = &UpstreamId> {
        let unconfirmed = self
            .engines
            .iter()
            .filter(move |(_, e)| e.has_unconfirmed_orders(now));
        unconfirmed.map(|(id, _)| id)
    }

    /// How many engines there are.
    pub fn engine_count(&self) -> usize {
        self.engines.len()
    }

    /// Only these upstreams are there.
    pub fn retain(&mut self, ids: &BTreeSet<UpstreamId>) {
        self.checkpoint_locations.retain(ids);
        let removed = self.engines.extract_if(.., |id, _| !ids.contains(id));
        self.interrupted_loads
            .extend(removed.filter_map(|(_, engine)| engine.interrupted_load()));
        self.announced.retain(ids);
    }

    /// So many requests of an instance wait for a model or adapter now.
    pub fn set_waiters(&mut self, waiters: Waiters, now: Instant) {
        self.demand.set_waiters(waiters, now);
    }

    /// An instance took so many requests for a model or adapter.
    pub fn record_arrivals(
        &mut self,
        service: &ServiceName,
        model_ref: &ModelRef,
        count: u32,
        now: Instant,
    ) {
        self.demand.record_arrivals(service, model_ref, count, now);
        if model_ref.adapter.is_none() {
            return;
        }
        for engine in self.engines.values_mut() {
            engine.record_adapter_use(model_ref, now);
        }
    }

    /// What runs of an instance's requests.
    pub fn set_running(&mut self, instance: &InstanceId, runs: &[RunningRequests]) {
        let mut by_engine: BTreeMap<&UpstreamId, Vec<(ModelName, u32)>> = BTreeMap::new();
        for run in runs {
            let engine_runs = by_engine.entry(&run.engine).or_default();
            engine_runs.push((run.model.clone(), run.count));
        }
        // An instance runs something on a few engines of hundreds.
        let engines = by_engine.keys().map(|id| (*id).clone()).collect();
        let previous = self.engines_by_instance.insert(instance.clone(), engines);
        for id in previous.into_iter().flatten() {
            if !by_engine.contains_key(&id)
                && let Some(engine) = self.engines.get_mut(&id)
            {
                engine.set_running(instance, Vec::new());
            }
        }
        for (id, running) in by_engine {
            if let Some(engine) = self.engines.get_mut(id) {
                engine.set_running(instance, running);
            }
        }
    }

    /// An instance is gone, and what it ran with it.
    pub fn remove_instance(&mut self, instance: &InstanceId) {
        self.demand.remove_instance(instance);
        self.set_running(instance, &[]);
        self.engines_by_instance.remove(instance);
    }

    /// An order was answered.
    pub fn record_answer(&mut self, order: &PlannedOrder, answer: OrderAnswer, now: Instant) {
        let Some(engine) = self.engines.get_mut(&order.engine) else {
            return;
        };
        let duration = match order.action {
            OrderAction::Unload => UNLOAD_DURATION,
            OrderAction::Load => engine.load_duration(&self.pools, &order.model_ref.model),
        };
        if let Some(limiter) = self.store_load_limiters.get_mut(&engine.entry.service) {
            match answer {
                OrderAnswer::Taken => {
                    limiter.raise_orders_taken(&order.engine, order.expected_orders + 1, now);
                }
                _ if !engine.is_store_load(order) => {}
                OrderAnswer::Lost => limiter.mark_unconfirmed(&order.engine, now),
                _ => limiter.cancel(&order.engine),
            }
        }
        engine.record_answer(order, answer, now + duration, now);
        self.changed_engines.insert(order.engine.clone());
    }

    /// An engine told its state; `None` if it did not answer.
    pub fn record_report(&mut self, id: &UpstreamId, report: Option<EngineReport>, now: Instant) {
        if let Some(engine) = self.engines.get_mut(id) {
            let started_at_ms = report.as_ref().map_or(0, |report| report.started_at_ms);
            if started_at_ms > engine.entry.started_at_ms {
                self.interrupted_loads.extend(engine.interrupted_load());
            }
            let limiter = self.store_load_limiters.get_mut(&engine.entry.service);
            if let (Some(report), Some(limiter)) = (&report, limiter) {
                limiter.raise_orders_taken(id, report.orders_taken, now);
            }
            engine.record_report(report, now);
            self.checkpoint_locations.update(engine);
            self.changed_engines.insert(id.clone());
        }
    }

    /// An engine in need takes so many requests a second, or is in no need any more.
    pub fn set_limit(&mut self, id: &UpstreamId, per_s: Option<f64>) {
        if let Some(engine) = self.engines.get_mut(id) {
            engine.set_limit(per_s);
        }
    }

    /// A start of an engine leaves, as it said in an answer.
    pub fn set_leaving(&mut self, id: &UpstreamId, started_at_ms: u64) {
        if let Some(engine) = self.engines.get_mut(id)
            && engine.entry.started_at_ms == started_at_ms
        {
            engine.set_leaving();
            self.changed_engines.insert(id.clone());
        }
    }

    /// The halls that operators have emptied, as they were told last.
    pub fn evacuated_halls(&self) -> &BTreeSet<DataHall> {
        &self.evacuated_halls
    }

    /// Operators have emptied these halls and no others: what stands there comes elsewhere.
    pub fn set_evacuated_halls(&mut self, emptied: BTreeSet<DataHall>) {
        self.evacuated_halls = emptied;
        for (id, engine) in &mut self.engines {
            let is_evacuated = self.evacuated_halls.contains(&engine.entry.hall);
            if engine.set_evacuated(is_evacuated) {
                self.changed_engines.insert(id.clone());
            }
        }
    }

    /// An engine wants nothing from some instance until a moment: what requests wait for there had better come
    /// to another one, and nothing comes to it meanwhile.
    pub fn record_backoff(&mut self, id: &UpstreamId, started_at_ms: u64, until: Instant) {
        if let Some(engine) = self.engines.get_mut(id)
            && engine.entry.started_at_ms == started_at_ms
        {
            engine.record_backoff(until);
        }
    }

    /// These engines want nothing from this instance until the moments given: they are neither ordered nor
    /// asked before.
    pub fn set_backing_off(&mut self, resting: BTreeMap<UpstreamId, Instant>) {
        self.backing_off = resting;
    }

    /// Whether placements have changed since they were taken last.
    pub fn has_changed_placements(&self) -> bool {
        !self.changed_engines.is_empty()
    }

    /// Placements of engines to which something has come that requests wait for, and the
    /// instances that wait: they are told at once, and all others with the next batch.
    pub fn take_awaited_placements(&mut self) -> Vec<(Placement, BTreeSet<InstanceId>)> {
        let mut awaited = Vec::new();
        for id in &self.changed_engines {
            let Some(engine) = self.engines.get_mut(id) else {
                continue;
            };
            let newly_loaded = engine.take_newly_loaded();
            let service = &engine.entry.service;
            let instances: BTreeSet<InstanceId> = newly_loaded
                .iter()
                .flat_map(|model_ref| self.demand.waiting_instances(service, model_ref))
                .cloned()
                .collect();
            if !instances.is_empty() {
                awaited.push((engine.placement(), instances));
            }
        }
        awaited
    }

    /// Placements that have changed since the last call.
    pub fn take_changed_placements(&mut self) -> Vec<Placement> {
        let changed = std::mem::take(&mut self.changed_engines);
        let engines = changed.iter().filter_map(|id| self.engines.get(id));
        let mut placements: Vec<Placement> = engines.map(Engine::placement).collect();
        placements.retain(|placement| self.announced.record_if_changed(placement));
        placements
    }

    /// The placements that an instance lacks which knows those with some digests.
    pub fn placements_differing_from(&self, known: &BTreeSet<PlacementDigest>) -> Vec<Placement> {
        let announced = self.announced.differing_from(known);
        // What has changed since all were told is looked at itself.
        let unchanged = announced.filter(|id| !self.changed_engines.contains(*id));
        let engines = unchanged.chain(&self.changed_engines);
        let placements = engines.filter_map(|id| Some(self.engines.get(id)?.placement()));
        placements
            .filter(|p| !known.contains(&p.digest()))
            .collect()
    }

    /// What is to be done now.
    pub fn decide(&mut self, now: Instant) -> Vec<Action> {
        self.demand.expire(now);
        self.record_crashing_loads(now);
        let is_listening = self.listening_until.is_some_and(|until| now < until);
        if !is_listening {
            self.recount(now);
            self.check_silent_engines(now);
            self.place_adapters(now);
            self.place_models(now);
            self.prefetch(now);
        }
        self.next_actions(now)
    }

    /// Counts engines that ended while a model came to them against the model.
    fn record_crashing_loads(&mut self, now: Instant) {
        for interrupted in std::mem::take(&mut self.interrupted_loads) {
            let InterruptedLoad {
                service,
                model,
                start,
            } = interrupted;
            self.crashing_loads
                .record_crash(&service, &model, start, now);
        }
        self.crashing_loads.expire(&self.engines, now);
    }

    /// Models that are not loaded, since engines ended while they came.
    pub fn refused_models(&self) -> impl Iterator<Item = &(ServiceName, ModelName)> {
        self.crashing_loads.refused()
    }

    /// Has engines asked that should have what requests have waited for: they may be gone,
    /// or have lost it.
    fn check_silent_engines(&mut self, now: Instant) {
        for waiting in self.demand.waiting_at_least(now, WAIT_BEFORE_CHECK) {
            let service = &waiting.service;
            let holding = self
                .replica_counts
                .engines_with_replica(service, &waiting.model_ref.model);
            for id in holding {
                if let Some(engine) = self.engines.get_mut(id)
                    && engine.serves(service, &waiting.model_ref)
                {
                    engine.schedule_check(now);
                }
            }
        }
    }

    /// The next order or question of each engine.
    fn next_actions(&mut self, now: Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        let queries_from = *self.queries_from.get_or_insert(now + MAX_REPORT_AGE);
        if now < queries_from {
            return actions;
        }
        let may_inherit_orders = now < queries_from + store_load_limiter::MAX_ORDER_DELAY;
        self.query_budget.refill(now);
        let awaited_ids = self.awaited_engines();
        let (awaited_engines, other_engines): (Vec<_>, Vec<_>) = self
            .engines
            .iter_mut()
            .partition(|(id, _)| awaited_ids.contains(*id));
        for (id, engine) in awaited_engines.into_iter().chain(other_engines) {
            let service = &engine.entry.service;
            let pool = self.pools.get(service);
            let (Some(pool), Some(limiter)) = (pool, self.store_load_limiters.get_mut(service))
            else {
                continue;
            };
            if engine.complete_due_adapter(now) {
                self.changed_engines.insert(id.clone());
            }
            if self.backing_off.contains_key(id) {
                continue;
            }
            let previous_evicting = engine.evicting.len();
            let can_fetch = limiter.has_capacity(pool, now);
            // What it says of itself tells where requests can go; only orders need its own report.
            if engine.needs_first_query() && !self.query_budget.try_take() {
                continue;
            }
            if let Some(action) = engine.next_action(pool, can_fetch, may_inherit_orders, now) {
                if let Action::Order(order) = &action
                    && engine.is_store_load(order)
                {
                    limiter.record_order(id, order.expected_orders, now);
                }
                actions.push(action);
            }
            if engine.evicting.len() != previous_evicting {
                self.changed_engines.insert(id.clone());
            }
        }
        actions
    }

    /// Engines that have near what requests wait for.
    fn awaited_engines(&self) -> BTreeSet<UpstreamId> {
        let waiting = self.demand.waiting().into_iter();
        let engines = waiting.flat_map(|waiting| {
            self.checkpoint_locations
                .engines_caching(&waiting.service, &waiting.model_ref.model)
        });
        engines.cloned().collect()
    }

    /// When to decide again if nothing is heard.
    pub fn next_decision_at(&self, now: Instant) -> Instant {
        let engines = self.engines.iter();
        let reachable = engines.filter(|(id, _)| !self.backing_off.contains_key(*id));
        let next_actions = reachable.filter_map(|(_, engine)| engine.next_action_at());
        let planner_times = [
            self.listening_until,
            self.queries_from,
            self.query_budget.next_available_at(),
        ];
        let backoff_ends = self.backing_off.values().copied();
        let other_times = planner_times.into_iter().flatten().chain(backoff_ends);
        let other_times = other_times.filter(|at| now < *at);
        let limiters = self.store_load_limiters.values();
        let capacity_times = limiters.filter_map(|limiter| limiter.next_capacity_at(now));
        let next = next_actions.chain(other_times).chain(capacity_times).min();
        next.unwrap_or(now + Duration::from_secs(1))
    }

    /// Replicas that a model is worth now.
    fn target_replicas(&self, service: &ServiceName, model: &ModelName, now: Instant) -> usize {
        let usage = self.usage(service, model);
        self.policy
            .replicas(self.demand.rate(service, model, now), usage)
    }

    /// How much a model is used now.
    fn usage(&self, service: &ServiceName, model: &ModelName) -> Usage {
        Usage {
            running: self.replica_counts.running_count(service, model),
            waiters: self.demand.waiters(service, model),
            slots: self.pools.get(service).map_or(1, |pool| pool.slots),
        }
    }

    /// Whether requests take all slots of the engines that have a model, and of those that
    /// it comes to.
    fn is_out_of_slots(&self, service: &ServiceName, model: &ModelName) -> bool {
        let replicas = self.replica_count(service, model) + self.pending_load_count(service, model);
        let usage = self.usage(service, model);
        let slots = u64::from(usage.slots) * u64::try_from(replicas).unwrap_or(u64::MAX);
        replicas > 0 && u64::from(usage.running) + u64::from(usage.waiters) >= slots
    }

    /// Engines on which a model stands and stays.
    fn replica_count(&self, service: &ServiceName, model: &ModelName) -> usize {
        self.replica_counts.replica_count(service, model)
    }

    /// Engines on which a model comes.
    fn pending_load_count(&self, service: &ServiceName, model: &ModelName) -> usize {
        self.replica_counts.pending_load_count(service, model)
    }

    /// Engines that have a model near.
    fn engines_caching<'a>(
        &'a self,
        service: &ServiceName,
        model: &ModelName,
    ) -> impl Iterator<Item = &'a Engine> + use<'a> {
        let engines = self.checkpoint_locations.engines_caching(service, model);
        engines.filter_map(|id| self.engines.get(id))
    }

    /// Counts replicas and runs anew.
    fn recount(&mut self, now: Instant) {
        let demand = &self.demand;
        let can_serve = |engine: &Engine, model: &ModelName| {
            let service = &engine.entry.service;
            let has_blocked_waiters =
                engine.is_backing_off(now) && demand.waiters(service, model) > 0;
            let can_serve_rate =
                !engine.is_limited() || engine.can_serve_rate(demand.rate(service, model, now));
            can_serve_rate && !has_blocked_waiters
        };
        self.replica_counts = ReplicaCounts::count(self.engines.values(), can_serve);
    }
}
