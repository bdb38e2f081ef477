//! How many innocent requests are refused or put on hold after the loss of a rack, if open ports
//! do not show whether its engines have terminated. Simulates a fleet in virtual time, with random
//! seeds.
//!
//! Runs take 1.5 s in the mean, and a request runs four times at most. The termination of an
//! engine is confirmed by its next start, or by the expiry of its entry if it does not return.

use passway_serving::poison::{
    PoisonList, RequestDigest, RunPermission, SuspectKey, UpstreamStart,
};
use passway_types::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const STEP: Duration = Duration::from_millis(50);
const STEPS: u64 = 1_200;
/// Probability that a run ends in a step.
const END_CHANCE: f64 = 0.05 / 1.5;
const MAX_RUNS: u32 = 4;
/// Steps between two losses.
const LOSS_STEPS: u64 = 100;
/// Maximum time for which a request is on hold: 0.45 of the time after which a caller abandons a
/// stream with a latency target of 400 ms.
const MAX_HOLD_STEPS: u64 = 22;

/// The parameters of a simulation.
#[derive(Debug, Clone, Copy)]
struct Plan {
    engines: usize,
    /// Requests that arrive in a step.
    arrivals: usize,
    /// Engines of a rack.
    rack: usize,
    /// Steps until the termination of an engine is confirmed.
    confirmation_steps: u64,
    /// Steps until the engine serves again.
    restart_steps: u64,
    /// One in this many requests has the same body as others; 0 if all bodies differ.
    identical_every: u64,
}

#[derive(Debug, Clone, Copy)]
struct Run {
    digest: SuspectKey,
    runs: u32,
    sent_at: u64,
}

/// The results of a simulation.
#[derive(Debug, Default)]
struct Outcome {
    requests: u64,
    interrupted: u64,
    wrongly_refused: u64,
    /// Steps for which interrupted runs were on hold before they continued.
    held: Vec<u64>,
}

struct Fleet {
    plan: Plan,
    rng: ChaCha8Rng,
    runs: Vec<Vec<Run>>,
    starts: Vec<u64>,
    /// When an engine serves again.
    down_until: Vec<u64>,
    /// Pending confirmations of terminations: the time, the engine and the start that confirms it.
    confirmations: Vec<(u64, usize, u64)>,
    waiting: Vec<(Run, u64)>,
    list: PoisonList,
    outcome: Outcome,
    started_at: Instant,
}

fn digest(number: u64) -> SuspectKey {
    let mut bytes = [0; 16];
    bytes[..8].copy_from_slice(&number.to_le_bytes());
    RequestDigest(bytes).into()
}

impl Fleet {
    fn new(plan: Plan, seed: u64) -> Self {
        Self {
            plan,
            rng: ChaCha8Rng::seed_from_u64(seed),
            runs: vec![Vec::new(); plan.engines],
            starts: vec![1; plan.engines],
            down_until: vec![0; plan.engines],
            confirmations: Vec::new(),
            waiting: Vec::new(),
            list: PoisonList::default(),
            outcome: Outcome::default(),
            started_at: Instant::now(),
        }
    }

    fn at(&self, step: u64) -> Instant {
        self.started_at + STEP * u32::try_from(step).expect("a small number")
    }

    fn start_of(&self, engine: usize) -> UpstreamStart {
        UpstreamStart {
            upstream: engine.to_string().into(),
            started_at_ms: self.starts[engine],
        }
    }

    /// Sends a run to an engine that serves.
    fn send(&mut self, mut run: Run, step: u64) {
        run.sent_at = step;
        loop {
            let engine = self.rng.random_range(0..self.plan.engines);
            if self.down_until[engine] <= step {
                self.runs[engine].push(run);
                return;
            }
        }
    }

    fn arrive(&mut self, step: u64) {
        for _ in 0..self.plan.arrivals {
            self.outcome.requests += 1;
            let number = self.outcome.requests;
            let is_identical =
                self.plan.identical_every > 0 && number.is_multiple_of(self.plan.identical_every);
            let run = Run {
                digest: digest(if is_identical { 0 } else { number }),
                runs: 1,
                sent_at: step,
            };
            self.send_or_hold(run, 0, step);
        }
    }

    fn end_runs(&mut self) {
        for engine in 0..self.plan.engines {
            let runs = std::mem::take(&mut self.runs[engine]);
            for run in runs {
                if !self.rng.random_bool(END_CHANCE) {
                    self.runs[engine].push(run);
                } else if !self.list.is_empty() {
                    self.list.record_answer(run.digest);
                }
            }
        }
    }

    /// Sends a run if it may continue; otherwise puts it on hold or gives it up.
    fn send_or_hold(&mut self, run: Run, held: u64, step: u64) {
        let now = self.at(step);
        let is_refused = self.list.remaining_refusal(run.digest, now).is_some();
        let is_held = self.list.run_permission(run.digest, now) == RunPermission::Held;
        if is_refused || (is_held && held >= MAX_HOLD_STEPS) {
            self.outcome.wrongly_refused += 1;
        } else if is_held {
            self.waiting.push((run, held));
        } else {
            if run.runs > 1 {
                self.outcome.held.push(held);
            }
            self.send(run, step);
        }
    }

    /// All engines of a rack disconnect while their ports stay open.
    fn lose_rack(&mut self, step: u64) {
        let now = self.at(step);
        let first = self.rng.random_range(0..self.plan.engines);
        let rack: Vec<usize> = (first..first + self.plan.rack)
            .map(|engine| engine % self.plan.engines)
            .collect();
        let mut interrupted = Vec::new();
        for engine in rack {
            let start = self.start_of(engine);
            for run in std::mem::take(&mut self.runs[engine]) {
                self.list
                    .record_run_disconnect(&[run.digest], &start, self.at(run.sent_at), now);
                interrupted.push(run);
            }
            self.list.record_disconnect(&start, now, now);
            self.confirmations.push((
                step + self.plan.confirmation_steps,
                engine,
                self.starts[engine] + 1,
            ));
            self.starts[engine] += 1;
            self.down_until[engine] = step + self.plan.restart_steps;
        }
        for run in interrupted {
            self.outcome.interrupted += 1;
            if run.runs < MAX_RUNS {
                let runs = run.runs + 1;
                self.send_or_hold(Run { runs, ..run }, 0, step);
            }
        }
    }

    fn run(mut self) -> Outcome {
        for step in 1..=STEPS {
            let now = self.at(step);
            let (confirmed, pending) = std::mem::take(&mut self.confirmations)
                .into_iter()
                .partition(|(at, ..)| *at <= step);
            self.confirmations = pending;
            let confirmed: Vec<(u64, usize, u64)> = confirmed;
            for (_, engine, start) in confirmed {
                self.list.record_terminated(&engine.to_string(), start, now);
            }
            for (run, held) in std::mem::take(&mut self.waiting) {
                self.send_or_hold(run, held + 1, step);
            }
            self.arrive(step);
            self.end_runs();
            if step.is_multiple_of(LOSS_STEPS) {
                self.lose_rack(step);
            }
        }
        self.outcome
    }
}

fn total(plan: Plan) -> Outcome {
    let mut sum = Outcome::default();
    for seed in 0..10 {
        let result = Fleet::new(plan, seed).run();
        sum.requests += result.requests;
        sum.interrupted += result.interrupted;
        sum.wrongly_refused += result.wrongly_refused;
        sum.held.extend(result.held);
    }
    sum.held.sort_unstable();
    println!(
        "{plan:?}: {} requests, {} interrupted, {} refused, p99 on hold {:?}",
        sum.requests,
        sum.interrupted,
        sum.wrongly_refused,
        hold_p99(&sum)
    );
    sum
}

fn hold_p99(outcome: &Outcome) -> Duration {
    let steps = outcome.held[outcome.held.len() * 99 / 100];
    STEP * u32::try_from(steps).expect("a small number")
}

const SMALL: Plan = Plan {
    engines: 9,
    arrivals: 2,
    rack: 3,
    confirmation_steps: 44,
    restart_steps: 40,
    identical_every: 0,
};
const LARGE: Plan = Plan {
    engines: 256,
    arrivals: 45,
    rack: 20,
    ..SMALL
};

/// Fewer than one in a hundred of the interrupted runs is refused.
fn few_refused(plan: Plan) {
    let outcome = total(plan);
    assert!(outcome.interrupted > 1_000);
    assert!(
        outcome.wrongly_refused * 100 < outcome.interrupted,
        "{} of {}",
        outcome.wrongly_refused,
        outcome.interrupted
    );
}

/// A third of a small fleet, or a rack of a large one, is lost every five seconds and restarted.
#[test]
fn supervised_rack() {
    few_refused(SMALL);
    few_refused(LARGE);
}

/// The rack becomes silent, which only the expiry of its entries shows.
#[test]
fn silent_rack() {
    for plan in [SMALL, LARGE] {
        few_refused(Plan {
            confirmation_steps: 100,
            restart_steps: 90,
            ..plan
        });
    }
}

/// One in twenty requests has the same body as others, like requests without a body to a common
/// path.
#[test]
fn identical_bodies() {
    few_refused(Plan {
        identical_every: 20,
        ..SMALL
    });
}

#[test]
fn identical_bodies_in_large_fleet() {
    few_refused(Plan {
        identical_every: 20,
        ..LARGE
    });
}
