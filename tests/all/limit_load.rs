//! The pattern: six upstreams take 0.5 to 50 requests a second and are asked for five times that, or fifty
//! times, at 6, 71 and 300 instances, whose callers move, of which a third is cut off, whose holder is lost, that
//! all start again or come and go.
//!
//! None gets more than the rule allows. What is missing below what they take is at most the time for which
//! nobody counts, and a hundredth.

use passway_standins::allotment_model::cases::Case;
use passway_standins::allotment_model::limit_strategies::CoordinatorLimits;
use passway_standins::allotment_model::{Plan, SimulationResult, simulate};

/// Seconds of a play in which nobody counts, in the cases that lose the holder: its lease and some.
const NO_COORDINATOR_S: f64 = 1.6;

fn check_bounds(instances: usize) {
    for case in Case::ALL {
        for seed in 0..2 {
            let plan = Plan::limited_upstreams(instances, seed);
            let SimulationResult {
                over_rule,
                refused_below,
                ..
            } = simulate(&plan, case, &mut CoordinatorLimits::new(&plan));
            let message = format!("{} of {instances}, seed {seed}", case.name());
            assert!(over_rule <= 0.0, "{message}: {over_rule} over the rule");
            let max_refused = 0.01 + NO_COORDINATOR_S / plan.duration.as_secs_f64();
            assert!(
                refused_below <= max_refused,
                "{message}: {refused_below} missing"
            );
        }
    }
}

#[test]
fn small_fleet() {
    check_bounds(6);
}

#[test]
fn grown_fleet() {
    check_bounds(71);
}

#[test]
fn large_fleet() {
    check_bounds(300);
}
