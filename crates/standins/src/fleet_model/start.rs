//! The initial state of the engines, and a planner that knows this state.

use super::engine::Engine;
use super::size::{FleetSize, RESIDENT_MODELS};
use passway_serving::placement::policy::PolicyName;
use passway_serving::placement::{DEFAULT_LOAD_WINDOW, Planner};
use passway_types::prelude::*;

/// Initial contents of the engines' disks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InitialDisks {
    /// Only the resident models of the engine.
    Empty,
    /// Also each model on two engines, up to the capacity of the disks.
    Filled,
}

/// Returns the models on an engine's disk in addition to its resident models.
fn initial_disk_models(size: &FleetSize, engine: usize, disks: InitialDisks) -> Vec<ModelName> {
    if disks == InitialDisks::Empty {
        return Vec::new();
    }
    let has_copy = |model: &usize| {
        let first_engine = model % size.engines;
        let second_engine = (first_engine + size.engines / 2) % size.engines;
        engine == first_engine || engine == second_engine
    };
    (0..size.models)
        .filter(has_copy)
        .map(FleetSize::model)
        .collect()
}

/// Returns the initial engines: one busy model on each, in rotation, and each other model on one
/// engine while model slots are free.
pub(super) fn initial_engines(size: &FleetSize, disks: InitialDisks) -> Vec<Engine> {
    let busy_model = |number| vec![FleetSize::model(number % size.busy_models)];
    let mut models_by_engine: Vec<Vec<ModelName>> = (0..size.engines).map(busy_model).collect();
    let free_model_slots = size.engines * (RESIDENT_MODELS - 1);
    let others = (size.busy_models..size.models).take(free_model_slots);
    for (number, model) in others.enumerate() {
        models_by_engine[number % size.engines].push(FleetSize::model(model));
    }
    let mut engines = Vec::new();
    for (number, models) in models_by_engine.iter().enumerate() {
        let cached = initial_disk_models(size, number, disks);
        engines.push(Engine::new(number, size.slots, models, &cached));
    }
    engines
}

/// Returns a planner that knows all engines of a size and has received a status report of each.
pub fn warm_planner(size: &FleetSize, policy: PolicyName, now: Instant) -> Planner {
    let mut planner = Planner::new(DEFAULT_LOAD_WINDOW, policy.build());
    planner.set_table(&size.table());
    for engine in &mut initial_engines(size, InitialDisks::Filled) {
        planner.update_engine(engine.entry(), now);
        planner.apply_report(&engine.id, Some(engine.report()), now);
    }
    planner
}
