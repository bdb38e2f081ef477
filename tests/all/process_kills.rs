//! Kills, pauses and drains the programs while requests wait and run.

use crate::processes::{Processes, health, send_request, wait_until_serving};
use crate::support::{long_timeout_plan, small_plan};
use passway_standins::cluster::{ClusterPlan, TestCluster};
use passway_standins::engine;
use passway_standins::key_value;
use passway_standins::load::{Outcome, Sample};
use passway_standins::service;
use passway_types::prelude::*;
use rustix::process::Signal;
use std::thread::JoinHandle;

/// Delay before a signal, so that streams are in progress when it arrives.
const STREAMING_DELAY: Duration = Duration::from_millis(400);
/// Number of tokens of a long answer, which takes about a second.
const LONG_ANSWER_TOKENS: u32 = 200;

fn outcomes(callers: Vec<JoinHandle<Sample>>) -> Vec<Outcome> {
    callers
        .into_iter()
        .map(|caller| caller.join().expect("caller").outcome)
        .collect()
}

fn assert_all_whole(callers: Vec<JoinHandle<Sample>>) {
    for outcome in outcomes(callers) {
        assert_eq!(outcome, Outcome::Whole);
    }
}

#[test]
fn drain_cuts_nothing() {
    let world = TestCluster::start(long_timeout_plan()).expect("world");
    let mut processes = Processes::start(&world);
    let router = processes.routers[0].address;
    let callers: Vec<_> = (0..30)
        .map(|number| send_request(router, "model1@1", number, LONG_ANSWER_TOKENS))
        .collect();
    std::thread::sleep(STREAMING_DELAY);
    processes.routers[0].signal(Signal::TERM);
    assert_all_whole(callers);
    assert_eq!(processes.routers[0].exit_code(), Some(0));
    assert_eq!(health(router), None);
}

#[test]
fn drain_fails_health_check() {
    let world = TestCluster::start(long_timeout_plan()).expect("world");
    let processes = Processes::start(&world);
    let router = processes.routers[0].address;
    let long_call = send_request(router, "model1@1", 0, 4 * LONG_ANSWER_TOKENS);
    std::thread::sleep(STREAMING_DELAY * 2);
    processes.routers[0].signal(Signal::TERM);
    let deadline_at = Instant::now() + Duration::from_secs(5);
    while health(router) != Some(503) {
        assert!(
            Instant::now() < deadline_at,
            "the health check does not report leaving"
        );
    }
    assert_all_whole(vec![long_call]);
}

#[test]
fn killed_router_breaks_own_calls() {
    let world = TestCluster::start(long_timeout_plan()).expect("world");
    let processes = Processes::start(&world);
    let (first, second) = (processes.routers[0].address, processes.routers[1].address);
    let killed_router_calls: Vec<_> = (0..20)
        .map(|number| send_request(first, "model1@1", number, LONG_ANSWER_TOKENS))
        .collect();
    let other_router_calls: Vec<_> = (20..60)
        .map(|number| send_request(second, "model1@1", number, LONG_ANSWER_TOKENS))
        .collect();
    std::thread::sleep(STREAMING_DELAY);
    processes.routers[0].signal(Signal::KILL);
    assert_all_whole(other_router_calls);
    // Callers of the killed router receive a complete answer or a visibly broken one, never a
    // short answer that looks complete.
    for outcome in outcomes(killed_router_calls) {
        assert!(
            matches!(outcome, Outcome::Whole | Outcome::Broken(_)),
            "{outcome:?}"
        );
    }
    assert_eq!(world.load_count("model1@1"), 1);
}

#[test]
fn controller_killed_while_loading() {
    let plan = ClusterPlan {
        instances: 3,
        lease_ms: small_plan().lease_ms,
        ..long_timeout_plan()
    };
    let world = TestCluster::start(plan).expect("world");
    // The load lasts until after the kill, but ends before the deadline.
    world.weight_store.set_slowdown(5);
    let processes = Processes::start(&world);
    let leader = processes.leader();
    let routers: Vec<_> = processes
        .routers
        .iter()
        .map(|router| router.address)
        .collect();
    let callers: Vec<_> = (0..60)
        .map(|number| send_request(routers[number % 3], "model2@1", number, 8))
        .collect();
    std::thread::sleep(STREAMING_DELAY);
    processes.controllers[leader].signal(Signal::KILL);
    assert_all_whole(callers);
    assert_eq!(world.load_count("model2@1"), 1);
}

#[test]
fn controller_paused() {
    for checks_fencing in [true, false] {
        let plan = ClusterPlan {
            instances: 3,
            checks_fencing,
            lease_ms: small_plan().lease_ms,
            ..long_timeout_plan()
        };
        let world = TestCluster::start(plan).expect("world");
        let processes = Processes::start(&world);
        let leader = processes.leader();
        let router = processes.routers[(leader + 1) % 3].address;
        assert_all_whole(vec![send_request(router, "model1@1", 0, 8)]);
        processes.controllers[leader].signal(Signal::STOP);
        let callers =
            (1..5).map(|number| send_request(router, &format!("model{number}@1"), number, 8));
        assert_all_whole(callers.collect());
        processes.controllers[leader].signal(Signal::CONT);
        let callers =
            (1..6).map(|number| send_request(router, &format!("model{number}@1"), number, 8));
        assert_all_whole(callers.collect());
        for engine in &world.engines {
            assert!(engine.ledger().most_bytes <= world.plan.engine_mb << 20);
            assert_eq!(
                engine.ledger().no_room,
                0,
                "an order exceeded the engine's free memory"
            );
        }
        assert_eq!(world.load_count("model1@1"), 1);
    }
}

#[test]
fn engine_terminates_while_streaming() {
    let plan = ClusterPlan {
        max_replicas: 2,
        slots: 8,
        ..long_timeout_plan()
    };
    let world = TestCluster::start(plan).expect("world");
    let processes = Processes::start(&world);
    let router = processes.routers[0].address;
    // More requests than one replica has slots, so that a second replica is loaded.
    let callers: Vec<_> = (0..24)
        .map(|number| send_request(router, "model1@1", number, LONG_ANSWER_TOKENS))
        .collect();
    std::thread::sleep(STREAMING_DELAY * 3);
    let loaded_engine = world
        .engines
        .iter()
        .find(|engine| !engine.loaded().is_empty())
        .expect("a loaded engine");
    loaded_engine.set_faults(engine::Faults {
        dead: true,
        ..Default::default()
    });
    for outcome in outcomes(callers) {
        // The stream is resumed and complete, or the caller receives a refusal. No stream may
        // be short, repeat tokens or stop without an error.
        let is_reported = matches!(
            outcome,
            Outcome::Refused {
                code: 1301 | 1302,
                ..
            }
        );
        assert!(outcome == Outcome::Whole || is_reported, "{outcome:?}");
    }
}

#[test]
fn key_value_outage() {
    let world = TestCluster::start(small_plan()).expect("world");
    let mut processes = Processes::start(&world);
    let router = processes.routers[0].address;
    assert_all_whole(vec![send_request(router, "model1@1", 0, 8)]);
    world.key_value.set_faults(key_value::Faults {
        down: true,
        ..Default::default()
    });
    std::thread::sleep(Duration::from_millis(world.plan.lease_ms));
    // Loaded models are still served. Requests for a model that is not loaded are refused at
    // once with a retry hint.
    assert_all_whole(
        (1..9)
            .map(|number| send_request(router, "model1@1", number, 8))
            .collect(),
    );
    let refused = send_request(router, "model2@1", 9, 8)
        .join()
        .expect("caller");
    let Outcome::Refused {
        code,
        retry_after_ms,
    } = refused.outcome
    else {
        panic!("{:?}", refused.outcome);
    };
    assert_eq!(code, u64::from(ResultCode::ControlUnavailable as u16));
    assert!(retry_after_ms.is_some());
    // A router that restarts during the outage gets the configuration and routes from the
    // controllers.
    let restarted = processes.start_router(1);
    wait_until_serving(restarted.address);
    let restarted_address = restarted.address;
    processes.routers[1] = restarted;
    assert_all_whole(
        (10..14)
            .map(|number| send_request(restarted_address, "model1@1", number, 8))
            .collect(),
    );
    world.key_value.set_faults(key_value::Faults::default());
    let deadline_at = Instant::now() + Duration::from_secs(20);
    loop {
        let outcome = send_request(router, "model2@1", 20, 8)
            .join()
            .expect("caller")
            .outcome;
        if outcome == Outcome::Whole {
            break;
        }
        assert!(Instant::now() < deadline_at, "{outcome:?}");
    }
}

#[test]
fn leaving_upstream_gets_no_requests() {
    let plan = ClusterPlan {
        list_lag: Duration::from_mins(1),
        ..long_timeout_plan()
    };
    let world = TestCluster::start(plan).expect("world");
    let processes = Processes::start(&world);
    let router = processes.routers[0].address;
    assert_all_whole(vec![send_request(router, "model1@1", 0, 8)]);
    let loaded_engine = world
        .engines
        .iter()
        .find(|engine| !engine.loaded().is_empty())
        .expect("a loaded engine");
    // The engine itself reports that it leaves; the list would show it a minute later.
    loaded_engine.set_faults(engine::Faults {
        leaving: true,
        ..Default::default()
    });
    std::thread::sleep(Duration::from_secs(3));
    let requests_before = loaded_engine.ledger().requests;
    assert_all_whole(
        (1..9)
            .map(|number| send_request(router, "model1@1", number, 8))
            .collect(),
    );
    assert_eq!(
        loaded_engine.ledger().requests,
        requests_before,
        "the leaving engine received new requests after three seconds"
    );
}

#[test]
fn isolated_instance_refuses_requests() {
    let world = TestCluster::start(small_plan()).expect("world");
    let processes = Processes::start(&world);
    let router = processes.routers[0].address;
    assert_all_whole(vec![send_request(router, "model1@1", 0, 8)]);
    // The router's controller can reach neither the key-value service nor another controller.
    world.key_value.set_faults(key_value::Faults {
        down: true,
        ..Default::default()
    });
    processes.controllers[1].signal(Signal::STOP);
    let deadline_at = Instant::now() + Duration::from_mins(1);
    let stale = u64::from(ResultCode::ConfigStale as u16);
    let is_stale = |number| {
        let outcome = send_request(router, "model1@1", number, 8)
            .join()
            .expect("caller")
            .outcome;
        matches!(outcome, Outcome::Refused { code, .. } if code == stale)
    };
    while !is_stale(1) {
        assert!(
            Instant::now() < deadline_at,
            "new requests are still accepted"
        );
        std::thread::sleep(STREAMING_DELAY);
    }
    // Further heartbeats of the isolated controller do not end the refusals, which apply to
    // plain services too.
    for number in 2..12 {
        assert!(is_stale(number));
        let url = format!("http://{router}/services/service0/tags");
        let answer = ureq::get(url)
            .config()
            .http_status_as_error(false)
            .build()
            .call();
        let answer = answer.expect("answer");
        let code = answer
            .headers()
            .get("x-passway-code")
            .and_then(|code| code.to_str().ok());
        assert_eq!(code.and_then(|code| code.parse().ok()), Some(stale));
        std::thread::sleep(Duration::from_millis(7));
    }
    processes.controllers[1].signal(Signal::CONT);
    while is_stale(20) {
        assert!(
            Instant::now() < deadline_at,
            "new requests are still refused"
        );
        std::thread::sleep(STREAMING_DELAY);
    }
}

#[test]
fn outcome_written_before_stop() {
    let world = TestCluster::start(long_timeout_plan()).expect("world");
    let mut processes = Processes::start(&world);
    let (first, second) = (processes.routers[0].address, processes.routers[1].address);
    let charge = |router| {
        let url = format!("http://{router}/services/service0/charge");
        let request = ureq::post(url).config().http_status_as_error(false).build();
        let answer = request
            .header("idempotency-key", "k")
            .send("x")
            .expect("answer");
        answer.into_body().read_to_string().expect("body")
    };
    // The claim is written; then the key-value service becomes unavailable during the call.
    let slow_faults = service::Faults {
        delay_ms: 500,
        ..Default::default()
    };
    world.services[0].set_faults(slow_faults);
    let caller = std::thread::spawn(move || charge(first));
    let deadline_at = Instant::now() + Duration::from_secs(20);
    while !world.key_value.contains("claims/service0/6b") {
        assert!(Instant::now() < deadline_at, "no claim is written");
        std::thread::yield_now();
    }
    world.key_value.set_faults(key_value::Faults {
        down: true,
        ..Default::default()
    });
    assert_eq!(caller.join().expect("caller"), "receipt k run 1");
    processes.routers[0].signal(Signal::TERM);
    // Longer than the grace period for the load balancer, after which only the outcome remains
    // to be written.
    std::thread::sleep(Duration::from_millis(2_500));
    world.key_value.set_faults(key_value::Faults::default());
    assert_eq!(processes.routers[0].exit_code(), Some(0));
    assert_eq!(charge(second), "receipt k run 1");
    assert_eq!(world.services[0].runs().get("k"), Some(&1));
}
