//! Retries of a request, taken from the share of the fleet's budget that this instance may spend.

use super::Forwarding;
use crate::metrics::RetryDecision;
use crate::relay::age_ms;
use crate::shared::Shared;
use passway_process::logging::json::REQUEST_TARGET;
use passway_serving::retry::{Arrival, SpentRetry};
use passway_types::clock;
use passway_types::prelude::*;

/// A retry that an attempt may use. Dropping it returns it to the budget.
#[derive(Debug)]
#[must_use]
pub(super) struct TakenRetry {
    shared: Arc<Shared>,
    service: ServiceName,
    /// What the budget was charged; `None` if no earlier attempt arrived at an upstream, or once an attempt
    /// was sent.
    refundable: Option<SpentRetry>,
}

/// The retries that a request has spent, until the arrivals of its attempts are known. On drop, those that remain are
/// settled.
#[derive(Debug)]
pub(super) struct RetryCharges {
    shared: Arc<Shared>,
    /// The retry of the attempt in progress, which may still turn out unsent.
    in_progress: Option<TakenRetry>,
    /// Retries of attempts that were sent.
    spent: Vec<(ServiceName, SpentRetry)>,
    /// When the last attempt was sent that was given up without an answer.
    unanswered_at: Option<Instant>,
    /// Whether the attempt in progress has been answered.
    has_answer: bool,
}

impl RetryCharges {
    /// Charges of a request that has made no attempt.
    pub(super) fn new(shared: &Arc<Shared>) -> Self {
        Self {
            shared: shared.clone(),
            in_progress: None,
            spent: Vec::new(),
            unanswered_at: None,
            has_answer: false,
        }
    }

    /// Begins an attempt with the retry that pays for it, if it needs one.
    pub(super) fn begin(&mut self, retry: Option<TakenRetry>) {
        self.in_progress = retry;
    }

    /// Returns the retry of the attempt in progress, of which nothing was sent.
    pub(super) fn refund(&mut self) {
        self.in_progress = None;
    }

    /// Records that an attempt was sent with this retry.
    pub(super) fn spend(&mut self, mut retry: TakenRetry) {
        let spent = retry.refundable.take();
        self.spent
            .extend(spent.map(|spent| (retry.service.clone(), spent)));
    }

    /// Records that an attempt has been answered, so that it has arrived.
    pub(super) fn record_answer(&mut self) {
        self.has_answer = true;
        if let Some(retry) = self.in_progress.take() {
            self.spend(retry);
        }
        self.settle();
    }

    /// Records that a successor has been answered. If the run in progress, which was sent at `sent_at`, has not been, it
    /// may be the one that arrives last.
    pub(super) fn record_successor_answer(&mut self, sent_at: Instant) {
        if !self.has_answer {
            self.record_unanswered(sent_at);
        }
        self.settle();
    }

    /// Records that an attempt that was sent at `sent_at` was given up before an answer.
    pub(super) fn record_unanswered(&mut self, sent_at: Instant) {
        self.unanswered_at = self.unanswered_at.max(Some(sent_at));
    }

    /// Records the end of the attempt that was sent at `sent_at`. A successor may still be without an answer.
    pub(super) fn record_end(&mut self, is_given_up: bool, sent_at: Instant, has_successor: bool) {
        let has_answer = std::mem::take(&mut self.has_answer);
        if is_given_up && !has_answer {
            self.record_unanswered(sent_at);
        }
        if let Some(retry) = self.in_progress.take() {
            self.spend(retry);
        }
        if !has_successor {
            self.settle();
        }
    }

    /// Settles all retries: each attempt so far has arrived, or was given up.
    fn settle(&mut self) {
        let arrival = match self.unanswered_at {
            Some(sent_at) => Arrival::Unknown { sent_at },
            None => Arrival::Known,
        };
        if self.spent.is_empty() {
            return;
        }
        let now = clock::now();
        let mut budget = self.shared.retry_budget();
        for (service, spent) in self.spent.drain(..) {
            budget.settle(&service, spent, arrival, now);
        }
    }
}

impl Drop for RetryCharges {
    fn drop(&mut self) {
        self.settle();
    }
}

impl Drop for TakenRetry {
    fn drop(&mut self) {
        if let Some(spent) = self.refundable.take() {
            self.shared.retry_budget().refund(&self.service, spent);
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
        let refundable = if has_arrived {
            let Some(spent) = self.spend_retry() else {
                self.shared.metrics.retry(RetryDecision::UsedUp);
                return None;
            };
            self.shared.metrics.retry(RetryDecision::Spent);
            Some(spent)
        } else {
            self.shared.metrics.retry(RetryDecision::Free);
            None
        };
        Some(TakenRetry {
            shared: self.shared.clone(),
            service: self.service.clone(),
            refundable,
        })
    }

    /// Charges the budget. The log line says what has paid: where servers received too many retries, the lines tell
    /// how many were spent, and whether requests or the fixed share had earned them.
    fn spend_retry(&self) -> Option<SpentRetry> {
        let now = clock::now();
        let mut budget = self.shared.retry_budget();
        let spent = budget.try_spend(&self.service, now)?;
        let available = budget.available(&self.service, now);
        drop(budget);
        log::debug!(target: REQUEST_TARGET, request = self.facts.id, service:% = self.service,
            from_share = spent.share(), oldest_ms = age_ms(spent.earned_at()), available = available; "retry spent");
        Some(spent)
    }
}
