//! Checks the limits of six upstreams that advertise 0.5 to 50 requests per second, at 6, 71 and
//! 300 instances, in each case of [`Case`]. The demand is 5 or 50 times the limit.
//!
//! No upstream may receive more requests than [`Plan::bounds`] allow. The shortfall below the
//! limits may be at most 1% plus the ratio of the time without a coordinator.

use passway_standins::allotment_model::cases::Case;
use passway_standins::allotment_model::limit_strategies::CoordinatorLimits;
use passway_standins::allotment_model::{Plan, SimulationResult, simulate};

/// Time without a coordinator, in seconds, in the cases that lose the holder: its lease plus a
/// margin.
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
            assert!(
                over_rule <= 0.0,
                "{message}: {over_rule} requests above the rule"
            );
            let max_shortfall = 0.01 + NO_COORDINATOR_S / plan.duration.as_secs_f64();
            assert!(
                refused_below <= max_shortfall,
                "{message}: shortfall {refused_below}"
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
