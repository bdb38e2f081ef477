//! Retries stay within their budget when a third of the upstreams fail, and routers share slots by
//! the known number of routers.

use passway_config::document::{ModelEntry, UpstreamEntry, WorkspaceEntry};
use passway_config::{Catalog, Document};
use passway_decide::messages::RouteChange;
use passway_decide::router::{Arrival, AttemptOutcome, RouterAction, RouterCore};
use passway_types::prelude::*;

const UPSTREAMS: usize = 9;
const REQUESTS: u64 = 20_000;
const ARRIVAL_INTERVAL: Duration = Duration::from_millis(2);

fn router_core(now: Instant) -> RouterCore {
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
    let catalog = Catalog::build(&document, 1).expect("a valid catalog");
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

/// Returns a request for the only model, without a deadline.
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

/// Returns the numbers of attempts and of complete answers when every attempt at every third
/// upstream ends with `failure`.
fn run_with_failures(failure: AttemptOutcome) -> (u64, u64) {
    let mut now = Instant::now();
    let mut core = router_core(now);
    let (mut attempts, mut served) = (0, 0);
    for request in 0..REQUESTS {
        now += ARRIVAL_INTERVAL;
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
            let number: usize = upstream["engine".len()..]
                .parse()
                .expect("an engine number");
            let is_failing = number.is_multiple_of(3);
            let ended = if is_failing {
                failure
            } else {
                AttemptOutcome::Served { tokens: 1 }
            };
            served += u64::from(!is_failing);
            actions.extend(core.attempt_ended(now, request, ended));
        }
    }
    (attempts, served)
}

#[test]
fn retries_within_budget_when_third_fails() {
    for failure in [
        AttemptOutcome::Unreachable,
        AttemptOutcome::Failed,
        AttemptOutcome::Busy,
        AttemptOutcome::NotLoaded,
    ] {
        let (attempts, served) = run_with_failures(failure);
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

/// Returns how many attempts a router starts when far more requests arrive than it has slots.
fn count_started(core: &mut RouterCore, first: RequestId, now: Instant) -> usize {
    let mut actions = Vec::new();
    for request in first..first + 900 {
        let arrival = arrival(request);
        actions.extend(core.handle_arrival(now, &arrival));
    }
    let is_start = |action: &&RouterAction| matches!(action, RouterAction::Start { .. });
    actions.iter().filter(is_start).count()
}

#[test]
fn slots_shared_while_fleet_starts() {
    let now = Instant::now();
    let mut core = router_core(now);
    core.assume_listed_routers(6, now + Duration::from_secs(15));
    // The first heartbeat, from a controller that only this router has reached so far.
    core.set_router_count(1, now);
    assert_eq!(count_started(&mut core, 0, now), UPSTREAMS * (64 / 6));
}

#[test]
fn slots_follow_router_count_later() {
    let now = Instant::now();
    let mut core = router_core(now);
    core.assume_listed_routers(6, now + Duration::from_secs(15));
    let later = now + Duration::from_secs(20);
    core.set_router_count(2, later);
    assert_eq!(count_started(&mut core, 0, later), UPSTREAMS * 32);
}
