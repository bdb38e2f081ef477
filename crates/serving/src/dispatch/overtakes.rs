//! How many slots go to requests that can still be in time while late ones wait.
//!
//! Requests that can be in time precede late ones, so under lasting overload late requests get
//! almost no slots. A request that will be late when it begins must count on that.

use super::begin_forecast::decay_factor;
use passway_types::prelude::*;
use std::collections::HashMap;

/// Late requests ask every 50 ms; if none has asked for this long, none waits.
const LATE_TTL: Duration = Duration::from_millis(180);
/// Fewer grants than this, weighted by age, say nothing.
const MIN_GRANTS: f64 = 8.0;
/// Time constant with which the fraction falls after the last grant.
const RECENT: Duration = Duration::from_millis(400);
/// Largest fraction that is assumed. A short burst takes all slots too, but late requests begin once
/// it is over.
const MAX_FRACTION: f64 = 0.95;

/// Grants on one engine while late requests wait for it, weighted by age.
#[derive(Debug, Clone, Copy)]
struct Grants {
    on_time: f64,
    late: f64,
    at: Instant,
    /// When a late request was last seen to wait.
    late_seen_at: Instant,
}

/// Grants while late requests wait, by engine.
#[derive(Debug, Default)]
pub(super) struct Overtakes {
    engines: HashMap<UpstreamId, Grants>,
}

impl Overtakes {
    /// Records that a late request waits for these engines.
    pub(super) fn record_late_waiter(&mut self, engines: &[&UpstreamId], now: Instant) {
        for engine in engines {
            if let Some(grants) = self.engines.get_mut(*engine) {
                grants.late_seen_at = now;
                continue;
            }
            let grants = Grants {
                on_time: 0.0,
                late: 0.0,
                at: now,
                late_seen_at: now,
            };
            self.engines.insert((*engine).clone(), grants);
        }
    }

    /// Records that a request was granted an engine.
    pub(super) fn record_grant(&mut self, engine: &str, is_late: bool, now: Instant) {
        let Some(grants) = self.engines.get_mut(engine) else {
            return;
        };
        if now > grants.late_seen_at + LATE_TTL {
            return;
        }
        let factor = decay_factor(now.saturating_duration_since(grants.at));
        grants.on_time = grants.on_time * factor + f64::from(u8::from(!is_late));
        grants.late = grants.late * factor + f64::from(u8::from(is_late));
        grants.at = now;
    }

    /// The fraction of the slots of these engines that goes to requests which can be in time while
    /// late ones wait; 0 if too little is known.
    pub(super) fn fraction(&self, engines: &[&UpstreamId], now: Instant) -> f64 {
        let (mut on_time, mut late) = (0.0, 0.0);
        for grants in engines.iter().filter_map(|id| self.engines.get(*id)) {
            let factor = decay_factor(now.saturating_duration_since(grants.at));
            on_time += grants.on_time * factor;
            late += grants.late * factor;
        }
        if on_time + late < MIN_GRANTS {
            return 0.0;
        }
        let ages = engines.iter().filter_map(|id| self.engines.get(*id));
        let ages = ages.map(|grants| now.saturating_duration_since(grants.at));
        let age = ages.min().unwrap_or_default();
        // Without recent grants nobody overtakes.
        let recent = (-age.div_duration_f64(RECENT)).exp();
        (on_time / (on_time + late)).min(MAX_FRACTION) * recent
    }

    /// Removes engines for which no late request waits.
    pub(super) fn remove_expired(&mut self, now: Instant) {
        self.engines
            .retain(|_, grants| now <= grants.late_seen_at + LATE_TTL);
    }
}
