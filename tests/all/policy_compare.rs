//! Compares the placement policies in the fleet model.

use passway_serving::placement::policy::PolicyName;
use passway_standins::fleet_model::{FleetSize, InitialDisks, Outcome, Run};

const SIMULATED_SECONDS: u64 = 20;

fn run(size: &str, policy: PolicyName, disks: InitialDisks, seed: u64) -> Outcome {
    let size = FleetSize::by_name(size).expect("a known size");
    Run::new(size, policy, disks, seed).simulate(SIMULATED_SECONDS)
}

#[test]
fn policies_fit_memory() {
    for policy in PolicyName::ALL {
        for disks in [InitialDisks::Empty, InitialDisks::Filled] {
            let outcome = run("today", policy, disks, 1);
            assert_eq!(outcome.overfull, 0, "{policy}");
            assert!(outcome.rare.asked > 0 && outcome.orders > 0, "{policy}");
        }
    }
}

#[test]
fn same_seed_repeats() {
    let first = run("today", PolicyName::Balanced, InitialDisks::Filled, 3);
    let second = run("today", PolicyName::Balanced, InitialDisks::Filled, 3);
    assert_eq!(format!("{first:?}"), format!("{second:?}"));
}

#[test]
fn waiting_for_cached_spares_store() {
    let mut with_wait = 0;
    let mut without_wait = 0;
    for seed in 1..4 {
        with_wait += run("today", PolicyName::Balanced, InitialDisks::Filled, seed).store_loads;
        without_wait += run("today", PolicyName::NoHomes, InitialDisks::Filled, seed).store_loads;
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
