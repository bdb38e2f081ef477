//! Fair sharing of tokens between groups: a virtual token counter.
//!
//! Each group has a counter of tokens served, divided by its share; the group
//! with the lowest counter goes first. A group that comes back after it had
//! nothing to do starts from the lowest counter of the active groups, so it can
//! neither claim the time it was away nor be punished for it.

use passway_types::prelude::*;
use std::collections::HashMap;

/// Counters are kept in thousandths of a token.
const MILLI: i64 = 1_000;

#[derive(Debug, Default)]
struct Counter {
    served_milli: u64,
    share: u32,
    active: bool,
}

/// The counters of all groups at one router.
#[derive(Debug, Default)]
pub struct ShareClock {
    counters: HashMap<GroupName, Counter>,
}

impl ShareClock {
    /// A request of the group begins to wait.
    pub fn join(&mut self, group: &GroupName, share: u32) {
        let active = self.counters.values().filter(|counter| counter.active);
        let lowest_milli = active.map(|counter| counter.served_milli).min();
        let counter = self.counters.entry(group.clone()).or_default();
        counter.share = share.max(1);
        if !counter.active {
            counter.active = true;
            counter.served_milli = counter.served_milli.max(lowest_milli.unwrap_or(0));
        }
    }

    /// No request of the group waits any more.
    pub fn leave(&mut self, group: &str) {
        if let Some(counter) = self.counters.get_mut(group) {
            counter.active = false;
        }
    }

    /// Charges tokens; a negative number corrects an earlier guess.
    pub fn charge(&mut self, group: &str, tokens: i64) {
        if let Some(counter) = self.counters.get_mut(group) {
            let milli = tokens * MILLI / i64::from(counter.share.max(1));
            counter.served_milli = counter.served_milli.saturating_add_signed(milli);
        }
    }

    /// Weighted tokens served, in thousandths.
    pub fn served_milli(&self, group: &str) -> u64 {
        self.counters
            .get(group)
            .map_or(0, |counter| counter.served_milli)
    }
}
