//! What a keeper's buckets hold before anybody asks.

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
fn granted(keeper: &mut QuotaCoordinator, now: Instant) -> f64 {
    let asks = SocketAddr::from(([127, 0, 0, 1], 1));
    let name = "alpha".into();
    let mut ask = || keeper.decide(&name, ALLOTMENT, asks, 100.0, now);
    let mut sum = 0.0;
    while matches!(ask(), QuotaDecision::Granted { .. }) {
        sum += 100.0;
    }
    sum
}

/// A keeper knows that nothing was used since it began: who asks for the first time after that has a
/// full bucket.
#[test]
fn fills_unasked() {
    let begun_at = Instant::now();
    let mut at_once = QuotaCoordinator::new(BOUNDS, begun_at);
    assert!(granted(&mut at_once, begun_at) < ALLOTMENT.burst);
    let mut later = QuotaCoordinator::new(BOUNDS, begun_at);
    let now = begun_at + Duration::from_secs(10);
    assert!(granted(&mut later, now) >= ALLOTMENT.burst);
}

/// What the keeper before had left is there once.
#[test]
fn half_full_once() {
    let begun_at = Instant::now();
    let mut keeper = QuotaCoordinator::new(BOUNDS, begun_at);
    keeper.start_half_full(["alpha".into()], |_| Some(ALLOTMENT));
    let first = granted(&mut keeper, begun_at);
    assert!((500.0..1_000.0).contains(&first), "{first}");
    assert!(granted(&mut keeper, begun_at) < 100.0);
}
