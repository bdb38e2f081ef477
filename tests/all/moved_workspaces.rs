//! A workspace whose callers move between instances uses no more than its allotment while coordinators are lost.
//!
//! Guards against shares of the rate that instances remember from before the move: while there is no coordinator, they
//! would add up to more than the rate.

use passway_serving::allotment::{FallbackQuotas, QuotaBounds, QuotaCoordinator, QuotaDecision};
use passway_serving::workspaces::Allotment;
use passway_types::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::net::SocketAddr;

const STEP: Duration = Duration::from_millis(20);
const WINDOW: Duration = Duration::from_secs(8);
const WINDOW_STEPS: usize = 400;
const OVERAGE: f64 = 0.1;
const SLACK: f64 = 10.0;
const ALLOTMENT: Allotment = Allotment {
    rate_per_s: 100.0,
    burst: 10.0,
};
const STEPS: usize = 3_000;

/// Units that are granted in each step of a history in which callers press three times the rate at instances that
/// change, and coordinators are lost and replaced.
fn granted(seed: u64) -> Vec<f64> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let bounds = QuotaBounds {
        window: WINDOW,
        overage: OVERAGE,
        slack: SLACK,
    };
    let workspace: WorkspaceName = "w".into();
    let instances: u16 = rng.random_range(2..12);
    let addresses: Vec<_> = (0..instances)
        .map(|port| SocketAddr::from(([127, 0, 0, 1], port)))
        .collect();
    let mut fallbacks: Vec<FallbackQuotas> = addresses
        .iter()
        .map(|_| FallbackQuotas::default())
        .collect();
    let mut now = Instant::now();
    let mut coordinator = Some(QuotaCoordinator::new(bounds, now));
    let (mut active, mut moves_at, mut changes_at) = (0, 0, 500);
    let mut granted = Vec::new();
    for step in 0..STEPS {
        now += STEP;
        if step >= moves_at {
            active = rng.random_range(0..addresses.len());
            moves_at = step + rng.random_range(5..150);
        }
        if step >= changes_at {
            // A lost coordinator is replaced within some seconds, and the next one lasts longer.
            let is_lost = coordinator.take().is_some();
            if !is_lost {
                coordinator = Some(QuotaCoordinator::new(bounds, now));
            }
            changes_at = step
                + if is_lost {
                    rng.random_range(25..150)
                } else {
                    rng.random_range(400..900)
                };
        }
        let mut units = 0.0;
        for _ in 0..6 {
            // Half of the callers are at one instance, the others have not moved yet.
            let at = if rng.random_bool(0.5) {
                active
            } else {
                rng.random_range(0..addresses.len())
            };
            let is_granted = match &mut coordinator {
                Some(coordinator) => {
                    let decision =
                        coordinator.decide(&workspace, ALLOTMENT, addresses[at], 1.0, now);
                    if let QuotaDecision::Granted {
                        instance_rate_per_s,
                    } = decision
                    {
                        fallbacks[at].set_rate(&workspace, instance_rate_per_s, WINDOW, now);
                    }
                    matches!(decision, QuotaDecision::Granted { .. })
                }
                None => fallbacks[at].try_take(&workspace, 1.0, rng.random(), now),
            };
            units += f64::from(u8::from(is_granted));
        }
        granted.push(units);
    }
    granted
}

#[test]
fn lost_coordinators() {
    let allowed =
        (ALLOTMENT.rate_per_s * WINDOW.as_secs_f64() + ALLOTMENT.burst) * (1.0 + OVERAGE) + SLACK;
    for seed in 0..60 {
        let granted = granted(seed);
        let windows = granted
            .windows(WINDOW_STEPS)
            .map(|window| window.iter().sum());
        let most = windows.fold(0.0, f64::max);
        assert!(most <= allowed, "seed {seed}: {most} of {allowed}");
    }
}
