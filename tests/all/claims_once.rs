//! A call that may not be repeated runs at most once, and its callers hear the truth.

use crate::support::{patient_plan, small_plan};
use passway_standins::cluster::{ClusterPlan, Fleet, TestCluster};
use passway_standins::{key_value, service};
use passway_types::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::net::SocketAddr;

const TIMEOUT: Duration = Duration::from_secs(20);

/// What a caller got.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Got {
    Receipt(String),
    Refused(u64),
}

fn post(router: SocketAddr, key: &str, body: &str) -> Got {
    let url = format!("http://{router}/services/service0/charge");
    let answer = ureq::post(url)
        .config()
        .http_status_as_error(false)
        .timeout_global(Some(TIMEOUT))
        .build()
        .header("idempotency-key", key)
        .send(body);
    let text = answer
        .expect("answer")
        .body_mut()
        .read_to_string()
        .expect("body");
    match serde_json::from_str::<serde_json::Value>(&text) {
        Ok(refusal) => Got::Refused(refusal["error"]["code"].as_u64().expect("code")),
        Err(_) => Got::Receipt(text),
    }
}

fn code(code: ResultCode) -> Got {
    Got::Refused(u64::from(code as u16))
}

fn start(instances: usize) -> (TestCluster, Fleet) {
    start_plan(ClusterPlan {
        instances,
        ..small_plan()
    })
}

fn start_plan(plan: ClusterPlan) -> (TestCluster, Fleet) {
    let world = TestCluster::start(plan).expect("world");
    let fleet = world.start_fleet().expect("fleet");
    (world, fleet)
}

fn runs(world: &TestCluster, key: &str) -> u32 {
    world.services[0].runs().get(key).copied().unwrap_or(0)
}

#[test]
fn repeats_run_once() {
    let (world, fleet) = start_plan(ClusterPlan {
        instances: 4,
        ..patient_plan()
    });
    let slow = service::Faults {
        delay_ms: 100,
        ..Default::default()
    };
    world.services[0].set_faults(slow);
    let callers: Vec<_> = (0..40)
        .map(|number| {
            let router = fleet.routers[number % 4].address();
            std::thread::spawn(move || post(router, "k1", "amount=3"))
        })
        .collect();
    let receipt = Got::Receipt("receipt k1 run 1".into());
    let mut receipts = 0;
    for caller in callers {
        let got = caller.join().expect("caller");
        assert!(
            got == receipt || got == code(ResultCode::RepeatUnknown),
            "{got:?}"
        );
        receipts += usize::from(got == receipt);
    }
    assert!(receipts >= 1);
    assert_eq!(runs(&world, "k1"), 1);
    for router in &fleet.routers {
        assert_eq!(post(router.address(), "k1", "amount=3"), receipt);
        assert_eq!(
            post(router.address(), "k1", "amount=4"),
            code(ResultCode::KeyReused)
        );
    }
    assert_eq!(runs(&world, "k1"), 1);
}

#[test]
fn broken_after_run() {
    let (world, fleet) = start(2);
    let breaks = service::Faults {
        break_after_run: true,
        ..Default::default()
    };
    world.services[0].set_faults(breaks);
    let (first, second) = (fleet.routers[0].address(), fleet.routers[1].address());
    assert_eq!(post(first, "k2", ""), code(ResultCode::UpstreamFailed));
    world.services[0].set_faults(service::Faults::default());
    for router in [first, second] {
        assert_eq!(post(router, "k2", ""), code(ResultCode::RepeatUnknown));
    }
    assert_eq!(runs(&world, "k2"), 1);
}

#[test]
fn lost_claim_answer() {
    let (world, fleet) = start(2);
    let loses = key_value::Faults {
        lose_answers: 1,
        ..Default::default()
    };
    world.key_value.set_faults(loses);
    let receipt = Got::Receipt("receipt k3 run 1".into());
    assert_eq!(post(fleet.routers[0].address(), "k3", ""), receipt);
    assert_eq!(post(fleet.routers[1].address(), "k3", ""), receipt);
    assert_eq!(runs(&world, "k3"), 1);
}

#[test]
fn service_unreachable() {
    let (world, fleet) = start(2);
    world.key_value.set_faults(key_value::Faults {
        down: true,
        ..Default::default()
    });
    let router = fleet.routers[0].address();
    assert_eq!(post(router, "k4", ""), code(ResultCode::ClaimUnreadable));
    assert_eq!(runs(&world, "k4"), 0);
    world.key_value.set_faults(key_value::Faults::default());
    assert_eq!(
        post(router, "k4", ""),
        Got::Receipt("receipt k4 run 1".into())
    );
}

#[test]
fn at_most_once() {
    let (world, fleet) = start(3);
    let mut rng = ChaCha8Rng::seed_from_u64(5);
    let mut callers = Vec::new();
    for step in 0..240 {
        let key = format!("key{}", step % 60);
        let router = fleet.routers[rng.random_range(0..3)].address();
        world.key_value.set_faults(key_value::Faults {
            down: rng.random_bool(0.15),
            lose_answers: u32::from(rng.random_bool(0.3)),
            delay_ms: rng.random_range(0..5),
            ..Default::default()
        });
        world.services[0].set_faults(service::Faults {
            break_after_run: rng.random_bool(0.3),
            delay_ms: rng.random_range(0..20),
        });
        let call_key = key.clone();
        callers.push((
            key,
            std::thread::spawn(move || post(router, &call_key, "x")),
        ));
        std::thread::sleep(Duration::from_millis(rng.random_range(0..6)));
    }
    let got: Vec<(String, Got)> = callers
        .into_iter()
        .map(|(key, caller)| (key, caller.join().expect("caller")))
        .collect();
    let ran = world.services[0].runs();
    assert!(ran.values().all(|count| *count == 1), "{ran:?}");
    let receipts = got
        .iter()
        .filter(|(_, got)| matches!(got, Got::Receipt(_)))
        .count();
    println!(
        "{} keys ran, {receipts} receipts of {} calls",
        ran.len(),
        got.len()
    );
    for (key, got) in &got {
        if let Got::Receipt(text) = got {
            assert_eq!(text, &format!("receipt {key} run 1"));
        }
    }
    assert!(
        ran.len() > 20,
        "too few keys ran to prove anything: {}",
        ran.len()
    );
}
