//! Requests to the coordinator, and the counts of the coordinator.
//!
//! The coordinator is the holder of leadership. It counts what workspaces use, what is sent to
//! limited upstreams and which requests run exclusively. It does so only until its term ends by its
//! own clock, so that two instances never count at the same time.

use crate::queries::PendingQueries;
use crate::relay::millis;
use crate::shared::Shared;
use passway_serving::allotment::{QuotaBounds, QuotaCoordinator, QuotaDecision};
use passway_serving::leadership::Holder;
use passway_types::clock;
use passway_types::prelude::*;
use passway_wire::dispatch::Dispatch as Body;
use passway_wire::permits::{PermitReply, PermitRequest, UseVerdict};
use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};

/// A coordinator that did not answer gets no requests for this long.
const SILENT_BACKOFF: Duration = Duration::from_millis(300);
/// An instance that turned out not to be the coordinator gets no requests for this long. A term is
/// about to begin or has ended, and all instances learn of that within a few hundred milliseconds.
const NOT_COORDINATOR_BACKOFF: Duration = Duration::from_millis(100);
/// How long the coordinator remembers a grant. An instance that received no answer asks again after 25
/// ms, and the datagram may be delayed.
const GRANT_RETENTION: Duration = Duration::from_secs(1);

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A coordinator that gets no requests until an instant, and why.
#[derive(Debug, Clone, PartialEq)]
struct BackoffState {
    holder: Holder,
    cause: NoDecision,
    until: Instant,
}

/// Why there is no decision on a request. None of these permits anything by itself: each caller
/// defines what it does without a decision.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoDecision {
    /// No holder of leadership is known.
    NoHolder,
    /// The holder does not answer, or did not a moment ago.
    Silent,
    /// The known holder is not the coordinator now.
    NotCoordinator,
}

impl NoDecision {
    /// Name of the reason in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::NoHolder => "no holder",
            Self::Silent => "silent",
            Self::NotCoordinator => "not the keeper",
        }
    }
}

impl fmt::Display for NoDecision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// Sends this instance's requests to the coordinator.
#[derive(Debug, Default)]
pub struct CoordinatorClient {
    pending: PendingQueries<PermitReply>,
    backoff: Mutex<Option<BackoffState>>,
}

impl CoordinatorClient {
    /// Requests a decision of the coordinator.
    ///
    /// # Errors
    /// Why there is no decision.
    pub fn request(
        &self,
        shared: &Shared,
        request: &PermitRequest,
    ) -> Result<PermitReply, NoDecision> {
        let decision = self.try_request(shared, request);
        if let Err(reason) = decision {
            shared.metrics.unanswered_query(reason);
        }
        decision
    }

    fn try_request(
        &self,
        shared: &Shared,
        request: &PermitRequest,
    ) -> Result<PermitReply, NoDecision> {
        let holder = shared
            .leadership()
            .and_then(|leadership| leadership.holder());
        let holder = holder.ok_or(NoDecision::NoHolder)?;
        let settings = &shared.settings;
        if holder.instance == settings.instance {
            return checked_answer(decide(shared, settings.peer_address, request));
        }
        let now = clock::now();
        let is_backing_off =
            |backoff: &&BackoffState| backoff.holder == holder && now < backoff.until;
        if let Some(backoff) = lock(&self.backoff).as_ref().filter(is_backing_off) {
            return Err(backoff.cause);
        }
        let body = Body::PermitRequest(request.clone());
        let address = holder.address;
        let answer = self
            .pending
            .send_and_wait(request.id, || shared.dispatch.send(address, body.clone()));
        let decision = answer.ok_or(NoDecision::Silent).and_then(checked_answer);
        if let Err(cause) = decision {
            let backoff = match cause {
                NoDecision::Silent | NoDecision::NoHolder => SILENT_BACKOFF,
                NoDecision::NotCoordinator => NOT_COORDINATOR_BACKOFF,
            };
            *lock(&self.backoff) = Some(BackoffState {
                holder,
                cause,
                until: clock::now() + backoff,
            });
        }
        decision
    }

    /// Receives the answer to a request of this instance.
    pub fn receive_answer(&self, answer: PermitReply) {
        self.pending.deliver_answer(answer.id, answer);
    }
}

/// The answer, unless its sender is not the coordinator.
fn checked_answer(answer: PermitReply) -> Result<PermitReply, NoDecision> {
    if answer.verdict() == UseVerdict::NotCoordinator {
        return Err(NoDecision::NotCoordinator);
    }
    Ok(answer)
}

/// Answers an instance's request. Only the coordinator makes a decision.
pub fn decide(shared: &Shared, from: SocketAddr, request: &PermitRequest) -> PermitReply {
    let Some(fence) = shared.leadership().and_then(|leadership| leadership.term()) else {
        return PermitReply {
            id: request.id,
            ..PermitReply::default()
        };
    };
    if !request.digest.is_empty() {
        shared.poison.decide_exclusive_run(fence, from, request)
    } else if request.upstream.is_empty() {
        shared.allotments.decide(shared, fence, from, request)
    } else {
        shared.limits.decide(shared, fence, from, request)
    }
}

/// Encodes a decision as the answer to a request.
pub fn encode_decision(request: &PermitRequest, decision: QuotaDecision) -> PermitReply {
    let mut answer = PermitReply {
        id: request.id,
        ..PermitReply::default()
    };
    match decision {
        QuotaDecision::Granted {
            instance_rate_per_s,
        } => {
            answer.set_verdict(UseVerdict::Granted);
            answer.instance_rate_per_s = instance_rate_per_s;
        }
        QuotaDecision::Refused { retry_after } => {
            answer.set_verdict(UseVerdict::Refused);
            answer.retry_after_ms = millis(retry_after);
        }
    }
    answer
}

/// The question of an instance: the instance's address, and the id that it gave the question.
pub type QuestionId = (SocketAddr, u64);

/// The grants of the last [`GRANT_RETENTION`].
#[derive(Debug, Default)]
struct RecentGrants {
    by_question: HashMap<QuestionId, (QuotaDecision, Instant)>,
    cleanup_at: Option<Instant>,
}

impl RecentGrants {
    fn find(&self, question: QuestionId) -> Option<QuotaDecision> {
        Some(self.by_question.get(&question)?.0)
    }

    fn record(&mut self, question: QuestionId, decision: QuotaDecision, now: Instant) {
        if self.cleanup_at.is_none_or(|at| now >= at) {
            self.cleanup_at = Some(now + GRANT_RETENTION);
            self.by_question
                .retain(|_, (_, decided_at)| now < *decided_at + GRANT_RETENTION);
        }
        self.by_question.insert(question, (decision, now));
    }
}

#[derive(Debug)]
struct TermCounts {
    fence: Fence,
    coordinator: QuotaCoordinator,
    recent_grants: RecentGrants,
}

/// The counts of the latest term of this instance.
#[derive(Debug, Default)]
pub struct TermCoordinator(Mutex<Option<TermCounts>>);

impl TermCoordinator {
    fn with_counts<T>(
        &self,
        fence: Fence,
        bounds: QuotaBounds,
        act: impl FnOnce(&mut TermCounts) -> T,
    ) -> T {
        let mut counts = lock(&self.0);
        counts.take_if(|counts| counts.fence != fence);
        let new_counts = || TermCounts {
            fence,
            coordinator: QuotaCoordinator::new(bounds, clock::now()),
            recent_grants: RecentGrants::default(),
        };
        act(counts.get_or_insert_with(new_counts))
    }

    /// Calls `act` on the counts of a term, which begin empty in each term.
    pub fn in_term<T>(
        &self,
        fence: Fence,
        bounds: QuotaBounds,
        act: impl FnOnce(&mut QuotaCoordinator) -> T,
    ) -> T {
        self.with_counts(fence, bounds, |counts| act(&mut counts.coordinator))
    }

    /// Decides on a question in a term. A question that was granted and arrives again, because its
    /// answer was late or lost, gets the same answer and is not charged again.
    pub fn decide(
        &self,
        fence: Fence,
        bounds: QuotaBounds,
        question: QuestionId,
        decide: impl FnOnce(&mut QuotaCoordinator) -> QuotaDecision,
    ) -> QuotaDecision {
        self.with_counts(fence, bounds, |counts| {
            if let Some(decision) = counts.recent_grants.find(question) {
                return decision;
            }
            let decision = decide(&mut counts.coordinator);
            if matches!(decision, QuotaDecision::Granted { .. }) {
                counts
                    .recent_grants
                    .record(question, decision, clock::now());
            }
            decision
        })
    }

    /// Calls `act` on the counts of the latest term, if there was one.
    pub fn in_latest_term(&self, act: impl FnOnce(&mut QuotaCoordinator)) {
        if let Some(counts) = lock(&self.0).as_mut() {
            act(&mut counts.coordinator);
        }
    }
}
