//! Fair sharing of tokens between workspaces: a virtual token counter.
//!
//! Each workspace has a counter of tokens served, divided by its share; the workspace
//! with the lowest counter goes first. A workspace that comes back after it had
//! nothing to do starts from the lowest counter of the active workspaces, so it can
//! neither claim the time it was away nor be punished for it.

use passway_types::prelude::*;
use std::collections::HashMap;

/// Counters are kept in thousandths of a token.
const MILLI_PER_TOKEN: i64 = 1_000;

#[derive(Debug, Default)]
struct Counter {
    served_milli_tokens: u64,
    share: u32,
    is_active: bool,
}

/// The counters of all workspaces at one router.
#[derive(Debug, Default)]
pub struct TokenCounters {
    counters: HashMap<WorkspaceName, Counter>,
}

impl TokenCounters {
    /// A request of the workspace begins to wait.
    pub fn activate(&mut self, workspace: &WorkspaceName, share: u32) {
        let active = self.counters.values().filter(|counter| counter.is_active);
        let lowest_milli = active.map(|counter| counter.served_milli_tokens).min();
        let counter = self.counters.entry(workspace.clone()).or_default();
        counter.share = share.max(1);
        if !counter.is_active {
            counter.is_active = true;
            counter.served_milli_tokens =
                counter.served_milli_tokens.max(lowest_milli.unwrap_or(0));
        }
    }

    /// No request of the workspace waits any more.
    pub fn deactivate(&mut self, workspace: &str) {
        if let Some(counter) = self.counters.get_mut(workspace) {
            counter.is_active = false;
        }
    }

    /// Charges tokens; a negative number corrects an earlier guess.
    pub fn charge(&mut self, workspace: &str, tokens: i64) {
        if let Some(counter) = self.counters.get_mut(workspace) {
            let milli = tokens * MILLI_PER_TOKEN / i64::from(counter.share.max(1));
            counter.served_milli_tokens = counter.served_milli_tokens.saturating_add_signed(milli);
        }
    }

    /// Weighted tokens served, in thousandths.
    pub fn served_milli_tokens(&self, workspace: &str) -> u64 {
        self.counters
            .get(workspace)
            .map_or(0, |counter| counter.served_milli_tokens)
    }
}
