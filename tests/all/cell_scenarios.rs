//! Scripted scenarios of a cell: `tests/all/scenarios/cell/*`.
//!
//! A script is a list of commands, each followed by `----` and the expected output.
//! `REWRITE=1 cargo test cell_scenarios` replaces the expected outputs. Commands:
//!
//! * `world nodes=N engines=N memory=MB fencing=ignores|forgets|keeps`
//! * `demand model=NAME waiting=N deadline_ms=N`
//! * `run ms=N`
//! * `pause node=N|leader ms=N`, `kill node=...`, `restart node=...`
//! * `store state=up|down`
//! * `chance what=lose_write_answer|delay_write|lose_order_answer|delay_order|hold_order percent=N`
//! * `engine restart=N`
//! * `upstream engine=N state=listed|leaving|gone`
//! * `load ms=N`: how long loads take from now on
//! * `show`: the leader, the plan, the models on the engines, broken invariants, the latest
//!   verdicts

use crate::cell_world::{CellWorld, FaultChances};
use datadriven::{TestCase, walk};
use passway_config::Document;
use passway_config::document::{
    AdapterEntry, Fencing, KeepEntry, KeepPolicyName, ModelEntry, UpstreamEntry, WorkspaceEntry,
};
use passway_decide::cell::upstreams::ListingState;
use passway_decide::messages::DemandVerdict;
use passway_types::prelude::*;
use std::fmt::Write;

const SEED: u64 = 7;

#[test]
fn scripts_print_expected_output() {
    walk("tests/all/scenarios/cell", |file| {
        let mut world = None;
        file.run(|case| {
            let mut case = case.clone();
            run_command(&mut world, &mut case).expect("a valid script")
        });
    });
}

fn run_command(
    world: &mut Option<CellWorld>,
    case: &mut TestCase,
) -> Result<String, datadriven::DataDrivenError> {
    if case.directive == "world" {
        *world = Some(build_world(case)?);
        return Ok(String::new());
    }
    let world = world.as_mut().expect("`world` comes first");
    match case.directive.as_str() {
        "demand" => {
            let name: String = case.take_arg("model")?;
            let model = format!("{name}@1");
            let deadline = Duration::from_millis(case.take_arg("deadline_ms")?);
            world.demand(&model, case.take_arg("waiting")?, deadline);
        }
        "run" => world.run(Duration::from_millis(case.take_arg("ms")?)),
        "pause" => {
            let node = node_index(world, case)?;
            world.pause(node, Duration::from_millis(case.take_arg("ms")?));
        }
        "kill" => {
            let node = node_index(world, case)?;
            world.kill(node);
        }
        "restart" => {
            let node = node_index(world, case)?;
            world.restart(node);
        }
        "store" => {
            let state: String = case.take_arg("state")?;
            world.store.is_down = state == "down";
        }
        "chance" => set_chance(&mut world.fault_chances, case)?,
        "load" => world.load_time = Duration::from_millis(case.take_arg("ms")?),
        "upstream" => {
            let state: String = case.take_arg("state")?;
            let listing = match state.as_str() {
                "gone" => ListingState::Removed,
                "leaving" => ListingState::Leaving,
                _ => ListingState::Listed,
            };
            world.set_listing(case.take_arg("engine")?, listing);
        }
        "engine" => world.restart_engine(case.take_arg("restart")?),
        "show" => return Ok(show(world)),
        other => panic!("unknown command {other}"),
    }
    Ok(String::new())
}

fn node_index(
    world: &CellWorld,
    case: &mut TestCase,
) -> Result<usize, datadriven::DataDrivenError> {
    let text: String = case.take_arg("node")?;
    Ok(if text == "leader" {
        world.leader().expect("a leader")
    } else {
        text.parse().expect("a number")
    })
}

fn set_chance(
    fault_chances: &mut FaultChances,
    case: &mut TestCase,
) -> Result<(), datadriven::DataDrivenError> {
    let chance_name: String = case.take_arg("what")?;
    let percent = case.take_arg("percent")?;
    let chance = match chance_name.as_str() {
        "lose_write_answer" => &mut fault_chances.lose_write_answer,
        "delay_write" => &mut fault_chances.delay_write,
        "lose_order_answer" => &mut fault_chances.lose_order_answer,
        "delay_order" => &mut fault_chances.delay_order,
        "hold_order" => &mut fault_chances.hold_order,
        other => panic!("unknown chance {other}"),
    };
    *chance = percent;
    Ok(())
}

fn build_world(case: &mut TestCase) -> Result<CellWorld, datadriven::DataDrivenError> {
    let nodes = case.take_arg("nodes")?;
    let engines: usize = case.take_arg("engines")?;
    let memory_mb = case.take_arg("memory")?;
    let fencing: String = case.take_arg("fencing")?;
    let fencing = match fencing.as_str() {
        "keeps" => Fencing::Keeps,
        "forgets" => Fencing::Forgets,
        _ => Fencing::Ignores,
    };
    let upstreams = (0..engines).map(|number| UpstreamEntry {
        id: format!("engine{number}"),
        address: format!("10.0.1.{}:8000", number + 1),
        data_hall: "hall".into(),
        memory_mb,
        slots: 4,
        fencing,
        ..UpstreamEntry::default()
    });
    let models = (0..4).map(|number| ModelEntry {
        name: format!("m{number}"),
        size_mb: 10,
        ..ModelEntry::default()
    });
    let adapter = AdapterEntry {
        name: "a0".into(),
        base: "m0@1".into(),
        size_mb: 2,
        ..AdapterEntry::default()
    };
    let document = Document {
        workspaces: vec![WorkspaceEntry {
            name: "default".into(),
            ..WorkspaceEntry::default()
        }],
        models: models.collect(),
        adapters: vec![adapter],
        upstreams: upstreams.collect(),
        keep: KeepEntry {
            policy: KeepPolicyName::Fixed,
            max_idle_ms: 60_000,
            ..KeepEntry::default()
        },
        ..Document::default()
    };
    Ok(CellWorld::new(
        SEED,
        nodes,
        &document,
        FaultChances::default(),
    ))
}

fn show(world: &mut CellWorld) -> String {
    let mut out = String::new();
    let leader = world
        .leader()
        .map_or("nobody".to_owned(), |node| format!("node {node}"));
    let terms = world
        .nodes
        .iter()
        .filter_map(|n| n.controller.as_ref()?.term());
    let leader_count = terms.count();
    writeln!(out, "leader {leader}, {leader_count} believe to lead").expect("a write to a string");
    match &world.store.plan {
        None => writeln!(out, "no plan").expect("a write to a string"),
        Some((_, plan)) => {
            let previous_epochs: Vec<Epoch> = plan
                .previous_holders()
                .iter()
                .map(|previous| previous.epoch)
                .collect();
            writeln!(out, "epoch {}, former {previous_epochs:?}", plan.epoch)
                .expect("a write to a string");
            for p in plan.placements() {
                writeln!(
                    out,
                    "  p{} {} on {}: {:?}",
                    p.id, p.model, p.upstream, p.state
                )
                .expect("a write to a string");
            }
        }
    }
    for (number, engine) in world.engines.iter().enumerate() {
        let held: Vec<&str> = engine.loaded.keys().map(|model| &**model).collect();
        let loads: u32 = engine.load_counts.values().sum();
        writeln!(out, "engine{number} holds {held:?} after {loads} loads")
            .expect("a write to a string");
    }
    if let Some(node) = world
        .nodes
        .iter()
        .find(|n| n.controller.as_ref().is_some_and(|c| c.term().is_some()))
    {
        let routed: Vec<String> = node
            .routes
            .iter()
            .map(|(m, u)| format!("{m} on {u}"))
            .collect();
        writeln!(out, "routed: {routed:?}").expect("a write to a string");
    }
    for node in &mut world.nodes {
        for (at, model, verdict) in node.verdicts.drain(..) {
            let text = match verdict {
                DemandVerdict::ReadyAt(ready_at) => {
                    format!("ready in {} ms", (ready_at - at).as_millis())
                }
                DemandVerdict::Refused { code, .. } => code.to_string(),
            };
            writeln!(out, "told: {model}: {text}").expect("a write to a string");
        }
    }
    for violation in world.violations.drain(..) {
        writeln!(out, "BROKEN {violation}").expect("a write to a string");
    }
    out
}
