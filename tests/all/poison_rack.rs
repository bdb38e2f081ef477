//! What a rack's loss does to requests that are proper, where the ports of its engines tell nothing: who is
//! refused or held back although it crashes nothing. A fleet in virtual time, drawn by seeds.
//!
//! Runs last 1.5 s in the mean, a request runs four times at most. A doubt is closed by the next start of the engine, or by
//! its entry's end if it does not come back.

use passway_serving::poison::{PoisonList, RequestDigest, RunPermission, UpstreamStart};
use passway_types::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const STEP: Duration = Duration::from_millis(50);
const STEPS: u64 = 1_200;
/// Part of the runs that ends in a step.
const END_CHANCE: f64 = 0.05 / 1.5;
const MAX_RUNS: u32 = 4;
/// Steps between two losses.
const LOSS_STEPS: u64 = 100;
/// A request that is held waits so long at most: 0.45 of the patience of a stream with a goal of 400 ms.
const LONGEST_WAIT_STEPS: u64 = 22;

/// What is drawn.
#[derive(Debug, Clone, Copy)]
struct Plan {
    engines: usize,
    /// Requests that come in a step.
    arrivals: usize,
    /// Engines of a rack.
    rack: usize,
    /// Steps until it is known that an engine has ended.
    known_steps: u64,
    /// Steps until it serves again.
    back_steps: u64,
    /// One body in so many requests is the same as that of others; 0 if each has its own.
    alike: u64,
}

#[derive(Debug, Clone, Copy)]
struct Run {
    digest: RequestDigest,
    runs: u32,
    sent_at: u64,
}

/// What came of it.
#[derive(Debug, Default)]
struct Outcome {
    requests: u64,
    broken: u64,
    wrongly_refused: u64,
    /// Steps for which runs that broke off were held before they went on.
    held: Vec<u64>,
}

struct Fleet {
    plan: Plan,
    rng: ChaCha8Rng,
    runs: Vec<Vec<Run>>,
    starts: Vec<u64>,
    /// When an engine serves again.
    down_until: Vec<u64>,
    /// When what is known of which engine's start.
    evidence: Vec<(u64, usize, u64)>,
    waiting: Vec<(Run, u64)>,
    list: PoisonList,
    outcome: Outcome,
    begun_at: Instant,
}

fn digest(number: u64) -> RequestDigest {
    let mut bytes = [0; 16];
    bytes[..8].copy_from_slice(&number.to_le_bytes());
    RequestDigest(bytes)
}

impl Fleet {
    fn new(plan: Plan, seed: u64) -> Self {
        Self {
            plan,
            rng: ChaCha8Rng::seed_from_u64(seed),
            runs: vec![Vec::new(); plan.engines],
            starts: vec![1; plan.engines],
            down_until: vec![0; plan.engines],
            evidence: Vec::new(),
            waiting: Vec::new(),
            list: PoisonList::default(),
            outcome: Outcome::default(),
            begun_at: Instant::now(),
        }
    }

    fn at(&self, step: u64) -> Instant {
        self.begun_at + STEP * u32::try_from(step).expect("a small number")
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
            let is_alike = self.plan.alike > 0 && number.is_multiple_of(self.plan.alike);
            let run = Run {
                digest: digest(if is_alike { 0 } else { number }),
                runs: 1,
                sent_at: step,
            };
            self.go(run, 0, step);
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

    /// Lets a run go on if it may, or holds it, or gives it up.
    fn go(&mut self, run: Run, held: u64, step: u64) {
        let now = self.at(step);
        let is_refused = self.list.remaining_refusal(run.digest, now).is_some();
        let is_held = self.list.run_permission(run.digest, now) == RunPermission::Held;
        if is_refused || (is_held && held >= LONGEST_WAIT_STEPS) {
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

    /// A rack breaks off, with open ports.
    fn lose_rack(&mut self, step: u64) {
        let now = self.at(step);
        let first = self.rng.random_range(0..self.plan.engines);
        let rack: Vec<usize> = (first..first + self.plan.rack)
            .map(|engine| engine % self.plan.engines)
            .collect();
        let mut broken = Vec::new();
        for engine in rack {
            let start = self.start_of(engine);
            for run in std::mem::take(&mut self.runs[engine]) {
                self.list.record_run_disconnect(
                    run.digest,
                    start.clone(),
                    self.at(run.sent_at),
                    now,
                );
                broken.push(run);
            }
            self.list.record_disconnect(&start, now, now);
            self.evidence.push((
                step + self.plan.known_steps,
                engine,
                self.starts[engine] + 1,
            ));
            self.starts[engine] += 1;
            self.down_until[engine] = step + self.plan.back_steps;
        }
        for run in broken {
            self.outcome.broken += 1;
            if run.runs < MAX_RUNS {
                let runs = run.runs + 1;
                self.go(Run { runs, ..run }, 0, step);
            }
        }
    }

    fn play(mut self) -> Outcome {
        for step in 1..=STEPS {
            let now = self.at(step);
            let (known, open) = std::mem::take(&mut self.evidence)
                .into_iter()
                .partition(|(at, ..)| *at <= step);
            self.evidence = open;
            let known: Vec<(u64, usize, u64)> = known;
            for (_, engine, start) in known {
                self.list.record_terminated(&engine.to_string(), start, now);
            }
            for (run, held) in std::mem::take(&mut self.waiting) {
                self.go(run, held + 1, step);
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

fn sums(plan: Plan) -> Outcome {
    let mut sum = Outcome::default();
    for seed in 0..10 {
        let one = Fleet::new(plan, seed).play();
        sum.requests += one.requests;
        sum.broken += one.broken;
        sum.wrongly_refused += one.wrongly_refused;
        sum.held.extend(one.held);
    }
    sum.held.sort_unstable();
    println!(
        "{plan:?}: {} requests, {} broken off, {} refused, held at the 99th {:?}",
        sum.requests,
        sum.broken,
        sum.wrongly_refused,
        held_99th(&sum)
    );
    sum
}

fn held_99th(outcome: &Outcome) -> Duration {
    let steps = outcome.held[outcome.held.len() * 99 / 100];
    STEP * u32::try_from(steps).expect("a small number")
}

const SMALL: Plan = Plan {
    engines: 9,
    arrivals: 2,
    rack: 3,
    known_steps: 44,
    back_steps: 40,
    alike: 0,
};
const LARGE: Plan = Plan {
    engines: 256,
    arrivals: 45,
    rack: 20,
    ..SMALL
};

/// Under one in a hundred of the runs that broke off is refused.
fn few_refused(plan: Plan) {
    let outcome = sums(plan);
    assert!(outcome.broken > 1_000);
    assert!(
        outcome.wrongly_refused * 100 < outcome.broken,
        "{} of {}",
        outcome.wrongly_refused,
        outcome.broken
    );
}

/// A third of a small fleet, or a rack of a large one, is lost every five seconds and starts again.
#[test]
fn supervised_rack() {
    few_refused(SMALL);
    few_refused(LARGE);
}

/// The rack falls silent, which only the end of its entries tells.
#[test]
fn dark_rack() {
    for plan in [SMALL, LARGE] {
        few_refused(Plan {
            known_steps: 100,
            back_steps: 90,
            ..plan
        });
    }
}

/// One in twenty requests has the same body as others, as those of a common path without one have.
#[test]
fn alike_requests() {
    few_refused(Plan { alike: 20, ..SMALL });
}

#[test]
fn alike_in_large_fleet() {
    few_refused(Plan { alike: 20, ..LARGE });
}
