//! The contents of a new coordinator's buckets before the first request.

use passway_serving::allotment::{QuotaBounds, QuotaCoordinator, QuotaDecision};
use passway_serving::workspaces::Allotment;
use passway_types::prelude::*;
use std::net::SocketAddr;

const BOUNDS: QuotaBounds = QuotaBounds {
    window: Duration::from_secs(8),
    overage: 0.1,
    slack: 0.0,
};
const ALLOTMENT: Allotment = Allotment {
    rate_per_s: 1_000.0,
    burst: 1_000.0,
};

/// Units that are granted at once, by requests of a hundred.
fn granted(coordinator: &mut QuotaCoordinator, now: Instant) -> f64 {
    let instance = SocketAddr::from(([127, 0, 0, 1], 1));
    let name = "alpha".into();
    let mut decide = || coordinator.decide(&name, ALLOTMENT, instance, 100.0, now);
    let mut sum = 0.0;
    while matches!(decide(), QuotaDecision::Granted { .. }) {
        sum += 100.0;
    }
    sum
}

/// A coordinator knows that nothing was used since it began, so a workspace whose first request
/// comes later has a full bucket.
#[test]
fn refills_without_requests() {
    let started_at = Instant::now();
    let mut early = QuotaCoordinator::new(BOUNDS, started_at);
    assert!(granted(&mut early, started_at) < ALLOTMENT.burst);
    let mut later = QuotaCoordinator::new(BOUNDS, started_at);
    let now = started_at + Duration::from_secs(10);
    assert!(granted(&mut later, now) >= ALLOTMENT.burst);
}

/// Half of a bucket is available once if it was left by the previous coordinator.
#[test]
fn half_full_once() {
    let started_at = Instant::now();
    let mut coordinator = QuotaCoordinator::new(BOUNDS, started_at);
    coordinator.start_half_full(["alpha".into()], |_| Some(ALLOTMENT));
    let first = granted(&mut coordinator, started_at);
    assert!((500.0..1_000.0).contains(&first), "{first}");
    assert!(granted(&mut coordinator, started_at) < 100.0);
}
