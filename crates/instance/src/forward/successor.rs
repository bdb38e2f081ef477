//! The successor of a silent run: the same request, sent to another upstream while the run is still
//! in progress.
//!
//! All that the successor needs is acquired before it is sent: an upstream, a retry, a connection, a
//! grant if the upstream is limited, and the permission to send. What was acquired for a successor
//! that is not sent is returned, except for the grant of a limited upstream, which is therefore
//! requested last.

use super::silence::MAX_OVERLAP;
use super::via_peer::is_refusal;
use super::{Attempt, Forwarding, MAX_OFFERS, NextHop, Target};
use crate::http1::{self, AnswerHead, HttpError, ReadOutcome, WriteOutcome};
use crate::metrics::PeerRequestOutcome;
use crate::paths::{PathMonitor, PeerRequestGuard};
use crate::successor_places::{SuccessorPlace, SuccessorPlaces};
use crate::upstream_exchange::{Exchange, OwnAnswer};
use passway_serving::paths::PeerOffer;
use passway_serving::poison::RunPermission;
use passway_serving::upstreams::Outcome;
use passway_types::clock;
use passway_types::prelude::*;

/// A request that was sent, and of whose answer no more than the head was read.
#[derive(Debug)]
pub(super) struct SentRequest {
    recipient: Recipient,
    pub(super) exchange: Exchange,
    pub(super) sent_at: Instant,
    /// The answer, once its head was read.
    answer: Option<OwnAnswer>,
}

/// Why a run gets no successor.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum NoSuccessor {
    /// The upstream of the run has answered other requests lately.
    AnswersOthers,
    /// The run's first byte is not late for the route.
    NotLate,
    /// The request may crash upstreams, and may not run twice at a time.
    MayCrash,
    /// The caller has left.
    CallerGone,
    /// No retry is left.
    NoRetry,
    /// No other upstream accepts the request.
    NoUpstream,
    /// No connection to the chosen upstream could be made.
    NotReached,
    /// The request is no longer admitted.
    Denied,
    /// The chosen upstream is limited and gave no grant.
    Limited,
    /// The chosen upstream no longer admits the request.
    NotPermitted,
    /// The request could not be written whole; it may have arrived.
    WriteFailed,
}

impl NoSuccessor {
    /// The name for logs and metrics.
    pub(super) fn name(self) -> &'static str {
        match self {
            Self::AnswersOthers => "upstream answers others",
            Self::NotLate => "first byte not late",
            Self::MayCrash => "may crash upstreams",
            Self::CallerGone => "interrupted",
            Self::NoRetry => "no retry allowance",
            Self::NoUpstream => "no upstream",
            Self::NotReached => "successor not reached",
            Self::Denied => "denied",
            Self::Limited => "upstream limited",
            Self::NotPermitted => "not permitted",
            Self::WriteFailed => "successor failed",
        }
    }
}

/// What a successor's upstream has sent so far.
#[derive(Debug)]
pub(super) enum SuccessorAnswer {
    /// No whole head yet.
    Pending,
    /// The head of a success that can be delivered.
    Begun,
    /// Anything else.
    Unusable(UnusableAnswer),
}

/// Why a successor's answer is not delivered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum UnusableAnswer {
    /// The upstream has not run the request. The outcome is recorded in its state.
    Refused(Outcome),
    /// The upstream vouches for a failure.
    Failed,
    /// The answer broke off or is invalid.
    Broken,
}

/// What a successor was sent to.
#[derive(Debug)]
enum Recipient {
    Upstream {
        target: Target,
        written: WriteOutcome,
        place: SuccessorPlace,
    },
    /// Another instance, because this one is cut off from the upstreams.
    Peer {
        offer: PeerOffer,
        guard: PeerRequestGuard,
    },
}

impl SentRequest {
    /// The upstream or the instance, for logs.
    pub(super) fn name(&self) -> String {
        match &self.recipient {
            Recipient::Upstream { target, .. } => target.id.to_string(),
            Recipient::Peer { offer, .. } => offer.instance.to_string(),
        }
    }

    pub(super) fn is_at_peer(&self) -> bool {
        matches!(self.recipient, Recipient::Peer { .. })
    }
}

impl Forwarding<'_> {
    /// Whether the run in progress may get a successor, as far as its kind and the number of its runs
    /// and attempts tell.
    pub(super) fn may_have_successor(&self) -> bool {
        self.route.kind.can_run_again()
            && self.runs + 1 < self.route.attempts
            && self.attempts_since_wait < MAX_OFFERS
            && self.successor.is_none()
    }

    /// Sends the successor of the run in progress. Upstreams that are silent are chosen only if
    /// `may_choose_silent`, and if there is no other.
    ///
    /// # Errors
    /// Why there is none.
    pub(super) fn send_successor(
        &mut self,
        may_choose_silent: bool,
    ) -> Result<SentRequest, NoSuccessor> {
        let decision = self.run_decision();
        if decision.refused_for.is_some() || decision.permission != RunPermission::Free {
            return Err(NoSuccessor::MayCrash);
        }
        if self.caller.is_closed() {
            return Err(NoSuccessor::CallerGone);
        }
        let sent = match self.next_peer() {
            Some(peer) => self.send_to_other_instance(peer),
            None => self.send_to_other_upstream(may_choose_silent),
        };
        // A request that could not be written whole may have arrived.
        let has_failed = matches!(sent, Err(NoSuccessor::WriteFailed));
        if has_failed {
            self.runs += 1;
            self.may_have_run = true;
        }
        if has_failed || sent.is_ok() {
            self.request_log.offers += 1;
            self.attempts_since_wait += 1;
        }
        sent
    }

    /// Whether the successor, if there is one, has begun to answer. One whose answer is of no use is
    /// dropped.
    pub(super) fn has_successor_begun(&mut self) -> bool {
        let Some(mut sent) = self.successor.take() else {
            return false;
        };
        let answer = self.poll_successor(&mut sent);
        if let SuccessorAnswer::Unusable(reason) = answer {
            self.drop_unusable_successor(sent, reason);
            return false;
        }
        self.successor = Some(sent);
        matches!(answer, SuccessorAnswer::Begun)
    }

    /// Chooses the upstream for a successor.
    fn choose_successor(&mut self, may_choose_silent: bool) -> Option<Target> {
        let now = clock::now();
        let excluded = self.excluded_upstreams(now);
        let mut excluded_or_silent = excluded.clone();
        let upstreams = self.shared.upstreams();
        excluded_or_silent.extend(upstreams.silent_upstreams(now).cloned());
        drop(upstreams);
        excluded_or_silent.extend(self.shared.successor_places.full_upstreams());
        self.run_id = self.shared.dispatch.next_run_id();
        if let Ok(target) = self.choose_except(&excluded_or_silent, now) {
            return Some(target);
        }
        // A silent upstream may still answer new requests.
        self.run_id = self.shared.dispatch.next_run_id();
        let chosen = may_choose_silent.then(|| self.choose_except(&excluded, now));
        chosen?.ok()
    }

    fn send_to_other_upstream(
        &mut self,
        may_choose_silent: bool,
    ) -> Result<SentRequest, NoSuccessor> {
        if !self.has_retry() {
            return Err(NoSuccessor::NoRetry);
        }
        let target = self.choose_successor(may_choose_silent);
        let target = target.ok_or(NoSuccessor::NoUpstream)?;
        let Some(place) = SuccessorPlaces::try_take(self.shared, &target.id) else {
            self.release_place(&NextHop::Upstream(target));
            return Err(NoSuccessor::NoUpstream);
        };
        self.record_start(&target);
        let sent = self.connect_and_send(&target);
        let learned = match sent {
            Ok(_) => None,
            Err(NoSuccessor::NotReached) => Some(Outcome::Unreachable),
            Err(NoSuccessor::WriteFailed) => Some(Outcome::Failed),
            Err(_) => Some(Outcome::Unknown),
        };
        if let Some(learned) = learned {
            self.record_end(&target, learned);
        }
        if learned == Some(Outcome::Failed) {
            self.handle_broken_run(&target, clock::now());
        }
        let (exchange, written) = sent?;
        self.tried.push(target.id.clone());
        Ok(SentRequest {
            recipient: Recipient::Upstream {
                target,
                written,
                place,
            },
            exchange,
            sent_at: clock::now(),
            answer: None,
        })
    }

    /// Acquires what is still needed to send the request to `target`, and sends it.
    fn connect_and_send(
        &mut self,
        target: &Target,
    ) -> Result<(Exchange, WriteOutcome), NoSuccessor> {
        let retry = self.take_retry().ok_or(NoSuccessor::NoRetry)?;
        // A new connection, so that the answer belongs to no other request.
        let Ok(mut exchange) = self.connect(target) else {
            return Err(NoSuccessor::NotReached);
        };
        if self.check_access().is_err() {
            return Err(NoSuccessor::Denied);
        }
        let granted = self.with_limit_grant(target.clone());
        let target = granted.ok_or(NoSuccessor::Limited)?;
        let permit = self.acquire_send_permit(&target, &mut exchange);
        let permit = permit.ok_or(NoSuccessor::NotPermitted)?;
        let until = self.deadline_at.min(clock::now() + MAX_OVERLAP);
        match self.send(&target, permit, &mut exchange, until) {
            Ok(written) => {
                self.retry_charges.spend(retry);
                Ok((exchange, written))
            }
            Err(Attempt::NotSent) => Err(NoSuccessor::NotReached),
            Err(_) => {
                self.retry_charges.spend(retry);
                Err(NoSuccessor::WriteFailed)
            }
        }
    }

    fn send_to_other_instance(&mut self, offer: PeerOffer) -> Result<SentRequest, NoSuccessor> {
        let retry = self.take_retry().ok_or(NoSuccessor::NoRetry)?;
        self.tried_peers.push(offer.instance.clone());
        let guard = PathMonitor::count_passed_on(self.shared, &offer.instance);
        // The run in progress counts as one that the other instance follows.
        let runs = self.runs + 1;
        let sent = self.send_to_peer(&offer, runs);
        if !sent.as_ref().is_err_and(Attempt::is_unsent) {
            self.retry_charges.spend(retry);
        }
        match sent {
            Ok(exchange) => Ok(SentRequest {
                recipient: Recipient::Peer { offer, guard },
                exchange,
                sent_at: clock::now(),
                answer: None,
            }),
            Err(attempt) => {
                self.shared.paths.drop_offer(&offer.instance);
                Err(match attempt {
                    Attempt::Denied(_) => NoSuccessor::Denied,
                    Attempt::NotSent => NoSuccessor::NotReached,
                    _ => NoSuccessor::WriteFailed,
                })
            }
        }
    }

    /// Reads what has arrived of the successor's answer, without waiting. A stream has begun once a
    /// part of its body has arrived: an upstream may send the head long before.
    pub(super) fn poll_successor(&mut self, sent: &mut SentRequest) -> SuccessorAnswer {
        if sent.answer.is_none() {
            let head =
                match http1::read_answer_head(sent.exchange.connection_mut(), None, clock::now()) {
                    Ok(head) => head,
                    Err(HttpError::TimedOut) => return SuccessorAnswer::Pending,
                    Err(_) => return SuccessorAnswer::Unusable(UnusableAnswer::Broken),
                };
            match self.accept_successor_head(sent, head) {
                Ok(answer) => sent.answer = Some(answer),
                Err(reason) => return SuccessorAnswer::Unusable(reason),
            }
        }
        let connection = sent.exchange.connection_mut();
        if !self.route.kind.is_stream() || !connection.buffered().is_empty() {
            return SuccessorAnswer::Begun;
        }
        match connection.read_available() {
            Ok(ReadOutcome::Bytes) => SuccessorAnswer::Begun,
            Ok(ReadOutcome::Nothing) => SuccessorAnswer::Pending,
            Ok(ReadOutcome::End) | Err(_) => SuccessorAnswer::Unusable(UnusableAnswer::Broken),
        }
    }

    /// Identifies the head of the successor's answer.
    ///
    /// # Errors
    /// Why the answer is not delivered.
    fn accept_successor_head(
        &mut self,
        sent: &SentRequest,
        head: AnswerHead,
    ) -> Result<OwnAnswer, UnusableAnswer> {
        let answer = match &sent.recipient {
            Recipient::Upstream { target, .. } => {
                let answer = self.accept_head(target, &sent.exchange, head, sent.sent_at);
                let answer = answer.map_err(|_| UnusableAnswer::Broken)?;
                self.retry_charges.record_successor_answer(self.attempt_at);
                if answer.facts().not_run {
                    let refusal = self.handle_refusal(target, &answer);
                    return Err(UnusableAnswer::Refused(refusal.outcome()));
                }
                answer
            }
            Recipient::Peer { .. } => {
                let answer = self.accept_peer_head(&sent.exchange, head);
                let answer = answer.map_err(|_| UnusableAnswer::Broken)?;
                self.retry_charges.record_successor_answer(self.attempt_at);
                if is_refusal(&answer) {
                    return Err(UnusableAnswer::Refused(Outcome::Unknown));
                }
                answer
            }
        };
        let is_success = (200..300).contains(&answer.head().status);
        if answer.is_valid_success() {
            Ok(answer)
        } else if answer.facts().is_sealed && !is_success {
            Err(UnusableAnswer::Failed)
        } else {
            Err(UnusableAnswer::Broken)
        }
    }

    /// Ends a successor whose answer is not delivered.
    pub(super) fn drop_unusable_successor(&mut self, sent: SentRequest, reason: UnusableAnswer) {
        let broken = match (&sent.recipient, reason) {
            (Recipient::Upstream { target, .. }, UnusableAnswer::Broken) => Some(target.clone()),
            _ => None,
        };
        let sent_at = sent.sent_at;
        match reason {
            UnusableAnswer::Refused(learned) => self.drop_successor(sent, false, learned),
            UnusableAnswer::Failed | UnusableAnswer::Broken => {
                self.drop_successor(sent, true, Outcome::Failed);
            }
        }
        if let Some(target) = broken {
            self.handle_broken_run(&target, sent_at);
        }
    }

    /// Ends a successor that is not needed or not of use. Its connection is closed, so that its
    /// upstream stops. `may_have_run` tells whether the upstream may have run the request. `outcome`
    /// is recorded in its state.
    pub(super) fn drop_successor(
        &mut self,
        sent: SentRequest,
        may_have_run: bool,
        outcome: Outcome,
    ) {
        self.runs += u32::from(may_have_run);
        self.may_have_run |= may_have_run;
        if sent.answer.is_none() && outcome == Outcome::Unknown {
            self.retry_charges.record_unanswered(sent.sent_at);
        }
        if outcome == Outcome::Unknown {
            // The upstream has not failed, so the request may be sent there again.
            self.abandoned_runs += u32::from(may_have_run);
            self.tried.retain(|id| **id != *sent.name());
        }
        drop(sent.exchange);
        match sent.recipient {
            Recipient::Upstream { target, .. } => self.record_end(&target, outcome),
            Recipient::Peer { offer, guard } => {
                drop(guard);
                let peer_outcome = if may_have_run {
                    PeerRequestOutcome::Lost
                } else {
                    self.shared.paths.drop_offer(&offer.instance);
                    PeerRequestOutcome::NotRun
                };
                self.shared.metrics.passed_on(peer_outcome);
            }
        }
    }

    /// Ends the successor because the silent upstream has sent more of its answer.
    pub(super) fn drop_overtaken_successor(&mut self) {
        if let Some(overtaken) = self.successor.take() {
            self.drop_successor(overtaken, true, Outcome::Unknown);
        }
    }

    /// Makes the successor of a run that has ended the attempt in progress, and completes it.
    pub(super) fn complete_successor(&mut self, sent: SentRequest) -> (NextHop, Attempt) {
        let SentRequest {
            recipient,
            mut exchange,
            sent_at,
            answer,
        } = sent;
        match recipient {
            Recipient::Upstream {
                target,
                written,
                place,
            } => {
                drop(place);
                let attempt = self.complete_run(&target, sent_at, |this| {
                    if answer.is_some() {
                        this.retry_charges.record_answer();
                    }
                    let answer =
                        answer.map_or_else(|| this.read_own_answer(&target, &mut exchange), Ok);
                    match answer {
                        Ok(answer) => {
                            let request_whole = written == WriteOutcome::Whole;
                            this.handle_answer(&target, exchange, &answer, request_whole)
                        }
                        Err(attempt) => attempt,
                    }
                });
                (NextHop::Upstream(target), attempt)
            }
            Recipient::Peer { offer, guard } => {
                let attempt = self.complete_at_peer(&offer, guard, sent_at, |this| {
                    this.receive_from_peer(exchange, answer)
                });
                (NextHop::Peer(offer), attempt)
            }
        }
    }
}
