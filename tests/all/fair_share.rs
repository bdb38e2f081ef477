//! Workspaces share a router by their shares, and a flood of one does not move another's tail.

use passway_config::document::{ModelEntry, PolicyEntry, UpstreamEntry, WorkspaceEntry};
use passway_config::{Catalog, Document};
use passway_decide::messages::RouteChange;
use passway_decide::router::{Arrival, AttemptOutcome, RouterAction, RouterCore};
use passway_types::prelude::*;
use std::collections::{BTreeMap, HashMap};

const SLOTS: u32 = 4;
const SERVICE: Duration = Duration::from_millis(50);
const TOKENS: u32 = 64;

/// One router before one warm engine, on a virtual clock.
struct Bench {
    now: Instant,
    start: Instant,
    core: RouterCore,
    running: BTreeMap<(Instant, RequestId), String>,
    arrived: HashMap<RequestId, (String, Instant)>,
    waits: HashMap<String, Vec<Duration>>,
    served: HashMap<String, u64>,
    most_running: HashMap<String, usize>,
    requests: RequestId,
}

impl Bench {
    fn new(policies: Vec<PolicyEntry>) -> Self {
        let workspace = |name: &str, share| WorkspaceEntry {
            name: name.into(),
            share,
            max_waiting: 100_000,
            default_deadline_ms: 3_600_000,
        };
        let document = Document {
            workspaces: vec![workspace("big", 3), workspace("small", 1)],
            models: vec![ModelEntry {
                name: "m".into(),
                size_mb: 1,
                ..ModelEntry::default()
            }],
            upstreams: vec![UpstreamEntry {
                id: "engine0".into(),
                address: "10.0.1.1:80".into(),
                data_hall: "hall".into(),
                memory_mb: 10,
                slots: SLOTS,
                ..UpstreamEntry::default()
            }],
            policies,
            ..Document::default()
        };
        let now = Instant::now();
        let catalog = Catalog::build(&document, 1).expect("catalog");
        let mut core = RouterCore::new(1, Arc::new(catalog), now);
        let route = ("m@1".into(), "engine0".into());
        let change = RouteChange {
            added: vec![route],
            removed: Vec::new(),
            is_snapshot: true,
        };
        core.apply_route_change(now, &change, "main");
        Self {
            now,
            start: now,
            core,
            running: BTreeMap::new(),
            arrived: HashMap::new(),
            waits: HashMap::new(),
            served: HashMap::new(),
            most_running: HashMap::new(),
            requests: 0,
        }
    }

    fn ask(&mut self, workspace: &str) {
        self.requests += 1;
        self.arrived
            .insert(self.requests, (workspace.to_owned(), self.now));
        let arrival = Arrival {
            request: self.requests,
            model: "m@1".into(),
            workspace: workspace.into(),
            kind: String::new(),
            priority: None,
            deadline_at: None,
        };
        let actions = self.core.handle_arrival(self.now, &arrival);
        self.perform(actions);
    }

    fn perform(&mut self, actions: Vec<RouterAction>) {
        for action in actions {
            if let RouterAction::Start { request, .. } = action {
                let (workspace, since) = self.arrived[&request].clone();
                self.waits
                    .entry(workspace.clone())
                    .or_default()
                    .push(self.now - since);
                *self.served.entry(workspace.clone()).or_default() += u64::from(TOKENS);
                self.running
                    .insert((self.now + SERVICE, request), workspace.clone());
                let now_running = self.running.values().filter(|g| **g == workspace).count();
                let most = self.most_running.entry(workspace).or_default();
                *most = (*most).max(now_running);
            }
        }
    }

    fn run_until(&mut self, until: Instant) {
        while let Some(entry) = self.running.first_entry() {
            if entry.key().0 > until {
                break;
            }
            let ((at, request), _) = entry.remove_entry();
            self.now = at;
            let actions =
                self.core
                    .attempt_ended(at, request, AttemptOutcome::Served { tokens: TOKENS });
            self.perform(actions);
        }
        self.now = until;
    }

    fn served(&self, workspace: &str) -> u64 {
        self.served.get(workspace).copied().unwrap_or(0)
    }

    fn p99(&self, workspace: &str) -> Duration {
        let mut waits = self.waits[workspace].clone();
        waits.sort();
        waits[waits.len() * 99 / 100]
    }
}

#[test]
fn backlogged_workspaces() {
    let mut bench = Bench::new(Vec::new());
    for _ in 0..2_000 {
        bench.ask("big");
        bench.ask("small");
    }
    let mut largest_gap = 0;
    for step in 1..200 {
        bench.run_until(bench.start + SERVICE * step);
        let weighted = |workspace: &str, share: u64| bench.served(workspace) / share;
        largest_gap = largest_gap.max(weighted("big", 3).abs_diff(weighted("small", 1)));
    }
    println!("largest gap of weighted service: {largest_gap} tokens");
    assert!(largest_gap <= u64::from(TOKENS * SLOTS), "{largest_gap}");
}

/// The small workspace asks once in 100 ms, half of its share of the engine.
fn small_tail(flood: bool) -> Duration {
    let mut bench = Bench::new(Vec::new());
    for step in 1..400 {
        bench.ask("small");
        if flood {
            // Ten times the share of the big workspace.
            for _ in 0..60 {
                bench.ask("big");
            }
        }
        bench.run_until(bench.start + Duration::from_millis(100) * step);
    }
    bench.p99("small")
}

#[test]
fn flood_of_another() {
    let (alone, flooded) = (small_tail(false), small_tail(true));
    println!("p99 wait of the small workspace: {alone:?} alone, {flooded:?} beside a flood");
    // One service time: the engine does not stop what it has begun.
    assert!(flooded <= alone + SERVICE, "{flooded:?}");
}

#[test]
fn cap_holds_always() {
    let cap = PolicyEntry {
        name: "cap".into(),
        when: "workspace == 'big'".into(),
        max_running: Some(2),
        ..PolicyEntry::default()
    };
    let mut bench = Bench::new(vec![cap]);
    for step in 1..100 {
        for _ in 0..4 {
            bench.ask("big");
        }
        bench.ask("small");
        bench.run_until(bench.start + Duration::from_millis(20) * step);
    }
    assert_eq!(bench.most_running["big"], 2);
    assert!(bench.most_running["small"] > 0);
}
