//! While the weight store is slow, requests that cannot meet their deadline are refused as soon as
//! this is known, with a retry-after time.

use crate::cell_world::{CellWorld, FaultChances};
use passway_config::Document;
use passway_config::document::{ModelEntry, UpstreamEntry, WeightStoreEntry, WorkspaceEntry};
use passway_decide::messages::RouteChange;
use passway_decide::router::{Arrival, RouterAction, RouterCore};
use passway_types::prelude::*;
use std::collections::BTreeSet;

const STEP: Duration = Duration::from_millis(50);

/// A cell with one router, connected without delay.
struct ConnectedCell {
    world: CellWorld,
    router: RouterCore,
    routes: BTreeSet<(ModelName, UpstreamId)>,
    request_count: RequestId,
    outcomes: Vec<(RequestId, Instant, Option<Refusal>)>,
}

impl ConnectedCell {
    fn new() -> Self {
        let models = (0..8).map(|number| ModelEntry {
            name: format!("m{number}"),
            size_mb: 10,
            ..ModelEntry::default()
        });
        let document = Document {
            workspaces: vec![WorkspaceEntry {
                name: "default".into(),
                ..WorkspaceEntry::default()
            }],
            models: models.collect(),
            upstreams: vec![UpstreamEntry {
                id: "engine0".into(),
                address: "10.0.1.1:80".into(),
                data_hall: "hall".into(),
                memory_mb: 1_000,
                ..UpstreamEntry::default()
            }],
            // 10 MB at 25 MB/s take 400 ms, the load time at full speed.
            weight_store: WeightStoreEntry {
                max_loads: 4,
                expected_mb_per_s: 25,
            },
            ..Document::default()
        };
        let world = CellWorld::new(1, 1, &document, FaultChances::default());
        let router = RouterCore::new(9, world.catalog.clone(), world.now);
        let mut cell = Self {
            world,
            router,
            routes: BTreeSet::new(),
            request_count: 0,
            outcomes: Vec::new(),
        };
        cell.run(Duration::from_secs(1));
        cell
    }

    fn send_request(&mut self, model: &str, deadline: Duration) -> RequestId {
        self.request_count += 1;
        let arrival = Arrival {
            request: self.request_count,
            model: format!("{model}@1"),
            workspace: "default".into(),
            kind: String::new(),
            priority: None,
            deadline_at: Some(self.world.now + deadline),
        };
        let actions = self.router.handle_arrival(self.world.now, &arrival);
        self.perform(actions);
        self.request_count
    }

    fn perform(&mut self, actions: Vec<RouterAction>) {
        let now = self.world.now;
        for action in actions {
            match action {
                RouterAction::Start { request, .. } => self.outcomes.push((request, now, None)),
                RouterAction::Refuse { request, refusal } => {
                    self.outcomes.push((request, now, Some(refusal)));
                }
                RouterAction::Demand(demand) => {
                    let deadline = demand.earliest_deadline_at.saturating_duration_since(now);
                    self.world.demand(&demand.model, demand.waiting, deadline);
                }
                RouterAction::Usage(_) => {}
            }
        }
    }

    fn run(&mut self, duration: Duration) {
        let until = self.world.now + duration;
        while self.world.now < until {
            self.world.run(STEP);
            let now = self.world.now;
            let verdicts = std::mem::take(&mut self.world.nodes[0].verdicts);
            for (_, model, verdict) in verdicts {
                let actions = self.router.handle_verdict(now, &model, verdict);
                self.perform(actions);
            }
            let routes = self.world.nodes[0].routes.clone();
            let change = RouteChange {
                added: routes.difference(&self.routes).cloned().collect(),
                removed: self.routes.difference(&routes).cloned().collect(),
                is_snapshot: false,
            };
            self.routes = routes;
            let actions = self.router.apply_route_change(now, &change, "main");
            self.perform(actions);
            let actions = self.router.tick(now);
            self.perform(actions);
        }
    }

    /// Returns the time from `sent_at` to the end of the request, and its refusal.
    fn outcome_of(&self, request: RequestId, sent_at: Instant) -> (Duration, Option<Refusal>) {
        let outcome = self
            .outcomes
            .iter()
            .find(|(number, _, _)| *number == request);
        let (_, at, refusal) = outcome.expect("an ended request");
        (*at - sent_at, refusal.clone())
    }
}

#[test]
fn refused_once_deadline_unreachable() {
    let mut cell = ConnectedCell::new();
    cell.world.load_time = Duration::from_secs(4);
    let started_at = cell.world.now;
    let first = cell.send_request("m0", Duration::from_secs(3));
    let patient = cell.send_request("m1", Duration::from_secs(20));
    cell.run(Duration::from_secs(6));
    let (elapsed, refusal) = cell.outcome_of(first, started_at);
    let refusal = refusal.expect("a 4 s load cannot meet a deadline of 3 s");
    println!(
        "first request: {} after {} ms of 3000",
        refusal.code,
        elapsed.as_millis()
    );
    assert_eq!(refusal.code, ResultCode::DeadlineUnreachable);
    assert!(
        elapsed <= Duration::from_secs(2),
        "refused after {elapsed:?}"
    );
    assert!(refusal.retry_after.is_some());
    let (elapsed, refusal) = cell.outcome_of(patient, started_at);
    assert_eq!(refusal, None, "served after {elapsed:?}");

    // The store's speed is known by now, so the request is refused as soon as the controller
    // answers.
    let sent_at = cell.world.now;
    let second = cell.send_request("m2", Duration::from_secs(3));
    cell.run(Duration::from_secs(4));
    let (elapsed, refusal) = cell.outcome_of(second, sent_at);
    println!(
        "second request: {refusal:?} after {} ms",
        elapsed.as_millis()
    );
    assert_eq!(
        refusal.map(|r| r.code),
        Some(ResultCode::DeadlineUnreachable)
    );
    assert!(
        elapsed <= Duration::from_millis(200),
        "refused after {elapsed:?}"
    );
}

#[test]
fn served_when_deadline_reachable() {
    let mut cell = ConnectedCell::new();
    let sent_at = cell.world.now;
    let requests: Vec<RequestId> = (0..8)
        .map(|number| cell.send_request(&format!("m{number}"), Duration::from_secs(3)))
        .collect();
    cell.run(Duration::from_secs(4));
    for request in requests {
        let (elapsed, refusal) = cell.outcome_of(request, sent_at);
        assert_eq!(refusal, None, "request {request} after {elapsed:?}");
    }
}
