//! A run of one policy, step by step in virtual time.

use super::engine::{Engine, LoadSource};
use super::outcome::{Outcome, as_f64};
use super::requests::WaitingRequest;
use super::size::{FULL_SPEED_LOADS, FleetSize, RESIDENT_MODELS};
use super::start::{InitialDisks, initial_engines};
use passway_serving::placement::policy::PolicyName;
use passway_serving::placement::{
    Action, DEFAULT_LOAD_WINDOW, Placement, PlannedOrder, Planner, RunningRequests,
};
use passway_serving::ports::OrderAction;
use passway_types::prelude::*;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, HashMap, VecDeque};

/// Step of the virtual time, close to the interval at which a holder receives batched reports.
pub(super) const STEP_MS: u64 = 10;
/// Time to the first token if the model is resident.
const WARM_FIRST_TOKEN_MS: u64 = 55;
/// Time that a request runs, from the users' sheet: 58 events of five tokens.
const REQUEST_DURATION_MS: u64 = 1_500;

/// A simulation of one policy with its engines, weight store and demand.
#[derive(Debug)]
pub struct Run {
    pub(super) size: FleetSize,
    pub(super) rng: ChaCha8Rng,
    started_at: Instant,
    pub(super) now_ms: u64,
    pub(super) planner: Planner,
    pub(super) engines: Vec<Engine>,
    /// Index of each engine in `engines`.
    by_id: HashMap<UpstreamId, usize>,
    /// The last placement that the planner published for each engine.
    placements: HashMap<UpstreamId, Placement>,
    /// Waiting requests, by the number of their model.
    pub(super) waiting: BTreeMap<usize, VecDeque<WaitingRequest>>,
    /// Counts of waiting requests last reported to the planner, by the number of their model.
    pub(super) reported: BTreeMap<usize, u32>,
    /// Running requests in the order of their ends: end in milliseconds, engine, model.
    request_ends: VecDeque<(u64, usize, ModelName)>,
    /// Sum of the idle time of all resident models.
    idle_ms: f64,
    pub(super) outcome: Outcome,
}

/// Converts milliseconds to `f64`.
fn as_ms_f64(duration_ms: u64) -> f64 {
    Duration::from_millis(duration_ms).as_secs_f64() * 1_000.0
}

impl Run {
    /// Creates a run at virtual time 0.
    pub fn new(size: FleetSize, policy: PolicyName, disks: InitialDisks, seed: u64) -> Self {
        let started_at = Instant::now();
        let mut planner = Planner::new(DEFAULT_LOAD_WINDOW, policy.build());
        planner.set_table(&size.table());
        let mut engines = initial_engines(&size, disks);
        for engine in &mut engines {
            planner.update_engine(engine.entry(), started_at);
        }
        planner.begin_term(
            std::iter::empty(),
            &std::collections::BTreeSet::new(),
            started_at,
        );
        let ids = engines.iter().enumerate();
        Self {
            by_id: ids
                .map(|(index, engine)| (engine.id.clone(), index))
                .collect(),
            engines,
            planner,
            rng: ChaCha8Rng::seed_from_u64(seed),
            started_at,
            now_ms: 0,
            placements: HashMap::new(),
            waiting: BTreeMap::new(),
            reported: BTreeMap::new(),
            request_ends: VecDeque::new(),
            idle_ms: 0.0,
            outcome: Outcome {
                policy: policy.to_string(),
                size: size.name.to_owned(),
                seed,
                ..Outcome::default()
            },
            size,
        }
    }

    /// Returns the virtual time.
    pub(super) fn now(&self) -> Instant {
        self.started_at + Duration::from_millis(self.now_ms)
    }

    /// Simulates `seconds` of virtual time and returns the result.
    pub fn simulate(self, seconds: u64) -> Outcome {
        self.simulate_with(seconds, |_, _| {})
    }

    /// Simulates `seconds` of virtual time and returns the result. Before each step, passes the
    /// virtual time in milliseconds and the planner to `prepare`.
    pub fn simulate_with(
        mut self,
        seconds: u64,
        mut prepare: impl FnMut(u64, &mut Planner),
    ) -> Outcome {
        while self.now_ms < seconds * 1_000 {
            prepare(self.now_ms, &mut self.planner);
            self.step();
        }
        let model_slots = as_f64(self.size.engines * RESIDENT_MODELS);
        let total_ms = as_ms_f64(self.now_ms);
        self.outcome.seconds = seconds;
        self.outcome.idle_part = self.idle_ms / (total_ms * model_slots);
        self.outcome.overfull = self.engines.iter().map(|engine| engine.overcommits).sum();
        self.outcome.busy.compute_quantiles();
        self.outcome.rare.compute_quantiles();
        self.outcome
    }

    /// Simulates one step.
    fn step(&mut self) {
        self.now_ms += STEP_MS;
        self.add_arrivals();
        self.end_requests();
        self.advance_orders();
        self.refuse_expired();
        self.report_waiters();
        self.report_running();
        self.decide();
        self.start_requests();
        self.add_idle_time();
    }

    /// Ends the requests that have run for their full duration.
    fn end_requests(&mut self) {
        while self
            .request_ends
            .front()
            .is_some_and(|(at, ..)| *at <= self.now_ms)
        {
            if let Some((_, engine, model)) = self.request_ends.pop_front()
                && let Some(runs) = self.engines[engine].resident.get_mut(&model)
            {
                *runs -= 1;
            }
        }
    }

    /// Advances the orders of all engines. Loads from the weight store share its bandwidth.
    fn advance_orders(&mut self) {
        let loads = self
            .engines
            .iter()
            .filter(|e| e.is_loading_from_store())
            .count();
        let speed = as_f64(FULL_SPEED_LOADS) / as_f64(loads.max(FULL_SPEED_LOADS));
        let now = self.now();
        let step_ms = as_ms_f64(STEP_MS);
        for engine in &mut self.engines {
            if engine.advance(step_ms, speed).is_some() {
                self.planner.update_engine(engine.entry(), now);
            }
        }
    }

    /// Reports the running requests of all engines to the planner.
    fn report_running(&mut self) {
        let mut runs = Vec::new();
        for engine in &self.engines {
            for (model, count) in engine.resident.iter().filter(|(_, count)| **count > 0) {
                runs.push(RunningRequests {
                    engine: engine.id.clone(),
                    model: model.clone(),
                    count: *count,
                });
            }
        }
        self.planner.set_running(&"all".into(), &runs);
    }

    /// Lets the planner decide and executes its actions.
    fn decide(&mut self) {
        let now = self.now();
        for action in self.planner.decide(now) {
            match action {
                Action::Ask { engine, .. } => {
                    let report = self.engines[self.by_id[&engine]].report();
                    self.planner.apply_report(&engine, Some(report), now);
                }
                Action::Order(order) => self.send_order(&order),
            }
        }
        for placement in self.planner.take_changed_placements() {
            self.placements.insert(placement.engine.clone(), placement);
        }
    }

    /// Sends an order to an engine and returns the answer to the planner.
    fn send_order(&mut self, order: &PlannedOrder) {
        let now = self.now();
        let engine = &mut self.engines[self.by_id[&order.engine]];
        let answer = engine.accept_order(order);
        let source = engine.current_order.as_ref().map(|current| current.source);
        self.planner.apply_answer(order, answer, now);
        self.outcome.orders += 1;
        if order.action == OrderAction::Load {
            let is_from_store = source == Some(LoadSource::Store);
            self.outcome.store_loads += usize::from(is_from_store);
            self.outcome.near_loads += usize::from(!is_from_store);
        }
    }

    /// Whether a model is resident on an engine and not about to be unloaded.
    pub(super) fn is_available(&self, engine: &Engine, model: &ModelName) -> bool {
        let placement = self.placements.get(&engine.id);
        let is_evicting = placement.is_some_and(|p| p.evicting.contains(model));
        engine.resident.contains_key(model) && !is_evicting
    }

    /// Returns the engine with the fewest running requests among those that have the model and a
    /// free slot.
    fn least_loaded_engine(&self, model: &ModelName) -> Option<usize> {
        let engines = self.engines.iter().enumerate();
        let available = engines
            .filter(|(_, engine)| engine.has_free_slot() && self.is_available(engine, model));
        let least_loaded = available.min_by_key(|(_, engine)| engine.running());
        least_loaded.map(|(index, _)| index)
    }

    /// Sends waiting requests to engines with free slots.
    fn start_requests(&mut self) {
        let models: Vec<usize> = self.waiting.keys().copied().collect();
        for number in models {
            let model = FleetSize::model(number);
            while let Some(index) = self.least_loaded_engine(&model) {
                let queue = self.waiting.get_mut(&number);
                let Some(waiting) = queue.and_then(VecDeque::pop_front) else {
                    break;
                };
                self.start_request(index, &model, waiting);
            }
        }
    }

    /// Starts a request on an engine and records its time to the first token.
    fn start_request(&mut self, index: usize, model: &ModelName, waiting: WaitingRequest) {
        let resident = &mut self.engines[index].resident;
        *resident.entry(model.clone()).or_default() += 1;
        let end = (self.now_ms + REQUEST_DURATION_MS, index, model.clone());
        self.request_ends.push_back(end);
        let first_token_ms = self.now_ms - waiting.arrived_at_ms + WARM_FIRST_TOKEN_MS;
        let outcome = self.class_outcome(waiting.class);
        outcome.in_aim += usize::from(first_token_ms <= waiting.class.target_ms());
        outcome.times_ms.push(first_token_ms);
    }

    /// Adds the time of the resident models without a running request.
    fn add_idle_time(&mut self) {
        let idle: usize = self
            .engines
            .iter()
            .map(|engine| engine.resident.values().filter(|runs| **runs == 0).count())
            .sum();
        self.idle_ms += as_ms_f64(STEP_MS) * as_f64(idle);
    }
}
