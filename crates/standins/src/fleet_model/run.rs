//! A run of one policy, step by step in virtual time.

use super::engine::{Engine, Source};
use super::outcome::{Outcome, Served, as_f64};
use super::size::{FULL_SPEED_LOADS, FleetSize, PLACES};
use passway_serving::placement::policy::PolicyName;
use passway_serving::placement::{Action, Placement, Planner, USUAL_LOAD_WINDOW};
use passway_serving::ports::OrderAction;
use passway_serving::upstreams::ModelWish;
use passway_types::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, HashMap, VecDeque};

/// Step of the virtual time: what a holder's batches of needs come to.
const STEP_MS: u64 = 10;
/// Time to a first token where the model stands.
const FIRST_TOKEN_MS: u64 = 55;
/// Time that a request runs (sheet: 58 events of five tokens).
const RUN_MS: u64 = 1_500;
/// Aims for the first token (market sheet).
const BUSY_AIM_MS: u64 = 400;
const RARE_AIM_MS: u64 = 2_500;
/// A request waits at most this long for an engine: 0.45 of a caller's patience.
const BUSY_WAIT_MS: u64 = 1_080;
const RARE_WAIT_MS: u64 = 4_500;
/// Pause between two words to the planner about one waiting request.
const TELL_MS: u64 = 400;
/// Demand moves on to other busy models every so often.
const SHIFT_MS: u64 = 15_000;
/// Busy models fall off by this part from one to the next.
const BUSY_FALL: f64 = 0.7;

#[derive(Debug, Clone, Copy)]
struct Waiting {
    since_ms: u64,
    told_ms: u64,
    is_busy: bool,
}

/// One policy among engines, weight store and demand.
#[derive(Debug)]
pub struct Run {
    size: FleetSize,
    rng: ChaCha8Rng,
    begun_at: Instant,
    now_ms: u64,
    planner: Planner,
    engines: Vec<Engine>,
    by_id: HashMap<UpstreamId, usize>,
    /// What the planner last told of each engine.
    placed: HashMap<UpstreamId, Placement>,
    waiting: BTreeMap<usize, VecDeque<Waiting>>,
    /// Runs in the order in which they end: when, engine, model.
    ends: VecDeque<(u64, usize, ModelName)>,
    idle_ms: f64,
    outcome: Outcome,
}

fn wish(model: usize) -> ModelWish {
    ModelWish {
        model: FleetSize::model(model),
        adapter: None,
    }
}

/// What engines' disks hold at the start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Disks {
    /// Only what stands on the engine.
    Empty,
    /// Each model on two engines, as far as the disks go.
    Filled,
}

/// Models on an engine's disk beside those that stand there.
fn disk_models(size: &FleetSize, engine: usize, disks: Disks) -> Vec<ModelName> {
    if disks == Disks::Empty {
        return Vec::new();
    }
    let here = |model: &usize| {
        let first = model % size.engines;
        let second = (first + size.engines / 2) % size.engines;
        engine == first || engine == second
    };
    (0..size.models)
        .filter(here)
        .map(FleetSize::model)
        .collect()
}

/// Engines as they start: busy models on many, each other model on one, as far as
/// there is room.
fn first_engines(size: &FleetSize, disks: Disks) -> Vec<Engine> {
    let one_busy = |number| vec![FleetSize::model(number % size.busy)];
    let mut held: Vec<Vec<ModelName>> = (0..size.engines).map(one_busy).collect();
    let places_left = size.engines * (PLACES - 1);
    let others = (size.busy..size.models).take(places_left);
    for (number, model) in others.enumerate() {
        held[number % size.engines].push(FleetSize::model(model));
    }
    let mut engines = Vec::new();
    for (number, models) in held.iter().enumerate() {
        let near = disk_models(size, number, disks);
        engines.push(Engine::new(number, size.slots, models, &near));
    }
    engines
}

/// A planner that knows the engines of a size and has asked each for its state.
pub fn warm_planner(size: &FleetSize, policy: PolicyName, now: Instant) -> Planner {
    let mut planner = Planner::new(USUAL_LOAD_WINDOW, policy.policy());
    planner.set_table(&size.table());
    for engine in &mut first_engines(size, Disks::Filled) {
        planner.heard(engine.entry(), now);
        planner.reported(&engine.id, Some(engine.report()), now);
    }
    planner
}

impl Run {
    /// A run that has not begun.
    pub fn new(size: FleetSize, policy: PolicyName, disks: Disks, seed: u64) -> Self {
        let begun_at = Instant::now();
        let mut planner = Planner::new(USUAL_LOAD_WINDOW, policy.policy());
        planner.set_table(&size.table());
        let mut engines = first_engines(&size, disks);
        for engine in &mut engines {
            planner.heard(engine.entry(), begun_at);
        }
        planner.begin_term(begun_at);
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

    fn now(&self) -> Instant {
        self.begun_at + Duration::from_millis(self.now_ms)
    }

    /// Runs for so long.
    pub fn run(mut self, seconds: u64) -> Outcome {
        while self.now_ms < seconds * 1_000 {
            self.step();
        }
        let places = as_f64(self.size.engines * PLACES);
        let whole_ms = Duration::from_millis(self.now_ms).as_secs_f64() * 1_000.0;
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
        self.tell();
        self.decide();
        self.start_runs();
        self.count_idle();
    }

    fn served(&mut self, is_busy: bool) -> &mut Served {
        if is_busy {
            &mut self.outcome.busy
        } else {
            &mut self.outcome.rare
        }
    }

    /// Which model is the busiest now; the others follow it.
    fn first_busy(&self) -> usize {
        usize::try_from(self.now_ms / SHIFT_MS).unwrap_or(0)
    }

    fn draw_busy(&mut self) -> usize {
        let mut rank = 0;
        while rank + 1 < self.size.busy && self.rng.random_bool(BUSY_FALL) {
            rank += 1;
        }
        (self.first_busy() + rank) % self.size.models
    }

    fn arrive(&mut self) {
        let step_s = Duration::from_millis(STEP_MS).as_secs_f64();
        for (is_busy, per_s) in [(true, self.size.busy_per_s), (false, self.size.rare_per_s)] {
            let mut left = per_s * step_s;
            while left > 0.0 {
                if self.rng.random_bool(left.min(1.0)) {
                    self.arrive_one(is_busy);
                }
                left -= 1.0;
            }
        }
    }

    fn arrive_one(&mut self, is_busy: bool) {
        let model = if is_busy {
            self.draw_busy()
        } else {
            self.rng.random_range(self.size.busy..self.size.models)
        };
        self.served(is_busy).asked += 1;
        let waiting = Waiting {
            since_ms: self.now_ms,
            told_ms: 0,
            is_busy,
        };
        self.waiting.entry(model).or_default().push_back(waiting);
        let now = self.now();
        let (service, wish) = (FleetSize::service(), wish(model));
        self.planner.taken(&service, &wish, 1, now);
    }

    fn end_runs(&mut self) {
        while self.ends.front().is_some_and(|(at, ..)| *at <= self.now_ms) {
            if let Some((_, engine, model)) = self.ends.pop_front()
                && let Some(runs) = self.engines[engine].resident.get_mut(&model)
            {
                *runs -= 1;
            }
        }
    }

    fn progress(&mut self) {
        let loads = self.engines.iter().filter(|e| e.loads_from_store()).count();
        let speed = as_f64(FULL_SPEED_LOADS) / as_f64(loads.max(FULL_SPEED_LOADS));
        let now = self.now();
        let step_ms = Duration::from_millis(STEP_MS).as_secs_f64() * 1_000.0;
        for engine in &mut self.engines {
            if engine.progress(step_ms, speed).is_some() {
                self.planner.heard(engine.entry(), now);
            }
        }
    }

    fn give_up(&mut self) {
        let now_ms = self.now_ms;
        let mut refused = Vec::new();
        for queue in self.waiting.values_mut() {
            queue.retain(|waiting| {
                let longest = if waiting.is_busy {
                    BUSY_WAIT_MS
                } else {
                    RARE_WAIT_MS
                };
                let waits = now_ms < waiting.since_ms + longest;
                if !waits {
                    refused.push(waiting.is_busy);
                }
                waits
            });
        }
        self.waiting.retain(|_, queue| !queue.is_empty());
        for is_busy in refused {
            self.served(is_busy).refused += 1;
        }
    }

    /// Tells the planner what waits for a model that stands nowhere.
    fn tell(&mut self) {
        let (now, now_ms) = (self.now(), self.now_ms);
        for (model, queue) in &mut self.waiting {
            let Some(first) = queue.front_mut() else {
                continue;
            };
            if first.told_ms > 0 && now_ms < first.told_ms + TELL_MS {
                continue;
            }
            let stands = self.engines.iter().any(|engine| {
                let placed = self.placed.get(&engine.id);
                let closing = placed.is_some_and(|p| p.closing.contains(&wish(*model).model));
                engine.resident.contains_key(&wish(*model).model) && !closing
            });
            if stands {
                continue;
            }
            first.told_ms = now_ms;
            let until = now + Duration::from_millis(RARE_WAIT_MS);
            self.planner
                .needed(&FleetSize::service(), &wish(*model), until, now);
        }
    }

    fn decide(&mut self) {
        let now = self.now();
        let mut runs = Vec::new();
        for engine in &self.engines {
            for (model, count) in engine.resident.iter().filter(|(_, count)| **count > 0) {
                runs.push((engine.id.clone(), model.clone(), *count));
            }
        }
        self.planner.running(&"all".into(), &runs);
        for action in self.planner.decide(now) {
            match action {
                Action::Ask { engine, .. } => {
                    let report = self.engines[self.by_id[&engine]].report();
                    self.planner.reported(&engine, Some(report), now);
                }
                Action::Order(order) => {
                    let engine = &mut self.engines[self.by_id[&order.engine]];
                    let answer = engine.take(&order);
                    let source = engine.busy.as_ref().map(|busy| busy.source);
                    self.planner.answered(&order, answer, now);
                    self.outcome.orders += 1;
                    if order.action == OrderAction::Load {
                        let from_store = source == Some(Source::Store);
                        self.outcome.store_loads += usize::from(from_store);
                        self.outcome.near_loads += usize::from(!from_store);
                    }
                }
            }
        }
        for placement in self.planner.take_changed() {
            self.placed.insert(placement.engine.clone(), placement);
        }
    }

    /// The engine with the model that runs least.
    fn engine_for(&self, model: &ModelName) -> Option<usize> {
        let engines = self.engines.iter().enumerate();
        let having = engines.filter(|(_, engine)| {
            let placed = self.placed.get(&engine.id);
            let closing = placed.is_some_and(|p| p.closing.contains(model));
            engine.resident.contains_key(model) && engine.has_room() && !closing
        });
        let least = having.min_by_key(|(_, engine)| engine.running());
        least.map(|(index, _)| index)
    }

    fn start_runs(&mut self) {
        let models: Vec<usize> = self.waiting.keys().copied().collect();
        for number in models {
            let model = FleetSize::model(number);
            while let Some(index) = self.engine_for(&model) {
                let queue = self.waiting.get_mut(&number);
                let Some(waiting) = queue.and_then(VecDeque::pop_front) else {
                    break;
                };
                *self.engines[index]
                    .resident
                    .entry(model.clone())
                    .or_default() += 1;
                self.ends
                    .push_back((self.now_ms + RUN_MS, index, model.clone()));
                let first_ms = self.now_ms - waiting.since_ms + FIRST_TOKEN_MS;
                let aim_ms = if waiting.is_busy {
                    BUSY_AIM_MS
                } else {
                    RARE_AIM_MS
                };
                let served = self.served(waiting.is_busy);
                served.in_aim += usize::from(first_ms <= aim_ms);
                served.times_ms.push(first_ms);
            }
        }
    }

    fn count_idle(&mut self) {
        let idle: usize = self
            .engines
            .iter()
            .map(|engine| engine.resident.values().filter(|runs| **runs == 0).count())
            .sum();
        let step_ms = Duration::from_millis(STEP_MS).as_secs_f64() * 1_000.0;
        self.idle_ms += step_ms * as_f64(idle);
    }
}
