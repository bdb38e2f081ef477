//! Which models stand on which engines: the decisions of the holder of the right to order.
//!
//! Needs, uses, engines' words and answers to orders go in; orders, questions and
//! changed placements come out. Each engine has at most one model order under way.
//! Every order names the count of orders that the engine must have taken, so an
//! order that is carried out late can only take effect in the state that it was
//! decided for; memory is therefore checked against that state alone.

mod announced;
mod ceiling;
mod census;
mod crashing_loads;
mod demand;
mod engine;
mod homes;
mod loading;
pub mod policy;
mod questions;
mod victims;
mod worth;

use crate::ports::{EngineReport, OrderAction, OrderAnswer};
use crate::routes::{EnginePool, RouteTable};
use crate::upstreams::{ModelRef, ResidentModel, UpstreamEntry};
use announced::Announced;
pub use announced::{PlacementDigest, digest};
pub use ceiling::DEFAULT_LOAD_WINDOW;
use ceiling::StoreLoads;
use census::Census;
use crashing_loads::CrashingLoads;
use demand::Demand;
pub use demand::{Usage, Waiters};
use engine::{Engine, Loading};
use homes::Homes;
use passway_types::prelude::*;
use policy::PlacementPolicy;
use questions::Questions;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;

/// An order whose effect shows neither in the engine's word nor in a report is asked for after this.
const ASK_PAUSE: Duration = Duration::from_millis(120);
/// Time for an unload that no run holds up.
const UNLOAD_TIME: Duration = Duration::from_millis(30);
/// Instances hear of a model that has come, and send what waits for it, well within this.
const DOUBT_TIME: Duration = Duration::from_millis(500);
/// How old the state that an engine reports may be: some hundred milliseconds (users' pages).
/// What may have changed since then is not known to whoever did not order it.
const REPORT_AGE: Duration = Duration::from_millis(500);
/// Time in which instances that hear of a new holder connect and tell what they use.
const LISTENING_TIME: Duration = Duration::from_millis(300);

/// A model or adapter order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlannedOrder {
    /// The engine.
    pub engine: UpstreamId,
    /// Where it listens.
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
        /// Where it listens.
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
    census: Census,
    /// Engines that have each model near.
    homes: Homes,
    /// Loads that count against each service's ceiling of the weight store.
    store_loads: BTreeMap<ServiceName, StoreLoads>,
    /// The span over which they count.
    load_window: Duration,
    changed: BTreeSet<UpstreamId>,
    /// Engines on which each instance has runs.
    runs_on: HashMap<InstanceId, Vec<UpstreamId>>,
    announced: Announced,
    /// Engines that were there and are not, or have started again, while a model came to them.
    ended_loading: Vec<Loading>,
    crashing_loads: CrashingLoads,
    questions: Questions,
    /// Halls that operators have emptied.
    evacuated_halls: BTreeSet<DataHall>,
    /// Engines that want nothing from this instance, and until when.
    resting: BTreeMap<UpstreamId, Instant>,
    /// When engines may be asked for their state in this term: what a holder before ordered
    /// last shows in a report by then. `None` until the term's first decision.
    reports_from: Option<Instant>,
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
            census: Census::default(),
            homes: Homes::default(),
            store_loads: BTreeMap::new(),
            load_window,
            changed: BTreeSet::new(),
            runs_on: HashMap::new(),
            announced: Announced::default(),
            ended_loading: Vec::new(),
            crashing_loads: CrashingLoads::default(),
            questions: Questions::default(),
            evacuated_halls: BTreeSet::new(),
            resting: BTreeMap::new(),
            reports_from: None,
            listening_until: None,
        }
    }

    /// Uses a configuration.
    pub fn set_table(&mut self, table: &RouteTable) {
        let services = table.services.values();
        let pools = services.filter_map(|s| Some((s.name.clone(), s.pool.clone()?)));
        self.pools = pools.collect();
        for service in self.pools.keys() {
            let loads = || StoreLoads::new(self.load_window);
            let known = self.store_loads.entry(service.clone());
            known.or_insert_with(loads);
        }
    }

    /// Begins a term with what this instance knew of engines as a listener, and forgets what
    /// was known of their orders. In `doubtful` engines orders that the holder before had no
    /// answer to may be carried out yet. Instances tell within moments what they need and use; until
    /// then nothing is evicted.
    pub fn begin_term(
        &mut self,
        entries: impl Iterator<Item = UpstreamEntry>,
        doubtful: &BTreeSet<UpstreamId>,
        now: Instant,
    ) {
        self.listening_until = Some(now + LISTENING_TIME);
        self.reports_from = None;
        for (service, loads) in &mut self.store_loads {
            if let Some(pool) = self.pools.get(service) {
                loads.begin_term(pool, now);
            }
        }
        for (id, engine) in &mut self.engines {
            engine.forget_orders(doubtful.contains(id));
        }
        for entry in entries {
            self.update_engine(entry, now);
        }
        // Instances compare what they know with this when they connect.
        self.changed.clear();
        let placements = self.engines.values().map(Engine::placement);
        self.announced.begin(placements);
    }

    /// An engine has said something of itself.
    pub fn update_engine(&mut self, entry: UpstreamEntry, now: Instant) {
        if !self.pools.contains_key(&entry.service) {
            return;
        }
        let id = entry.id.clone();
        let is_emptied = self.evacuated_halls.contains(&entry.hall);
        if let Some(engine) = self.engines.get_mut(&id) {
            engine.set_emptied(is_emptied);
            if entry.started_at_ms > engine.entry.started_at_ms {
                self.ended_loading.extend(engine.loading());
            }
            engine.update(entry, now);
            self.homes.update(engine);
        } else {
            let mut engine = Engine::new(entry);
            engine.set_emptied(is_emptied);
            self.homes.update(&engine);
            self.engines.insert(id.clone(), engine);
        }
        self.changed.insert(id);
    }

    /// Engines to which an order has no answer and may be carried out yet, for a successor.
    pub fn unconfirmed_engines(&self, now: Instant) -> impl Iterator<Item = &UpstreamId> {
        let doubtful = self.engines.iter().filter(move |(_, e)| e.is_doubtful(now));
        doubtful.map(|(id, _)| id)
    }

    /// How many engines there are.
    pub fn engine_count(&self) -> usize {
        self.engines.len()
    }

    /// Only these upstreams are there.
    pub fn retain(&mut self, ids: &BTreeSet<UpstreamId>) {
        self.homes.retain(ids);
        let gone = self.engines.extract_if(.., |id, _| !ids.contains(id));
        self.ended_loading
            .extend(gone.filter_map(|(_, engine)| engine.loading()));
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
            engine.record_use(model_ref, now);
        }
    }

    /// What runs of an instance's requests.
    pub fn set_running(&mut self, instance: &InstanceId, runs: &[RunningRequests]) {
        let mut by_engine: BTreeMap<&UpstreamId, Vec<(ModelName, u32)>> = BTreeMap::new();
        for run in runs {
            let here = by_engine.entry(&run.engine).or_default();
            here.push((run.model.clone(), run.count));
        }
        // An instance runs something on a few engines of hundreds.
        let engines = by_engine.keys().map(|id| (*id).clone()).collect();
        let before = self.runs_on.insert(instance.clone(), engines);
        for id in before.into_iter().flatten() {
            if !by_engine.contains_key(&id)
                && let Some(engine) = self.engines.get_mut(&id)
            {
                engine.set_running(instance, Vec::new());
            }
        }
        for (id, here) in by_engine {
            if let Some(engine) = self.engines.get_mut(id) {
                engine.set_running(instance, here);
            }
        }
    }

    /// An instance is gone, and what it ran with it.
    pub fn remove_instance(&mut self, instance: &InstanceId) {
        self.demand.remove_instance(instance);
        self.set_running(instance, &[]);
        self.runs_on.remove(instance);
    }

    /// An order was answered.
    pub fn record_answer(&mut self, order: &PlannedOrder, answer: OrderAnswer, now: Instant) {
        let Some(engine) = self.engines.get_mut(&order.engine) else {
            return;
        };
        let time = match order.action {
            OrderAction::Unload => UNLOAD_TIME,
            OrderAction::Load => engine.load_time(&self.pools, &order.model_ref.model),
        };
        if let Some(loads) = self.store_loads.get_mut(&engine.entry.service) {
            match answer {
                OrderAnswer::Taken => {
                    loads.count_is(&order.engine, order.expected_orders + 1, now);
                }
                _ if !engine.is_store_load(order) => {}
                OrderAnswer::Lost => loads.lost(&order.engine, now),
                _ => loads.not_begun(&order.engine),
            }
        }
        engine.record_answer(order, answer, now + time, now);
        self.changed.insert(order.engine.clone());
    }

    /// An engine told its state; `None` if it did not answer.
    pub fn record_report(&mut self, id: &UpstreamId, report: Option<EngineReport>, now: Instant) {
        if let Some(engine) = self.engines.get_mut(id) {
            let started_at_ms = report.as_ref().map_or(0, |report| report.started_at_ms);
            if started_at_ms > engine.entry.started_at_ms {
                self.ended_loading.extend(engine.loading());
            }
            let loads = self.store_loads.get_mut(&engine.entry.service);
            if let (Some(report), Some(loads)) = (&report, loads) {
                loads.count_is(id, report.orders_taken, now);
            }
            engine.record_report(report, now);
            self.homes.update(engine);
            self.changed.insert(id.clone());
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
            engine.leaves();
            self.changed.insert(id.clone());
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
            let is_emptied = self.evacuated_halls.contains(&engine.entry.hall);
            if engine.set_emptied(is_emptied) {
                self.changed.insert(id.clone());
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
        self.resting = resting;
    }

    /// Whether placements have changed since they were taken last.
    pub fn has_changed_placements(&self) -> bool {
        !self.changed.is_empty()
    }

    /// Placements of engines to which something has come that requests wait for, and the
    /// instances that wait: they are told at once, and all others with the next batch.
    pub fn take_awaited_placements(&mut self) -> Vec<(Placement, BTreeSet<InstanceId>)> {
        let mut awaited = Vec::new();
        for id in &self.changed {
            let Some(engine) = self.engines.get_mut(id) else {
                continue;
            };
            let came = engine.take_just_came();
            let service = &engine.entry.service;
            let instances: BTreeSet<InstanceId> = came
                .iter()
                .flat_map(|wish| self.demand.waiting_instances(service, wish))
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
        let changed = std::mem::take(&mut self.changed);
        let engines = changed.iter().filter_map(|id| self.engines.get(id));
        let mut placements: Vec<Placement> = engines.map(Engine::placement).collect();
        placements.retain(|placement| self.announced.is_news(placement));
        placements
    }

    /// The placements that an instance lacks which knows those with some digests.
    pub fn placements_differing_from(&self, known: &BTreeSet<PlacementDigest>) -> Vec<Placement> {
        let told = self.announced.unlike(known);
        // What has changed since all were told is looked at itself.
        let told = told.filter(|id| !self.changed.contains(*id));
        let engines = told.chain(&self.changed);
        let placements = engines.filter_map(|id| Some(self.engines.get(id)?.placement()));
        placements
            .filter(|p| !known.contains(&p.digest()))
            .collect()
    }

    /// What is to be done now.
    pub fn decide(&mut self, now: Instant) -> Vec<Action> {
        self.demand.expire(now);
        self.blame_loads(now);
        let listens = self.listening_until.is_some_and(|until| now < until);
        if !listens {
            self.count(now);
            self.doubt_engines(now);
            self.place_adapters(now);
            self.place_models(now);
            self.prefetch(now);
        }
        self.next_actions(now)
    }

    /// Counts engines that ended while a model came to them against the model.
    fn blame_loads(&mut self, now: Instant) {
        for loading in std::mem::take(&mut self.ended_loading) {
            let Loading {
                service,
                model,
                start,
            } = loading;
            self.crashing_loads.ended(&service, &model, start, now);
        }
        self.crashing_loads.expire(&self.engines, now);
    }

    /// Models that are not loaded, since engines ended while they came.
    pub fn refused_models(&self) -> impl Iterator<Item = &(ServiceName, ModelName)> {
        self.crashing_loads.refused()
    }

    /// Has engines asked that should have what requests have waited for: they may be gone,
    /// or have lost it.
    fn doubt_engines(&mut self, now: Instant) {
        for waiting in self.demand.waiting_since(now, DOUBT_TIME) {
            let service = &waiting.service;
            let having = self.census.engines(service, &waiting.model_ref.model);
            for id in having {
                if let Some(engine) = self.engines.get_mut(id)
                    && engine.serves(service, &waiting.model_ref)
                {
                    engine.doubt(now);
                }
            }
        }
    }

    /// The next order or question of each engine.
    fn next_actions(&mut self, now: Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        let reports_from = *self.reports_from.get_or_insert(now + REPORT_AGE);
        if now < reports_from {
            return actions;
        }
        let inherits = now < reports_from + ceiling::LATEST_BEGIN;
        self.questions.begin_pass(now);
        let awaited = self.awaited_homes();
        let (first, others): (Vec<_>, Vec<_>) = self
            .engines
            .iter_mut()
            .partition(|(id, _)| awaited.contains(*id));
        for (id, engine) in first.into_iter().chain(others) {
            let service = &engine.entry.service;
            let pool = self.pools.get(service);
            let (Some(pool), Some(loads)) = (pool, self.store_loads.get_mut(service)) else {
                continue;
            };
            if engine.settle_adapter(now) {
                self.changed.insert(id.clone());
            }
            if self.resting.contains_key(id) {
                continue;
            }
            let before = engine.evicting.len();
            let may_fetch = loads.has_room(pool, now);
            // What it says of itself tells where requests can go; only orders need its own report.
            if engine.awaits_first_question() && !self.questions.take() {
                continue;
            }
            if let Some(action) = engine.step(pool, may_fetch, inherits, now) {
                if let Action::Order(order) = &action
                    && engine.is_store_load(order)
                {
                    loads.begin(id, order.expected_orders, now);
                }
                actions.push(action);
            }
            if engine.evicting.len() != before {
                self.changed.insert(id.clone());
            }
        }
        actions
    }

    /// Engines that have near what requests wait for.
    fn awaited_homes(&self) -> BTreeSet<UpstreamId> {
        let waiting = self.demand.waiting().into_iter();
        let homes = waiting.flat_map(|waiting| {
            self.homes
                .of_model(&waiting.service, &waiting.model_ref.model)
        });
        homes.cloned().collect()
    }

    /// When to decide again if nothing is heard.
    pub fn next_decision_at(&self, now: Instant) -> Instant {
        let engines = self.engines.iter();
        let open = engines.filter(|(id, _)| !self.resting.contains_key(*id));
        let dues = open.filter_map(|(_, engine)| engine.look_at());
        let moments = [
            self.listening_until,
            self.reports_from,
            self.questions.room_at(),
        ];
        let rests = self.resting.values().copied();
        let listening = moments.into_iter().flatten().chain(rests);
        let listening = listening.filter(|at| now < *at);
        let rooms = self.store_loads.values();
        let rooms = rooms.filter_map(|loads| loads.room_at(now));
        let next = dues.chain(listening).chain(rooms).min();
        next.unwrap_or(now + Duration::from_secs(1))
    }

    /// Replicas that a model is worth now.
    fn wanted(&self, service: &ServiceName, model: &ModelName, now: Instant) -> usize {
        let usage = self.usage(service, model);
        self.policy
            .replicas(self.demand.rate(service, model, now), usage)
    }

    /// How much a model is used now.
    fn usage(&self, service: &ServiceName, model: &ModelName) -> Usage {
        Usage {
            running: self.census.runs(service, model),
            waiters: self.demand.waiters(service, model),
            slots: self.pools.get(service).map_or(1, |pool| pool.slots),
        }
    }

    /// Whether requests take all slots of the engines that have a model, and of those that
    /// it comes to.
    fn lacks_slots(&self, service: &ServiceName, model: &ModelName) -> bool {
        let replicas = self.replicas(service, model) + self.coming(service, model);
        let usage = self.usage(service, model);
        let slots = u64::from(usage.slots) * u64::try_from(replicas).unwrap_or(u64::MAX);
        replicas > 0 && u64::from(usage.running) + u64::from(usage.waiters) >= slots
    }

    /// Engines on which a model stands and stays.
    fn replicas(&self, service: &ServiceName, model: &ModelName) -> usize {
        self.census.replicas(service, model)
    }

    /// Engines on which a model comes.
    fn coming(&self, service: &ServiceName, model: &ModelName) -> usize {
        self.census.coming(service, model)
    }

    /// Engines that have a model near.
    fn homes_of<'a>(
        &'a self,
        service: &ServiceName,
        model: &ModelName,
    ) -> impl Iterator<Item = &'a Engine> + use<'a> {
        let homes = self.homes.of_model(service, model);
        homes.filter_map(|id| self.engines.get(id))
    }

    /// Counts replicas and runs anew.
    fn count(&mut self, now: Instant) {
        let demand = &self.demand;
        let bears = |engine: &Engine, model: &ModelName| {
            let service = &engine.entry.service;
            let is_missed = engine.rests(now) && demand.waiters(service, model) > 0;
            let bears = !engine.is_in_need() || engine.bears(demand.rate(service, model, now));
            bears && !is_missed
        };
        self.census = Census::of(self.engines.values(), bears);
    }
}
