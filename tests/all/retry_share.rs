//! The instances' shares of the retry allowance never add up to more than the whole.

use passway_serving::retry::{Arrival, InstanceCount, RetryAllowance, RetryBudget};
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

/// A budget of a process that has known the fleet's size for two windows, so that its share is full.
fn full_budget(allowance: RetryAllowance, instances: usize, now: Instant) -> RetryBudget {
    let mut budget = RetryBudget::new(allowance);
    let windows = Duration::from_secs_f64(2.0 * allowance.window_s);
    let known_at = now
        .checked_sub(windows)
        .expect("a clock that has run for two windows");
    budget.set_instances(instances, known_at);
    budget
}

/// Spends retries as long as there are any, each of which arrives and is answered at once. Returns their number.
fn spend_while_left(budget: &mut RetryBudget, now: Instant) -> f64 {
    let mut count = 0.0;
    while let Some(spent) = budget.try_spend(&service(), now) {
        budget.settle(&service(), spent, Arrival::Known, now);
        count += 1.0;
    }
    count
}

/// Checks that each window has no more retries than the allowance permits for the requests of that
/// window, of the one before it, or of the one that begins half a window earlier.
fn check_windows(
    allowance: RetryAllowance,
    requests: &[f64],
    retries: &[f64],
    window_steps: usize,
    seed: u64,
) {
    let sum = |values: &[f64], from: usize| values[from..from + window_steps].iter().sum::<f64>();
    for start in 0..=requests.len() - window_steps {
        let previous = start.saturating_sub(window_steps);
        let half_earlier = start.saturating_sub(window_steps / 2);
        let max_requests = [start, previous, half_earlier].map(|from| sum(requests, from));
        let max_requests = max_requests.into_iter().fold(0.0, f64::max);
        let allowed = allowance.ratio * max_requests + allowance.slack;
        let spent = sum(retries, start);
        assert!(
            spent <= allowed,
            "seed {seed}, step {start}: {spent} of {allowed}"
        );
    }
}

#[test]
fn windows_stay_within_allowance() {
    for seed in 0..30 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let instances = rng.random_range(1..12);
        let mut now = Instant::now();
        let mut budgets: Vec<_> = (0..instances)
            .map(|_| full_budget(ALLOWANCE, instances, now))
            .collect();
        let (mut requests, mut retries): (Vec<f64>, Vec<f64>) = (Vec::new(), Vec::new());
        let mut chance = 0.5;
        for step in 0..4 * WINDOW_STEPS {
            if step % 100 == 0 {
                // The load jumps, and all callers need retries at once.
                chance = rng.random_range(0.0..1.0);
            }
            now += STEP;
            let (mut received, mut spent) = (0.0, 0.0);
            for budget in &mut budgets {
                if rng.random_bool(chance) {
                    budget.record_request(&service(), now, now);
                    received += 1.0;
                }
                spent += spend_while_left(budget, now);
            }
            requests.push(received);
            retries.push(spent);
        }
        check_windows(ALLOWANCE, &requests, &retries, WINDOW_STEPS, seed);
    }
}

// Guards against a share that is refilled more than once for the same time, because requests are recorded with the
// time at which their heads arrived, before the latest spend.
#[test]
fn late_records_refill_nothing() {
    const INSTANCES: u32 = 7;
    const REQUESTS_PER_S: f64 = 51.0;
    let instances = usize::try_from(INSTANCES).expect("a small number");
    let chance = REQUESTS_PER_S * STEP.as_secs_f64() / f64::from(INSTANCES);
    for delay_ms in [0, 20, 500, 1_000, 2_000] {
        let mut rng = ChaCha8Rng::seed_from_u64(delay_ms);
        let delay = Duration::from_millis(delay_ms);
        let mut arrived_at = Instant::now();
        let mut now = arrived_at + delay;
        let full = |_| full_budget(ALLOWANCE, instances, now);
        let mut budgets: Vec<_> = (0..instances).map(full).collect();
        let (mut requests, mut retries): (Vec<f64>, Vec<f64>) = (Vec::new(), Vec::new());
        for _ in 0..4 * WINDOW_STEPS {
            now += STEP;
            arrived_at += STEP;
            let (mut received, mut spent) = (0.0, 0.0);
            for budget in &mut budgets {
                if rng.random_bool(chance) {
                    budget.record_request(&service(), arrived_at, now);
                    received += 1.0;
                }
                spent += spend_while_left(budget, now);
            }
            requests.push(received);
            retries.push(spent);
        }
        check_windows(ALLOWANCE, &requests, &retries, WINDOW_STEPS, delay_ms);
    }
}

#[test]
fn earned_retries_accumulate() {
    // A steady instance may retry a burst of failures, not only its fixed share.
    let mut now = Instant::now();
    let mut budget = full_budget(ALLOWANCE, 8, now);
    for _ in 0..100 {
        now += Duration::from_millis(100);
        budget.record_request(&service(), now, now);
    }
    let spent = spend_while_left(&mut budget, now);
    assert!(spent >= 8.0, "{spent}");
}

/// The load: a fleet of 300 instances and up to 78 that join it, with a third of all arrivals
/// shed, so that every request needs retries. All processes are killed at once, twice, and several
/// holders follow one another, and each sees the instances connect over 2 s. The figures are
/// those of the largest deployment known: 1,000 requests a second, and 630 retries in 10 s in
/// addition to a fifth of the requests.
#[test]
fn fleet_restarts() {
    const FLEET: RetryAllowance = RetryAllowance {
        ratio: 0.2,
        slack: 630.0,
        window_s: 10.0,
    };
    const FLEET_STEP: Duration = Duration::from_millis(100);
    const WINDOW: usize = 100;
    const CONNECT_STEPS: usize = 20;
    for seed in 0..8 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut now = Instant::now();
        let mut budgets: Vec<_> = (0..300).map(|_| full_budget(FLEET, 375, now)).collect();
        let mut count_and_start = (InstanceCount::start_term(now), 0);
        let (mut requests, mut retries): (Vec<f64>, Vec<f64>) = (Vec::new(), Vec::new());
        for step in 0..5 * WINDOW {
            now += FLEET_STEP;
            if step % 150 == 149 {
                budgets.fill_with(|| RetryBudget::new(FLEET));
                count_and_start = (InstanceCount::start_term(now), step);
            } else if rng.random_bool(0.01) {
                count_and_start = (InstanceCount::start_term(now), step);
            }
            if budgets.len() < 378 && rng.random_bool(0.2) {
                budgets.push(RetryBudget::new(FLEET));
            }
            // The holder sees the instances connect one after another.
            let connected = (step - count_and_start.1 + 1) * budgets.len() / CONNECT_STEPS;
            if let Some(instances) = count_and_start
                .0
                .sharing_instances(connected.min(budgets.len()), now)
            {
                let shared_among = instances + instances / 4 + 1;
                for budget in &mut budgets {
                    budget.set_instances(shared_among, now);
                }
            }
            let (mut received, mut spent) = (0.0, 0.0);
            for budget in &mut budgets {
                if rng.random_bool(0.33) {
                    budget.record_request(&service(), now, now);
                    received += 1.0;
                }
                spent += spend_while_left(budget, now);
            }
            requests.push(received);
            retries.push(spent);
        }
        check_windows(FLEET, &requests, &retries, WINDOW, seed);
    }
}

/// The number of retries that can be spent now; spends them.
fn spend_all(budget: &mut RetryBudget, now: Instant) -> usize {
    let spent = (0..1_000).take_while(|_| budget.try_spend(&service(), now).is_some());
    spent.count()
}

// Guards against retries that are lost, or gained, when they are returned because nothing was sent.
#[test]
fn returned_retries() {
    for seed in 0..200 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut now = Instant::now();
        let instances = rng.random_range(1..12);
        let [mut plain, mut returning] = [(); 2].map(|()| full_budget(ALLOWANCE, instances, now));
        let mut taken = Vec::new();
        for _ in 0..rng.random_range(1..400) {
            now += STEP;
            if rng.random_bool(0.3) {
                plain.record_request(&service(), now, now);
                returning.record_request(&service(), now, now);
            }
            // Retries are returned later than they were taken, and never more of them than were.
            if rng.random_bool(0.3) {
                taken.extend(returning.try_spend(&service(), now));
            } else if rng.random_bool(0.5)
                && let Some(spent) = taken.pop()
            {
                returning.refund(&service(), spent);
            }
        }
        for spent in taken {
            returning.refund(&service(), spent);
        }
        let [plain, returning] = [&mut plain, &mut returning].map(|one| spend_all(one, now));
        assert_eq!(plain, returning, "seed {seed}");
    }
}
