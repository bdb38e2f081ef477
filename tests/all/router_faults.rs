//! Randomized fault test of one router: every request gets exactly one final answer in time, and a
//! "not run" answer is given only if no attempt may have run.
//!
//! `PASSWAY_FAULT_RUNS` sets the number of runs and `PASSWAY_FAULT_SEED` the first seed.

use crate::support::FaultRuns;
use passway_config::document::{ModelEntry, PolicyEntry, UpstreamEntry, WorkspaceEntry};
use passway_config::{Catalog, Document};
use passway_decide::messages::{DemandVerdict, RouteChange};
use passway_decide::router::{Arrival, AttemptOutcome, RouterAction, RouterCore};
use passway_types::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, HashMap};

const DEFAULT_RUNS: u64 = 100;
const TICK: Duration = Duration::from_millis(20);
const STEPS: u32 = 1_000;
const MODELS: usize = 4;
const ENGINES: usize = 3;
/// Maximum time from the deadline to a refusal: one tick.
const MAX_REFUSAL_DELAY: Duration = Duration::from_millis(20);

/// What the test knows about one request.
#[derive(Debug)]
struct RequestRecord {
    deadline_at: Instant,
    /// Whether an attempt may have run at an upstream.
    may_have_run: bool,
    final_answers: u32,
}

/// An attempt that is running at an upstream.
struct Attempt {
    request: RequestId,
    outcome: AttemptOutcome,
}

struct RouterWorld {
    now: Instant,
    rng: ChaCha8Rng,
    core: RouterCore,
    requests: HashMap<RequestId, RequestRecord>,
    attempts: BTreeMap<(Instant, u64), Attempt>,
    verdicts: BTreeMap<(Instant, u64), (ModelName, DemandVerdict)>,
    last_number: u64,
    violations: Vec<String>,
}

fn catalog() -> Catalog {
    let workspaces = ["stalls", "growers"].map(|name| WorkspaceEntry {
        name: name.into(),
        max_waiting: 40,
        ..WorkspaceEntry::default()
    });
    let models = (0..MODELS).map(|number| ModelEntry {
        name: format!("m{number}"),
        size_mb: 1,
        ..ModelEntry::default()
    });
    let upstreams = (0..ENGINES).map(|number| UpstreamEntry {
        id: format!("engine{number}"),
        address: format!("10.0.1.{}:80", number + 1),
        data_hall: "hall".into(),
        memory_mb: 100,
        slots: 4,
        ..UpstreamEntry::default()
    });
    let short_wait = PolicyEntry {
        name: "short".into(),
        when: "kind == 'short'".into(),
        may_wait_ms: Some(300),
        ..PolicyEntry::default()
    };
    let document = Document {
        workspaces: workspaces.into(),
        models: models.collect(),
        upstreams: upstreams.collect(),
        policies: vec![short_wait],
        ..Document::default()
    };
    Catalog::build(&document, 1).expect("a valid catalog")
}

impl RouterWorld {
    fn new(seed: u64) -> Self {
        let now = Instant::now();
        Self {
            now,
            rng: ChaCha8Rng::seed_from_u64(seed),
            core: RouterCore::new(seed, Arc::new(catalog()), now),
            requests: HashMap::new(),
            attempts: BTreeMap::new(),
            verdicts: BTreeMap::new(),
            last_number: 0,
            violations: Vec::new(),
        }
    }

    fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    fn random_duration_ms(&mut self, from: u64, to: u64) -> Duration {
        Duration::from_millis(self.rng.random_range(from..to))
    }

    fn random_model(&mut self) -> ModelName {
        format!("m{}@1", self.rng.random_range(0..MODELS)).into()
    }

    fn send_random_request(&mut self) {
        let request = self.next_number();
        let deadline_at = self.now + self.random_duration_ms(20, 5_000);
        let record = RequestRecord {
            deadline_at,
            may_have_run: false,
            final_answers: 0,
        };
        self.requests.insert(request, record);
        let kind = if self.rng.random_bool(0.2) {
            "short"
        } else {
            ""
        };
        let workspace = if self.rng.random_bool(0.5) {
            "stalls"
        } else {
            "growers"
        };
        let arrival = Arrival {
            request,
            model: self.random_model().to_string(),
            workspace: workspace.into(),
            kind: kind.into(),
            priority: None,
            deadline_at: Some(deadline_at),
        };
        let actions = self.core.handle_arrival(self.now, &arrival);
        self.perform(actions);
    }

    fn perform(&mut self, actions: Vec<RouterAction>) {
        for action in actions {
            match action {
                RouterAction::Start { request, .. } => self.start_attempt(request),
                RouterAction::Refuse { request, refusal } => self.check_refusal(request, &refusal),
                RouterAction::Demand(demand) if demand.waiting > 0 => {
                    // Some demands and some answers are lost.
                    if self.rng.random_bool(0.7) {
                        let at = self.now + self.random_duration_ms(1, 50);
                        let verdict = self.random_verdict();
                        let number = self.next_number();
                        self.verdicts.insert((at, number), (demand.model, verdict));
                    }
                }
                RouterAction::Demand(_) | RouterAction::Usage(_) => {}
            }
        }
    }

    fn random_verdict(&mut self) -> DemandVerdict {
        if self.rng.random_bool(0.15) {
            let retry_at = self.now + self.random_duration_ms(100, 3_000);
            return DemandVerdict::Refused {
                code: ResultCode::NoCapacity,
                retry_at,
            };
        }
        DemandVerdict::ReadyAt(self.now + self.random_duration_ms(50, 4_000))
    }

    fn start_attempt(&mut self, request: RequestId) {
        let record = self.requests.get_mut(&request).expect("a known request");
        if record.final_answers > 0 {
            self.violations
                .push(format!("request {request} was started after its end"));
        }
        let deadline_at = record.deadline_at;
        let (outcome, duration) = match self.rng.random_range(0..10) {
            0 => (AttemptOutcome::Unreachable, self.random_duration_ms(1, 10)),
            1 => (AttemptOutcome::NotLoaded, self.random_duration_ms(1, 10)),
            2 => (AttemptOutcome::Busy, self.random_duration_ms(1, 10)),
            3 => (AttemptOutcome::Failed, self.random_duration_ms(5, 500)),
            4 => (AttemptOutcome::Abandoned, Duration::from_hours(1)),
            _ => (
                AttemptOutcome::Served { tokens: 20 },
                self.random_duration_ms(10, 400),
            ),
        };
        let record = self.requests.get_mut(&request).expect("a known request");
        record.may_have_run |= matches!(
            outcome,
            AttemptOutcome::Failed | AttemptOutcome::Abandoned | AttemptOutcome::Served { .. }
        );
        // The program abandons an attempt that has no answer at the deadline.
        let at = (self.now + duration).min(deadline_at);
        let outcome = if self.now + duration > deadline_at {
            AttemptOutcome::Abandoned
        } else {
            outcome
        };
        let number = self.next_number();
        self.attempts
            .insert((at, number), Attempt { request, outcome });
    }

    fn check_refusal(&mut self, request: RequestId, refusal: &Refusal) {
        let record = self.requests.get_mut(&request).expect("a known request");
        record.final_answers += 1;
        let text = format!("request {request}, {}", refusal.code);
        if record.may_have_run && refusal.code.ran() == Ran::NotRun {
            self.violations.push(format!(
                "{text}: says \"not run\", but an attempt may have run"
            ));
        }
        if self.now > record.deadline_at + MAX_REFUSAL_DELAY {
            self.violations
                .push(format!("{text}: refused after the deadline"));
        }
        if refusal.retry_after.is_none() {
            self.violations
                .push(format!("{text}: has no retry-after time"));
        }
    }

    fn run(&mut self) {
        for step in 0..STEPS {
            let until = self.now + TICK;
            while let Some(entry) = self.attempts.first_entry() {
                if entry.key().0 > until {
                    break;
                }
                let ((at, _), attempt) = entry.remove_entry();
                self.now = self.now.max(at);
                self.end_attempt(&attempt);
            }
            while let Some(entry) = self.verdicts.first_entry() {
                if entry.key().0 > until {
                    break;
                }
                let (_, (model, verdict)) = entry.remove_entry();
                let actions = self.core.handle_verdict(self.now, &model, verdict);
                self.perform(actions);
            }
            self.now = until;
            if step < STEPS / 2 {
                self.inject_events();
            }
            let actions = self.core.tick(self.now);
            self.perform(actions);
        }
    }

    fn end_attempt(&mut self, attempt: &Attempt) {
        if matches!(
            attempt.outcome,
            AttemptOutcome::Served { .. } | AttemptOutcome::Abandoned
        ) {
            self.requests
                .get_mut(&attempt.request)
                .expect("a known request")
                .final_answers += 1;
        }
        let actions = self
            .core
            .attempt_ended(self.now, attempt.request, attempt.outcome);
        self.perform(actions);
    }

    fn inject_events(&mut self) {
        while self.rng.random_bool(0.4) {
            self.send_random_request();
        }
        if self.rng.random_bool(0.05) {
            let route = (
                self.random_model(),
                format!("engine{}", self.rng.random_range(0..ENGINES)).into(),
            );
            let mut change = RouteChange {
                is_snapshot: self.rng.random_bool(0.1),
                ..Default::default()
            };
            if self.rng.random_bool(0.7) {
                change.added.push(route);
            } else {
                change.removed.push(route);
            }
            let actions = self.core.apply_route_change(self.now, &change, "main");
            self.perform(actions);
        }
    }

    fn check_final_answers(&mut self) {
        for (request, record) in &self.requests {
            if record.final_answers != 1 {
                let text = format!(
                    "request {request} has {} final answers",
                    record.final_answers
                );
                self.violations.push(text);
            }
        }
        if self.core.in_progress() > 0 {
            self.violations.push(format!(
                "{} requests are still in progress",
                self.core.in_progress()
            ));
        }
    }
}

#[test]
fn final_answers_are_unique_and_truthful() {
    let runs = FaultRuns::from_environment(DEFAULT_RUNS);
    let mut broken_runs = Vec::new();
    let mut requests = 0;
    for seed in runs.seeds() {
        let mut world = RouterWorld::new(seed);
        world.run();
        world.check_final_answers();
        requests += world.requests.len();
        if let Some(violation) = world.violations.first() {
            broken_runs.push(format!("seed {seed}: {violation}"));
        }
    }
    println!(
        "{} runs, {requests} requests, {} broken",
        runs.count,
        broken_runs.len()
    );
    runs.assert_none_broken(&broken_runs);
}
