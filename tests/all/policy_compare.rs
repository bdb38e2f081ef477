//! Placement policies in the model of a fleet.

use passway_serving::placement::policy::PolicyName;
use passway_standins::fleet_model::{Disks, FleetSize, Outcome, Run};

const SECONDS: u64 = 20;

fn run(size: &str, policy: PolicyName, disks: Disks, seed: u64) -> Outcome {
    let size = FleetSize::named(size).expect("a known size");
    Run::new(size, policy, disks, seed).run(SECONDS)
}

#[test]
fn policies_keep_memory() {
    for policy in PolicyName::ALL {
        for disks in [Disks::Empty, Disks::Filled] {
            let outcome = run("today", policy, disks, 1);
            assert_eq!(outcome.overfull, 0, "{policy}");
            assert!(outcome.rare.asked > 0 && outcome.orders > 0, "{policy}");
        }
    }
}

#[test]
fn same_seed_repeats() {
    let once = run("today", PolicyName::Balanced, Disks::Filled, 3);
    let again = run("today", PolicyName::Balanced, Disks::Filled, 3);
    assert_eq!(format!("{once:?}"), format!("{again:?}"));
}

#[test]
fn homes_spare_store() {
    let mut with_homes = 0;
    let mut without = 0;
    for seed in 1..4 {
        with_homes += run("today", PolicyName::Balanced, Disks::Filled, seed).store_loads;
        without += run("today", PolicyName::NoHomes, Disks::Filled, seed).store_loads;
    }
    assert!(with_homes < without, "{with_homes} against {without} loads");
}

#[test]
fn policy_names_parse() {
    for name in PolicyName::ALL {
        assert_eq!(name.as_str().parse(), Ok(name));
    }
    let error = "best".parse::<PolicyName>().expect_err("no such policy");
    assert!(error.contains("balanced, on-demand"), "{error}");
}
