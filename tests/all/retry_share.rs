//! The instances' parts of the retry allowance never add up to more than the whole.

use passway_serving::retry::{RetryAllowance, RetryBudget};
use passway_types::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const ALLOWANCE: RetryAllowance = RetryAllowance {
    ratio: 0.2,
    slack: 52.0,
    window_s: 10.0,
};
const STEP: Duration = Duration::from_millis(20);
const WINDOW_STEPS: usize = 500;

fn service() -> ServiceName {
    "engines".into()
}

#[test]
fn windows_stay_inside() {
    for seed in 0..30 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let instances = rng.random_range(1..12);
        let mut now = Instant::now();
        let mut budgets: Vec<_> = (0..instances)
            .map(|_| RetryBudget::new(ALLOWANCE, instances))
            .collect();
        let (mut requests, mut repeats): (Vec<f64>, Vec<f64>) = (Vec::new(), Vec::new());
        let mut chance = 0.5;
        for step in 0..4 * WINDOW_STEPS {
            if step % 100 == 0 {
                // Load that jumps, and callers that all want repeats at once.
                chance = rng.random_range(0.0..1.0);
            }
            now += STEP;
            let (mut taken, mut spent) = (0.0, 0.0);
            for budget in &mut budgets {
                if rng.random_bool(chance) {
                    budget.requested(&service(), now);
                    taken += 1.0;
                }
                while budget.try_spend(&service(), now) {
                    spent += 1.0;
                }
            }
            requests.push(taken);
            repeats.push(spent);
        }
        for end in WINDOW_STEPS..requests.len() {
            let sum =
                |values: &[f64], from: usize| values[from..from + WINDOW_STEPS].iter().sum::<f64>();
            let start = end - WINDOW_STEPS;
            let before = start.saturating_sub(WINDOW_STEPS);
            let between = start.saturating_sub(WINDOW_STEPS / 2);
            let most = [start, before, between].map(|from| sum(&requests, from));
            let most = most.into_iter().fold(0.0, f64::max);
            let allowed = ALLOWANCE.ratio * most + ALLOWANCE.slack;
            let spent = sum(&repeats, start);
            assert!(spent <= allowed, "seed {seed}: {spent} of {allowed}");
        }
    }
}

#[test]
fn earned_is_kept() {
    // A steady instance may repeat a burst of failures, not only its fixed part.
    let mut now = Instant::now();
    let mut budget = RetryBudget::new(ALLOWANCE, 8);
    for _ in 0..100 {
        now += Duration::from_millis(100);
        budget.requested(&service(), now);
    }
    let spent = (0..100)
        .filter(|_| budget.try_spend(&service(), now))
        .count();
    assert!(spent >= 8, "{spent}");
}
