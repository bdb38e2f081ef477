//! Simulates the strategies for enforcing allotments of workspaces and limits of upstreams, and
//! prints the tables for `docs/design/workspaces.md` and `docs/design/limits.md`.
//!
//! ```sh
//! cargo run --release -p passway-standins --bin passway-allotments
//! ```

use passway_standins::allotment_model::cases::Case;
use passway_standins::allotment_model::limit_strategies::{
    CoordinatorLimits, EqualSplit, SingleSender,
};
use passway_standins::allotment_model::strategies::{
    BroadcastLevels, CoordinatorQuotas, LeasedRates, Strategy,
};
use passway_standins::allotment_model::{Plan, SimulationResult, simulate};

/// Number of seeds for each row; a row shows the worst result.
const SEEDS: u64 = 3;

/// Creates a strategy for a plan.
type NewStrategy = fn(&Plan) -> Box<dyn Strategy>;

fn main() {
    // The labels of the rows are those of the tables in the documents.
    let strategies: [(&str, NewStrategy); 3] = [
        ("asked keeper", |plan| {
            Box::new(CoordinatorQuotas::new(plan))
        }),
        ("leased parts", |plan| Box::new(LeasedRates::new(plan))),
        ("told counts", |plan| Box::new(BroadcastLevels::new(plan))),
    ];
    println!("Workspaces with allotments.\n");
    compare(Plan::typical_workspaces, &strategies);
    let strategies: [(&str, NewStrategy); 5] = [
        ("asked counter", |plan| {
            Box::new(CoordinatorLimits::new(plan))
        }),
        ("asked keeper of allotments", |plan| {
            Box::new(CoordinatorQuotas::new(plan))
        }),
        ("told counts", |plan| Box::new(BroadcastLevels::new(plan))),
        ("equal parts", |_| Box::new(EqualSplit::default())),
        ("one sender", |_| Box::new(SingleSender::default())),
    ];
    println!("\nUpstreams with limits.\n");
    compare(Plan::limited_upstreams, &strategies);
}

/// Prints a table with a row for each fleet size, case and strategy.
fn compare(new_plan: fn(usize, u64) -> Plan, strategies: &[(&str, NewStrategy)]) {
    println!(
        "| instances | case | way | units over the rule | refused below, all | worst name | messages/s |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    for instances in [6, 71, 300] {
        for case in Case::ALL {
            for (name, build) in strategies {
                let results = (0..SEEDS).map(|seed| {
                    let plan = new_plan(instances, seed);
                    simulate(&plan, case, &mut *build(&plan))
                });
                let worst = results.fold(SimulationResult::default(), |a, b| SimulationResult {
                    over_rule: a.over_rule.max(b.over_rule),
                    refused_below: a.refused_below.max(b.refused_below),
                    refused_worst: a.refused_worst.max(b.refused_worst),
                    messages_per_s: a.messages_per_s.max(b.messages_per_s),
                });
                println!(
                    "| {instances} | {} | {name} | {:.0} | {:.4} | {:.4} | {:.1} |",
                    case.name(),
                    worst.over_rule,
                    worst.refused_below,
                    worst.refused_worst,
                    worst.messages_per_s
                );
            }
        }
    }
}
