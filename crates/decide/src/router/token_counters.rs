//! Fair sharing of tokens between workspaces, by virtual token counters.
//!
//! Each workspace has a counter of served tokens divided by its share, and the workspace with the
//! lowest counter goes first. A workspace that becomes active again starts at the lowest counter of
//! the active workspaces or at its own, whichever is higher. So the workspace neither catches up on
//! its idle time nor is penalized for it.

use passway_types::prelude::*;
use std::collections::HashMap;

/// Counters are in thousandths of a token.
const MILLI_PER_TOKEN: i64 = 1_000;

#[derive(Debug, Default)]
struct Counter {
    served_milli_tokens: u64,
    share: u32,
    is_active: bool,
}

/// The token counters of all workspaces at one router.
#[derive(Debug, Default)]
pub struct TokenCounters {
    counters: HashMap<WorkspaceName, Counter>,
}

impl TokenCounters {
    /// Marks a workspace as active when one of its requests begins to wait.
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

    /// Marks a workspace as inactive when none of its requests waits any more.
    pub fn deactivate(&mut self, workspace: &str) {
        if let Some(counter) = self.counters.get_mut(workspace) {
            counter.is_active = false;
        }
    }

    /// Charges tokens to a workspace. A negative number corrects an earlier estimate.
    pub fn charge(&mut self, workspace: &str, tokens: i64) {
        if let Some(counter) = self.counters.get_mut(workspace) {
            let milli = tokens * MILLI_PER_TOKEN / i64::from(counter.share.max(1));
            counter.served_milli_tokens = counter.served_milli_tokens.saturating_add_signed(milli);
        }
    }

    /// Returns the served tokens divided by the workspace's share, in thousandths of a token.
    pub fn served_milli_tokens(&self, workspace: &str) -> u64 {
        self.counters
            .get(workspace)
            .map_or(0, |counter| counter.served_milli_tokens)
    }
}
