//! Decides which models are loaded on which engines. Only the holder of the leadership, i.e. of the
//! right to send orders to engines, runs these decisions.
//!
//! The input is demand, running requests, engine entries and reports, and answers to orders; the
//! output is orders, state queries and changed placements. Each engine has at most one model order
//! in flight. Every order names the number of orders that the engine must have taken before, so a
//! delayed order can only take effect in the state that it was decided for. The memory check
//! therefore considers that state alone.

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
mod speed;
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

/// Delay before the holder queries an engine for the effect of an order that neither an entry nor a
/// report has shown. Unanswered queries back off from this delay.
const QUERY_DELAY: Duration = Duration::from_millis(120);
/// Duration of an unload that no running request delays.
const UNLOAD_DURATION: Duration = Duration::from_millis(30);
/// How long requests may wait for a model that an engine should serve before the holder queries
/// that engine. Instances normally learn of a loaded model and send the waiting requests well
/// within this time.
const WAIT_BEFORE_CHECK: Duration = Duration::from_millis(500);
/// Maximum age of the state in an engine's report: reports lag by some hundred milliseconds (users'
/// pages). A new holder does not know what its predecessor ordered within this time.
const MAX_REPORT_AGE: Duration = Duration::from_millis(500);
/// Time after the start of a term in which instances connect to the new holder and publish their
/// demand.
const LISTENING_WINDOW: Duration = Duration::from_millis(300);

/// A model or adapter order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlannedOrder {
    /// The engine.
    pub engine: UpstreamId,
    /// The address that the engine listens on.
    pub address: SocketAddr,
    /// Load or unload.
    pub action: OrderAction,
    /// The model or adapter to load or unload.
    pub model_ref: ModelRef,
    /// Number of orders that the engine must have taken before this one; the engine refuses the
    /// order otherwise.
    pub expected_orders: u64,
    /// Start time of the engine process for which the order was decided, in milliseconds.
    pub started_at_ms: u64,
}

/// Running requests for one model on one engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunningRequests {
    /// The engine.
    pub engine: UpstreamId,
    /// The model.
    pub model: ModelName,
    /// Number of running requests.
    pub count: u32,
}

/// An action that the holder must carry out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send an order to an engine.
    Order(PlannedOrder),
    /// Query an engine for its state.
    Ask {
        /// The engine.
        engine: UpstreamId,
        /// The address that the engine listens on.
        address: SocketAddr,
    },
}

/// The models on one engine to which requests may be routed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Placement {
    /// The engine.
    pub engine: UpstreamId,
    /// Loaded models and adapters.
    pub models: Vec<ResidentModel>,
    /// Loaded models that are about to be unloaded; no new request may be routed to them.
    pub evicting: Vec<ModelName>,
}

/// Plans the placement of models and adapters on all engines.
#[derive(Debug)]
pub struct Planner {
    engines: BTreeMap<UpstreamId, Engine>,
    pools: BTreeMap<ServiceName, EnginePool>,
    demand: Demand,
    policy: Box<dyn PlacementPolicy>,
    /// Replicas and running requests, as counted at the beginning of the current pass and updated
    /// by its swaps.
    replica_counts: ReplicaCounts,
    /// Engines that have each model's checkpoint in memory or on disk.
    checkpoint_locations: CheckpointLocations,
    /// Limits how many loads from the weight store may begin, by service.
    store_load_limiters: BTreeMap<ServiceName, StoreLoadLimiter>,
    /// Sliding window over which these loads are counted.
    load_window: Duration,
    /// Engines whose placement may have changed since the last announcement.
    changed_engines: BTreeSet<UpstreamId>,
    /// Engines on which each instance has running requests.
    engines_by_instance: HashMap<InstanceId, Vec<UpstreamId>>,
    announced: AnnouncedPlacements,
    /// Loads on engines that disappeared or restarted before the model was loaded.
    interrupted_loads: Vec<InterruptedLoad>,
    crashing_loads: CrashingLoads,
    query_budget: QueryBudget,
    /// Data halls that operators have evacuated.
    evacuated_halls: BTreeSet<DataHall>,
    /// Engines that accept nothing from this instance, with the end of the backoff.
    backing_off: BTreeMap<UpstreamId, Instant>,
    /// Start of state queries in this term. By then, a report shows the last order of the previous
    /// holder. `None` until the first decision of the term.
    queries_from: Option<Instant>,
    /// End of the listening window of this term, in which nothing is placed or evicted.
    listening_until: Option<Instant>,
    /// Whether any engine has less capacity than its slots because it is slow.
    has_slow_engines: bool,
}

impl Planner {
    /// Creates a planner without engines. Loads from the weight store are counted over
    /// `load_window`.
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
            has_slow_engines: false,
        }
    }

    /// Applies the route table of a configuration.
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

    /// Begins a term with the entries that this instance knows, and drops all knowledge of orders.
    /// Engines in `unconfirmed` may still carry out an order of the previous holder that had no
    /// answer. The planner evicts nothing until instances have had time to publish their demand and
    /// running requests.
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
        // Instances compare their known placements with these digests when they connect.
        self.changed_engines.clear();
        let placements = self.engines.values().map(Engine::placement);
        self.announced.begin_term(placements);
    }

    /// Applies an engine's entry in the directory.
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

    /// Engines that may still carry out an order that has no answer. The holder passes them on to
    /// its successor.
    pub fn unconfirmed_engines(&self, now: Instant) -> impl Iterator<Item = &UpstreamId> {
        let unconfirmed = self
            .engines
            .iter()
            .filter(move |(_, e)| e.has_unconfirmed_orders(now));
        unconfirmed.map(|(id, _)| id)
    }

    /// Number of known engines.
    pub fn engine_count(&self) -> usize {
        self.engines.len()
    }

    /// Drops all engines except `ids`.
    pub fn retain(&mut self, ids: &BTreeSet<UpstreamId>) {
        self.checkpoint_locations.retain(ids);
        let removed = self.engines.extract_if(.., |id, _| !ids.contains(id));
        self.interrupted_loads
            .extend(removed.filter_map(|(_, engine)| engine.interrupted_load()));
        self.announced.retain(ids);
    }

    /// Sets how many requests of an instance currently wait for a model or adapter.
    pub fn set_waiters(&mut self, waiters: Waiters, now: Instant) {
        self.demand.set_waiters(waiters, now);
    }

    /// Records that an instance accepted `count` requests for a model or adapter.
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

    /// Replaces the running requests of an instance.
    pub fn set_running(&mut self, instance: &InstanceId, requests: &[RunningRequests]) {
        let mut by_engine: BTreeMap<&UpstreamId, Vec<(ModelName, u32)>> = BTreeMap::new();
        for request in requests {
            let models = by_engine.entry(&request.engine).or_default();
            models.push((request.model.clone(), request.count));
        }
        // An instance has running requests on only a few of hundreds of engines.
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

    /// Removes an instance with its waiting and running requests.
    pub fn remove_instance(&mut self, instance: &InstanceId) {
        self.demand.remove_instance(instance);
        self.set_running(instance, &[]);
        self.engines_by_instance.remove(instance);
    }

    /// Applies the answer to an order.
    pub fn apply_answer(&mut self, order: &PlannedOrder, answer: OrderAnswer, now: Instant) {
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
        engine.apply_answer(order, answer, now + duration, now);
        self.changed_engines.insert(order.engine.clone());
    }

    /// Applies an engine's report of its state; `None` if the query was not answered.
    pub fn apply_report(&mut self, id: &UpstreamId, report: Option<EngineReport>, now: Instant) {
        if let Some(engine) = self.engines.get_mut(id) {
            let started_at_ms = report.as_ref().map_or(0, |report| report.started_at_ms);
            if started_at_ms > engine.entry.started_at_ms {
                self.interrupted_loads.extend(engine.interrupted_load());
            }
            let limiter = self.store_load_limiters.get_mut(&engine.entry.service);
            if let (Some(report), Some(limiter)) = (&report, limiter) {
                limiter.raise_orders_taken(id, report.orders_taken, now);
            }
            engine.apply_report(report, now);
            self.checkpoint_locations.update(engine);
            self.changed_engines.insert(id.clone());
        }
    }

    /// Sets the limit that an engine advertises, in requests per second; `None` if the engine is no
    /// longer limited.
    pub fn set_limit(&mut self, id: &UpstreamId, per_s: Option<f64>) {
        if let Some(engine) = self.engines.get_mut(id) {
            engine.set_limit(per_s);
        }
    }

    /// Marks an engine process as leaving, as it signalled in an answer to a request.
    pub fn set_leaving(&mut self, id: &UpstreamId, started_at_ms: u64) {
        if let Some(engine) = self.engines.get_mut(id)
            && engine.entry.started_at_ms == started_at_ms
        {
            engine.set_leaving();
            self.changed_engines.insert(id.clone());
        }
    }

    /// The data halls that operators have evacuated, as last set.
    pub fn evacuated_halls(&self) -> &BTreeSet<DataHall> {
        &self.evacuated_halls
    }

    /// Sets the data halls that operators have evacuated. Models on engines there are loaded
    /// elsewhere.
    pub fn set_evacuated_halls(&mut self, halls: BTreeSet<DataHall>) {
        self.evacuated_halls = halls;
        for (id, engine) in &mut self.engines {
            let is_evacuated = self.evacuated_halls.contains(&engine.entry.hall);
            if engine.set_evacuated(is_evacuated) {
                self.changed_engines.insert(id.clone());
            }
        }
    }

    /// Records that an engine accepts no requests from some instance until `until`. Meanwhile the
    /// planner loads the models that requests wait for on other engines, and loads no further
    /// models on this one.
    pub fn record_backoff(&mut self, id: &UpstreamId, started_at_ms: u64, until: Instant) {
        if let Some(engine) = self.engines.get_mut(id)
            && engine.entry.started_at_ms == started_at_ms
        {
            engine.record_backoff(until);
        }
    }

    /// Sets the engines that accept nothing from this instance until the given times. The planner
    /// sends them no orders and no queries until then.
    pub fn set_backing_off(&mut self, engines: BTreeMap<UpstreamId, Instant>) {
        self.backing_off = engines;
    }

    /// Whether any placement may have changed since the last [`Self::take_changed_placements`].
    pub fn has_changed_placements(&self) -> bool {
        !self.changed_engines.is_empty()
    }

    /// Placements of engines that have just loaded a model or adapter that requests wait for, each
    /// with the instances of these requests. These instances are notified at once, all others with
    /// the next batch.
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
                .flat_map(|model_ref| {
                    let software = &engine.entry.software;
                    self.demand.waiting_instances(service, model_ref, software)
                })
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

    /// Placements that an instance lacks if it knows the placements with the given digests.
    pub fn placements_differing_from(&self, known: &BTreeSet<PlacementDigest>) -> Vec<Placement> {
        let announced = self.announced.differing_from(known);
        // Changes that have not been announced yet are compared by their current placement.
        let unchanged = announced.filter(|id| !self.changed_engines.contains(*id));
        let engines = unchanged.chain(&self.changed_engines);
        let placements = engines.filter_map(|id| Some(self.engines.get(id)?.placement()));
        placements
            .filter(|p| !known.contains(&p.digest()))
            .collect()
    }

    /// Decides the next orders and queries.
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

    /// Records engines that crashed during a load against the model that was loading.
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

    /// Models that are not loaded because engines crashed while loading them.
    pub fn refused_models(&self) -> impl Iterator<Item = &(ServiceName, ModelName)> {
        self.crashing_loads.refused()
    }

    /// Schedules queries of engines that should serve a model for which requests still wait: these
    /// engines may be gone or may have lost the model.
    fn check_silent_engines(&mut self, now: Instant) {
        for awaited in self.demand.awaited_for_at_least(now, WAIT_BEFORE_CHECK) {
            let service = &awaited.need.service;
            let engines = self
                .replica_counts
                .engines_with_replica(service, &awaited.need.model_ref.model);
            for id in engines {
                if let Some(engine) = self.engines.get_mut(id)
                    && awaited.need.accepts(&engine.entry.software)
                    && engine.can_serve(service, &awaited.need.model_ref)
                {
                    engine.schedule_check(now);
                }
            }
        }
    }

    /// The next order or query of each engine.
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
            let previous_evicting_count = engine.evicting.len();
            let can_fetch = limiter.has_capacity(pool, now);
            // An engine's entry suffices for routing; only orders need a report.
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
            if engine.evicting.len() != previous_evicting_count {
                self.changed_engines.insert(id.clone());
            }
        }
        actions
    }

    /// Engines that have a checkpoint in memory or on disk for which requests wait.
    fn awaited_engines(&self) -> BTreeSet<UpstreamId> {
        let awaited_models = self.demand.awaited_models().into_iter();
        let engines = awaited_models.flat_map(|awaited| {
            self.checkpoint_locations
                .engines_caching(&awaited.need.service, &awaited.need.model_ref.model)
        });
        engines.cloned().collect()
    }

    /// When to call [`Self::decide`] again if nothing changes until then.
    pub fn next_decision_at(&self, now: Instant) -> Instant {
        let engines = self.engines.iter();
        let available = engines.filter(|(id, _)| !self.backing_off.contains_key(*id));
        let action_times = available.filter_map(|(_, engine)| engine.next_action_at());
        // In a new term, engines receive no queries or orders before `queries_from`.
        let engine_times = action_times.map(|at| self.queries_from.map_or(at, |from| at.max(from)));
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
        let next = engine_times.chain(other_times).chain(capacity_times).min();
        next.unwrap_or(now + Duration::from_secs(1))
    }

    /// Number of replicas that the policy gives a model for its current demand if all engines have
    /// the usual speed.
    fn plain_target_replicas(
        &self,
        service: &ServiceName,
        model: &ModelName,
        now: Instant,
    ) -> usize {
        let usage = self.usage(service, model);
        self.policy
            .replicas(self.demand.rate(service, model, now), usage)
    }

    /// Number of replicas that the policy gives a model for its current demand.
    fn target_replicas(&self, service: &ServiceName, model: &ModelName, now: Instant) -> usize {
        if !self.has_slow_engines {
            return self.plain_target_replicas(service, model, now);
        }
        let mut usage = self.usage(service, model);
        let capacity_ratio = self.replica_counts.mean_capacity_ratio(service, model);
        usage.slots = speed::effective_slots(usage.slots, capacity_ratio);
        self.policy
            .replicas(self.demand.rate(service, model, now), usage)
    }

    /// Current usage of a model.
    fn usage(&self, service: &ServiceName, model: &ModelName) -> Usage {
        Usage {
            running: self.replica_counts.running_count(service, model),
            waiters: self.demand.waiters(service, model),
            slots: self.pools.get(service).map_or(1, |pool| pool.slots),
        }
    }

    /// Whether requests take all slots of the engines that have a model, are loading it or are
    /// about to load it.
    fn is_out_of_slots(&self, service: &ServiceName, model: &ModelName) -> bool {
        let replicas = self.replica_count(service, model) + self.pending_load_count(service, model);
        let usage = self.usage(service, model);
        let slots = u64::from(usage.slots) * u64::try_from(replicas).unwrap_or(u64::MAX);
        replicas > 0 && u64::from(usage.running) + u64::from(usage.waiters) >= slots
    }

    /// Number of engines on which a model is loaded and not about to be unloaded.
    fn replica_count(&self, service: &ServiceName, model: &ModelName) -> usize {
        self.replica_counts.replica_count(service, model)
    }

    /// Number of engines that are loading a model or about to load it.
    fn pending_load_count(&self, service: &ServiceName, model: &ModelName) -> usize {
        self.replica_counts.pending_load_count(service, model)
    }

    /// Engines that have a model's checkpoint in memory or on disk.
    fn engines_caching<'a>(
        &'a self,
        service: &ServiceName,
        model: &ModelName,
    ) -> impl Iterator<Item = &'a Engine> + use<'a> {
        let engines = self.checkpoint_locations.engines_caching(service, model);
        engines.filter_map(|id| self.engines.get(id))
    }

    /// Recounts replicas and running requests.
    fn recount(&mut self, now: Instant) {
        let demand = &self.demand;
        let can_serve = |engine: &Engine, model: &ModelName| {
            let service = &engine.entry.service;
            let has_blocked_waiters = engine.is_backing_off(now)
                && demand.waiters_accepting(service, model, &engine.entry.software) > 0;
            let can_serve_rate =
                !engine.is_limited() || engine.can_serve_rate(demand.rate(service, model, now));
            can_serve_rate && !has_blocked_waiters
        };
        self.replica_counts = ReplicaCounts::count(self.engines.values(), can_serve);
    }
}
