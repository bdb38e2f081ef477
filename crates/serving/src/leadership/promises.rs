//! Extends the leadership while the store is unavailable, with promises of all instances that
//! could take it.
//!
//! A holder that cannot renew its lease asks its *candidates*, the instances that may take the key
//! at once, to promise not to take it for a short time. While the holder has the promise of every
//! candidate it continues: no other instance can give orders in that time, although the store
//! cannot be asked. A candidate that reaches the store, or knows of a later holder, refuses, and
//! the holder stops within the duration of a promise.
//!
//! The candidates are stored beside the names of recent holders, and each write of the key is
//! conditional on that value. An instance that is not a candidate waits out the gap between two
//! holders after it takes the key, and meanwhile notifies the candidates.
//!
//! Without promises no instance could give orders during an outage of the store, and requests for
//! models that are loaded nowhere would be refused until it ends.

use passway_types::prelude::*;
use std::collections::{BTreeMap, BTreeSet};

/// How long a promise not to take the key holds: three heartbeats of the holder, so that one lost
/// heartbeat does not end its term.
pub const PROMISE_DURATION: Duration = Duration::from_millis(900);

/// Why an instance does not promise a holder to leave the key alone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PromiseRefusal {
    /// The instance is taking the key itself or has it.
    TakesItself,
    /// The store answers the instance.
    StoreAnswers,
    /// The instance knows of a later holder, or does not know that the asking instance was the
    /// last holder.
    KnowsAnother,
}

/// What one candidate has promised.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Promise {
    Until(Instant),
    /// The candidate's process terminates and never takes the key again.
    Permanent,
}

/// What the holder of a term knows about its candidates.
#[derive(Debug, Clone, Default)]
pub(super) struct Promises {
    /// Candidates in the store for this term; empty if there are none.
    listed: BTreeSet<InstanceId>,
    /// Candidates in the store if a write whose answer was lost took effect.
    possibly_listed: BTreeSet<InstanceId>,
    by_candidate: BTreeMap<InstanceId, Promise>,
}

impl Promises {
    /// Records that a list with these candidates is about to be written.
    pub(super) fn record_pending_list(&mut self, names: impl Iterator<Item = InstanceId>) {
        self.possibly_listed.extend(names);
    }

    /// Sets the candidates that the store has for this term.
    pub(super) fn set_listed(&mut self, names: impl Iterator<Item = InstanceId>) {
        self.listed = names.collect();
        self.possibly_listed.clear();
    }

    /// Whether any other instance's promise could extend the term.
    pub(super) fn has_candidates(&self, own_id: &InstanceId) -> bool {
        self.listed.iter().any(|name| name != own_id)
    }

    /// Records a candidate's promise until a time.
    pub(super) fn record_promise(&mut self, name: &InstanceId, until: Instant) {
        let entry = self.by_candidate.entry(name.clone());
        let promise = entry.or_insert(Promise::Until(until));
        if let Promise::Until(known) = promise {
            *known = (*known).max(until);
        }
    }

    /// Records that a candidate's process terminates and will not take the key any more.
    pub(super) fn record_departure(&mut self, name: &InstanceId) {
        self.by_candidate.insert(name.clone(), Promise::Permanent);
    }

    /// Drops permanent promises once the store answers again, because a terminated candidate may
    /// have restarted by then.
    pub(super) fn clear_departures(&mut self) {
        self.by_candidate
            .retain(|_, promise| *promise != Promise::Permanent);
    }

    /// The candidates whose promise is missing or expired.
    pub(super) fn missing(&self, own_id: &InstanceId, now: Instant) -> Vec<InstanceId> {
        let candidates = self.listed.union(&self.possibly_listed);
        let has_promised = |name: &InstanceId| match self.by_candidate.get(name) {
            Some(Promise::Permanent) => true,
            Some(Promise::Until(until)) => now < *until,
            None => false,
        };
        let missing = candidates.filter(|name| *name != own_id && !has_promised(name));
        missing.cloned().collect()
    }

    /// Until when no other instance takes the key; `None` if one might take it at any time.
    pub(super) fn guaranteed_until(&self, own_id: &InstanceId) -> Option<Instant> {
        if !self.has_candidates(own_id) {
            return None;
        }
        let candidates = self.listed.union(&self.possibly_listed);
        let mut earliest: Option<Instant> = None;
        for name in candidates.filter(|name| *name != own_id) {
            match self.by_candidate.get(name)? {
                Promise::Permanent => {}
                Promise::Until(until) => {
                    earliest = Some(earliest.map_or(*until, |known| known.min(*until)));
                }
            }
        }
        earliest
    }
}
