//! Allowances that are refilled over time grant no more when some calls come with an earlier time than the call before,
//! as a thread does that has read the clock before it waited.

use passway_serving::allotment::{FallbackQuotas, QuotaBounds, QuotaCoordinator, QuotaDecision};
use passway_serving::limits::FallbackLimits;
use passway_serving::workspaces::Allotment;
use passway_types::prelude::*;
use std::net::SocketAddr;

const STEP: Duration = Duration::from_millis(100);
const STEPS: u32 = 300;
const DELAY: Duration = Duration::from_secs(1);

/// Counts the grants of `is_granted`, which is called with the time and, if `is_late`, with an earlier time in between.
fn grants(is_late: bool, mut is_granted: impl FnMut(Instant) -> bool) -> u32 {
    let (mut earlier, mut granted) = (Instant::now(), 0);
    for _ in 0..STEPS {
        earlier += STEP;
        let now = earlier + DELAY;
        let between = if is_late { earlier } else { now };
        for at in [now, between] {
            granted += u32::from(is_granted(at));
        }
    }
    granted
}

/// Fails if earlier times bring more than one grant in twenty.
fn assert_same(name: &str, mut count: impl FnMut(bool) -> u32) {
    let [in_order, with_late] = [false, true].map(&mut count);
    assert!(in_order > 0, "{name}");
    assert!(
        with_late <= in_order + in_order / 20,
        "{name}: {with_late}, {in_order} in order"
    );
}

// Guards against an allotment that is refilled more than once for the same time.
#[test]
fn allotment_refilled_once() {
    let bounds = QuotaBounds {
        window: Duration::from_secs(8),
        overage: 0.1,
        slack: 0.0,
    };
    let allotment = Allotment {
        rate_per_s: 100.0,
        burst: 100.0,
    };
    let instance = SocketAddr::from(([127, 0, 0, 1], 1));
    assert_same("coordinator", |is_late| {
        let mut coordinator = QuotaCoordinator::new(bounds, Instant::now());
        grants(is_late, |now| {
            let decision = coordinator.decide(&"alpha".into(), allotment, instance, 50.0, now);
            matches!(decision, QuotaDecision::Granted { .. })
        })
    });
}

// Guards against the same at an instance that reaches no coordinator: the time of the coordinator's last answer is
// that of the question.
#[test]
fn fallback_quota_refilled_once() {
    assert_same("fallback quota", |is_late| {
        let mut quotas = FallbackQuotas::default();
        let window = Duration::from_secs(8);
        grants(is_late, |now| {
            quotas.set_rate(&"alpha".into(), 100.0, window, now);
            quotas.try_take("alpha", 2.0, 0.5, now)
        })
    });
}

// Guards against the same for limited upstreams.
#[test]
fn fallback_limit_refilled_once() {
    assert_same("fallback limit", |is_late| {
        let mut limits = FallbackLimits::default();
        grants(is_late, |now| {
            limits.try_take(&"i-0".into(), 200.0, 2, 0.5, now)
        })
    });
}
