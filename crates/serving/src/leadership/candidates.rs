//! The candidates of a term: which instances they are, what they promise, and how long their
//! promises extend the term.

use super::promises::PROMISE_DURATION;
use super::{
    Candidate, EXPIRY_MARGIN, LIST_WRITE_INTERVAL, Leadership, PromiseRefusal, RecentHolders,
    Stage, Term,
};
use crate::ports::{StoreError, WriteAnswer};
use passway_types::prelude::*;

/// A term whose lease has expired without the promises of all candidates may still be resumed
/// within this time: a candidate learns only by a timed-out call that the store does not answer.
const RESUME_WINDOW: Duration = Duration::from_secs(3);

impl Leadership {
    /// This instance's fencing number if the candidates of its term should be asked for promises.
    pub fn promise_request_fence(&self, now: Instant) -> Option<Fence> {
        let Stage::Holding(term) = self.stage else {
            return None;
        };
        let must_ask = term.unanswered_renewals > 0 && self.promises.has_candidates(&self.own_id);
        self.term_fence(now).filter(|_| must_ask)
    }

    /// Records that a candidate promised not to take the key. The promise was requested at
    /// `sent_at`.
    pub fn record_promise(&mut self, from: &InstanceId, fence: Fence, sent_at: Instant) {
        if self.is_holding(fence) {
            let until = sent_at + PROMISE_DURATION.saturating_sub(EXPIRY_MARGIN);
            self.promises.record_promise(from, until);
        }
    }

    /// Records that a candidate's process terminates and will not take the key any more.
    pub fn record_departure(&mut self, from: &InstanceId, fence: Fence) {
        if self.is_holding(fence) {
            self.promises.record_departure(from);
        }
    }

    fn is_holding(&self, fence: Fence) -> bool {
        matches!(self.stage, Stage::Holding(term) if term.fence == fence)
    }

    /// Promises the asking holder not to take the key for [`PROMISE_DURATION`].
    ///
    /// # Errors
    /// The reason why this instance does not promise.
    pub fn try_promise(
        &mut self,
        asker: &InstanceId,
        store_answers: bool,
        now: Instant,
    ) -> Result<(), PromiseRefusal> {
        let has_or_takes_key = matches!(self.stage, Stage::Granted(_) | Stage::Holding(_));
        let holder = self.holder.as_ref();
        let is_asker_last_holder = holder
            .is_some_and(|h| h.instance == *asker && h.fence >= self.highest_fence)
            && self.recent.names.last() == Some(asker);
        if has_or_takes_key {
            return Err(PromiseRefusal::TakesItself);
        }
        if store_answers {
            return Err(PromiseRefusal::StoreAnswers);
        }
        if !is_asker_last_holder {
            return Err(PromiseRefusal::KnowsAnother);
        }
        self.promised_until = self.promised_until.max(now + PROMISE_DURATION);
        Ok(())
    }

    /// The candidates whose missing promises prevent this instance's term from lasting beyond its
    /// lease.
    pub fn candidates_without_promise(&self, now: Instant) -> Vec<InstanceId> {
        self.promises.missing(&self.own_id, now)
    }

    /// Until when the holder of a term may give orders, by its lease or by the candidates'
    /// promises.
    pub(super) fn orders_allowed_until(&self, term: &Term) -> Instant {
        let extended_until = self.promises.guaranteed_until(&self.own_id);
        extended_until.map_or(term.expires_at, |until| until.max(term.expires_at))
    }

    /// When a term ends.
    pub(super) fn ends_at(&self, term: &Term) -> Instant {
        let until = self.orders_allowed_until(term);
        if self.promises.has_candidates(&self.own_id) {
            until + RESUME_WINDOW
        } else {
            until
        }
    }

    /// Sets the candidates that this instance's term should have when it holds the leadership.
    pub fn set_desired_candidates(&mut self, desired: Vec<Candidate>) {
        self.desired_candidates = desired;
    }

    /// The candidates that the store lists.
    pub fn listed_candidates(&self) -> &[Candidate] {
        &self.recent.candidates
    }

    /// The candidates in the store when this instance last took the key.
    pub fn previous_candidates(&self) -> &[Candidate] {
        &self.previous_candidates
    }

    /// Whether this instance may take the key at once.
    pub(super) fn is_candidate(&self) -> bool {
        let candidates = &self.recent.candidates;
        candidates.is_empty()
            || candidates
                .iter()
                .any(|candidate| candidate.instance == self.own_id)
    }

    /// Records the candidates in the store. They belong to this instance's term if it took the key
    /// last.
    pub(super) fn set_listed_candidates(&mut self, recent: &RecentHolders) {
        let is_own_list = recent.names.last() == Some(&self.own_id);
        let names = recent
            .candidates
            .iter()
            .map(|candidate| candidate.instance.clone());
        let is_listed = is_own_list && recent.candidates.iter().any(|c| c.instance == self.own_id);
        self.promises.set_listed(names.filter(|_| is_listed));
    }

    /// Whether the candidates in the store differ from the desired ones. The same stored value
    /// reports that this instance took the key, so that report must be known before the value is
    /// replaced.
    pub(super) fn should_write_candidates(&self) -> bool {
        let is_own_list = self.recent.names.last() == Some(&self.own_id);
        is_own_list
            && self.desired_candidates.len() > 1
            && self.desired_candidates != self.recent.candidates
    }

    /// The list to write for [`WriteCandidates`](super::Step::WriteCandidates), with the revision
    /// that it replaces.
    pub fn recent_holders_with_candidates(&self) -> RecentHolders {
        RecentHolders {
            candidates: self.desired_candidates.clone(),
            ..self.recent.clone()
        }
    }

    /// Handles the answer to [`WriteCandidates`](super::Step::WriteCandidates), whose list was
    /// `written`.
    pub fn handle_list_write(
        &mut self,
        answer: &Result<WriteAnswer, StoreError>,
        written: RecentHolders,
        now: Instant,
    ) {
        let Stage::Holding(term) = &mut self.stage else {
            return;
        };
        term.next_list_write_at = now + LIST_WRITE_INTERVAL;
        // A write without an answer may still take effect, and after a conflict the stored list is
        // unknown. In both cases the next update from the store shows it.
        if let Ok(WriteAnswer::Written(revision)) = *answer {
            self.observe_recent(RecentHolders {
                revision,
                ..written
            });
        }
    }
}
