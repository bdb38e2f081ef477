//! The candidates of a term: who they are, what they promise, and how long they carry it.

use super::promises::PROMISE_DURATION;
use super::{
    Candidate, LIST_PAUSE, Leadership, PromiseRefusal, RecentHolders, SAFETY, Stage, Term,
};
use crate::ports::{StoreError, WriteAnswer};
use passway_types::prelude::*;

/// A term whose lease has run out and that not all candidates carry may still be taken up
/// again within this: a candidate learns that the store is silent only by a call's time-out.
const RESUME_TIME: Duration = Duration::from_secs(3);

impl Leadership {
    /// My fencing number, if the candidates of my term are to promise.
    pub fn promise_request_fence(&self, now: Instant) -> Option<Fence> {
        let Stage::Holding(term) = self.stage else {
            return None;
        };
        let asks = term.unanswered > 0 && self.promises.has_candidates(&self.me);
        self.term_fence(now).filter(|_| asks)
    }

    /// A candidate promises, asked at a moment, not to take the key.
    pub fn record_promise(&mut self, from: &InstanceId, fence: Fence, asked_at: Instant) {
        if self.holds(fence) {
            let until = asked_at + PROMISE_DURATION.saturating_sub(SAFETY);
            self.promises.promised(from, until);
        }
    }

    /// A candidate's process ends, and does not take the key any more.
    pub fn record_departure(&mut self, from: &InstanceId, fence: Fence) {
        if self.holds(fence) {
            self.promises.left(from);
        }
    }

    fn holds(&self, fence: Fence) -> bool {
        matches!(self.stage, Stage::Holding(term) if term.fence == fence)
    }

    /// Promises the holder that asks not to take the key for [`PROMISE_DURATION`].
    ///
    /// # Errors
    /// Why this instance does not.
    pub fn try_promise(
        &mut self,
        asker: &InstanceId,
        store_answers: bool,
        now: Instant,
    ) -> Result<(), PromiseRefusal> {
        let takes = matches!(self.stage, Stage::Granted(_) | Stage::Holding(_));
        let holder = self.holder.as_ref();
        let is_last = holder.is_some_and(|h| h.instance == *asker && h.fence >= self.highest)
            && self.recent.names.last() == Some(asker);
        if takes {
            return Err(PromiseRefusal::TakesItself);
        }
        if store_answers {
            return Err(PromiseRefusal::StoreAnswers);
        }
        if !is_last {
            return Err(PromiseRefusal::KnowsAnother);
        }
        self.promised_until = self.promised_until.max(now + PROMISE_DURATION);
        Ok(())
    }

    /// The candidates of my term without whose word it does not go on beyond its lease.
    pub fn candidates_without_promise(&self, now: Instant) -> Vec<InstanceId> {
        self.promises.lacking(&self.me, now)
    }

    /// The last moment of a term at which an order may be given: by the lease, or by the
    /// candidates' word.
    pub(super) fn ordering_until(&self, term: &Term) -> Instant {
        let carried = self.promises.hold_until(&self.me);
        carried.map_or(term.until, |until| until.max(term.until))
    }

    /// When a term is given up.
    pub(super) fn ends_at(&self, term: &Term) -> Instant {
        let until = self.ordering_until(term);
        if self.promises.has_candidates(&self.me) {
            until + RESUME_TIME
        } else {
            until
        }
    }

    /// The candidates that my term should have, if I hold the right.
    pub fn set_desired_candidates(&mut self, wanted: Vec<Candidate>) {
        self.wanted = wanted;
    }

    /// Candidates that the store named when this instance took the key last.
    pub fn previous_candidates(&self) -> &[Candidate] {
        &self.former_candidates
    }

    /// Whether this instance may take the key at once.
    pub(super) fn is_candidate(&self) -> bool {
        let candidates = &self.recent.candidates;
        candidates.is_empty() || candidates.iter().any(|one| one.instance == self.me)
    }

    /// The store has these candidates, which are mine if I took the key last.
    pub(super) fn set_listed_candidates(&mut self, recent: &RecentHolders) {
        let is_mine = recent.names.last() == Some(&self.me);
        let names = recent.candidates.iter().map(|one| one.instance.clone());
        let is_listed = is_mine && recent.candidates.iter().any(|c| c.instance == self.me);
        self.promises.set_listed(names.filter(|_| is_listed));
    }

    /// Whether the store has other candidates than it should have. It is told of the taking
    /// by the same value, which must be known before it is replaced.
    pub(super) fn should_write_candidates(&self) -> bool {
        let is_mine = self.recent.names.last() == Some(&self.me);
        is_mine && self.wanted.len() > 1 && self.wanted != self.recent.candidates
    }

    /// The list to write for [`Step::List`], and the revision that it replaces.
    pub fn recent_holders_with_candidates(&self) -> RecentHolders {
        RecentHolders {
            candidates: self.wanted.clone(),
            ..self.recent.clone()
        }
    }

    /// The answer to [`Step::List`], whose list was `written`.
    pub fn handle_list_write(
        &mut self,
        answer: &Result<WriteAnswer, StoreError>,
        written: RecentHolders,
        now: Instant,
    ) {
        let Stage::Holding(term) = &mut self.stage else {
            return;
        };
        term.list_at = now + LIST_PAUSE;
        // Without an answer it may take effect yet, and after a conflict it is not known
        // what stands: what the store tells next shows it.
        if let Ok(WriteAnswer::Written(revision)) = *answer {
            self.observe_recent(RecentHolders {
                revision,
                ..written
            });
        }
    }
}
