//! A short fault soak with real processes and a fixed seed. The program `passway-soak` runs longer
//! ones.

use crate::support::number_from_env;
use passway_standins::platform::stream_events::StreamShape;
use passway_standins::soak::{self, SoakPlan};
use passway_types::prelude::*;

/// Number of faults in a CI run, which takes about 15 s.
const STEPS: u64 = 40;

#[test]
fn promises_kept() {
    let seed = number_from_env("PASSWAY_SOAK_SEED", 1);
    let log_dir = std::env::temp_dir().join(format!("passway-soak-{}", std::process::id()));
    std::fs::create_dir_all(&log_dir).expect("a folder for logs");
    let report = soak::run(&SoakPlan {
        executable: env!("CARGO_BIN_EXE_passway-instance").into(),
        log_dir: log_dir.clone(),
        seed,
        instances: 3,
        throttled: 0,
        engines: 4,
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
    });
    let report = report.expect("a soak");
    assert_eq!(
        report.broken,
        Vec::<String>::new(),
        "logs: {}",
        log_dir.display()
    );
    assert!(report.served > 0, "{report:?}");
    std::fs::remove_dir_all(&log_dir).expect("the folder removed");
}
