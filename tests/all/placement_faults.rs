//! Orders never overfill an engine and loads stay under the weight store's ceiling, under
//! faults drawn at random against the decisions, in virtual time.
//!
//! Orders are lost and carried out seconds late, reports lag, older words of engines come
//! again, engines restart empty, and holders follow one another with orders still on their
//! way. `PASSWAY_FAULT_RUNS` sets the number of runs, `PASSWAY_FAULT_SEED` the first seed.

use crate::site;
use crate::support::from_environment;
use passway_serving::placement::policy::PolicyName;
use passway_serving::placement::{Action, PlannedOrder, Planner, USUAL_LOAD_WINDOW};
use passway_serving::ports::{Directory, EngineReport, OrderAction, OrderAnswer, StoredValue};
use passway_serving::routes::RouteTable;
use passway_serving::upstreams::{ModelWish, ResidentModel, UpstreamEntry};
use passway_types::prelude::*;
use passway_users_platform::PlatformDirectory;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeSet, VecDeque};

const DEFAULT_RUNS: u64 = 150;
const STEPS: u32 = 400;
const STEP: Duration = Duration::from_millis(50);
const ENGINES: usize = 3;
const MODELS: [&str; 6] = ["m0", "m1", "m2", "m3", "m4", "m5"];
/// Models that fit on an engine, and adapters, as `site::configuration` says.
const PLACES: usize = 2;
const ADAPTER_PLACES: usize = 2;
/// How old a report's state is.
const REPORT_LAG_STEPS: usize = 4;
/// Models of the runs against the weight store's ceiling: more than fit on the disks soon.
const MANY_MODELS: [&str; 14] = [
    "m0", "m1", "m2", "m3", "m4", "m5", "m6", "m7", "m8", "m9", "m10", "m11", "m12", "m13",
];
/// The ceiling of those runs: loads a second, and the span over which they are counted.
const LOADS_PER_S: f64 = 0.6;
const CEILING_WINDOW: Duration = USUAL_LOAD_WINDOW;
/// Most loads that may begin in one such span (users' rules: a tenth and three over).
const CEILING_LOADS: usize = 6;

/// What a run is about.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Matter {
    /// Accelerator memory and adapter places.
    Memory,
    /// The weight store's ceiling: loads are short, and disks are lost with their engines.
    Ceiling,
}

impl Matter {
    fn models(self) -> &'static [&'static str] {
        match self {
            Self::Memory => &MODELS,
            Self::Ceiling => &MANY_MODELS,
        }
    }

    fn table(self) -> RouteTable {
        let mut file = site::configuration(1, self.models());
        if self == Self::Ceiling {
            file["services"][1]["engine"]["loads_per_s"] = LOADS_PER_S.into();
        }
        let value = StoredValue {
            key: "op/config".into(),
            value: file.to_string().into(),
            revision: 1,
        };
        let table = PlatformDirectory.configuration(&value).expect("decoded");
        table.expect("a configuration")
    }
}

#[derive(Debug, Clone, Default)]
struct State {
    models: Vec<ResidentModel>,
    on_disk: BTreeSet<ModelName>,
    taken: u64,
    /// The model order under way and the step at which it is done.
    busy: Option<(PlannedOrder, u32)>,
    /// Adapters that leave when their run ends.
    leaving: Vec<(ModelWish, u32)>,
}

struct Engine {
    id: UpstreamId,
    state: State,
    history: VecDeque<State>,
    beat: u64,
    told: Vec<UpstreamEntry>,
}

struct World {
    rng: ChaCha8Rng,
    now: Instant,
    step: u32,
    engines: Vec<Engine>,
    /// Orders that are carried out later.
    late: Vec<(u32, PlannedOrder)>,
    planner: Planner,
    incarnations: u32,
    over: Vec<String>,
    orders: u32,
    matter: Matter,
    /// When loads from the weight store began.
    store_loads: Vec<Instant>,
}

fn adapters(state: &State) -> usize {
    state.models.iter().map(|model| model.adapters.len()).sum()
}

impl Engine {
    fn new(number: u32, on_disk: BTreeSet<ModelName>) -> Self {
        Self {
            id: format!("i-{number}").into(),
            state: State {
                on_disk,
                ..State::default()
            },
            history: VecDeque::new(),
            beat: 0,
            told: Vec::new(),
        }
    }

    fn entry(&mut self) -> UpstreamEntry {
        self.beat += 1;
        let entry = UpstreamEntry {
            id: self.id.clone(),
            service: "engines".into(),
            address: ([127, 0, 0, 1], 9).into(),
            hall: "hall0".into(),
            slots: 8,
            draining: false,
            gone_at: None,
            models: self.state.models.clone(),
            in_memory: Vec::new(),
            on_disk: self.state.on_disk.iter().cloned().collect(),
            beat: self.beat,
        };
        self.told.push(entry.clone());
        entry
    }

    /// The state that a report shows: some steps old.
    fn report(&self) -> EngineReport {
        let state = self.history.front().unwrap_or(&self.state);
        EngineReport {
            models: state.models.clone(),
            busy: state.busy.is_some(),
            orders_taken: state.taken,
            in_memory: Vec::new(),
            on_disk: state.on_disk.iter().cloned().collect(),
        }
    }
}

impl World {
    fn new(seed: u64, matter: Matter) -> Self {
        let mut world = Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: Instant::now(),
            step: 0,
            engines: Vec::new(),
            late: Vec::new(),
            planner: Planner::new(USUAL_LOAD_WINDOW, PolicyName::Balanced.policy()),
            incarnations: 0,
            over: Vec::new(),
            orders: 0,
            matter,
            store_loads: Vec::new(),
        };
        world.planner.set_table(&matter.table());
        for _ in 0..ENGINES {
            world.add_engine(BTreeSet::new());
        }
        world.planner.begin_term(world.now);
        world
    }

    fn add_engine(&mut self, on_disk: BTreeSet<ModelName>) {
        self.incarnations += 1;
        let mut engine = Engine::new(self.incarnations, on_disk);
        self.planner.heard(engine.entry(), self.now);
        self.engines.push(engine);
    }

    /// A successor that knows what lies in the store.
    fn change_holder(&mut self) {
        self.planner = Planner::new(USUAL_LOAD_WINDOW, PolicyName::Balanced.policy());
        self.planner.set_table(&self.matter.table());
        for engine in &self.engines {
            if let Some(entry) = engine.told.last() {
                self.planner.heard(entry.clone(), self.now);
            }
        }
        self.planner.begin_term(self.now);
    }

    /// An engine restarts under another id; its disk stays, unless another machine
    /// takes its place.
    fn restart(&mut self, which: usize) {
        let gone = self.engines.remove(which);
        let replaced = self.matter == Matter::Ceiling && self.rng.random_bool(0.7);
        self.add_engine(if replaced {
            BTreeSet::new()
        } else {
            gone.state.on_disk
        });
        let ids = self
            .engines
            .iter()
            .map(|engine| engine.id.clone())
            .collect();
        self.planner.retain(&ids);
    }

    /// What an engine does with an order.
    fn carry_out(&mut self, order: &PlannedOrder) -> OrderAnswer {
        let step = self.step;
        let run = self.rng.random_range(0..30);
        let Some(engine) = self.engines.iter_mut().find(|e| e.id == order.engine) else {
            return OrderAnswer::OtherIncarnation;
        };
        let state = &mut engine.state;
        if state.taken != order.expected_orders || state.busy.is_some() {
            return OrderAnswer::Conflict;
        }
        state.taken += 1;
        self.orders += 1;
        let is_load = order.action == OrderAction::Load;
        if let Some(adapter) = &order.wish.adapter {
            let used = run < 8;
            let held = state
                .leaving
                .iter()
                .filter(|(w, _)| w.adapter.is_some())
                .count();
            let Some(model) = state.models.iter_mut().find(|m| m.name == order.wish.model) else {
                return OrderAnswer::Refused;
            };
            if is_load && model.adapters.contains(adapter) {
                // It holds already and counts as no order.
                state.taken -= 1;
                return OrderAnswer::Done;
            }
            if is_load {
                model.adapters.push(adapter.clone());
                if adapters(state) > ADAPTER_PLACES {
                    self.over
                        .push(format!("adapters: {order:?}, {held} leaving"));
                }
                return OrderAnswer::Taken;
            }
            if used {
                state.leaving.push((order.wish.clone(), step + 10));
                return OrderAnswer::Taken;
            }
            model.adapters.retain(|name| name != adapter);
            return OrderAnswer::Done;
        }
        if is_load {
            if state.models.len() >= PLACES {
                self.over.push(format!("models: {order:?}"));
            }
            let from_store = !state.on_disk.contains(&order.wish.model);
            if from_store {
                self.store_loads.push(self.now);
            }
            let steps = if from_store { 4 } else { 1 };
            state.busy = Some((order.clone(), step + steps));
        } else {
            // Runs hold an unload up.
            state.busy = Some((order.clone(), step + 1 + run / 3));
        }
        OrderAnswer::Taken
    }

    /// Ends what is due on the engines; they say so, at times late or twice.
    fn progress(&mut self) {
        let step = self.step;
        let mut changed = Vec::new();
        for (number, engine) in self.engines.iter_mut().enumerate() {
            let state = &mut engine.state;
            if let Some((order, _)) = state.busy.take_if(|(_, at)| *at <= step) {
                state.models.retain(|m| m.name != order.wish.model);
                if order.action == OrderAction::Load {
                    state.on_disk.insert(order.wish.model.clone());
                    state.models.push(ResidentModel {
                        name: order.wish.model,
                        adapters: Vec::new(),
                    });
                }
                changed.push(number);
            }
            let models = &mut state.models;
            state.leaving.retain(|(wish, at)| {
                if *at > step {
                    return true;
                }
                for model in models.iter_mut().filter(|m| m.name == wish.model) {
                    model
                        .adapters
                        .retain(|name| Some(name) != wish.adapter.as_ref());
                }
                false
            });
            engine.history.push_back(engine.state.clone());
            if engine.history.len() > REPORT_LAG_STEPS {
                engine.history.pop_front();
            }
        }
        for number in changed {
            let entry = self.engines[number].entry();
            if self.rng.random_bool(0.8) {
                self.planner.heard(entry, self.now);
            }
        }
        if self.rng.random_bool(0.1) {
            let number = self.rng.random_range(0..self.engines.len());
            let told = &self.engines[number].told;
            let older = told[self.rng.random_range(0..told.len())].clone();
            self.planner.heard(older, self.now);
        }
    }

    fn act(&mut self) {
        for action in self.planner.decide(self.now) {
            match action {
                Action::Order(order) => {
                    let answer = match self.rng.random_range(0..12) {
                        0 => {
                            let delay = self.rng.random_range(1..160);
                            self.late.push((self.step + delay, order.clone()));
                            OrderAnswer::Lost
                        }
                        1 => {
                            self.carry_out(&order);
                            OrderAnswer::Lost
                        }
                        2 => OrderAnswer::NotSent,
                        _ => self.carry_out(&order),
                    };
                    self.planner.answered(&order, answer, self.now);
                }
                Action::Ask { engine, .. } => {
                    let lost = self.rng.random_bool(0.15);
                    let found = self.engines.iter().find(|e| e.id == engine);
                    let report = found.filter(|_| !lost).map(Engine::report);
                    self.planner.reported(&engine, report, self.now);
                }
            }
        }
    }

    /// Most loads from the weight store that began in one span.
    fn most_store_loads(&self) -> usize {
        let spans = self.store_loads.iter().map(|begun_at| {
            let until = *begun_at + CEILING_WINDOW;
            let within = |at: &&Instant| **at >= *begun_at && **at <= until;
            self.store_loads.iter().filter(within).count()
        });
        spans.max().unwrap_or(0)
    }

    fn run(&mut self) {
        for _ in 0..STEPS {
            self.step += 1;
            self.now += STEP;
            let due = self.late.extract_if(.., |(at, _)| *at <= self.step);
            for (_, order) in due.collect::<Vec<_>>() {
                self.carry_out(&order);
            }
            self.progress();
            if self.rng.random_bool(0.3) {
                let models = self.matter.models();
                let model = models[self.rng.random_range(0..models.len())];
                let adapter = self.rng.random_bool(0.4).then(|| {
                    let number = self.rng.random_range(1..4);
                    AdapterName::from(format!("a{number}").as_str())
                });
                let wish = ModelWish {
                    model: model.into(),
                    adapter,
                };
                let until = self.now + Duration::from_secs(4);
                self.planner
                    .needed(&"engines".into(), &wish, until, self.now);
                self.planner.taken(&"engines".into(), &wish, 1, self.now);
            }
            // A successor leaves a window free for loads that it does not know of.
            let successions = if self.matter == Matter::Ceiling {
                0.003
            } else {
                0.01
            };
            if self.rng.random_bool(successions) {
                self.change_holder();
            }
            if self.rng.random_bool(0.01) {
                let which = self.rng.random_range(0..self.engines.len());
                self.restart(which);
            }
            self.act();
        }
    }
}

#[test]
fn placement_under_faults() {
    let runs = from_environment("PASSWAY_FAULT_RUNS", DEFAULT_RUNS);
    let first = from_environment("PASSWAY_FAULT_SEED", 1);
    let mut orders = 0;
    for seed in first..first + runs {
        let mut world = World::new(seed, Matter::Memory);
        world.run();
        assert!(world.over.is_empty(), "seed {seed}: {:?}", world.over);
        orders += world.orders;
    }
    println!("{runs} runs, {orders} orders taken, 0 over a limit");
    assert!(
        u64::from(orders) > 20 * runs,
        "too few orders to prove anything: {orders}"
    );
}

#[test]
fn store_ceiling_kept() {
    let runs = from_environment("PASSWAY_FAULT_RUNS", DEFAULT_RUNS);
    let first = from_environment("PASSWAY_FAULT_SEED", 1);
    let mut loads = 0;
    for seed in first..first + runs {
        let mut world = World::new(seed, Matter::Ceiling);
        world.run();
        let most = world.most_store_loads();
        assert!(most <= CEILING_LOADS, "seed {seed}: {most} loads at once");
        assert!(world.over.is_empty(), "seed {seed}: {:?}", world.over);
        loads += world.store_loads.len();
    }
    println!("{runs} runs, {loads} loads from the weight store, 0 over its ceiling");
    // Half of what the ceiling allows in 20 s, so that it is not kept by loading nothing.
    let fair = usize::try_from(runs).unwrap_or(usize::MAX) * 6;
    assert!(loads > fair, "only {loads} loads in {runs} runs");
}
