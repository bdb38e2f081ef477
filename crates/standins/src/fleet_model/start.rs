//! The engines as a run finds them, and a planner that knows them.

use super::engine::Engine;
use super::size::{FleetSize, RESIDENT_MODELS};
use passway_serving::placement::policy::PolicyName;
use passway_serving::placement::{DEFAULT_LOAD_WINDOW, Planner};
use passway_types::prelude::*;

/// What engines' disks hold at the start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InitialDisks {
    /// Only what stands on the engine.
    Empty,
    /// Each model on two engines, as far as the disks go.
    Filled,
}

/// Models on an engine's disk beside those that stand there.
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

/// Engines as they start: busy models on many, each other model on one, as far as
/// there is room.
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

/// A planner that knows the engines of a size and has asked each for its state.
pub fn warm_planner(size: &FleetSize, policy: PolicyName, now: Instant) -> Planner {
    let mut planner = Planner::new(DEFAULT_LOAD_WINDOW, policy.build());
    planner.set_table(&size.table());
    for engine in &mut initial_engines(size, InitialDisks::Filled) {
        planner.update_engine(engine.entry(), now);
        planner.apply_report(&engine.id, Some(engine.report()), now);
    }
    planner
}
