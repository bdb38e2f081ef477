//! Randomized fault test of a cell: replica counts and memory must stay exact while controllers,
//! engines and the key-value service fail.
//!
//! `PASSWAY_FAULT_RUNS` sets the number of runs and `PASSWAY_FAULT_SEED` the first seed.

use crate::cell_world::{CellWorld, FaultChances};
use crate::support::FaultRuns;
use passway_config::Document;
use passway_config::document::{
    AdapterEntry, Fencing, KeepEntry, KeepPolicyName, ModelEntry, UpstreamEntry, WorkspaceEntry,
};
use passway_decide::cell::upstreams::ListingState;
use passway_types::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const DEFAULT_RUNS: u64 = 1_000;
const NODES: usize = 3;
const MODELS: usize = 5;
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(30);

/// Three engines, five models and two adapters; each engine has memory for two models and both
/// adapters.
fn document(rng: &mut ChaCha8Rng) -> Document {
    let upstreams = (0..3).map(|number| UpstreamEntry {
        id: format!("engine{number}"),
        address: format!("10.0.1.{}:8000", number + 1),
        data_hall: "hall".into(),
        memory_mb: 24,
        slots: 4,
        fencing: [Fencing::Ignores, Fencing::Forgets, Fencing::Keeps][rng.random_range(0..3)],
        ..UpstreamEntry::default()
    });
    let upstreams = upstreams.collect();
    let models = (0..MODELS).map(|number| ModelEntry {
        name: format!("m{number}"),
        size_mb: 10,
        max_replicas: 1 + u32::from(number == 0),
        ..ModelEntry::default()
    });
    let adapters = (0..2).map(|number| AdapterEntry {
        name: format!("a{number}"),
        base: format!("m{number}@1"),
        size_mb: 2,
        ..AdapterEntry::default()
    });
    Document {
        workspaces: vec![WorkspaceEntry {
            name: "default".into(),
            ..WorkspaceEntry::default()
        }],
        models: models.collect(),
        adapters: adapters.collect(),
        upstreams,
        keep: KeepEntry {
            policy: KeepPolicyName::Fixed,
            max_idle_ms: rng.random_range(300..3_000),
            ..KeepEntry::default()
        },
        ..Document::default()
    }
}

fn random_model(rng: &mut ChaCha8Rng) -> String {
    match rng.random_range(0..MODELS + 2) {
        number if number < MODELS => format!("m{number}@1"),
        number => format!("a{}@1", number - MODELS),
    }
}

/// Injects one random fault, or none.
fn inject_fault(world: &mut CellWorld, rng: &mut ChaCha8Rng) {
    let node = rng.random_range(0..NODES);
    match rng.random_range(0..14) {
        0 => world.kill(node),
        1 => world.restart(node),
        2 => world.pause(node, Duration::from_millis(rng.random_range(100..8_000))),
        3 => world.store.is_down = true,
        4 | 5 => world.store.is_down = false,
        6 => world.restart_engine(rng.random_range(0..3)),
        7 => {
            let listing = [
                ListingState::Listed,
                ListingState::Leaving,
                ListingState::Removed,
            ];
            world.set_listing(rng.random_range(0..3), listing[rng.random_range(0..3)]);
        }
        _ => {}
    }
}

fn run_with_faults(seed: u64) -> CellWorld {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let document = document(&mut rng);
    let mut draw_chance = |max| rng.random_range(0..=max);
    let fault_chances = FaultChances {
        lose_write_answer: draw_chance(20),
        delay_write: draw_chance(10),
        lose_order_answer: draw_chance(20),
        delay_order: draw_chance(20),
        hold_order: draw_chance(8),
    };
    let mut world = CellWorld::new(seed, NODES, &document, fault_chances);
    for _ in 0..60 {
        inject_fault(&mut world, &mut rng);
        if rng.random_bool(0.5) {
            world.demand(
                &random_model(&mut rng),
                rng.random_range(1..12),
                Duration::from_secs(10),
            );
        }
        world.run(Duration::from_millis(rng.random_range(50..900)));
    }
    world
}

/// Ends all faults and returns whether a demanded model is served again in time.
fn recovers(world: &mut CellWorld) -> bool {
    world.store.is_down = false;
    world.fault_chances = FaultChances::default();
    for engine in 0..3 {
        world.set_listing(engine, ListingState::Listed);
    }
    for node in 0..NODES {
        if world.nodes[node].controller.is_none() {
            world.restart(node);
        }
    }
    let steps = RECOVERY_TIMEOUT.as_millis() / 500;
    for _ in 0..steps {
        world.demand("m3@1", 1, Duration::from_secs(10));
        world.run(Duration::from_millis(500));
        if world.is_served("m3@1") {
            return true;
        }
    }
    false
}

#[test]
fn counts_and_memory_exact_under_faults() {
    let runs = FaultRuns::from_environment(DEFAULT_RUNS);
    let mut violations = Vec::new();
    let mut stuck_seeds = Vec::new();
    let mut loads = 0;
    for seed in runs.seeds() {
        let mut world = run_with_faults(seed);
        let has_recovered = recovers(&mut world);
        loads += world
            .engines
            .iter()
            .flat_map(|engine| engine.load_counts.values())
            .sum::<u32>();
        if let Some(violation) = world.violations.first() {
            violations.push(format!("seed {seed}: {violation}"));
        } else if !has_recovered {
            stuck_seeds.push(seed);
        }
    }
    println!(
        "{} runs, {loads} loads, {} broken, {} stuck",
        runs.count,
        violations.len(),
        stuck_seeds.len()
    );
    runs.assert_none_broken(&violations);
    assert!(
        stuck_seeds.is_empty(),
        "{} of {} runs are stuck: {:?}",
        stuck_seeds.len(),
        runs.count,
        &stuck_seeds[..stuck_seeds.len().min(9)]
    );
    assert!(
        loads > u32::try_from(runs.count).expect("a run count that fits into u32"),
        "too few loads happened for a meaningful test"
    );
}
