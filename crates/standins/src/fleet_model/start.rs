//! The engines as a run finds them, and a planner that knows them.

use super::engine::Engine;
use super::size::{FleetSize, PLACES};
use passway_serving::placement::policy::PolicyName;
use passway_serving::placement::{DEFAULT_LOAD_WINDOW, Planner};
use passway_types::prelude::*;

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
pub(super) fn first_engines(size: &FleetSize, disks: Disks) -> Vec<Engine> {
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
    let mut planner = Planner::new(DEFAULT_LOAD_WINDOW, policy.build());
    planner.set_table(&size.table());
    for engine in &mut first_engines(size, Disks::Filled) {
        planner.update_engine(engine.entry(), now);
        planner.apply_report(&engine.id, Some(engine.report()), now);
    }
    planner
}
