//! Retries never exceed the allowance of the windows in which they arrive, whenever their requests were sent and however
//! long servers stood still meanwhile.
//!
//! Guards against retries that instances keep for longer than the requests that earned them count: after a burst and a
//! quiet time, failures that make all callers need retries brought more repeats to the servers than were allowed.

use passway_serving::retry::{Arrival, RetryAllowance, RetryBudget, SpentRetry};
use passway_types::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;

const WINDOW_S: f64 = 10.0;
const RATIO: f64 = 0.2;
const STEP: Duration = Duration::from_millis(50);
const WINDOW_STEPS: usize = 200;
/// Longest time from a retry's spend to its arrival, in steps: servers stood still for 8 s meanwhile.
const MAX_HOLD_STEPS: usize = 160;
/// Steps after which an attempt without an answer is given up, where any is.
const GIVE_UP_STEPS: usize = 20;
/// Longest time for which a request waits in the socket of an instance, in steps.
const MAX_READ_DELAY_STEPS: usize = 80;
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
    /// How often each instance was restarted.
    processes: Vec<u32>,
    /// The number that the fixed allowance is divided by.
    shared_by: usize,
    now: Instant,
    /// Requests sent in each step.
    sent: Vec<u32>,
    /// Repeats that arrive in each step.
    arrivals: Vec<u32>,
    /// Retries that are not settled.
    pending: Vec<PendingRetry>,
    /// Requests that wait in the sockets of instances: when they are read, where, and when they were sent.
    unread: Vec<(usize, usize, Instant)>,
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
            processes: vec![0; shape.instances],
            shared_by: shape.instances + shape.instances / 4 + 1,
            now: Instant::now(),
            sent: Vec::new(),
            arrivals: Vec::new(),
            pending: Vec::new(),
            unread: Vec::new(),
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
                let delay = self.rng.random_range(0..=part.read_delay_steps);
                self.unread
                    .push((self.sent.len() + delay, instance, self.now));
                *self.sent.last_mut().expect("a step") += 1;
            }
            self.read_requests();
            self.settle_retries();
            if step < part.steps_before_retries {
                continue;
            }
            let held_step = step - part.steps_before_retries;
            let hold = part.hold_steps;
            let delay = match part.hold {
                Hold::Repeated => hold - step % (hold + 1),
                Hold::Once(from) if (from..from + hold).contains(&held_step) => {
                    from + hold - held_step
                }
                Hold::Once(_) => 0,
            };
            for instance in 0..self.budgets.len() {
                self.spend_all(instance, delay, part.gives_up);
            }
        }
    }

    /// Hands the requests that are read now to their instances, in any order.
    fn read_requests(&mut self) {
        let (step, now) = (self.sent.len(), self.now);
        for (_, instance, sent_at) in self.unread.extract_if(.., |unread| unread.0 <= step) {
            self.budgets[instance].record_request(&service(), sent_at, now);
        }
    }

    /// Settles the retries whose arrivals are known now, or that are given up.
    fn settle_retries(&mut self) {
        let (step, now) = (self.sent.len(), self.now);
        for one in self.pending.extract_if(.., |one| one.settled_at <= step) {
            // The process that spent the retry may have ended.
            if one.process == self.processes[one.instance] {
                self.budgets[one.instance].settle(&service(), one.spent, one.arrival, now);
            }
        }
    }

    /// Spends all retries that are left at an instance. They arrive some steps later; with `gives_up` they are given up before
    /// that.
    fn spend_all(&mut self, instance: usize, delay_steps: usize, gives_up: bool) {
        let (step, now) = (self.sent.len(), self.now);
        while let Some(spent) = self.budgets[instance].try_spend(&service(), now) {
            let at = step - 1 + delay_steps;
            if self.arrivals.len() <= at {
                self.arrivals.resize(at + 1, 0);
            }
            self.arrivals[at] += 1;
            let is_given_up = gives_up && delay_steps > GIVE_UP_STEPS;
            let (wait_steps, arrival) = if is_given_up {
                (GIVE_UP_STEPS, Arrival::Unknown { sent_at: now })
            } else {
                (delay_steps, Arrival::Known)
            };
            if wait_steps == 0 {
                // Answered within the step.
                self.budgets[instance].settle(&service(), spent, arrival, now);
                continue;
            }
            self.pending.push(PendingRetry {
                settled_at: step + wait_steps,
                instance,
                process: self.processes[instance],
                spent,
                arrival,
            });
        }
    }

    /// Replaces the processes of some instances.
    fn restart(&mut self, share: f64) {
        for instance in 0..self.budgets.len() {
            if self.rng.random_bool(share) {
                self.processes[instance] += 1;
                self.unread.retain(|unread| unread.1 != instance);
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
    hold: Hold,
    /// Whether attempts without an answer are given up.
    gives_up: bool,
    /// Longest time for which a request waits in the socket of its instance, in steps.
    read_delay_steps: usize,
}

/// When servers stand still.
#[derive(Debug, Clone, Copy)]
enum Hold {
    /// Again and again.
    Repeated,
    /// Once, this many steps after the first retries.
    Once(usize),
}

/// A retry that is not settled.
#[derive(Debug)]
struct PendingRetry {
    settled_at: usize,
    instance: usize,
    process: u32,
    spent: SpentRetry,
    arrival: Arrival,
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
            hold: Hold::Repeated,
            gives_up: false,
            read_delay_steps: 0,
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
                hold: Hold::Repeated,
                gives_up: fleet.rng.random_bool(0.5),
                read_delay_steps: if fleet.rng.random_bool(0.3) {
                    fleet.rng.random_range(0..=MAX_READ_DELAY_STEPS)
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

// Guards against retries that are held by servers which stand still for some seconds, and arrive together when the requests
// that earned them count no more: directed histories of a burst, little traffic, and retries that are all wanted.
#[test]
fn directed_holds() {
    for hold_s in [1, 2, 4, 5, 6, 8] {
        for begins_s in [0, 3] {
            for gives_up in [false, true] {
                check_histories(6, |fleet, shape| {
                    play_hold(fleet, shape, (hold_s, begins_s, gives_up));
                });
            }
        }
    }
}

/// Plays one directed history: a hold of some seconds that begins some seconds after the first retries.
fn play_hold(fleet: &mut Fleet, shape: Shape, (hold_s, begins_s, gives_up): (usize, usize, bool)) {
    let steps_per_s = WINDOW_STEPS / 10;
    let steady = Part {
        steps: 2 * WINDOW_STEPS,
        requests_per_s: shape.requests_per_s,
        steps_before_retries: usize::MAX,
        hold_steps: 0,
        hold: Hold::Repeated,
        gives_up: false,
        read_delay_steps: 0,
    };
    let factor = [1.0, 3.0, 8.0][fleet.rng.random_range(0..3)];
    let quiet = [1.0, 0.2][fleet.rng.random_range(0..2)];
    let quiet_s = [0, 2, 5, 8, 10][fleet.rng.random_range(0..5)];
    fleet.play(&steady);
    fleet.play(&Part {
        steps: WINDOW_STEPS,
        requests_per_s: factor * shape.requests_per_s,
        ..steady
    });
    let rest = Part {
        steps: quiet_s * steps_per_s,
        requests_per_s: quiet * shape.requests_per_s,
        ..steady
    };
    fleet.play(&rest);
    fleet.play(&Part {
        steps: 22 * steps_per_s,
        steps_before_retries: 0,
        hold_steps: hold_s * steps_per_s,
        hold: Hold::Once(begins_s * steps_per_s),
        gives_up,
        ..rest
    });
}
