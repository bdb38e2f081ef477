//! Programs are killed, paused and drained while requests wait and run.

use crate::processes::{Processes, ask, health, wait_until_serving};
use crate::support::{patient_plan, small_plan};
use passway_standins::cluster::{ClusterPlan, TestCluster};
use passway_standins::engine;
use passway_standins::key_value;
use passway_standins::load::{Outcome, Sample};
use passway_standins::service;
use passway_types::prelude::*;
use rustix::process::Signal;
use std::thread::JoinHandle;

/// Long enough for streams to be under way when the signal comes.
const HEAD_START: Duration = Duration::from_millis(400);
/// Tokens of a long answer: about a second.
const LONG: u32 = 200;

fn outcomes(callers: Vec<JoinHandle<Sample>>) -> Vec<Outcome> {
    callers
        .into_iter()
        .map(|caller| caller.join().expect("caller").outcome)
        .collect()
}

fn all_whole(callers: Vec<JoinHandle<Sample>>) {
    for outcome in outcomes(callers) {
        assert_eq!(outcome, Outcome::Whole);
    }
}

#[test]
fn drain_cuts_nothing() {
    let world = TestCluster::start(patient_plan()).expect("world");
    let mut processes = Processes::start(&world);
    let router = processes.routers[0].address;
    let callers: Vec<_> = (0..30)
        .map(|number| ask(router, "model1@1", number, LONG))
        .collect();
    std::thread::sleep(HEAD_START);
    processes.routers[0].signal(Signal::TERM);
    all_whole(callers);
    assert_eq!(processes.routers[0].exit_code(), Some(0));
    assert_eq!(health(router), None);
}

#[test]
fn drain_says_so() {
    let world = TestCluster::start(patient_plan()).expect("world");
    let processes = Processes::start(&world);
    let router = processes.routers[0].address;
    let long = ask(router, "model1@1", 0, 4 * LONG);
    std::thread::sleep(HEAD_START * 2);
    processes.routers[0].signal(Signal::TERM);
    let limit_at = Instant::now() + Duration::from_secs(5);
    while health(router) != Some(503) {
        assert!(Instant::now() < limit_at, "the health check does not turn");
    }
    all_whole(vec![long]);
}

#[test]
fn killed_router_alone() {
    let world = TestCluster::start(patient_plan()).expect("world");
    let processes = Processes::start(&world);
    let (first, second) = (processes.routers[0].address, processes.routers[1].address);
    let lost: Vec<_> = (0..20)
        .map(|number| ask(first, "model1@1", number, LONG))
        .collect();
    let kept: Vec<_> = (20..60)
        .map(|number| ask(second, "model1@1", number, LONG))
        .collect();
    std::thread::sleep(HEAD_START);
    processes.routers[0].signal(Signal::KILL);
    all_whole(kept);
    // Its own callers see a broken answer, never a short one that looks whole.
    for outcome in outcomes(lost) {
        assert!(
            matches!(outcome, Outcome::Whole | Outcome::Broken(_)),
            "{outcome:?}"
        );
    }
    assert_eq!(world.load_count("model1@1"), 1);
}

#[test]
fn controller_killed_loading() {
    let plan = ClusterPlan {
        instances: 3,
        lease_ms: small_plan().lease_ms,
        ..patient_plan()
    };
    let world = TestCluster::start(plan).expect("world");
    // A load that takes longer than the kill and less than the deadline.
    world.weight_store.set_slowdown(5);
    let processes = Processes::start(&world);
    let leader = processes.leader();
    let routers: Vec<_> = processes
        .routers
        .iter()
        .map(|router| router.address)
        .collect();
    let callers: Vec<_> = (0..60)
        .map(|number| ask(routers[number % 3], "model2@1", number, 8))
        .collect();
    std::thread::sleep(HEAD_START);
    processes.controllers[leader].signal(Signal::KILL);
    all_whole(callers);
    assert_eq!(world.load_count("model2@1"), 1);
}

#[test]
fn controller_paused() {
    for checks_fencing in [true, false] {
        let plan = ClusterPlan {
            instances: 3,
            checks_fencing,
            lease_ms: small_plan().lease_ms,
            ..patient_plan()
        };
        let world = TestCluster::start(plan).expect("world");
        let processes = Processes::start(&world);
        let leader = processes.leader();
        let router = processes.routers[(leader + 1) % 3].address;
        all_whole(vec![ask(router, "model1@1", 0, 8)]);
        processes.controllers[leader].signal(Signal::STOP);
        let callers = (1..5).map(|number| ask(router, &format!("model{number}@1"), number, 8));
        all_whole(callers.collect());
        processes.controllers[leader].signal(Signal::CONT);
        let callers = (1..6).map(|number| ask(router, &format!("model{number}@1"), number, 8));
        all_whole(callers.collect());
        for engine in &world.engines {
            assert!(engine.ledger().most_bytes <= world.plan.engine_mb << 20);
            assert_eq!(
                engine.ledger().no_room,
                0,
                "an order for which there was no room"
            );
        }
        assert_eq!(world.load_count("model1@1"), 1);
    }
}

#[test]
fn engine_dies_streaming() {
    let plan = ClusterPlan {
        max_replicas: 2,
        slots: 8,
        ..patient_plan()
    };
    let world = TestCluster::start(plan).expect("world");
    let processes = Processes::start(&world);
    let router = processes.routers[0].address;
    // More than one replica's slots, so that there are two.
    let callers: Vec<_> = (0..24)
        .map(|number| ask(router, "model1@1", number, LONG))
        .collect();
    std::thread::sleep(HEAD_START * 3);
    let holding = world
        .engines
        .iter()
        .find(|engine| !engine.loaded().is_empty())
        .expect("one");
    holding.set_faults(engine::Faults {
        dead: true,
        ..Default::default()
    });
    for outcome in outcomes(callers) {
        // Resumed whole, or told that it broke; never short, doubled or silent.
        let told = matches!(
            outcome,
            Outcome::Refused {
                code: 1301 | 1302,
                ..
            }
        );
        assert!(outcome == Outcome::Whole || told, "{outcome:?}");
    }
}

#[test]
fn outage_of_key_value() {
    let world = TestCluster::start(small_plan()).expect("world");
    let mut processes = Processes::start(&world);
    let router = processes.routers[0].address;
    all_whole(vec![ask(router, "model1@1", 0, 8)]);
    world.key_value.set_faults(key_value::Faults {
        down: true,
        ..Default::default()
    });
    std::thread::sleep(Duration::from_millis(world.plan.lease_ms));
    // What is loaded goes on serving; what sleeps is refused at once with a hint.
    all_whole(
        (1..9)
            .map(|number| ask(router, "model1@1", number, 8))
            .collect(),
    );
    let refused = ask(router, "model2@1", 9, 8).join().expect("caller");
    let Outcome::Refused {
        code,
        retry_after_ms,
    } = refused.outcome
    else {
        panic!("{:?}", refused.outcome);
    };
    assert_eq!(code, u64::from(ResultCode::ControlUnavailable as u16));
    assert!(retry_after_ms.is_some());
    // A router that restarts now gets the configuration and routes from controllers.
    let fresh = processes.start_router(1);
    wait_until_serving(fresh.address);
    let again = fresh.address;
    processes.routers[1] = fresh;
    all_whole(
        (10..14)
            .map(|number| ask(again, "model1@1", number, 8))
            .collect(),
    );
    world.key_value.set_faults(key_value::Faults::default());
    let limit_at = Instant::now() + Duration::from_secs(20);
    loop {
        let woken = ask(router, "model2@1", 20, 8)
            .join()
            .expect("caller")
            .outcome;
        if woken == Outcome::Whole {
            break;
        }
        assert!(Instant::now() < limit_at, "{woken:?}");
    }
}

#[test]
fn leaving_upstream() {
    let plan = ClusterPlan {
        list_lag: Duration::from_mins(1),
        ..patient_plan()
    };
    let world = TestCluster::start(plan).expect("world");
    let processes = Processes::start(&world);
    let router = processes.routers[0].address;
    all_whole(vec![ask(router, "model1@1", 0, 8)]);
    let holding = world
        .engines
        .iter()
        .find(|engine| !engine.loaded().is_empty())
        .expect("one");
    // The engine says so itself; the list would show it a minute later.
    holding.set_faults(engine::Faults {
        leaving: true,
        ..Default::default()
    });
    std::thread::sleep(Duration::from_secs(3));
    let before = holding.ledger().requests;
    all_whole(
        (1..9)
            .map(|number| ask(router, "model1@1", number, 8))
            .collect(),
    );
    assert_eq!(
        holding.ledger().requests,
        before,
        "new work after three seconds"
    );
}

#[test]
fn isolated_refuses() {
    let world = TestCluster::start(small_plan()).expect("world");
    let processes = Processes::start(&world);
    let router = processes.routers[0].address;
    all_whole(vec![ask(router, "model1@1", 0, 8)]);
    // Neither the key-value service nor another controller is left to ask.
    world.key_value.set_faults(key_value::Faults {
        down: true,
        ..Default::default()
    });
    processes.controllers[1].signal(Signal::STOP);
    let limit_at = Instant::now() + Duration::from_mins(1);
    let stale = u64::from(ResultCode::ConfigStale as u16);
    let is_stale = |number| {
        let outcome = ask(router, "model1@1", number, 8)
            .join()
            .expect("caller")
            .outcome;
        matches!(outcome, Outcome::Refused { code, .. } if code == stale)
    };
    while !is_stale(1) {
        assert!(Instant::now() < limit_at, "new work is still taken");
        std::thread::sleep(HEAD_START);
    }
    // And it stays so, heartbeat after heartbeat, for plain services too.
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
        assert!(Instant::now() < limit_at, "no new work is taken again");
        std::thread::sleep(HEAD_START);
    }
}

#[test]
fn outcome_survives_stop() {
    let world = TestCluster::start(patient_plan()).expect("world");
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
    // The claim is written, then the key-value service goes away under the call.
    let slow = service::Faults {
        delay_ms: 500,
        ..Default::default()
    };
    world.services[0].set_faults(slow);
    let caller = std::thread::spawn(move || charge(first));
    let limit_at = Instant::now() + Duration::from_secs(20);
    while !world.key_value.contains("claims/service0/6b") {
        assert!(Instant::now() < limit_at, "no claim is written");
        std::thread::yield_now();
    }
    world.key_value.set_faults(key_value::Faults {
        down: true,
        ..Default::default()
    });
    assert_eq!(caller.join().expect("caller"), "receipt k run 1");
    processes.routers[0].signal(Signal::TERM);
    // Longer than the grace for the balancer, after which nothing else is left to do.
    std::thread::sleep(Duration::from_millis(2_500));
    world.key_value.set_faults(key_value::Faults::default());
    assert_eq!(processes.routers[0].exit_code(), Some(0));
    assert_eq!(charge(second), "receipt k run 1");
    assert_eq!(world.services[0].runs().get("k"), Some(&1));
}
