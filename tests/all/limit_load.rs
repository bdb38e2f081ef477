//! The pattern: six upstreams take 0.5 to 50 requests a second and are asked for five times that, or fifty
//! times, at 6, 71 and 300 instances, whose callers move, of which a third is cut off, whose holder is lost, that
//! all start again or come and go.
//!
//! None gets more than the rule allows. What is missing below what they take is at most the time for which
//! nobody counts, and a hundredth.

use passway_standins::allotment_model::cases::Case;
use passway_standins::allotment_model::limit_ways::AskedCounter;
use passway_standins::allotment_model::{Figures, Plan, play};

/// Seconds of a play in which nobody counts, in the cases that lose the holder: its lease and some.
const UNCOUNTED_S: f64 = 1.6;

fn kept(instances: usize) {
    for case in Case::ALL {
        for seed in 0..2 {
            let plan = Plan::upstreams_in_need(instances, seed);
            let Figures {
                over_rule,
                refused_below,
                ..
            } = play(&plan, case, &mut AskedCounter::new(&plan));
            let what = format!("{} of {instances}, seed {seed}", case.name());
            assert!(over_rule <= 0.0, "{what}: {over_rule} over the rule");
            let most = 0.01 + UNCOUNTED_S / plan.time.as_secs_f64();
            assert!(refused_below <= most, "{what}: {refused_below} missing");
        }
    }
}

#[test]
fn small_fleet() {
    kept(6);
}

#[test]
fn grown_fleet() {
    kept(71);
}

#[test]
fn large_fleet() {
    kept(300);
}
