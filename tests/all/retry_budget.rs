//! Retries stay within their budget when a third of the upstreams fail.

use passway_config::document::{ModelEntry, UpstreamEntry, WorkspaceEntry};
use passway_config::{Catalog, Document};
use passway_decide::messages::RouteChange;
use passway_decide::router::{Arrival, AttemptOutcome, RouterAction, RouterCore};
use passway_types::prelude::*;

const UPSTREAMS: usize = 9;
const REQUESTS: u64 = 20_000;
const BETWEEN: Duration = Duration::from_millis(2);

fn core(now: Instant) -> RouterCore {
    let upstreams = (0..UPSTREAMS).map(|number| UpstreamEntry {
        id: format!("engine{number}"),
        address: "10.0.1.1:80".into(),
        data_hall: "hall".into(),
        memory_mb: 10,
        slots: 64,
        ..UpstreamEntry::default()
    });
    let model = ModelEntry {
        name: "m".into(),
        size_mb: 1,
        max_replicas: 9,
        ..ModelEntry::default()
    };
    let document = Document {
        workspaces: vec![WorkspaceEntry {
            name: "default".into(),
            ..WorkspaceEntry::default()
        }],
        models: vec![model],
        upstreams: upstreams.collect(),
        ..Document::default()
    };
    let catalog = Catalog::build(&document, 1).expect("catalog");
    let mut core = RouterCore::new(3, Arc::new(catalog), now);
    let added = (0..UPSTREAMS).map(|number| ("m@1".into(), format!("engine{number}").into()));
    let change = RouteChange {
        added: added.collect(),
        removed: Vec::new(),
        is_snapshot: true,
    };
    core.apply_route_change(now, &change, "main");
    core
}

/// A request for the only model, without a deadline.
fn arrival(request: RequestId) -> Arrival {
    Arrival {
        request,
        model: "m@1".into(),
        workspace: "default".into(),
        kind: String::new(),
        priority: None,
        deadline_at: None,
    }
}

/// Attempts and whole answers when attempts at every third upstream end so.
fn attempts(failure: AttemptOutcome) -> (u64, u64) {
    let mut now = Instant::now();
    let mut core = core(now);
    let (mut attempts, mut served) = (0, 0);
    for request in 0..REQUESTS {
        now += BETWEEN;
        let arrival = arrival(request);
        let mut actions = core.handle_arrival(now, &arrival);
        actions.extend(core.tick(now));
        while let Some(action) = actions.pop() {
            let RouterAction::Start {
                request, upstream, ..
            } = action
            else {
                continue;
            };
            attempts += 1;
            let number: usize = upstream["engine".len()..].parse().expect("number");
            let fails = number.is_multiple_of(3);
            let ended = if fails {
                failure
            } else {
                AttemptOutcome::Served { tokens: 1 }
            };
            served += u64::from(!fails);
            actions.extend(core.attempt_ended(now, request, ended));
        }
    }
    (attempts, served)
}

#[test]
fn third_fails() {
    for failure in [
        AttemptOutcome::Unreachable,
        AttemptOutcome::Failed,
        AttemptOutcome::Busy,
        AttemptOutcome::NotLoaded,
    ] {
        let (attempts, served) = attempts(failure);
        println!("{failure:?}: {attempts} attempts, {served} served, of {REQUESTS}");
        assert!(
            attempts * 10 <= REQUESTS * 11,
            "{failure:?}: {attempts} attempts"
        );
        assert!(
            served * 100 >= REQUESTS * 95,
            "{failure:?}: {served} served"
        );
    }
}

/// Attempts that a router starts when far more requests come than it may start.
fn started(core: &mut RouterCore, first: RequestId, now: Instant) -> usize {
    let mut actions = Vec::new();
    for request in first..first + 900 {
        let arrival = arrival(request);
        actions.extend(core.handle_arrival(now, &arrival));
    }
    let starts = |action: &&RouterAction| matches!(action, RouterAction::Start { .. });
    actions.iter().filter(starts).count()
}

#[test]
fn starting_fleet_shares() {
    let now = Instant::now();
    let mut core = core(now);
    core.assume_listed_routers(6, now + Duration::from_secs(15));
    // The first heartbeat of a controller that only this router has reached yet.
    core.set_router_count(1, now);
    assert_eq!(started(&mut core, 0, now), UPSTREAMS * (64 / 6));
}

#[test]
fn lost_routers_share() {
    let now = Instant::now();
    let mut core = core(now);
    core.assume_listed_routers(6, now + Duration::from_secs(15));
    let later = now + Duration::from_secs(20);
    core.set_router_count(2, later);
    assert_eq!(started(&mut core, 0, later), UPSTREAMS * 32);
}
