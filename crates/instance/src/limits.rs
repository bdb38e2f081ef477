//! Keeping limited upstreams within the rates that they advertise, over all instances.
//!
//! The limits are published to all instances ([`crate::signals`]). An instance that wants to send a
//! request to a limited upstream asks the coordinator, which counts for all. Without an answer the
//! instance uses a small local share, derived from the number of instances that it knows.

use crate::coordinator::{self, TermCoordinator};
use crate::shared::Shared;
use passway_serving::limits::{self, FallbackLimits, NO_OVERAGE};
use passway_types::clock;
use passway_types::prelude::*;
use passway_wire::permits::{PermitReply, PermitRequest, UseVerdict};
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};

/// Whether a request may go to a limited upstream.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum LimitDecision {
    /// The request may go now.
    Granted,
    /// The request may not go before this time has passed.
    RetryAfter(Duration),
    /// No coordinator answers, and this instance's local share is used up.
    Undecided,
}

/// Grants for limited upstreams: this instance's requests and, as the coordinator, its decisions.
#[derive(Debug, Default)]
pub struct Limits {
    coordinator: TermCoordinator,
    local_shares: Mutex<FallbackLimits>,
}

impl Limits {
    /// Requests a grant for one request to an upstream that accepts `per_s` requests a second.
    pub fn request_grant(
        &self,
        shared: &Shared,
        upstream: &UpstreamId,
        per_s: f64,
    ) -> LimitDecision {
        let ask = PermitRequest {
            id: rand::random(),
            upstream: upstream.to_string(),
            cost: 1.0,
            rate_per_s: per_s,
            ..PermitRequest::default()
        };
        match shared.coordinator.request(shared, &ask) {
            Ok(answer) if answer.verdict() == UseVerdict::Granted => LimitDecision::Granted,
            Ok(answer) => LimitDecision::RetryAfter(Duration::from_millis(answer.retry_after_ms)),
            Err(_) => self.take_local_share(shared, upstream, per_s),
        }
    }

    fn take_local_share(
        &self,
        shared: &Shared,
        upstream: &UpstreamId,
        per_s: f64,
    ) -> LimitDecision {
        let instances = shared.instance_count();
        let mut local_shares = self
            .local_shares
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if local_shares.try_take(upstream, per_s, instances, rand::random(), clock::now()) {
            LimitDecision::Granted
        } else {
            LimitDecision::Undecided
        }
    }

    /// Decides, as the coordinator in the term `fence`, on another instance's request.
    pub fn decide(
        &self,
        shared: &Shared,
        fence: Fence,
        from: SocketAddr,
        ask: &PermitRequest,
    ) -> PermitReply {
        let upstream = UpstreamId::from(ask.upstream.as_str());
        // If the two instances know different limits, one of them has not received the newer signal
        // yet. Which one is unknown, so the lower limit applies.
        let known_limit = shared.upstreams().limit_per_s(&upstream, clock::now());
        let per_s = known_limit.map_or(ask.rate_per_s, |limit| limit.min(ask.rate_per_s));
        let allotment = limits::allotment(per_s);
        let question = (from, ask.id);
        let decision = self
            .coordinator
            .decide(fence, NO_OVERAGE, question, |counter| {
                counter.decide(&upstream, allotment, from, ask.cost, clock::now())
            });
        coordinator::encode_decision(ask, decision)
    }

    /// Removes the counts of upstreams that advertise no limit any more.
    pub fn retain(&self, shared: &Shared) {
        let upstreams = shared.upstreams();
        let now = clock::now();
        let is_limited = |id: &str| upstreams.limit_per_s(id, now).is_some();
        self.coordinator
            .in_latest_term(|counter| counter.retain(is_limited));
        let mut local_shares = self
            .local_shares
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        local_shares.retain(is_limited);
    }
}
