//! Every request gets one final answer in time, and "not run" is true, under
//! faults drawn at random against one router's decisions.
//!
//! `PASSWAY_FAULT_RUNS` sets the number of runs, `PASSWAY_FAULT_SEED` the first seed.

use crate::support::FaultRuns;
use passway_config::document::{ModelEntry, PolicyEntry, UpstreamEntry, WorkspaceEntry};
use passway_config::{Catalog, Document};
use passway_decide::messages::{DemandVerdict, RouteChange};
use passway_decide::router::{Arrival, Ended, RouterAction, RouterCore};
use passway_types::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, HashMap};

const DEFAULT_RUNS: u64 = 100;
const TICK: Duration = Duration::from_millis(20);
const STEPS: u32 = 1_000;
const MODELS: usize = 4;
const ENGINES: usize = 3;
/// A refusal may leave this much before the deadline, never after it.
const TRAVEL: Duration = Duration::from_millis(20);

/// What the test knows of one request.
#[derive(Debug)]
struct Known {
    deadline_at: Instant,
    /// Whether any attempt may have reached an upstream.
    reached: bool,
    finals: u32,
}

/// An attempt that an upstream works on.
struct Attempt {
    request: RequestId,
    ended: Ended,
}

struct World {
    now: Instant,
    rng: ChaCha8Rng,
    core: RouterCore,
    requests: HashMap<RequestId, Known>,
    attempts: BTreeMap<(Instant, u64), Attempt>,
    verdicts: BTreeMap<(Instant, u64), (ModelName, DemandVerdict)>,
    numbers: u64,
    faults: Vec<String>,
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
    let wait = PolicyEntry {
        name: "short".into(),
        when: "kind == 'short'".into(),
        may_wait_ms: Some(300),
        ..PolicyEntry::default()
    };
    let document = Document {
        workspaces: workspaces.into(),
        models: models.collect(),
        upstreams: upstreams.collect(),
        policies: vec![wait],
        ..Document::default()
    };
    Catalog::build(&document, 1).expect("catalog")
}

impl World {
    fn new(seed: u64) -> Self {
        let now = Instant::now();
        Self {
            now,
            rng: ChaCha8Rng::seed_from_u64(seed),
            core: RouterCore::new(seed, Arc::new(catalog()), now),
            requests: HashMap::new(),
            attempts: BTreeMap::new(),
            verdicts: BTreeMap::new(),
            numbers: 0,
            faults: Vec::new(),
        }
    }

    fn number(&mut self) -> u64 {
        self.numbers += 1;
        self.numbers
    }

    fn ms(&mut self, from: u64, to: u64) -> Duration {
        Duration::from_millis(self.rng.random_range(from..to))
    }

    fn model(&mut self) -> ModelName {
        format!("m{}@1", self.rng.random_range(0..MODELS)).into()
    }

    fn arrive(&mut self) {
        let request = self.number();
        let deadline_at = self.now + self.ms(20, 5_000);
        let known = Known {
            deadline_at,
            reached: false,
            finals: 0,
        };
        self.requests.insert(request, known);
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
            model: self.model().to_string(),
            workspace: workspace.into(),
            kind: kind.into(),
            priority: None,
            deadline_at: Some(deadline_at),
        };
        let actions = self.core.arrive(self.now, &arrival);
        self.perform(actions);
    }

    fn perform(&mut self, actions: Vec<RouterAction>) {
        for action in actions {
            match action {
                RouterAction::Start { request, .. } => self.started(request),
                RouterAction::Refuse { request, refusal } => self.refused(request, &refusal),
                RouterAction::Demand(demand) if demand.waiting > 0 => {
                    // Some demands are lost, and some answers are.
                    if self.rng.random_bool(0.7) {
                        let at = self.now + self.ms(1, 50);
                        let verdict = self.verdict();
                        let number = self.number();
                        self.verdicts.insert((at, number), (demand.model, verdict));
                    }
                }
                RouterAction::Demand(_) | RouterAction::Usage(_) => {}
            }
        }
    }

    fn verdict(&mut self) -> DemandVerdict {
        if self.rng.random_bool(0.15) {
            let retry_at = self.now + self.ms(100, 3_000);
            return DemandVerdict::Refused {
                code: ResultCode::NoCapacity,
                retry_at,
            };
        }
        DemandVerdict::ReadyAt(self.now + self.ms(50, 4_000))
    }

    fn started(&mut self, request: RequestId) {
        let known = self.requests.get_mut(&request).expect("known");
        if known.finals > 0 {
            self.faults
                .push(format!("request {request} was started after its end"));
        }
        let deadline_at = known.deadline_at;
        let (ended, time) = match self.rng.random_range(0..10) {
            0 => (Ended::Unreachable, self.ms(1, 10)),
            1 => (Ended::NotLoaded, self.ms(1, 10)),
            2 => (Ended::Busy, self.ms(1, 10)),
            3 => (Ended::Failed, self.ms(5, 500)),
            4 => (Ended::Abandoned, Duration::from_hours(1)),
            _ => (Ended::Served { tokens: 20 }, self.ms(10, 400)),
        };
        let known = self.requests.get_mut(&request).expect("known");
        known.reached |= matches!(
            ended,
            Ended::Failed | Ended::Abandoned | Ended::Served { .. }
        );
        // The program ends an attempt that is not answered at the deadline.
        let at = (self.now + time).min(deadline_at);
        let ended = if self.now + time > deadline_at {
            Ended::Abandoned
        } else {
            ended
        };
        let number = self.number();
        self.attempts
            .insert((at, number), Attempt { request, ended });
    }

    fn refused(&mut self, request: RequestId, refusal: &Refusal) {
        let known = self.requests.get_mut(&request).expect("known");
        known.finals += 1;
        let text = format!("request {request}, {}", refusal.code);
        if known.reached && refusal.code.ran() == Ran::NotRun {
            self.faults.push(format!("{text}: \"not run\" is not true"));
        }
        if self.now > known.deadline_at + TRAVEL {
            self.faults
                .push(format!("{text}: refused after the deadline"));
        }
        if refusal.retry_after.is_none() {
            self.faults
                .push(format!("{text}: does not say when to come back"));
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
                self.end(&attempt);
            }
            while let Some(entry) = self.verdicts.first_entry() {
                if entry.key().0 > until {
                    break;
                }
                let (_, (model, verdict)) = entry.remove_entry();
                let actions = self.core.verdict(self.now, &model, verdict);
                self.perform(actions);
            }
            self.now = until;
            if step < STEPS / 2 {
                self.disturb();
            }
            let actions = self.core.tick(self.now);
            self.perform(actions);
        }
    }

    fn end(&mut self, attempt: &Attempt) {
        if matches!(attempt.ended, Ended::Served { .. } | Ended::Abandoned) {
            self.requests
                .get_mut(&attempt.request)
                .expect("known")
                .finals += 1;
        }
        let actions = self.core.ended(self.now, attempt.request, attempt.ended);
        self.perform(actions);
    }

    fn disturb(&mut self) {
        while self.rng.random_bool(0.4) {
            self.arrive();
        }
        if self.rng.random_bool(0.05) {
            let route = (
                self.model(),
                format!("engine{}", self.rng.random_range(0..ENGINES)).into(),
            );
            let mut change = RouteChange {
                whole: self.rng.random_bool(0.1),
                ..Default::default()
            };
            if self.rng.random_bool(0.7) {
                change.added.push(route);
            } else {
                change.removed.push(route);
            }
            let actions = self.core.routes_changed(self.now, &change, "main");
            self.perform(actions);
        }
    }

    fn judge(&mut self) {
        for (request, known) in &self.requests {
            if known.finals != 1 {
                let text = format!("request {request} has {} final answers", known.finals);
                self.faults.push(text);
            }
        }
        if self.core.in_progress() > 0 {
            self.faults
                .push(format!("{} requests are left", self.core.in_progress()));
        }
    }
}

#[test]
fn final_and_true() {
    let runs = FaultRuns::from_environment(DEFAULT_RUNS);
    let mut broken = Vec::new();
    let mut requests = 0;
    for seed in runs.seeds() {
        let mut world = World::new(seed);
        world.run();
        world.judge();
        requests += world.requests.len();
        if let Some(fault) = world.faults.first() {
            broken.push(format!("seed {seed}: {fault}"));
        }
    }
    println!(
        "{} runs, {requests} requests, {} broken",
        runs.count,
        broken.len()
    );
    runs.assert_no_violations(&broken);
}
