//! A call that must not be repeated runs at most once, and each caller receives either its
//! receipt or a refusal that matches what happened.

use crate::support::{long_timeout_plan, small_plan};
use passway_standins::cluster::{ClusterPlan, Fleet, TestCluster};
use passway_standins::{key_value, service};
use passway_types::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::net::SocketAddr;

const TIMEOUT: Duration = Duration::from_secs(20);

/// The answer that a caller received.
#[derive(Debug, Clone, PartialEq, Eq)]
enum CallResult {
    Receipt(String),
    Refused(u64),
}

fn post(router: SocketAddr, key: &str, body: &str) -> CallResult {
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
        Ok(refusal) => CallResult::Refused(refusal["error"]["code"].as_u64().expect("code")),
        Err(_) => CallResult::Receipt(text),
    }
}

fn refused(code: ResultCode) -> CallResult {
    CallResult::Refused(u64::from(code as u16))
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
fn repeated_calls_run_once() {
    let (world, fleet) = start_plan(ClusterPlan {
        instances: 4,
        ..long_timeout_plan()
    });
    let faults = service::Faults {
        delay_ms: 100,
        ..Default::default()
    };
    world.services[0].set_faults(faults);
    let callers: Vec<_> = (0..40)
        .map(|number| {
            let router = fleet.routers[number % 4].address();
            std::thread::spawn(move || post(router, "k1", "amount=3"))
        })
        .collect();
    let receipt = CallResult::Receipt("receipt k1 run 1".into());
    let mut receipts = 0;
    for caller in callers {
        let result = caller.join().expect("caller");
        assert!(
            result == receipt || result == refused(ResultCode::RepeatUnknown),
            "{result:?}"
        );
        receipts += usize::from(result == receipt);
    }
    assert!(receipts >= 1);
    assert_eq!(runs(&world, "k1"), 1);
    for router in &fleet.routers {
        assert_eq!(post(router.address(), "k1", "amount=3"), receipt);
        assert_eq!(
            post(router.address(), "k1", "amount=4"),
            refused(ResultCode::KeyReused)
        );
    }
    assert_eq!(runs(&world, "k1"), 1);
}

#[test]
fn answer_lost_after_run() {
    let (world, fleet) = start(2);
    let faults = service::Faults {
        break_after_run: true,
        ..Default::default()
    };
    world.services[0].set_faults(faults);
    let (first, second) = (fleet.routers[0].address(), fleet.routers[1].address());
    assert_eq!(post(first, "k2", ""), refused(ResultCode::UpstreamFailed));
    world.services[0].set_faults(service::Faults::default());
    for router in [first, second] {
        assert_eq!(post(router, "k2", ""), refused(ResultCode::RepeatUnknown));
    }
    assert_eq!(runs(&world, "k2"), 1);
}

#[test]
fn claim_write_answer_lost() {
    let (world, fleet) = start(2);
    let faults = key_value::Faults {
        lose_answers: 1,
        ..Default::default()
    };
    world.key_value.set_faults(faults);
    let receipt = CallResult::Receipt("receipt k3 run 1".into());
    assert_eq!(post(fleet.routers[0].address(), "k3", ""), receipt);
    assert_eq!(post(fleet.routers[1].address(), "k3", ""), receipt);
    assert_eq!(runs(&world, "k3"), 1);
}

#[test]
fn key_value_unavailable() {
    let (world, fleet) = start(2);
    world.key_value.set_faults(key_value::Faults {
        down: true,
        ..Default::default()
    });
    let router = fleet.routers[0].address();
    assert_eq!(post(router, "k4", ""), refused(ResultCode::ClaimUnreadable));
    assert_eq!(runs(&world, "k4"), 0);
    world.key_value.set_faults(key_value::Faults::default());
    assert_eq!(
        post(router, "k4", ""),
        CallResult::Receipt("receipt k4 run 1".into())
    );
}

#[test]
fn random_faults_run_at_most_once() {
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
    let results: Vec<(String, CallResult)> = callers
        .into_iter()
        .map(|(key, caller)| (key, caller.join().expect("caller")))
        .collect();
    let ran = world.services[0].runs();
    assert!(ran.values().all(|count| *count == 1), "{ran:?}");
    let receipts = results
        .iter()
        .filter(|(_, result)| matches!(result, CallResult::Receipt(_)))
        .count();
    println!(
        "{} keys ran, {receipts} receipts of {} calls",
        ran.len(),
        results.len()
    );
    for (key, result) in &results {
        if let CallResult::Receipt(text) = result {
            assert_eq!(text, &format!("receipt {key} run 1"));
        }
    }
    assert!(
        ran.len() > 20,
        "too few keys ran for a meaningful test: {}",
        ran.len()
    );
}
