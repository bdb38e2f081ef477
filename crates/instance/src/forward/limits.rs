//! Upstreams that do not take a request yet: a turn at one that says how much it takes, and the end of a rest.

use super::{Forwarding, Target};
use crate::limits::Turn;
use passway_serving::upstreams::Outcome;
use passway_types::clock;
use passway_types::prelude::*;

/// Pause before an upstream is asked for again for which nobody counts.
const UNCOUNTED_STEP: Duration = Duration::from_millis(100);
/// Shortest pause before an upstream in need is asked for again.
const LEAST_PAUSE: Duration = Duration::from_millis(10);
/// Upstreams in need that a request asks for a turn before it waits or is refused: each is a question to
/// the holder, and those that come later are no emptier.
const MOST_ASKED: usize = 3;

/// An upstream that does not take the request yet.
#[derive(Debug, Clone)]
pub(super) struct HeldBack {
    upstream: UpstreamId,
    /// When it is asked for again.
    until: Instant,
    /// Whether it is known that it does then; else nobody counts.
    is_counted: bool,
}

impl Forwarding<'_> {
    /// The upstream that was chosen for the request, with a turn if it names a limit; `None` if the request's
    /// turn has not come.
    pub(super) fn with_turn(&mut self, mut target: Target) -> Option<Target> {
        let limit = self
            .shared
            .upstreams()
            .limit_per_s(&target.id, clock::now());
        let Some(per_s) = limit else {
            return Some(target);
        };
        let turn = self.shared.limits.ask(self.shared, &target.id, per_s);
        self.shared.metrics.turn(turn);
        let (pause, is_counted) = match turn {
            Turn::Now => {
                target.has_turn = true;
                return Some(target);
            }
            Turn::After(pause) => (pause, true),
            Turn::Unknown => (UNCOUNTED_STEP, false),
        };
        let now = clock::now();
        self.held_back.retain(|held| now < held.until);
        self.held_back.push(HeldBack {
            upstream: target.id.clone(),
            until: now + pause.max(LEAST_PAUSE),
            is_counted,
        });
        self.question = self.shared.dispatch.next_run();
        if let Some(run) = target.run {
            self.shared
                .dispatch
                .ended(self.shared, run, Outcome::Unknown);
        }
        None
    }

    /// Upstreams in need that do not take the request yet, and that were asked for a turn.
    fn without_turn(&self, now: Instant) -> impl Iterator<Item = &HeldBack> {
        self.held_back.iter().filter(move |held| now < held.until)
    }

    /// Upstreams that could serve the request and do not take it yet: those in need, and those that have asked
    /// this instance for rest.
    fn held_back(&self, now: Instant) -> Vec<HeldBack> {
        let upstreams = self.shared.upstreams();
        let closed = upstreams.backing_off_for(self.wanted(), now);
        drop(upstreams);
        let resting = closed.into_iter().map(|(upstream, until)| HeldBack {
            upstream,
            until,
            is_counted: true,
        });
        self.without_turn(now).cloned().chain(resting).collect()
    }

    /// Upstreams that the request does not go to now: those where it has been, and those that do not take it
    /// yet.
    pub(super) fn closed_to_it(&self, now: Instant) -> Vec<UpstreamId> {
        let held = self.held_back(now).into_iter();
        let held = held.map(|held| held.upstream);
        self.tried.iter().cloned().chain(held).collect()
    }

    /// Whether the request asks no further upstream in need for a turn.
    pub(super) fn has_asked_enough(&self, now: Instant) -> bool {
        self.without_turn(now).count() >= MOST_ASKED
    }

    /// When the first of the upstreams that do not take the request yet does; `None` if none holds it back.
    pub(super) fn turn_at(&self, now: Instant) -> Option<Instant> {
        let held = self.held_back(now).into_iter();
        held.map(|held| held.until).min()
    }

    /// Whether the request had better be refused, with when it may come back: only upstreams that do not take
    /// it yet have what it needs, none does before its wait is over, and what it needs comes to no other one
    /// by then.
    pub(super) fn comes_in_vain(&self, wait_until: Instant, now: Instant) -> bool {
        let held = self.held_back(now);
        let is_late = |held: &HeldBack| held.is_counted && held.until > wait_until;
        let has_no_turn = !held.is_empty() && held.iter().all(is_late);
        has_no_turn && !self.comes_elsewhere(wait_until, now)
    }

    /// Whether an engine that takes any requests has the request's model near, or can fetch it in time.
    fn comes_elsewhere(&self, wait_until: Instant, now: Instant) -> bool {
        let Some(model_ref) = self.wish() else {
            return false;
        };
        let comes_at = self.load_time().map(|load| now + load);
        let upstreams = self.shared.upstreams();
        comes_at.is_some_and(|at| at <= wait_until)
            || upstreams.is_cached_on_available_engine(
                &self.service,
                &model_ref.model,
                &self.access.allowed,
                now,
            )
    }
}
