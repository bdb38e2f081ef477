//! Compares two strategies for backoff in a model: each instance respects only the signals that it
//! has received itself, as the product does, or all instances respect the signals that any of them
//! has received.
//!
//! Nine upstreams of 64 slots serve fleets of 6, 71 and 300 instances, with runs of a second and
//! 450 requests a second, four fifths of the total capacity. `Sick`: a third of the upstreams
//! refuse everything for four seconds and ask for a backoff of three seconds. `Full`: twice the
//! usual requests for four seconds, and full upstreams ask for one second. A request is sent at
//! most twice.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const UPSTREAMS: usize = 9;
const SLOTS: usize = 64;
/// Duration of a request's run, in steps of 10 ms.
const RUN_STEPS: u64 = 100;
const STEPS: u64 = 2_000;
/// The steps in which the trouble occurs.
const TROUBLE: std::ops::Range<u64> = 600..1_000;
const MAX_ATTEMPTS: usize = 2;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Strategy {
    OwnSignals,
    SharedSignals,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Trouble {
    Sick,
    Full,
}

#[derive(Debug, Default)]
struct Outcome {
    requests: u64,
    served: u64,
    /// Sent requests that an upstream refused.
    refused: u64,
    /// Largest number of requests that an upstream received from an instance within its backoff.
    within_backoff: u64,
}

struct Model {
    strategy: Strategy,
    trouble: Trouble,
    rng: ChaCha8Rng,
    /// When the runs of each upstream end.
    runs: Vec<Vec<u64>>,
    /// By instance and upstream, until when the instance backs off; a single row if the signals
    /// are shared.
    backoff_until: Vec<[u64; UPSTREAMS]>,
    /// By instance and upstream, until when the upstream asked that instance to back off.
    requested_until: Vec<[u64; UPSTREAMS]>,
    outcome: Outcome,
}

impl Model {
    fn backoff_if_refused(&self, upstream: usize, step: u64) -> Option<u64> {
        let is_sick = self.trouble == Trouble::Sick && upstream < 3 && TROUBLE.contains(&step);
        let is_full = self.runs[upstream].len() >= SLOTS;
        let backoff_steps = if is_sick { 300 } else { 100 };
        (is_sick || is_full).then_some(backoff_steps)
    }

    /// A random upstream that is not backing off and was not tried yet.
    fn choose(&mut self, row: usize, tried: Option<usize>, step: u64) -> Option<usize> {
        let available = (0..UPSTREAMS).filter(|upstream| {
            self.backoff_until[row][*upstream] <= step && tried != Some(*upstream)
        });
        let available: Vec<usize> = available.collect();
        (!available.is_empty()).then(|| available[self.rng.random_range(0..available.len())])
    }

    fn send(&mut self, instance: usize, step: u64) {
        self.outcome.requests += 1;
        let row = if self.strategy == Strategy::SharedSignals {
            0
        } else {
            instance
        };
        let mut tried = None;
        for _ in 0..MAX_ATTEMPTS {
            let Some(upstream) = self.choose(row, tried, step) else {
                return;
            };
            let within = u64::from(step < self.requested_until[instance][upstream]);
            self.outcome.within_backoff = self.outcome.within_backoff.max(within);
            let Some(backoff_steps) = self.backoff_if_refused(upstream, step) else {
                self.runs[upstream].push(step + RUN_STEPS);
                self.outcome.served += 1;
                return;
            };
            self.outcome.refused += 1;
            self.requested_until[instance][upstream] = step + backoff_steps;
            self.backoff_until[row][upstream] = step + backoff_steps;
            tried = Some(upstream);
        }
    }
}

fn simulate(instances: usize, strategy: Strategy, trouble: Trouble) -> Outcome {
    let mut sum = Outcome::default();
    for seed in 0..5 {
        let mut model = Model {
            strategy,
            trouble,
            rng: ChaCha8Rng::seed_from_u64(seed),
            runs: vec![Vec::new(); UPSTREAMS],
            backoff_until: vec![[0; UPSTREAMS]; instances],
            requested_until: vec![[0; UPSTREAMS]; instances],
            outcome: Outcome::default(),
        };
        for step in 0..STEPS {
            for runs in &mut model.runs {
                runs.retain(|ends_at| step < *ends_at);
            }
            let burst = trouble == Trouble::Full && TROUBLE.contains(&step);
            // Four or five requests in 10 ms, twice as many in the burst.
            let usual = 4 + u64::from(step % 2 == 0);
            for _ in 0..usual * (1 + u64::from(burst)) {
                let instance = model.rng.random_range(0..instances);
                model.send(instance, step);
            }
        }
        sum.requests += model.outcome.requests;
        sum.served += model.outcome.served;
        sum.refused += model.outcome.refused;
        sum.within_backoff = sum.within_backoff.max(model.outcome.within_backoff);
    }
    let per_thousand = |count: u64| count * 1_000 / sum.requests;
    println!(
        "{instances} {strategy:?} {trouble:?}: served {}, refused {} of 1,000; within backoffs {}",
        per_thousand(sum.served),
        per_thousand(sum.refused),
        sum.within_backoff
    );
    sum
}

/// With only its own signals an instance serves no fewer callers while upstreams are briefly full,
/// and neither strategy sends a request within a backoff.
#[test]
fn own_signals_serve_no_fewer() {
    for instances in [6, 71, 300] {
        for trouble in [Trouble::Sick, Trouble::Full] {
            let own = simulate(instances, Strategy::OwnSignals, trouble);
            let shared = simulate(instances, Strategy::SharedSignals, trouble);
            assert_eq!((own.within_backoff, shared.within_backoff), (0, 0));
            if trouble == Trouble::Full {
                assert!(own.served >= shared.served, "{own:?} {shared:?}");
            }
        }
    }
}
