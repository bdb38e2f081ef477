//! What must hold in each tick and at the end of a run.

use super::{LIMITS, TICK_MS, World};
use passway_serving::leadership::Step;
use passway_types::prelude::*;

impl World {
    /// Whoever could order now, and what that breaks.
    pub(super) fn look(&mut self) {
        let (now, now_ms) = (self.now(), self.now_ms);
        let awake = self
            .instances
            .iter()
            .filter(|instance| now_ms >= instance.starts_at && now_ms >= instance.frozen_until);
        let holding: Vec<(InstanceId, Fence)> = awake
            .filter_map(|i| Some((i.name.clone(), i.leadership.fence(now)?)))
            .collect();
        if holding.len() > 1 {
            self.broken
                .push(format!("{now_ms} ms: two holders, {holding:?}"));
        }
        self.count_outage(!holding.is_empty());
        for (name, fence) in holding {
            self.check_turn(&name, fence);
            self.ordered.insert(name.clone(), (now_ms, fence));
            if self.last.as_ref().is_none_or(|(last, _)| *last != name) {
                self.successions += 1;
            }
            self.last = Some((name, fence));
        }
    }

    /// Counts how much of the outages somebody could order in.
    fn count_outage(&mut self, is_held: bool) {
        let now_ms = self.now_ms;
        if now_ms >= self.store.away_until {
            self.away_since = None;
            return;
        }
        let since = *self.away_since.get_or_insert(now_ms);
        let lease_ms = u64::try_from(LIMITS.min_lease_ttl.as_millis()).expect("a short lease");
        if now_ms >= since + lease_ms {
            self.away_ms += TICK_MS;
            self.carried_ms += if is_held { TICK_MS } else { 0 };
        }
    }

    fn check_turn(&mut self, name: &InstanceId, fence: Fence) {
        let Some((last, last_fence)) = &self.last else {
            return;
        };
        let now_ms = self.now_ms;
        if *last_fence > fence || (last_fence == &fence && last != name) {
            self.broken.push(format!(
                "{now_ms} ms: {name} orders with {fence}, {last} did with {last_fence}"
            ));
        }
        let gap_ms = u64::try_from(LIMITS.holder_gap.as_millis()).expect("a short gap");
        let since = self
            .ordered
            .get(last)
            .map_or(u64::MAX, |(at, _)| now_ms - at);
        if last != name && self.ordered.contains_key(name) && since + TICK_MS < gap_ms {
            self.broken.push(format!(
                "{now_ms} ms: {name} takes turns with {last} after {since} ms"
            ));
        }
    }

    /// Whether somebody could order in this tick.
    pub(super) fn holds_now(&self) -> bool {
        self.ordered.values().any(|(at, _)| *at == self.now_ms)
    }

    /// Somebody holds the right at the end, or all have given it back.
    pub(super) fn check_end(&mut self) {
        let orders_now = self.holds_now();
        let is_free = self
            .instances
            .iter()
            .all(|i| i.leadership.fence(self.now()).is_none());
        if !orders_now && !self.all_released() {
            self.broken
                .push(format!("nobody orders at the end; right free: {is_free}"));
        }
    }

    /// Whether every instance has given the right back for good.
    fn all_released(&mut self) -> bool {
        let now = self.now();
        let mut instances = self.instances.iter_mut();
        instances.all(|i| i.leadership.step(0.0, true, now) == Step::Stop)
    }
}
