//! Upstreams that do not accept a request yet: those with an advertised limit, for which the
//! request needs a grant, and those that have asked this instance to back off.

use super::{Forwarding, Target};
use crate::limits::LimitDecision;
use passway_serving::upstreams::Outcome;
use passway_types::clock;
use passway_types::prelude::*;

/// Backoff before the next request for a grant when no coordinator answers.
const UNCOUNTED_BACKOFF: Duration = Duration::from_millis(100);
/// Shortest backoff before the next request for a grant at the same upstream.
const MIN_BACKOFF: Duration = Duration::from_millis(10);
/// Limited upstreams at which a request asks for a grant before it waits or is refused. Each costs
/// a query to the coordinator, and later choices have no more free capacity.
const MAX_GRANT_REQUESTS: usize = 3;

/// An upstream that does not accept the request yet.
#[derive(Debug, Clone)]
pub(super) struct DeferredUpstream {
    upstream: UpstreamId,
    /// When the request may try the upstream again.
    retry_at: Instant,
    /// Whether the upstream is known to accept the request then; false if no coordinator answered.
    is_time_known: bool,
}

impl Forwarding<'_> {
    /// Acquires a grant for the chosen upstream if it is limited. `None` if the request must wait
    /// for the grant.
    pub(super) fn with_limit_grant(&mut self, mut target: Target) -> Option<Target> {
        let limit = self
            .shared
            .upstreams()
            .limit_per_s(&target.id, clock::now());
        let Some(per_s) = limit else {
            return Some(target);
        };
        let decision = self
            .shared
            .limits
            .request_grant(self.shared, &target.id, per_s);
        self.shared.metrics.limit_decision(decision);
        let (backoff, is_time_known) = match decision {
            LimitDecision::Granted => {
                target.has_limit_grant = true;
                return Some(target);
            }
            LimitDecision::RetryAfter(backoff) => (backoff, true),
            LimitDecision::Undecided => (UNCOUNTED_BACKOFF, false),
        };
        let now = clock::now();
        self.deferred.retain(|one| now < one.retry_at);
        self.deferred.push(DeferredUpstream {
            upstream: target.id.clone(),
            retry_at: now + backoff.max(MIN_BACKOFF),
            is_time_known,
        });
        self.run_id = self.shared.dispatch.next_run_id();
        if let Some(run_id) = target.run_id {
            self.shared
                .dispatch
                .run_ended(self.shared, run_id, Outcome::Unknown);
        }
        None
    }

    /// Limited upstreams that refused a grant and may not be tried again yet.
    fn refused_grants(&self, now: Instant) -> impl Iterator<Item = &DeferredUpstream> {
        self.deferred.iter().filter(move |one| now < one.retry_at)
    }

    /// Upstreams that could serve the request but do not accept it yet: limited ones without a
    /// grant, and those that have asked this instance to back off.
    fn deferred_upstreams(&self, now: Instant) -> Vec<DeferredUpstream> {
        let upstreams = self.shared.upstreams();
        let backing_off = upstreams.backing_off_for(self.wanted(), now);
        drop(upstreams);
        let backing_off = backing_off
            .into_iter()
            .map(|(upstream, retry_at)| DeferredUpstream {
                upstream,
                retry_at,
                is_time_known: true,
            });
        self.refused_grants(now)
            .cloned()
            .chain(backing_off)
            .collect()
    }

    /// Upstreams that the request does not go to now: those already tried or with other weights, those that
    /// do not accept it yet, and those at which streams may not begin yet.
    pub(super) fn excluded_upstreams(&self, now: Instant) -> Vec<UpstreamId> {
        let deferred = self.deferred_upstreams(now).into_iter();
        let deferred = deferred.map(|one| one.upstream);
        let unlisted = self.upstreams_of_unlisted_versions(&self.shared.upstreams(), now);
        let refused = self.tried.iter().chain(&self.other_weights);
        let excluded = refused.cloned().chain(deferred);
        excluded.chain(unlisted).collect()
    }

    /// Whether the request asks no further limited upstream for a grant.
    pub(super) fn has_used_grant_requests(&self, now: Instant) -> bool {
        self.refused_grants(now).count() >= MAX_GRANT_REQUESTS
    }

    /// When the first of the deferred upstreams accepts the request; `None` if there are none.
    pub(super) fn next_available_at(&self, now: Instant) -> Option<Instant> {
        let deferred = self.deferred_upstreams(now).into_iter();
        deferred.map(|one| one.retry_at).min()
    }

    /// Whether the request should be refused at once with a `Retry-After`: only deferred upstreams
    /// have its model, none of them accepts the request before its wait ends, and the model is
    /// loaded on no other upstream by then.
    pub(super) fn is_wait_hopeless(&self, wait_until: Instant, now: Instant) -> bool {
        let deferred = self.deferred_upstreams(now);
        let is_late = |one: &DeferredUpstream| one.is_time_known && one.retry_at > wait_until;
        let is_deferred_everywhere = !deferred.is_empty() && deferred.iter().all(is_late);
        is_deferred_everywhere && !self.can_be_served_elsewhere(wait_until, now)
    }

    /// Whether an engine that accepts requests has the model cached, or can fetch it in time.
    fn can_be_served_elsewhere(&self, wait_until: Instant, now: Instant) -> bool {
        let Some(model_ref) = self.model_ref() else {
            return false;
        };
        let ready_at = self.load_time().map(|load_time| now + load_time);
        let upstreams = self.shared.upstreams();
        ready_at.is_some_and(|at| at <= wait_until)
            || upstreams.is_cached_on_available_engine(
                &self.service,
                &model_ref.model,
                &self.access.allowed_regions,
                now,
            )
    }
}
