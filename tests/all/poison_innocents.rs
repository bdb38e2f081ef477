//! What requests lose that run beside one that crashes engines, or beside crashes of other
//! causes: a fleet in virtual time, drawn by seeds.
//!
//! The load is that of a busy deployment: runs of 1.5 s in the mean, tries of two runs each, and
//! a caller that comes again once, so that a request may run four times before its caller gives up.

use passway_serving::poison::{PoisonList, RequestDigest, UpstreamStart};
use passway_types::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const STEP: Duration = Duration::from_millis(100);
const STEPS: u64 = 600;
/// Part of the runs that ends in a step.
const END_CHANCE: f64 = 0.1 / 1.5;
/// Runs of one request before its caller gives up.
const MAX_RUNS: u32 = 4;
/// Steps from one coming of the request that crashes engines to the next: callers come again
/// within some seconds.
const POISON_STEPS: u64 = 20;

/// What is drawn.
#[derive(Debug, Clone, Copy)]
struct Plan {
    engines: usize,
    /// Requests that come in a step.
    arrivals: usize,
    /// Engines that crash together for another cause, and every how many steps.
    crashes: usize,
    crash_steps: u64,
    has_poison: bool,
}

/// What came of it.
#[derive(Debug, Default, PartialEq, Eq)]
struct Outcome {
    requests: u64,
    /// Engines that the one request ended.
    ended_by_poison: u64,
    /// Other requests that were refused although they might have run again.
    wrongly_refused: u64,
    /// Others that broke off.
    broken: u64,
}

#[derive(Debug, Clone, Copy)]
struct Run {
    digest: RequestDigest,
    runs: u32,
    is_poison: bool,
}

fn digest(number: u64) -> RequestDigest {
    let mut bytes = [0; 16];
    bytes[..8].copy_from_slice(&number.to_le_bytes());
    RequestDigest(bytes)
}

/// Ends one engine; what ran there goes on elsewhere if it may.
fn crash(
    fleet: &mut [Vec<Run>],
    engine: usize,
    starts: &mut u64,
    list: &mut PoisonList,
    outcome: &mut Outcome,
    (rng, now): (&mut ChaCha8Rng, Instant),
) {
    *starts += 1;
    let start = UpstreamStart {
        upstream: engine.to_string().into(),
        started_at_ms: *starts,
    };
    let runs = std::mem::take(&mut fleet[engine]);
    for run in &runs {
        list.record_crash(run.digest, start.clone(), now);
    }
    for run in runs.into_iter().filter(|run| !run.is_poison) {
        outcome.broken += 1;
        if run.runs >= MAX_RUNS {
            continue;
        }
        if list.remaining_refusal(run.digest, now).is_some() {
            outcome.wrongly_refused += 1;
            continue;
        }
        let other = rng.random_range(0..fleet.len());
        fleet[other].push(Run {
            runs: run.runs + 1,
            ..run
        });
    }
}

fn play(plan: Plan, seed: u64) -> Outcome {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut fleet: Vec<Vec<Run>> = vec![Vec::new(); plan.engines];
    let (mut list, mut outcome, mut starts) = (PoisonList::default(), Outcome::default(), 0);
    let poison = digest(0);
    let begun_at = Instant::now();
    for step in 1..=STEPS {
        let now = begun_at + STEP * u32::try_from(step).expect("a small number");
        for _ in 0..plan.arrivals {
            outcome.requests += 1;
            let run = Run {
                digest: digest(outcome.requests),
                runs: 1,
                is_poison: false,
            };
            let engine = rng.random_range(0..plan.engines);
            fleet[engine].push(run);
        }
        for engine in &mut fleet {
            engine.retain(|run| {
                let ends = rng.random_bool(END_CHANCE);
                if ends && !list.is_empty() {
                    list.record_answer(run.digest);
                }
                !ends
            });
        }
        let mut crashing = Vec::new();
        if plan.crashes > 0 && step.is_multiple_of(plan.crash_steps) {
            crashing.extend((0..plan.crashes).map(|_| rng.random_range(0..plan.engines)));
        }
        // Each coming is a try of two runs.
        let comes = plan.has_poison && step % POISON_STEPS < 2;
        if comes && list.remaining_refusal(poison, now).is_none() {
            let engine = rng.random_range(0..plan.engines);
            fleet[engine].push(Run {
                digest: poison,
                runs: 1,
                is_poison: true,
            });
            outcome.ended_by_poison += 1;
            crashing.push(engine);
        }
        for engine in crashing {
            let time = (&mut rng, now);
            crash(
                &mut fleet,
                engine,
                &mut starts,
                &mut list,
                &mut outcome,
                time,
            );
        }
    }
    outcome
}

/// Plays some seeds; the sums.
fn sums(plan: Plan) -> Outcome {
    let mut sum = Outcome::default();
    for seed in 0..10 {
        let one = play(plan, seed);
        sum.requests += one.requests;
        sum.ended_by_poison = sum.ended_by_poison.max(one.ended_by_poison);
        sum.wrongly_refused += one.wrongly_refused;
        sum.broken += one.broken;
    }
    println!("{plan:?}: {sum:?}");
    sum
}

const SMALL: Plan = Plan {
    engines: 9,
    arrivals: 4,
    crashes: 0,
    crash_steps: 50,
    has_poison: true,
};
const LARGE: Plan = Plan {
    engines: 256,
    arrivals: 90,
    ..SMALL
};

/// The one request ends three engines, whatever else crashes.
#[test]
fn ends_three() {
    for plan in [SMALL, LARGE] {
        let outcome = sums(plan);
        assert_eq!(outcome.ended_by_poison, 3);
        assert_eq!(outcome.wrongly_refused, 0, "{outcome:?}");
    }
}

/// A third of a small fleet, or a rack of a large one, crashes every five seconds for a minute.
#[test]
fn other_causes() {
    let small = sums(Plan {
        crashes: 3,
        ..SMALL
    });
    let large = sums(Plan {
        crashes: 20,
        ..LARGE
    });
    for outcome in [&small, &large] {
        assert!(outcome.ended_by_poison <= 3, "{outcome:?}");
        // One in a hundred of those that broke off.
        assert!(
            outcome.wrongly_refused * 100 <= outcome.broken,
            "{outcome:?}"
        );
    }
}
