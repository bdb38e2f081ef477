//! The right to order while the store is away: by the word of all who could take it.
//!
//! A holder whose lease cannot be renewed asks the instances that may take the key at once,
//! its *candidates*, to promise for a short time that they will not. While it has the
//! promise of each of them it goes on: nobody else can order in that time, though nobody
//! can ask the store. One that reaches the store, or has heard of a later holder, refuses,
//! and the holder stops within the time of a promise.
//!
//! The candidates stand in the store, beside the names of recent holders, and each taking of
//! the key is conditional on that value: who is not among them waits out the gap between two
//! holders and tells the candidates meanwhile that it has the key.
//!
//! Without this nobody orders in an outage, and requests for models that stand nowhere are
//! refused for as long as it lasts.

use passway_types::prelude::*;
use std::collections::{BTreeMap, BTreeSet};

/// Time for which a promise not to take the key holds: three heartbeats of the holder, so
/// that one that is lost does not end its term.
pub const PROMISE_DURATION: Duration = Duration::from_millis(900);

/// Why an instance does not promise a holder to leave the key alone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PromiseRefusal {
    /// It takes the key itself, or has it.
    TakesItself,
    /// The store answers it.
    StoreAnswers,
    /// It knows of a later holder, or does not know that the one that asks was the last.
    KnowsAnother,
}

/// What one candidate has promised.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Promise {
    Until(Instant),
    /// Its process ends and never takes the key any more.
    ForGood,
}

/// What the holder of a term knows of its candidates.
#[derive(Debug, Clone, Default)]
pub(super) struct Promises {
    /// Candidates that the store names for this term; empty if it names none.
    listed: BTreeSet<InstanceId>,
    /// Those that it names if a write whose answer was lost took effect.
    perhaps_listed: BTreeSet<InstanceId>,
    given: BTreeMap<InstanceId, Promise>,
}

impl Promises {
    /// A list is about to be written.
    pub(super) fn writing(&mut self, names: impl Iterator<Item = InstanceId>) {
        self.perhaps_listed.extend(names);
    }

    /// The store has exactly these candidates for this term.
    pub(super) fn set_listed(&mut self, names: impl Iterator<Item = InstanceId>) {
        self.listed = names.collect();
        self.perhaps_listed.clear();
    }

    /// Whether there is anybody whose word could carry the term.
    pub(super) fn has_candidates(&self, me: &InstanceId) -> bool {
        self.listed.iter().any(|name| name != me)
    }

    /// A candidate promises until a moment.
    pub(super) fn promised(&mut self, name: &InstanceId, until: Instant) {
        let given = self.given.entry(name.clone());
        let promise = given.or_insert(Promise::Until(until));
        if let Promise::Until(known) = promise {
            *known = (*known).max(until);
        }
    }

    /// A candidate's process ends: it will not take the key any more.
    pub(super) fn left(&mut self, name: &InstanceId) {
        self.given.insert(name.clone(), Promise::ForGood);
    }

    /// The store answers again: whoever left may be back by now as another process.
    pub(super) fn store_answered(&mut self) {
        self.given.retain(|_, promise| *promise != Promise::ForGood);
    }

    /// Those whose promise is missing or over.
    pub(super) fn lacking(&self, me: &InstanceId, now: Instant) -> Vec<InstanceId> {
        let asked = self.listed.union(&self.perhaps_listed);
        let is_bound = |name: &InstanceId| match self.given.get(name) {
            Some(Promise::ForGood) => true,
            Some(Promise::Until(until)) => now < *until,
            None => false,
        };
        let lacking = asked.filter(|name| *name != me && !is_bound(name));
        lacking.cloned().collect()
    }

    /// Until when nobody else takes the key; `None` if somebody might at any moment.
    pub(super) fn hold_until(&self, me: &InstanceId) -> Option<Instant> {
        if !self.has_candidates(me) {
            return None;
        }
        let asked = self.listed.union(&self.perhaps_listed);
        let mut least: Option<Instant> = None;
        for name in asked.filter(|name| *name != me) {
            match self.given.get(name)? {
                Promise::ForGood => {}
                Promise::Until(until) => {
                    least = Some(least.map_or(*until, |known| known.min(*until)));
                }
            }
        }
        least
    }
}
