//! Workspaces get service in proportion to their shares, and a flood of requests from one workspace
//! does not raise the tail latency of another.

use passway_config::document::{ModelEntry, PolicyEntry, UpstreamEntry, WorkspaceEntry};
use passway_config::{Catalog, Document};
use passway_decide::messages::RouteChange;
use passway_decide::router::{Arrival, AttemptOutcome, RouterAction, RouterCore};
use passway_types::prelude::*;
use std::collections::{BTreeMap, HashMap};

const SLOTS: u32 = 4;
const SERVICE_TIME: Duration = Duration::from_millis(50);
const TOKENS: u32 = 64;

/// One router with one warm engine, on a virtual clock.
struct RouterSimulation {
    now: Instant,
    started_at: Instant,
    core: RouterCore,
    running: BTreeMap<(Instant, RequestId), String>,
    arrived: HashMap<RequestId, (String, Instant)>,
    wait_times: HashMap<String, Vec<Duration>>,
    served: HashMap<String, u64>,
    max_running_by_workspace: HashMap<String, usize>,
    request_count: RequestId,
}

impl RouterSimulation {
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
        let catalog = Catalog::build(&document, 1).expect("a valid catalog");
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
            started_at: now,
            core,
            running: BTreeMap::new(),
            arrived: HashMap::new(),
            wait_times: HashMap::new(),
            served: HashMap::new(),
            max_running_by_workspace: HashMap::new(),
            request_count: 0,
        }
    }

    fn send_request(&mut self, workspace: &str) {
        self.request_count += 1;
        self.arrived
            .insert(self.request_count, (workspace.to_owned(), self.now));
        let arrival = Arrival {
            request: self.request_count,
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
                let (workspace, arrived_at) = self.arrived[&request].clone();
                self.wait_times
                    .entry(workspace.clone())
                    .or_default()
                    .push(self.now - arrived_at);
                *self.served.entry(workspace.clone()).or_default() += u64::from(TOKENS);
                self.running
                    .insert((self.now + SERVICE_TIME, request), workspace.clone());
                let running_count = self
                    .running
                    .values()
                    .filter(|running_workspace| **running_workspace == workspace)
                    .count();
                let max_running = self.max_running_by_workspace.entry(workspace).or_default();
                *max_running = (*max_running).max(running_count);
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
        let mut wait_times = self.wait_times[workspace].clone();
        wait_times.sort();
        wait_times[wait_times.len() * 99 / 100]
    }
}

#[test]
fn backlogged_workspaces_served_by_share() {
    let mut simulation = RouterSimulation::new(Vec::new());
    for _ in 0..2_000 {
        simulation.send_request("big");
        simulation.send_request("small");
    }
    let mut largest_gap = 0;
    for step in 1..200 {
        simulation.run_until(simulation.started_at + SERVICE_TIME * step);
        let weighted = |workspace: &str, share: u64| simulation.served(workspace) / share;
        largest_gap = largest_gap.max(weighted("big", 3).abs_diff(weighted("small", 1)));
    }
    println!("largest gap of weighted service: {largest_gap} tokens");
    assert!(largest_gap <= u64::from(TOKENS * SLOTS), "{largest_gap}");
}

/// Returns the p99 wait of the small workspace, which sends a request every 100 ms: half of its
/// share of the engine.
fn small_p99_wait(with_flood: bool) -> Duration {
    let mut simulation = RouterSimulation::new(Vec::new());
    for step in 1..400 {
        simulation.send_request("small");
        if with_flood {
            // Ten times the share of the big workspace.
            for _ in 0..60 {
                simulation.send_request("big");
            }
        }
        simulation.run_until(simulation.started_at + Duration::from_millis(100) * step);
    }
    simulation.p99("small")
}

#[test]
fn flood_does_not_delay_other_workspace() {
    let (without_flood, with_flood) = (small_p99_wait(false), small_p99_wait(true));
    println!(
        "p99 wait of the small workspace: {without_flood:?} alone, {with_flood:?} beside a flood"
    );
    // One service time more, because the engine finishes requests that are already running.
    assert!(with_flood <= without_flood + SERVICE_TIME, "{with_flood:?}");
}

#[test]
fn running_cap_is_never_exceeded() {
    let cap = PolicyEntry {
        name: "cap".into(),
        when: "workspace == 'big'".into(),
        max_running: Some(2),
        ..PolicyEntry::default()
    };
    let mut simulation = RouterSimulation::new(vec![cap]);
    for step in 1..100 {
        for _ in 0..4 {
            simulation.send_request("big");
        }
        simulation.send_request("small");
        simulation.run_until(simulation.started_at + Duration::from_millis(20) * step);
    }
    assert_eq!(simulation.max_running_by_workspace["big"], 2);
    assert!(simulation.max_running_by_workspace["small"] > 0);
}
