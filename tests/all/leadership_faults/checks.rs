//! The rules that are checked in each tick and at the end of a run.

use super::{SETTINGS, TICK_MS, World};
use passway_serving::leadership::Step;
use passway_types::prelude::*;

impl World {
    /// Records which instances could give orders now, and which rules that violates.
    pub(super) fn check_holders(&mut self) {
        let (now, now_ms) = (self.now(), self.now_ms);
        let active = self
            .instances
            .iter()
            .filter(|instance| now_ms >= instance.starts_at && now_ms >= instance.paused_until);
        let holders: Vec<(InstanceId, Fence)> = active
            .filter_map(|instance| Some((instance.name.clone(), instance.leadership.fence(now)?)))
            .collect();
        if holders.len() > 1 {
            self.violations
                .push(format!("{now_ms} ms: two holders, {holders:?}"));
        }
        self.count_outage_time(!holders.is_empty());
        for (name, fence) in holders {
            self.check_succession(&name, fence);
            self.last_order.insert(name.clone(), (now_ms, fence));
            if self
                .last_holder
                .as_ref()
                .is_none_or(|(last, _)| *last != name)
            {
                self.successions += 1;
            }
            self.last_holder = Some((name, fence));
        }
    }

    /// Counts the time in outages, and the part of it in which an instance could give orders.
    fn count_outage_time(&mut self, has_holder: bool) {
        let now_ms = self.now_ms;
        if now_ms >= self.store.unavailable_until {
            self.outage_since = None;
            return;
        }
        let since = *self.outage_since.get_or_insert(now_ms);
        let lease_ms = u64::try_from(SETTINGS.min_lease_ttl.as_millis()).expect("a short lease");
        if now_ms >= since + lease_ms {
            self.outage_ms += TICK_MS;
            self.extended_ms += if has_holder { TICK_MS } else { 0 };
        }
    }

    fn check_succession(&mut self, name: &InstanceId, fence: Fence) {
        let Some((last, last_fence)) = &self.last_holder else {
            return;
        };
        let now_ms = self.now_ms;
        if *last_fence > fence || (last_fence == &fence && last != name) {
            self.violations.push(format!(
                "{now_ms} ms: {name} orders with {fence}, {last} did with {last_fence}"
            ));
        }
        let gap_ms = u64::try_from(SETTINGS.holder_gap.as_millis()).expect("a short gap");
        let since = self
            .last_order
            .get(last)
            .map_or(u64::MAX, |(at, _)| now_ms - at);
        if last != name && self.last_order.contains_key(name) && since + TICK_MS < gap_ms {
            self.violations.push(format!(
                "{now_ms} ms: {name} takes turns with {last} after {since} ms"
            ));
        }
    }

    /// Whether an instance could give orders in this tick.
    pub(super) fn has_holder(&self) -> bool {
        self.last_order.values().any(|(at, _)| *at == self.now_ms)
    }

    /// Checks that there is a holder at the end unless all instances have released the leadership.
    pub(super) fn check_end(&mut self) {
        let has_holder = self.has_holder();
        let is_free = self
            .instances
            .iter()
            .all(|instance| instance.leadership.fence(self.now()).is_none());
        if !has_holder && !self.all_released() {
            self.violations
                .push(format!("nobody orders at the end; right free: {is_free}"));
        }
    }

    /// Whether every instance has released the leadership for good.
    fn all_released(&mut self) -> bool {
        let now = self.now();
        let mut instances = self.instances.iter_mut();
        instances.all(|instance| instance.leadership.step(0.0, true, now) == Step::Stop)
    }
}
