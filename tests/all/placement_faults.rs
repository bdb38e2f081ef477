//! Randomized fault runs of the placement decisions in virtual time. They check that orders never
//! overfill an engine and that loads stay below the weight store's limit.
//!
//! Orders are lost and carried out seconds late, reports lag, older entries of engines arrive
//! again, engines restart empty, and holders succeed each other while orders are still on their
//! way. `PASSWAY_FAULT_RUNS` sets the number of runs, `PASSWAY_FAULT_SEED` the first seed.

mod engine;
mod scenario;

use crate::support::FaultRuns;
use engine::Engine;
use passway_serving::placement::policy::PolicyName;
use passway_serving::placement::{Action, DEFAULT_LOAD_WINDOW, PlannedOrder, Planner, Waiters};
use passway_serving::ports::OrderAnswer;
use passway_serving::upstreams::ModelRef;
use passway_types::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use scenario::Scenario;
use std::collections::BTreeSet;

const DEFAULT_RUNS: u64 = 150;
const STEPS: u32 = 400;
const STEP: Duration = Duration::from_millis(50);
const ENGINES: usize = 3;
/// Window over which loads from the weight store are counted.
const LOAD_WINDOW: Duration = DEFAULT_LOAD_WINDOW;
/// Maximum number of loads that may begin in one window (users' rules: a tenth plus three above the
/// limit).
const MAX_WINDOW_LOADS: usize = 6;

struct Simulation {
    rng: ChaCha8Rng,
    now: Instant,
    step: u32,
    engines: Vec<Engine>,
    /// Orders that are carried out later, with their steps.
    delayed_orders: Vec<(u32, PlannedOrder)>,
    planner: Planner,
    started_engines: u32,
    /// Limits that orders have violated.
    violations: Vec<String>,
    taken_orders: u32,
    scenario: Scenario,
    /// Start times of loads from the weight store.
    store_load_starts: Vec<Instant>,
    /// Delay of engines' entries on the way to the holder.
    entry_delay_steps: u32,
    /// Engines with unconfirmed orders, as the holder published them before it sent its last
    /// orders.
    unconfirmed: BTreeSet<UpstreamId>,
}

impl Simulation {
    fn new(seed: u64, scenario: Scenario) -> Self {
        let mut simulation = Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: Instant::now(),
            step: 0,
            engines: Vec::new(),
            delayed_orders: Vec::new(),
            planner: Planner::new(DEFAULT_LOAD_WINDOW, PolicyName::Balanced.build()),
            started_engines: 0,
            violations: Vec::new(),
            taken_orders: 0,
            scenario,
            store_load_starts: Vec::new(),
            entry_delay_steps: 0,
            unconfirmed: BTreeSet::new(),
        };
        simulation.planner.set_table(&scenario.table());
        for _ in 0..ENGINES {
            simulation.add_engine(BTreeSet::new());
        }
        simulation
            .planner
            .begin_term(std::iter::empty(), &BTreeSet::new(), simulation.now);
        simulation
    }

    fn add_engine(&mut self, on_disk: BTreeSet<ModelName>) {
        self.started_engines += 1;
        let mut engine = Engine::new(self.started_engines, on_disk);
        self.planner.update_engine(engine.entry(), self.now);
        self.engines.push(engine);
    }

    /// Replaces the holder by a successor that knows the entries in the store.
    fn replace_holder(&mut self) {
        self.planner = Planner::new(DEFAULT_LOAD_WINDOW, PolicyName::Balanced.build());
        self.planner.set_table(&self.scenario.table());
        for engine in &self.engines {
            if let Some(entry) = engine.sent_entries.last() {
                self.planner.update_engine(entry.clone(), self.now);
            }
        }
        self.planner
            .begin_term(std::iter::empty(), &self.unconfirmed, self.now);
    }

    /// Restarts an engine under its id or another one. Its disk stays, unless another machine
    /// replaces the engine.
    fn restart_engine(&mut self, index: usize) {
        if self.rng.random_bool(0.5) {
            let engine = &mut self.engines[index];
            engine.restart(self.step);
            engine.send_entry(self.step, self.entry_delay_steps);
            return;
        }
        let removed = self.engines.remove(index);
        let is_disk_lost = self.scenario == Scenario::StoreLimit && self.rng.random_bool(0.7);
        self.add_engine(if is_disk_lost {
            BTreeSet::new()
        } else {
            removed.state.on_disk
        });
        let ids = self
            .engines
            .iter()
            .map(|engine| engine.id.clone())
            .collect();
        self.planner.retain(&ids);
    }

    /// Carries an order out on its engine.
    fn execute(&mut self, order: &PlannedOrder) -> OrderAnswer {
        let run_steps = self.rng.random_range(0..30);
        let Some(engine) = self.engines.iter_mut().find(|e| e.id == order.engine) else {
            return OrderAnswer::OtherIncarnation;
        };
        let effect = engine.state.handle_order(order, run_steps, self.step);
        self.taken_orders += u32::from(effect.is_counted);
        if effect.is_store_load {
            self.store_load_starts.push(self.now);
        }
        effect.answer
    }

    /// Checks an order that arrives at an engine against the engine's limits, whether or not the
    /// engine then takes the order.
    fn check_limits(&mut self, order: &PlannedOrder) {
        let engine = self.engines.iter().find(|e| e.id == order.engine);
        let violation = engine.and_then(|engine| engine.state.violated_limit(order));
        self.violations.extend(violation);
    }

    /// Completes what is due on the engines. They publish it in entries that may arrive late or
    /// twice.
    fn advance_engines(&mut self) {
        if self.rng.random_bool(0.02) {
            // The store or the holder's watch is slow.
            self.entry_delay_steps = self.rng.random_range(0..60);
        }
        if self.rng.random_bool(0.1) {
            self.entry_delay_steps = 0;
        }
        for engine in &mut self.engines {
            if engine.advance(self.step) && self.rng.random_bool(0.8) {
                engine.send_entry(self.step, self.entry_delay_steps);
            }
            for entry in engine.take_arrived_entries(self.step) {
                self.planner.update_engine(entry, self.now);
            }
        }
        if self.rng.random_bool(0.1) {
            let index = self.rng.random_range(0..self.engines.len());
            let sent_entries = &self.engines[index].sent_entries;
            let older = sent_entries[self.rng.random_range(0..sent_entries.len())].clone();
            self.planner.update_engine(older, self.now);
        }
    }

    fn run_planner(&mut self) {
        let actions = self.planner.decide(self.now);
        self.unconfirmed = self
            .planner
            .unconfirmed_engines(self.now)
            .cloned()
            .collect();
        for action in actions {
            match action {
                Action::Order(order) => {
                    let delivery = self.rng.random_range(0..12);
                    if delivery != 2 {
                        self.check_limits(&order);
                    }
                    let answer = match delivery {
                        0 => {
                            let delay = self.rng.random_range(1..160);
                            self.delayed_orders.push((self.step + delay, order.clone()));
                            OrderAnswer::Lost
                        }
                        1 => {
                            self.execute(&order);
                            OrderAnswer::Lost
                        }
                        2 => OrderAnswer::NotSent,
                        _ => self.execute(&order),
                    };
                    self.planner.apply_answer(&order, answer, self.now);
                }
                Action::Ask { engine, .. } => {
                    let is_lost = self.rng.random_bool(0.15);
                    let queried = self.engines.iter().find(|e| e.id == engine);
                    let report = queried.filter(|_| !is_lost).map(Engine::report);
                    self.planner.apply_report(&engine, report, self.now);
                }
            }
        }
    }

    /// Maximum number of loads from the weight store that began within one window.
    fn max_store_loads_in_window(&self) -> usize {
        let counts = self.store_load_starts.iter().map(|begun_at| {
            let until = *begun_at + LOAD_WINDOW;
            let within = |at: &&Instant| **at >= *begun_at && **at <= until;
            self.store_load_starts.iter().filter(within).count()
        });
        counts.max().unwrap_or(0)
    }

    fn run(&mut self) {
        for _ in 0..STEPS {
            self.step += 1;
            self.now += STEP;
            let due = self
                .delayed_orders
                .extract_if(.., |(at, _)| *at <= self.step);
            for (_, order) in due.collect::<Vec<_>>() {
                self.execute(&order);
            }
            self.advance_engines();
            if self.rng.random_bool(0.3) {
                self.add_request();
            }
            self.inject_faults();
            self.run_planner();
        }
    }

    /// Adds a waiting request for a random model or adapter.
    fn add_request(&mut self) {
        let models = self.scenario.models();
        let model = models[self.rng.random_range(0..models.len())];
        let adapter = self.rng.random_bool(0.4).then(|| {
            let number = self.rng.random_range(1..4);
            AdapterName::from(format!("a{number}").as_str())
        });
        let model_ref = ModelRef {
            model: model.into(),
            adapter,
        };
        let latest_deadline = self.now + Duration::from_secs(4);
        let waiters = Waiters {
            instance: "one".into(),
            service: "engines".into(),
            model_ref: model_ref.clone(),
            required_software: None,
            count: 1,
            latest_deadline,
        };
        self.planner.set_waiters(waiters, self.now);
        self.planner
            .record_arrivals(&"engines".into(), &model_ref, 1, self.now);
    }

    /// Replaces the holder or restarts an engine, at random.
    fn inject_faults(&mut self) {
        // A new holder assumes a full window of unknown loads, so frequent successions would leave
        // few loads to check.
        let handover_probability = if self.scenario == Scenario::StoreLimit {
            0.003
        } else {
            0.01
        };
        if self.rng.random_bool(handover_probability) {
            self.replace_holder();
        }
        if self.rng.random_bool(0.01) {
            let index = self.rng.random_range(0..self.engines.len());
            self.restart_engine(index);
        }
    }
}

#[test]
fn placement_under_faults() {
    let runs = FaultRuns::from_environment(DEFAULT_RUNS);
    let mut orders = 0;
    for seed in runs.seeds() {
        let mut simulation = Simulation::new(seed, Scenario::Memory);
        simulation.run();
        assert!(
            simulation.violations.is_empty(),
            "seed {seed}: {:?}",
            simulation.violations
        );
        orders += simulation.taken_orders;
    }
    println!("{} runs, {orders} orders taken, 0 over a limit", runs.count);
    assert!(
        u64::from(orders) > 20 * runs.count,
        "too few orders to prove anything: {orders}"
    );
}

#[test]
fn store_limit_respected() {
    let runs = FaultRuns::from_environment(DEFAULT_RUNS);
    let mut loads = 0;
    for seed in runs.seeds() {
        let mut simulation = Simulation::new(seed, Scenario::StoreLimit);
        simulation.run();
        let max_loads = simulation.max_store_loads_in_window();
        assert!(
            max_loads <= MAX_WINDOW_LOADS,
            "seed {seed}: {max_loads} loads in one window"
        );
        assert!(
            simulation.violations.is_empty(),
            "seed {seed}: {:?}",
            simulation.violations
        );
        loads += simulation.store_load_starts.len();
    }
    println!(
        "{} runs, {loads} loads from the weight store, 0 over its limit",
        runs.count
    );
    // Half of what the limit allows in 20 s: a planner that loads nothing must not pass.
    let min_loads = usize::try_from(runs.count).unwrap_or(usize::MAX) * 6;
    assert!(
        loads > min_loads,
        "only {loads} loads in {} runs",
        runs.count
    );
}
