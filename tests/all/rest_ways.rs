//! Two ways to heed rests, played in a model: each instance by what it was told itself, which is what the
//! product does, and all instances by what any was told.
//!
//! Nine upstreams of 64 slots before fleets of 6, 71 and 300 instances, runs of a second, 450 requests a second:
//! four fifths of what all of them take. `sick`: a third of them turn everything away for four seconds and ask for three. `full`: twice
//! the usual requests for four seconds, and whoever is full asks for one. A request is offered twice at most.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const UPSTREAMS: usize = 9;
const SLOTS: usize = 64;
/// Steps of 10 ms in the run of a request.
const RUN_STEPS: u64 = 100;
const STEPS: u64 = 2_000;
/// The seconds of trouble, in steps.
const TROUBLE: std::ops::Range<u64> = 600..1_000;
const OFFERS: usize = 2;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Way {
    Alone,
    Told,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Trouble {
    Sick,
    Full,
}

#[derive(Debug, Default)]
struct Outcome {
    asked: u64,
    served: u64,
    /// Offers that were turned away.
    turned_away: u64,
    /// Most requests that reached an upstream from an instance within a rest.
    within_rest: u64,
}

struct Model {
    way: Way,
    trouble: Trouble,
    rng: ChaCha8Rng,
    /// When the runs of each upstream end.
    runs: Vec<Vec<u64>>,
    /// By instance and upstream, until when it rests; a single row for all if they are told.
    rests: Vec<[u64; UPSTREAMS]>,
    /// By instance and upstream, what it asked that instance for.
    asked_until: Vec<[u64; UPSTREAMS]>,
    outcome: Outcome,
}

impl Model {
    fn turns_away(&self, upstream: usize, step: u64) -> Option<u64> {
        let is_sick = self.trouble == Trouble::Sick && upstream < 3 && TROUBLE.contains(&step);
        let is_full = self.runs[upstream].len() >= SLOTS;
        let rest_steps = if is_sick { 300 } else { 100 };
        (is_sick || is_full).then_some(rest_steps)
    }

    /// The least loaded of three that do not rest, by chance.
    fn choose(&mut self, row: usize, tried: Option<usize>, step: u64) -> Option<usize> {
        let open =
            (0..UPSTREAMS).filter(|one| self.rests[row][*one] <= step && tried != Some(*one));
        let open: Vec<usize> = open.collect();
        (!open.is_empty()).then(|| open[self.rng.random_range(0..open.len())])
    }

    fn request(&mut self, instance: usize, step: u64) {
        self.outcome.asked += 1;
        let row = if self.way == Way::Told { 0 } else { instance };
        let mut tried = None;
        for _ in 0..OFFERS {
            let Some(upstream) = self.choose(row, tried, step) else {
                return;
            };
            let within = u64::from(step < self.asked_until[instance][upstream]);
            self.outcome.within_rest = self.outcome.within_rest.max(within);
            let Some(rest_steps) = self.turns_away(upstream, step) else {
                self.runs[upstream].push(step + RUN_STEPS);
                self.outcome.served += 1;
                return;
            };
            self.outcome.turned_away += 1;
            self.asked_until[instance][upstream] = step + rest_steps;
            self.rests[row][upstream] = step + rest_steps;
            tried = Some(upstream);
        }
    }
}

fn play(instances: usize, way: Way, trouble: Trouble) -> Outcome {
    let mut sum = Outcome::default();
    for seed in 0..5 {
        let mut model = Model {
            way,
            trouble,
            rng: ChaCha8Rng::seed_from_u64(seed),
            runs: vec![Vec::new(); UPSTREAMS],
            rests: vec![[0; UPSTREAMS]; instances],
            asked_until: vec![[0; UPSTREAMS]; instances],
            outcome: Outcome::default(),
        };
        for step in 0..STEPS {
            for runs in &mut model.runs {
                runs.retain(|ends_at| step < *ends_at);
            }
            let burst = trouble == Trouble::Full && TROUBLE.contains(&step);
            // Four or five in 10 ms, twice as many in the burst.
            let usual = 4 + u64::from(step % 2 == 0);
            for _ in 0..usual * (1 + u64::from(burst)) {
                let instance = model.rng.random_range(0..instances);
                model.request(instance, step);
            }
        }
        sum.asked += model.outcome.asked;
        sum.served += model.outcome.served;
        sum.turned_away += model.outcome.turned_away;
        sum.within_rest = sum.within_rest.max(model.outcome.within_rest);
    }
    let per_thousand = |count: u64| count * 1_000 / sum.asked;
    println!(
        "{instances} {way:?} {trouble:?}: served {}, turned away {} of 1,000; within rests {}",
        per_thousand(sum.served),
        per_thousand(sum.turned_away),
        sum.within_rest
    );
    sum
}

/// Whoever heeds only what it was told itself serves no fewer callers, where upstreams are full for a moment,
/// and neither way sends anything within a rest.
#[test]
fn alone_serves_no_fewer() {
    for instances in [6, 71, 300] {
        for trouble in [Trouble::Sick, Trouble::Full] {
            let alone = play(instances, Way::Alone, trouble);
            let told = play(instances, Way::Told, trouble);
            assert_eq!((alone.within_rest, told.within_rest), (0, 0));
            if trouble == Trouble::Full {
                assert!(alone.served >= told.served, "{alone:?} {told:?}");
            }
        }
    }
}
