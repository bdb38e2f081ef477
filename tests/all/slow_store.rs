//! With the weight store slowed down, what cannot be met is refused as soon as
//! that is known, with when to come back.

use crate::cell_world::{CellWorld, Chances};
use passway_config::Document;
use passway_config::document::{ModelEntry, UpstreamEntry, WeightStoreEntry, WorkspaceEntry};
use passway_decide::messages::RouteChange;
use passway_decide::router::{Arrival, RouterAction, RouterCore};
use passway_types::prelude::*;
use std::collections::BTreeSet;

const STEP: Duration = Duration::from_millis(50);

/// A cell with one router that hears and is heard at once.
struct Joined {
    world: CellWorld,
    router: RouterCore,
    routes: BTreeSet<(ModelName, UpstreamId)>,
    requests: RequestId,
    ended: Vec<(RequestId, Instant, Option<Refusal>)>,
}

impl Joined {
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
            // 10 MB at 25 MB/s: the 400 ms that a load takes at full speed.
            weight_store: WeightStoreEntry {
                max_loads: 4,
                expected_mb_per_s: 25,
            },
            ..Document::default()
        };
        let world = CellWorld::new(1, 1, &document, Chances::default());
        let router = RouterCore::new(9, world.catalog.clone(), world.now);
        let mut joined = Self {
            world,
            router,
            routes: BTreeSet::new(),
            requests: 0,
            ended: Vec::new(),
        };
        joined.run(Duration::from_secs(1));
        joined
    }

    fn ask(&mut self, model: &str, deadline: Duration) -> RequestId {
        self.requests += 1;
        let arrival = Arrival {
            request: self.requests,
            model: format!("{model}@1"),
            workspace: "default".into(),
            kind: String::new(),
            priority: None,
            deadline_at: Some(self.world.now + deadline),
        };
        let actions = self.router.handle_arrival(self.world.now, &arrival);
        self.perform(actions);
        self.requests
    }

    fn perform(&mut self, actions: Vec<RouterAction>) {
        let now = self.world.now;
        for action in actions {
            match action {
                RouterAction::Start { request, .. } => self.ended.push((request, now, None)),
                RouterAction::Refuse { request, refusal } => {
                    self.ended.push((request, now, Some(refusal)));
                }
                RouterAction::Demand(demand) => {
                    let deadline = demand.earliest_deadline_at.saturating_duration_since(now);
                    self.world.demand(&demand.model, demand.waiting, deadline);
                }
                RouterAction::Usage(_) => {}
            }
        }
    }

    fn run(&mut self, time: Duration) {
        let until = self.world.now + time;
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

    /// When the request ended, counted from `since`, and its refusal.
    fn end_of(&self, request: RequestId, since: Instant) -> (Duration, Option<Refusal>) {
        let ended = self.ended.iter().find(|(number, _, _)| *number == request);
        let (_, at, refusal) = ended.expect("ended");
        (*at - since, refusal.clone())
    }
}

#[test]
fn refused_when_known() {
    let mut joined = Joined::new();
    joined.world.load_time = Duration::from_secs(4);
    let began_at = joined.world.now;
    let first = joined.ask("m0", Duration::from_secs(3));
    let patient = joined.ask("m1", Duration::from_secs(20));
    joined.run(Duration::from_secs(6));
    let (after, refusal) = joined.end_of(first, began_at);
    let refusal = refusal.expect("a 4 s load cannot meet a deadline of 3 s");
    println!(
        "first request: {} after {} ms of 3000",
        refusal.code,
        after.as_millis()
    );
    assert_eq!(refusal.code, ResultCode::DeadlineUnreachable);
    assert!(after <= Duration::from_secs(2), "held back for {after:?}");
    assert!(refusal.retry_after.is_some());
    let (after, refusal) = joined.end_of(patient, began_at);
    assert_eq!(refusal, None, "served after {after:?}");

    // The store's pace is known by now: refused as soon as the controller has answered.
    let asked_at = joined.world.now;
    let second = joined.ask("m2", Duration::from_secs(3));
    joined.run(Duration::from_secs(4));
    let (after, refusal) = joined.end_of(second, asked_at);
    println!("second request: {refusal:?} after {} ms", after.as_millis());
    assert_eq!(
        refusal.map(|r| r.code),
        Some(ResultCode::DeadlineUnreachable)
    );
    assert!(
        after <= Duration::from_millis(200),
        "held back for {after:?}"
    );
}

#[test]
fn served_when_possible() {
    let mut joined = Joined::new();
    let asked_at = joined.world.now;
    let requests: Vec<RequestId> = (0..8)
        .map(|number| joined.ask(&format!("m{number}"), Duration::from_secs(3)))
        .collect();
    joined.run(Duration::from_secs(4));
    for request in requests {
        let (after, refusal) = joined.end_of(request, asked_at);
        assert_eq!(refusal, None, "request {request} after {after:?}");
    }
}
