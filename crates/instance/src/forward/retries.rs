//! Retries of a request, taken from the share of the fleet's budget that this instance may spend.

use super::Forwarding;
use crate::metrics::RetryDecision;
use crate::shared::Shared;
use passway_process::logging::json::REQUEST_TARGET;
use passway_types::clock;
use passway_types::prelude::*;

/// A retry that an attempt may use. Dropping it returns it to the budget.
#[derive(Debug)]
#[must_use]
pub(super) struct TakenRetry {
    shared: Arc<Shared>,
    service: ServiceName,
    /// Whether the budget was charged; false if no earlier attempt arrived at an upstream, or once
    /// the retry is spent.
    is_refundable: bool,
}

impl TakenRetry {
    /// Spends the retry, because the request may have arrived at an upstream.
    pub(super) fn spend(mut self) {
        self.is_refundable = false;
    }
}

impl Drop for TakenRetry {
    fn drop(&mut self) {
        if self.is_refundable {
            self.shared.retry_budget().refund(&self.service);
            self.shared.metrics.retry(RetryDecision::Returned);
        }
    }
}

impl Forwarding<'_> {
    /// Whether a retry is left now. Another request may take it before this one does.
    pub(super) fn has_retry(&self) -> bool {
        let now = clock::now();
        self.shared.retry_budget().can_spend(&self.service, now)
    }

    /// Takes a retry for another attempt; `None` if none is left. The budget is charged only if an
    /// earlier attempt may have arrived at an upstream.
    pub(super) fn take_retry(&self) -> Option<TakenRetry> {
        let has_arrived = self.request_log.offers > self.request_log.not_sent;
        let decision = if !has_arrived {
            RetryDecision::Free
        } else if self
            .shared
            .retry_budget()
            .try_spend(&self.service, clock::now())
        {
            RetryDecision::Spent
        } else {
            RetryDecision::UsedUp
        };
        self.shared.metrics.retry(decision);
        if decision == RetryDecision::Spent {
            self.log_spent();
        }
        (decision != RetryDecision::UsedUp).then(|| TakenRetry {
            shared: self.shared.clone(),
            service: self.service.clone(),
            is_refundable: decision == RetryDecision::Spent,
        })
    }

    /// Logs what the budget still holds after a retry was spent. Where servers received too many retries, the
    /// lines tell how many were spent, and of what.
    fn log_spent(&self) {
        let Some(balance) = self.shared.retry_budget().balance(&self.service) else {
            return;
        };
        log::debug!(target: REQUEST_TARGET, request = self.facts.id, service:% = self.service,
            available = balance.available, recent_requests = balance.recent_requests; "retry spent");
    }
}
