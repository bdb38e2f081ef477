//! Retries that were earned before a quiet time never exceed the allowance of the windows in which they arrive.
//!
//! Guards against retries that instances keep for longer than the requests that earned them count: after a burst and a
//! quiet time, failures that make all callers need retries brought more repeats to the servers than were allowed.

use passway_serving::retry::{RetryAllowance, RetryBudget};
use passway_types::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;

const WINDOW_S: f64 = 10.0;
const RATIO: f64 = 0.2;
const STEP: Duration = Duration::from_millis(50);
const WINDOW_STEPS: usize = 200;
/// Longest time from a retry's spend to its arrival, in steps: servers stood still meanwhile.
const MAX_HOLD_STEPS: usize = WINDOW_STEPS / 4;
/// Number of parts of a history, each with its own load.
const PARTS: usize = 12;

/// The requests of one service of a site, and the instances that receive them.
#[derive(Debug, Clone, Copy)]
struct Shape {
    name: &'static str,
    instances: usize,
    requests_per_s: f64,
    slack: f64,
}

const fn shape(name: &'static str, instances: usize, requests_per_s: f64, slack: f64) -> Shape {
    Shape {
        name,
        instances,
        requests_per_s,
        slack,
    }
}

/// Services of the users' sites: of engines and of plain servers, from six instances to a large site's 295.
const SHAPES: [Shape; 9] = [
    shape("market engines", 6, 30.0, 52.0),
    shape("market plain", 6, 11.1, 52.0),
    shape("laundry engines", 7, 37.9, 52.0),
    shape("laundry plain", 7, 13.3, 52.0),
    shape("flags engines", 9, 75.2, 52.0),
    shape("fund engines", 85, 471.5, 52.0),
    shape("fund plain", 85, 146.5, 52.0),
    shape("crafts engines", 77, 331.5, 52.0),
    shape("large engines", 295, 691.7, 630.0),
];

fn service() -> ServiceName {
    "engines".into()
}

/// The instances of a site, in simulated time.
struct Fleet {
    allowance: RetryAllowance,
    budgets: Vec<RetryBudget>,
    /// The number that the fixed allowance is divided by.
    shared_by: usize,
    now: Instant,
    /// Requests sent in each step.
    sent: Vec<u32>,
    /// Repeats that arrive in each step.
    arrivals: Vec<u32>,
    rng: ChaCha8Rng,
}

impl Fleet {
    /// Starts the instances, which have known their number for a while.
    fn start(shape: Shape, seed: u64) -> Self {
        let allowance = RetryAllowance {
            ratio: RATIO,
            slack: shape.slack,
            window_s: WINDOW_S,
        };
        let mut fleet = Self {
            allowance,
            budgets: Vec::new(),
            shared_by: shape.instances + shape.instances / 4 + 1,
            now: Instant::now(),
            sent: Vec::new(),
            arrivals: Vec::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
        };
        fleet.budgets = (0..shape.instances).map(|_| fleet.new_budget()).collect();
        fleet.now += Duration::from_secs_f64(4.0 * WINDOW_S);
        fleet
    }

    /// The budget of a process that has started and has heard of the number of instances.
    fn new_budget(&self) -> RetryBudget {
        let mut budget = RetryBudget::new(self.allowance);
        budget.set_instances(self.shared_by, self.now);
        budget
    }

    /// Plays one part of a history: requests at a rate, and retries at each instance as long as it has any, of which
    /// those of a hold arrive at its end.
    fn play(&mut self, part: &Part) {
        let per_step = part.requests_per_s * STEP.as_secs_f64();
        for step in 0..part.steps {
            self.now += STEP;
            self.sent.push(0);
            // Retries of an earlier hold may arrive later than now.
            let steps = self.arrivals.len().max(self.sent.len());
            self.arrivals.resize(steps, 0);
            let mut due = per_step;
            while due >= 1.0 || (due > 0.0 && self.rng.random_bool(due)) {
                due -= 1.0;
                let instance = self.rng.random_range(0..self.budgets.len());
                self.budgets[instance].record_request(&service(), self.now, self.now);
                *self.sent.last_mut().expect("a step") += 1;
            }
            if step < part.steps_before_retries {
                continue;
            }
            let now = self.now;
            let spent: u32 = self.budgets.iter_mut().map(|one| spend_all(one, now)).sum();
            self.arrive(spent, part.hold_steps - step % (part.hold_steps + 1));
        }
    }

    /// Counts retries that arrive some steps later.
    fn arrive(&mut self, count: u32, delay_steps: usize) {
        let at = self.sent.len() - 1 + delay_steps;
        if self.arrivals.len() <= at {
            self.arrivals.resize(at + 1, 0);
        }
        self.arrivals[at] += count;
    }

    /// Replaces the processes of some instances.
    fn restart(&mut self, share: f64) {
        for instance in 0..self.budgets.len() {
            if self.rng.random_bool(share) {
                self.budgets[instance] = self.new_budget();
            }
        }
    }

    /// The repeats of the window that exceeds its allowance by most, or comes nearest to it, and that allowance. It
    /// counts the requests of the window, of the one before, or of the one half a window earlier, whichever has most.
    fn worst_window(&self) -> (f64, f64) {
        // Counts in the window that begins at a step, or some steps earlier.
        let sum = |counts: &[u32], from: usize, earlier: usize| -> f64 {
            let end = (from + WINDOW_STEPS).saturating_sub(earlier);
            let end = end.min(counts.len());
            let begin = from.saturating_sub(earlier).min(end);
            counts[begin..end].iter().copied().map(f64::from).sum()
        };
        let mut worst = (0.0, f64::MAX);
        for from in 0..self.arrivals.len() {
            let requests = [0, WINDOW_STEPS / 2, WINDOW_STEPS];
            let requests = requests.map(|earlier| sum(&self.sent, from, earlier));
            let allowed = RATIO * requests.into_iter().fold(0.0, f64::max) + self.allowance.slack;
            let repeats = sum(&self.arrivals, from, 0);
            if repeats - allowed > worst.0 - worst.1 {
                worst = (repeats, allowed);
            }
        }
        worst
    }
}

/// A part of a history.
#[derive(Debug, Clone, Copy)]
struct Part {
    steps: usize,
    requests_per_s: f64,
    /// Steps at the beginning in which nothing is retried.
    steps_before_retries: usize,
    /// Retries arrive together after this many steps; 0 if each arrives at once.
    hold_steps: usize,
}

/// Spends all retries that are left, and returns their number.
fn spend_all(budget: &mut RetryBudget, now: Instant) -> u32 {
    let mut spent = 0;
    while budget.try_spend(&service(), now).is_some() {
        spent += 1;
    }
    spent
}

/// Runs a history for each shape and seed, and fails with the worst windows of those that exceed what is allowed.
fn check_histories(seeds: u64, history: impl Fn(&mut Fleet, Shape)) {
    let mut broken = BTreeMap::new();
    for shape in SHAPES {
        for seed in 0..seeds {
            let mut fleet = Fleet::start(shape, seed);
            history(&mut fleet, shape);
            let (repeats, allowed) = fleet.worst_window();
            if repeats > allowed {
                broken.insert((shape.name, seed), (repeats, allowed));
            }
        }
    }
    assert!(broken.is_empty(), "repeats and those allowed: {broken:?}");
}

// Guards against retries of a burst that are still left when its requests count no more.
#[test]
fn burst_then_quiet() {
    check_histories(12, |fleet, shape| {
        let usual = Part {
            steps: 2 * WINDOW_STEPS,
            requests_per_s: shape.requests_per_s,
            steps_before_retries: usize::MAX,
            hold_steps: 0,
        };
        let factor = fleet.rng.random_range(1.0..12.0);
        let quiet = fleet.rng.random_range(0.0..1.0);
        let quiet_steps = fleet.rng.random_range(0..2 * WINDOW_STEPS);
        fleet.play(&usual);
        fleet.play(&Part {
            steps: WINDOW_STEPS,
            requests_per_s: factor * shape.requests_per_s,
            ..usual
        });
        let quiet = Part {
            steps: quiet_steps,
            requests_per_s: quiet * shape.requests_per_s,
            ..usual
        };
        fleet.play(&quiet);
        fleet.play(&Part {
            steps: 2 * WINDOW_STEPS,
            steps_before_retries: 0,
            ..quiet
        });
    });
}

// Guards against any history of load, retries, holds and restarts for which more repeats arrive than are allowed.
#[test]
fn random_histories() {
    check_histories(40, |fleet, shape| {
        for _ in 0..PARTS {
            let steps = fleet.rng.random_range(20..2 * WINDOW_STEPS);
            let load = [0.0, 0.2, 1.0, 1.0, 3.0, 8.0][fleet.rng.random_range(0..6)];
            let retries = fleet.rng.random_bool(0.6);
            let holds = fleet.rng.random_bool(0.4);
            let part = Part {
                steps,
                requests_per_s: load * shape.requests_per_s,
                steps_before_retries: if retries { 0 } else { usize::MAX },
                hold_steps: if holds {
                    fleet.rng.random_range(0..=MAX_HOLD_STEPS)
                } else {
                    0
                },
            };
            fleet.play(&part);
            match fleet.rng.random_range(0..8) {
                0 => fleet.restart(1.0),
                1 => fleet.restart(0.5),
                _ => {}
            }
        }
    });
}
