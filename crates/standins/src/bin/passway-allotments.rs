//! Compares ways to keep workspaces to their allotments and upstreams to their limits, as tables for
//! `docs/design/workspaces.md` and `docs/design/limits.md`.
//!
//! ```sh
//! cargo run --release -p passway-standins --bin passway-allotments
//! ```

use passway_standins::allotment_model::cases::Case;
use passway_standins::allotment_model::limit_ways::{AskedCounter, EqualParts, OneSender};
use passway_standins::allotment_model::ways::{AskedKeeper, LeasedParts, ToldCounts, Way};
use passway_standins::allotment_model::{Figures, Plan, play};

/// Seeds of each row.
const SEEDS: u64 = 3;

/// Makes a way for a plan.
type MakeWay = fn(&Plan) -> Box<dyn Way>;

fn main() {
    let ways: [(&str, MakeWay); 3] = [
        ("asked keeper", |plan| Box::new(AskedKeeper::new(plan))),
        ("leased parts", |plan| Box::new(LeasedParts::new(plan))),
        ("told counts", |plan| Box::new(ToldCounts::new(plan))),
    ];
    println!("Workspaces with allotments.\n");
    compare(Plan::usual, &ways);
    let ways: [(&str, MakeWay); 5] = [
        ("asked counter", |plan| Box::new(AskedCounter::new(plan))),
        ("asked keeper of allotments", |plan| {
            Box::new(AskedKeeper::new(plan))
        }),
        ("told counts", |plan| Box::new(ToldCounts::new(plan))),
        ("equal parts", |_| Box::new(EqualParts::default())),
        ("one sender", |_| Box::new(OneSender::default())),
    ];
    println!("\nUpstreams with limits.\n");
    compare(Plan::upstreams_in_need, &ways);
}

fn compare(plan: fn(usize, u64) -> Plan, ways: &[(&str, MakeWay)]) {
    println!(
        "| instances | case | way | units over the rule | refused below, all | worst name | messages/s |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    for instances in [6, 71, 300] {
        for case in Case::ALL {
            for (name, make) in ways {
                let plays = (0..SEEDS).map(|seed| {
                    let plan = plan(instances, seed);
                    play(&plan, case, &mut *make(&plan))
                });
                let worst = plays.fold(Figures::default(), |a, b| Figures {
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
