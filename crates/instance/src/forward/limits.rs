//! Upstreams that do not take a request yet: a turn at one that says how much it takes, and the end of a rest.

use super::{Forwarding, Target};
use crate::limits::LimitDecision;
use passway_serving::upstreams::Outcome;
use passway_types::clock;
use passway_types::prelude::*;

/// Pause before an upstream is asked for again for which nobody counts.
const UNCOUNTED_BACKOFF: Duration = Duration::from_millis(100);
/// Shortest pause before an upstream in need is asked for again.
const MIN_BACKOFF: Duration = Duration::from_millis(10);
/// Upstreams in need that a request asks for a turn before it waits or is refused: each is a question to
/// the holder, and those that come later are no emptier.
const MAX_GRANT_REQUESTS: usize = 3;

/// An upstream that does not take the request yet.
#[derive(Debug, Clone)]
pub(super) struct DeferredUpstream {
    upstream: UpstreamId,
    /// When it is asked for again.
    retry_at: Instant,
    /// Whether it is known that it does then; else nobody counts.
    is_time_known: bool,
}

impl Forwarding<'_> {
    /// The upstream that was chosen for the request, with a turn if it names a limit; `None` if the request's
    /// turn has not come.
    pub(super) fn with_limit_grant(&mut self, mut target: Target) -> Option<Target> {
        let limit = self
            .shared
            .upstreams()
            .limit_per_s(&target.id, clock::now());
        let Some(per_s) = limit else {
            return Some(target);
        };
        let turn = self
            .shared
            .limits
            .request_grant(self.shared, &target.id, per_s);
        self.shared.metrics.limit_decision(turn);
        let (pause, is_time_known) = match turn {
            LimitDecision::Granted => {
                target.has_limit_grant = true;
                return Some(target);
            }
            LimitDecision::RetryAfter(pause) => (pause, true),
            LimitDecision::Undecided => (UNCOUNTED_BACKOFF, false),
        };
        let now = clock::now();
        self.deferred.retain(|held| now < held.retry_at);
        self.deferred.push(DeferredUpstream {
            upstream: target.id.clone(),
            retry_at: now + pause.max(MIN_BACKOFF),
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

    /// Upstreams in need that do not take the request yet, and that were asked for a turn.
    fn refused_grants(&self, now: Instant) -> impl Iterator<Item = &DeferredUpstream> {
        self.deferred.iter().filter(move |held| now < held.retry_at)
    }

    /// Upstreams that could serve the request and do not take it yet: those in need, and those that have asked
    /// this instance for rest.
    fn deferred_upstreams(&self, now: Instant) -> Vec<DeferredUpstream> {
        let upstreams = self.shared.upstreams();
        let closed = upstreams.closed_to(self.wanted(), now);
        drop(upstreams);
        let resting = closed
            .into_iter()
            .map(|(upstream, retry_at)| DeferredUpstream {
                upstream,
                retry_at,
                is_time_known: true,
            });
        self.refused_grants(now).cloned().chain(resting).collect()
    }

    /// Upstreams that the request does not go to now: those where it has been, and those that do not take it
    /// yet.
    pub(super) fn excluded_upstreams(&self, now: Instant) -> Vec<UpstreamId> {
        let held = self.deferred_upstreams(now).into_iter();
        let held = held.map(|held| held.upstream);
        self.tried.iter().cloned().chain(held).collect()
    }

    /// Whether the request asks no further upstream in need for a turn.
    pub(super) fn has_used_grant_requests(&self, now: Instant) -> bool {
        self.refused_grants(now).count() >= MAX_GRANT_REQUESTS
    }

    /// When the first of the upstreams that do not take the request yet does; `None` if none holds it back.
    pub(super) fn next_available_at(&self, now: Instant) -> Option<Instant> {
        let held = self.deferred_upstreams(now).into_iter();
        held.map(|held| held.retry_at).min()
    }

    /// Whether the request had better be refused, with when it may come back: only upstreams that do not take
    /// it yet have what it needs, none does before its wait is over, and what it needs comes to no other one
    /// by then.
    pub(super) fn is_wait_hopeless(&self, wait_until: Instant, now: Instant) -> bool {
        let held = self.deferred_upstreams(now);
        let is_late = |held: &DeferredUpstream| held.is_time_known && held.retry_at > wait_until;
        let has_no_turn = !held.is_empty() && held.iter().all(is_late);
        has_no_turn && !self.can_be_served_elsewhere(wait_until, now)
    }

    /// Whether an engine that takes any requests has the request's model near, or can fetch it in time.
    fn can_be_served_elsewhere(&self, wait_until: Instant, now: Instant) -> bool {
        let Some(model_ref) = self.model_ref() else {
            return false;
        };
        let comes_at = self.load_time().map(|load| now + load);
        let upstreams = self.shared.upstreams();
        comes_at.is_some_and(|at| at <= wait_until)
            || upstreams.lies_elsewhere(&self.service, &model_ref.model, &self.access.allowed, now)
    }
}
