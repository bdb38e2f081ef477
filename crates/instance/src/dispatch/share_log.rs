//! Log lines and metrics on what the shares of workspaces mean for their requests.

use super::{Dispatch, lock};
use crate::relay::millis;
use crate::shared::Shared;
use passway_serving::dispatch::{MAX_WORKSPACES, ShareDecision, ShareInputs};
use passway_types::prelude::*;
use std::collections::BTreeMap;
use std::sync::Mutex;

/// Interval between two lines on a workspace whose requests are passed over: each of them asks 20
/// times a second.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Logs which workspaces wait because they are above their shares.
#[derive(Debug, Default)]
pub(super) struct ShareLog {
    logged_at: Mutex<BTreeMap<WorkspaceName, Instant>>,
}

impl ShareLog {
    /// Counts a decision, and logs it if the request was passed over.
    pub(super) fn record(&self, shared: &Shared, inputs: &ShareInputs, now: Instant) {
        shared
            .metrics
            .share_decision(&inputs.workspace, inputs.decision);
        if inputs.decision != ShareDecision::PassedOver || !self.is_due(&inputs.workspace, now) {
            return;
        }
        let level = inputs.position.level.tokens(inputs.weight);
        let report_age_ms = inputs.oldest_report_age.map(millis);
        log::info!(
            workspace:% = inputs.workspace,
            tokens_used:% = inputs.tokens_used.round(),
            share_tokens:% = level.round(),
            weight:% = inputs.weight,
            ahead = inputs.position.ahead,
            ahead_without_shares = inputs.position.ahead_without_shares,
            free_slots = inputs.free_slots,
            oldest_report_ms:? = report_age_ms;
            "a request waits for workspaces that are further below their shares"
        );
    }

    fn is_due(&self, workspace: &WorkspaceName, now: Instant) -> bool {
        let mut logged_at = lock(&self.logged_at);
        let is_recent = |at: &Instant| now < *at + LOG_INTERVAL;
        if logged_at.get(workspace).is_some_and(is_recent) {
            return false;
        }
        logged_at.retain(|_, at| is_recent(at));
        if logged_at.len() >= MAX_WORKSPACES {
            return false;
        }
        logged_at.insert(workspace.clone(), now);
        true
    }
}

impl Dispatch {
    /// The number of requests of each workspace that wait at this dispatcher.
    pub fn waiting_by_workspace(&self) -> BTreeMap<WorkspaceName, usize> {
        lock(&self.dispatcher).waiting_by_workspace()
    }
}
