//! A short fault soak with real processes and a fixed seed. The program `passway-soak` runs longer
//! ones.

use crate::support::number_from_env;
use passway_standins::platform::process::RETRY_SLACK;
use passway_standins::platform::stream_events::StreamShape;
use passway_standins::soak::{self, Disturbance, SoakPlan, SoakReport};
use passway_types::prelude::*;
use std::path::Path;

/// Number of faults in a CI run, which takes about 15 s.
const STEPS: u64 = 40;
/// Number of steps in which servers fail most requests for longer than a window of the retry budget, about 20 s.
const PRESSED_STEPS: u64 = 45;
/// Number of steps of a burst, a quiet time and failures, about 40 s.
const BURST_STEPS: u64 = 90;

/// A soak with a seed, of as many faults as CI plays.
fn plan(seed: u64, log_dir: &Path) -> SoakPlan {
    SoakPlan {
        executable: env!("CARGO_BIN_EXE_passway-instance").into(),
        log_dir: log_dir.to_owned(),
        seed,
        instances: 3,
        throttled: 0,
        engines: 4,
        plain_servers: 2,
        callers: 8,
        shape: StreamShape {
            min_events: 5,
            max_events: 5,
            max_padding_bytes: 0,
        },
        event_delay: Duration::from_millis(20),
        fault_count: number_from_env("PASSWAY_SOAK_STEPS", STEPS),
        max_pause: Duration::from_millis(500),
        has_releases: true,
        has_one_version: false,
        disturbance: Disturbance::Faults,
    }
}

/// Runs a plan with its logs in a folder of this name, and fails if a promise is broken.
fn run(name: &str, plan: impl FnOnce(&Path) -> SoakPlan) -> SoakReport {
    let log_dir = std::env::temp_dir().join(format!("passway-{name}-{}", std::process::id()));
    std::fs::create_dir_all(&log_dir).expect("a folder for logs");
    let report = soak::run(&plan(&log_dir)).expect("a soak");
    assert_eq!(
        report.broken,
        Vec::<String>::new(),
        "logs: {}, {report:?}",
        log_dir.display()
    );
    assert!(report.served > 0, "{report:?}");
    std::fs::remove_dir_all(&log_dir).expect("the folder removed");
    report
}

#[test]
fn promises_kept() {
    let seed = number_from_env("PASSWAY_SOAK_SEED", 1);
    run("soak", |log_dir| plan(seed, log_dir));
}

// Guards against instances that together repeat more requests than the fleet's budget allows while bodies arrive
// slowly and servers fail most requests. The shape is that of seven small instances.
#[test]
fn repeats_within_budget() {
    let report = run("repeats", |log_dir| SoakPlan {
        instances: 7,
        engines: 9,
        callers: 68,
        fault_count: PRESSED_STEPS,
        max_pause: Duration::from_millis(800),
        has_releases: false,
        disturbance: Disturbance::RetryPressure,
        ..plan(8821, log_dir)
    });
    // Without retries, the check would see nothing.
    let engines = report.repeats["engines"];
    assert!(f64::from(engines.in_window) > RETRY_SLACK, "{report:?}");
}

// Guards against retries that are kept for longer than the requests that earned them count: after a burst and a quiet
// time, failures that make all callers need retries bring more repeats to the servers than the fleet's budget allows.
#[test]
fn repeats_after_burst() {
    let report = run("burst", |log_dir| SoakPlan {
        instances: 7,
        engines: 9,
        callers: 68,
        fault_count: BURST_STEPS,
        max_pause: Duration::from_millis(800),
        has_releases: false,
        disturbance: Disturbance::SavedRetries,
        ..plan(9122, log_dir)
    });
    // Without retries, the check would see nothing.
    let engines = report.repeats["engines"];
    assert!(f64::from(engines.total) > RETRY_SLACK, "{report:?}");
}
