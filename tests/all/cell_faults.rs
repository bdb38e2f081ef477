//! Replica counts and memory stay exact under faults drawn at random.
//!
//! `PASSWAY_FAULT_RUNS` sets the number of runs, `PASSWAY_FAULT_SEED` the first seed.

use crate::cell_world::{CellWorld, Chances};
use crate::support::FaultRuns;
use passway_config::Document;
use passway_config::document::{
    AdapterEntry, Fencing, KeepEntry, KeepPolicyName, ModelEntry, UpstreamEntry, WorkspaceEntry,
};
use passway_decide::cell::upstreams::Standing;
use passway_types::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const DEFAULT_RUNS: u64 = 1_000;
const NODES: usize = 3;
const MODELS: usize = 5;
const CALM: Duration = Duration::from_secs(30);

/// Three engines with room for two models and a bit each, five models, two adapters.
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

/// One fault, or none.
fn disturb(world: &mut CellWorld, rng: &mut ChaCha8Rng) {
    let node = rng.random_range(0..NODES);
    match rng.random_range(0..14) {
        0 => world.kill(node),
        1 => world.restart(node),
        2 => world.pause(node, Duration::from_millis(rng.random_range(100..8_000))),
        3 => world.store.down = true,
        4 | 5 => world.store.down = false,
        6 => world.restart_engine(rng.random_range(0..3)),
        7 => {
            let standing = [Standing::Listed, Standing::Leaving, Standing::Gone];
            world.set_standing(rng.random_range(0..3), standing[rng.random_range(0..3)]);
        }
        _ => {}
    }
}

fn disturbed_run(seed: u64) -> CellWorld {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let document = document(&mut rng);
    let mut chance = |most| rng.random_range(0..=most);
    let chances = Chances {
        lose_write_answer: chance(20),
        delay_write: chance(10),
        lose_order_answer: chance(20),
        delay_order: chance(20),
        hold_order: chance(8),
    };
    let mut world = CellWorld::new(seed, NODES, &document, chances);
    for _ in 0..60 {
        disturb(&mut world, &mut rng);
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

/// After the faults end, a model that is asked for is served again.
fn recovers(world: &mut CellWorld) -> bool {
    world.store.down = false;
    world.chances = Chances::default();
    for engine in 0..3 {
        world.set_standing(engine, Standing::Listed);
    }
    for node in 0..NODES {
        if world.nodes[node].controller.is_none() {
            world.restart(node);
        }
    }
    let steps = CALM.as_millis() / 500;
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
fn exact_under_faults() {
    let runs = FaultRuns::from_environment(DEFAULT_RUNS);
    let mut broken = Vec::new();
    let mut stuck = Vec::new();
    let mut loads = 0;
    for seed in runs.seeds() {
        let mut world = disturbed_run(seed);
        let recovered = recovers(&mut world);
        loads += world
            .engines
            .iter()
            .flat_map(|engine| engine.loads.values())
            .sum::<u32>();
        if let Some(violation) = world.violations.first() {
            broken.push(format!("seed {seed}: {violation}"));
        } else if !recovered {
            stuck.push(seed);
        }
    }
    println!(
        "{} runs, {loads} loads, {} broken, {} stuck",
        runs.count,
        broken.len(),
        stuck.len()
    );
    runs.assert_no_violations(&broken);
    assert!(
        stuck.is_empty(),
        "{} of {} runs are stuck: {:?}",
        stuck.len(),
        runs.count,
        &stuck[..stuck.len().min(9)]
    );
    assert!(
        loads > u32::try_from(runs.count).expect("few"),
        "the runs load too little to prove anything"
    );
}
