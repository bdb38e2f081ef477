//! The instances' parts of the retry allowance never add up to more than the whole.

use passway_serving::retry::{InstanceCount, RetryAllowance, RetryBudget};
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

/// A budget of a process that has known the fleet's size for a window: its part is whole.
fn told_budget(allowance: RetryAllowance, instances: usize, now: Instant) -> RetryBudget {
    let mut budget = RetryBudget::new(allowance);
    let window = Duration::from_secs_f64(allowance.window_s);
    let before = now
        .checked_sub(window)
        .expect("a clock that has run for a window");
    budget.set_instances(instances, before);
    budget
}

/// In each window no more repeats than the allowance has for the requests of that window, the
/// one before it, or the one that lies half a window before it.
fn check_windows(
    allowance: RetryAllowance,
    requests: &[f64],
    repeats: &[f64],
    window_steps: usize,
    seed: u64,
) {
    let sum = |values: &[f64], from: usize| values[from..from + window_steps].iter().sum::<f64>();
    for start in 0..=requests.len() - window_steps {
        let before = start.saturating_sub(window_steps);
        let between = start.saturating_sub(window_steps / 2);
        let most = [start, before, between].map(|from| sum(requests, from));
        let most = most.into_iter().fold(0.0, f64::max);
        let allowed = allowance.ratio * most + allowance.slack;
        let spent = sum(repeats, start);
        assert!(
            spent <= allowed,
            "seed {seed}, step {start}: {spent} of {allowed}"
        );
    }
}

#[test]
fn windows_stay_inside() {
    for seed in 0..30 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let instances = rng.random_range(1..12);
        let mut now = Instant::now();
        let mut budgets: Vec<_> = (0..instances)
            .map(|_| told_budget(ALLOWANCE, instances, now))
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
                    budget.record_request(&service(), now);
                    taken += 1.0;
                }
                while budget.try_spend(&service(), now) {
                    spent += 1.0;
                }
            }
            requests.push(taken);
            repeats.push(spent);
        }
        check_windows(ALLOWANCE, &requests, &repeats, WINDOW_STEPS, seed);
    }
}

#[test]
fn earned_is_kept() {
    // A steady instance may repeat a burst of failures, not only its fixed part.
    let mut now = Instant::now();
    let mut budget = told_budget(ALLOWANCE, 8, now);
    for _ in 0..100 {
        now += Duration::from_millis(100);
        budget.record_request(&service(), now);
    }
    let spent = (0..100)
        .filter(|_| budget.try_spend(&service(), now))
        .count();
    assert!(spent >= 8, "{spent}");
}

/// The load: a fleet of 300 instances and up to 78 that join it, a third of all arrivals shed,
/// so that every request wants repeats; all processes are killed at once, twice, and holders
/// follow one another, each of which sees the instances come over 2 s. The figures are those
/// of the largest deployment known: 1,000 requests a second, and 630 repeats in 10 s beside a
/// fifth of them.
#[test]
fn fleet_restarts() {
    const FLEET: RetryAllowance = RetryAllowance {
        ratio: 0.2,
        slack: 630.0,
        window_s: 10.0,
    };
    const FLEET_STEP: Duration = Duration::from_millis(100);
    const WINDOW: usize = 100;
    const COMING_STEPS: usize = 20;
    for seed in 0..8 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut now = Instant::now();
        let mut budgets: Vec<_> = (0..300).map(|_| told_budget(FLEET, 375, now)).collect();
        let mut term = (InstanceCount::start_term(now), 0);
        let (mut requests, mut repeats): (Vec<f64>, Vec<f64>) = (Vec::new(), Vec::new());
        for step in 0..5 * WINDOW {
            now += FLEET_STEP;
            if step % 150 == 149 {
                budgets.fill_with(|| RetryBudget::new(FLEET));
                term = (InstanceCount::start_term(now), step);
            } else if rng.random_bool(0.01) {
                term = (InstanceCount::start_term(now), step);
            }
            if budgets.len() < 378 && rng.random_bool(0.2) {
                budgets.push(RetryBudget::new(FLEET));
            }
            // The holder sees them come one after the other.
            let came = (step - term.1 + 1) * budgets.len() / COMING_STEPS;
            if let Some(instances) = term.0.sharing_instances(came.min(budgets.len()), now) {
                let shared_by = instances + instances / 4 + 1;
                for budget in &mut budgets {
                    budget.set_instances(shared_by, now);
                }
            }
            let (mut taken, mut spent) = (0.0, 0.0);
            for budget in &mut budgets {
                if rng.random_bool(0.33) {
                    budget.record_request(&service(), now);
                    taken += 1.0;
                }
                while budget.try_spend(&service(), now) {
                    spent += 1.0;
                }
            }
            requests.push(taken);
            repeats.push(spent);
        }
        check_windows(FLEET, &requests, &repeats, WINDOW, seed);
    }
}
