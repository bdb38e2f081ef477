//! A run of one policy, step by step in virtual time.

use super::engine::{Engine, Source};
use super::outcome::{Outcome, as_f64};
use super::requests::Waiting;
use super::size::{FULL_SPEED_LOADS, FleetSize, PLACES};
use super::start::{Disks, first_engines};
use passway_serving::placement::policy::PolicyName;
use passway_serving::placement::{
    Action, DEFAULT_LOAD_WINDOW, Placement, PlannedOrder, Planner, RunningRequests,
};
use passway_serving::ports::OrderAction;
use passway_types::prelude::*;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, HashMap, VecDeque};

/// Step of the virtual time: what a holder's batches of needs come to.
pub(super) const STEP_MS: u64 = 10;
/// Time to a first token where the model stands.
const FIRST_TOKEN_MS: u64 = 55;
/// Time that a request runs (users' sheet: 58 events of five tokens).
const RUN_MS: u64 = 1_500;

/// One policy among engines, weight store and demand.
#[derive(Debug)]
pub struct Run {
    pub(super) size: FleetSize,
    pub(super) rng: ChaCha8Rng,
    begun_at: Instant,
    pub(super) now_ms: u64,
    pub(super) planner: Planner,
    pub(super) engines: Vec<Engine>,
    by_id: HashMap<UpstreamId, usize>,
    /// What the planner last told of each engine.
    placed: HashMap<UpstreamId, Placement>,
    /// Requests that wait, by the number of their model.
    pub(super) waiting: BTreeMap<usize, VecDeque<Waiting>>,
    /// Requests that the planner was told of as waiting, by the number of their model.
    pub(super) told: BTreeMap<usize, u32>,
    /// Runs in the order in which they end: when, engine, model.
    ends: VecDeque<(u64, usize, ModelName)>,
    idle_ms: f64,
    pub(super) outcome: Outcome,
}

/// Milliseconds as a number to calculate with.
fn duration_ms(time_ms: u64) -> f64 {
    Duration::from_millis(time_ms).as_secs_f64() * 1_000.0
}

impl Run {
    /// A run that has not begun.
    pub fn new(size: FleetSize, policy: PolicyName, disks: Disks, seed: u64) -> Self {
        let begun_at = Instant::now();
        let mut planner = Planner::new(DEFAULT_LOAD_WINDOW, policy.build());
        planner.set_table(&size.table());
        let mut engines = first_engines(&size, disks);
        for engine in &mut engines {
            planner.update_engine(engine.entry(), begun_at);
        }
        planner.begin_term(
            std::iter::empty(),
            &std::collections::BTreeSet::new(),
            begun_at,
        );
        let ids = engines.iter().enumerate();
        Self {
            by_id: ids
                .map(|(index, engine)| (engine.id.clone(), index))
                .collect(),
            engines,
            planner,
            rng: ChaCha8Rng::seed_from_u64(seed),
            begun_at,
            now_ms: 0,
            placed: HashMap::new(),
            waiting: BTreeMap::new(),
            told: BTreeMap::new(),
            ends: VecDeque::new(),
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

    pub(super) fn now(&self) -> Instant {
        self.begun_at + Duration::from_millis(self.now_ms)
    }

    /// Runs for so long.
    pub fn run(mut self, seconds: u64) -> Outcome {
        while self.now_ms < seconds * 1_000 {
            self.step();
        }
        let places = as_f64(self.size.engines * PLACES);
        let whole_ms = duration_ms(self.now_ms);
        self.outcome.seconds = seconds;
        self.outcome.idle_part = self.idle_ms / (whole_ms * places);
        self.outcome.overfull = self.engines.iter().map(|engine| engine.overfull).sum();
        self.outcome.busy.finish();
        self.outcome.rare.finish();
        self.outcome
    }

    fn step(&mut self) {
        self.now_ms += STEP_MS;
        self.arrive();
        self.end_runs();
        self.progress();
        self.give_up();
        self.tell_needs();
        self.tell_runs();
        self.decide();
        self.start_runs();
        self.count_idle();
    }

    /// Ends the runs whose time is over.
    fn end_runs(&mut self) {
        while self.ends.front().is_some_and(|(at, ..)| *at <= self.now_ms) {
            if let Some((_, engine, model)) = self.ends.pop_front()
                && let Some(runs) = self.engines[engine].resident.get_mut(&model)
            {
                *runs -= 1;
            }
        }
    }

    /// Goes on with the engines' orders; loads from the weight store share its speed.
    fn progress(&mut self) {
        let loads = self.engines.iter().filter(|e| e.loads_from_store()).count();
        let speed = as_f64(FULL_SPEED_LOADS) / as_f64(loads.max(FULL_SPEED_LOADS));
        let now = self.now();
        let step_ms = duration_ms(STEP_MS);
        for engine in &mut self.engines {
            if engine.progress(step_ms, speed).is_some() {
                self.planner.update_engine(engine.entry(), now);
            }
        }
    }

    /// Tells the planner what runs on the engines.
    fn tell_runs(&mut self) {
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

    /// Lets the planner decide, and does what it says.
    fn decide(&mut self) {
        let now = self.now();
        for action in self.planner.decide(now) {
            match action {
                Action::Ask { engine, .. } => {
                    let report = self.engines[self.by_id[&engine]].report();
                    self.planner.apply_report(&engine, Some(report), now);
                }
                Action::Order(order) => self.order(&order),
            }
        }
        for placement in self.planner.take_changed_placements() {
            self.placed.insert(placement.engine.clone(), placement);
        }
    }

    /// Gives an engine an order and the planner its answer.
    fn order(&mut self, order: &PlannedOrder) {
        let now = self.now();
        let engine = &mut self.engines[self.by_id[&order.engine]];
        let answer = engine.take(order);
        let source = engine.busy.as_ref().map(|busy| busy.source);
        self.planner.apply_answer(order, answer, now);
        self.outcome.orders += 1;
        if order.action == OrderAction::Load {
            let from_store = source == Some(Source::Store);
            self.outcome.store_loads += usize::from(from_store);
            self.outcome.near_loads += usize::from(!from_store);
        }
    }

    /// Whether a model stands on an engine and is not about to go.
    pub(super) fn stays(&self, engine: &Engine, model: &ModelName) -> bool {
        let placed = self.placed.get(&engine.id);
        let closing = placed.is_some_and(|p| p.evicting.contains(model));
        engine.resident.contains_key(model) && !closing
    }

    /// The engine with the model that runs least.
    fn engine_for(&self, model: &ModelName) -> Option<usize> {
        let engines = self.engines.iter().enumerate();
        let having = engines.filter(|(_, engine)| engine.has_room() && self.stays(engine, model));
        let least = having.min_by_key(|(_, engine)| engine.running());
        least.map(|(index, _)| index)
    }

    /// Sends requests that wait to engines that have room for them.
    fn start_runs(&mut self) {
        let models: Vec<usize> = self.waiting.keys().copied().collect();
        for number in models {
            let model = FleetSize::model(number);
            while let Some(index) = self.engine_for(&model) {
                let queue = self.waiting.get_mut(&number);
                let Some(waiting) = queue.and_then(VecDeque::pop_front) else {
                    break;
                };
                self.start_run(index, &model, waiting);
            }
        }
    }

    fn start_run(&mut self, index: usize, model: &ModelName, waiting: Waiting) {
        let resident = &mut self.engines[index].resident;
        *resident.entry(model.clone()).or_default() += 1;
        let end = (self.now_ms + RUN_MS, index, model.clone());
        self.ends.push_back(end);
        let first_ms = self.now_ms - waiting.since_ms + FIRST_TOKEN_MS;
        let served = self.served(waiting.class);
        served.in_aim += usize::from(first_ms <= waiting.class.aim_ms());
        served.times_ms.push(first_ms);
    }

    /// Adds up the time of places whose model runs nothing.
    fn count_idle(&mut self) {
        let idle: usize = self
            .engines
            .iter()
            .map(|engine| engine.resident.values().filter(|runs| **runs == 0).count())
            .sum();
        self.idle_ms += duration_ms(STEP_MS) * as_f64(idle);
    }
}
