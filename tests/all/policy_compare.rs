//! Compares the placement policies in the fleet model.

use passway_serving::placement::policy::PolicyName;
use passway_standins::fleet_model::{Disks, FleetSize, Outcome, Run};

const SIMULATED_SECONDS: u64 = 20;

fn run(size: &str, policy: PolicyName, disks: Disks, seed: u64) -> Outcome {
    let size = FleetSize::named(size).expect("a known size");
    Run::new(size, policy, disks, seed).run(SIMULATED_SECONDS)
}

#[test]
fn policies_fit_memory() {
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
    let first = run("today", PolicyName::Balanced, Disks::Filled, 3);
    let second = run("today", PolicyName::Balanced, Disks::Filled, 3);
    assert_eq!(format!("{first:?}"), format!("{second:?}"));
}

#[test]
fn waiting_for_cached_spares_store() {
    let mut with_wait = 0;
    let mut without_wait = 0;
    for seed in 1..4 {
        with_wait += run("today", PolicyName::Balanced, Disks::Filled, seed).store_loads;
        without_wait += run("today", PolicyName::NoHomes, Disks::Filled, seed).store_loads;
    }
    assert!(
        with_wait < without_wait,
        "{with_wait} against {without_wait} loads"
    );
}

#[test]
fn policy_names_parse() {
    for name in PolicyName::ALL {
        assert_eq!(name.as_str().parse(), Ok(name));
    }
    let error = "best".parse::<PolicyName>().expect_err("no such policy");
    assert!(error.contains("balanced, on-demand"), "{error}");
}
