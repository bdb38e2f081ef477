//! The life cycle of a change of the plan: drafted, in flight, committed.
//!
//! Orders are made from a [`CommittedPlan`] only, and the only ways to one lead
//! through a confirmed write. That a load is ordered before its placement is
//! written is thereby not a rule to remember but a program that does not compile.

use super::Action;
use crate::plan::Plan;
use passway_types::prelude::*;
use std::marker::PhantomData;

/// A change that has not left the process.
#[derive(Debug)]
pub struct Drafted;
/// A change that was sent and whose outcome is open.
#[derive(Debug)]
pub struct InFlight;

/// A change of the plan in state `S`.
#[derive(Debug)]
pub struct Change<S> {
    plan: Plan,
    state: PhantomData<S>,
}

/// A plan that is known to have been written.
#[derive(Debug, Clone)]
pub struct CommittedPlan {
    version: Version,
    plan: Plan,
}

/// What a read tells about a change in flight.
#[derive(Debug)]
pub enum Resolution {
    /// It took effect, or an earlier one of the same holder did.
    Committed(CommittedPlan),
    /// It has not taken effect; this is what stands.
    NotApplied {
        /// The version that stands.
        version: Version,
        /// The plan that stands.
        plan: Option<Plan>,
    },
    /// Another holder has begun a later term.
    Superseded,
}

impl Change<Drafted> {
    /// Drafts a change that leads to `plan`.
    pub fn draft(plan: Plan) -> Self {
        Self {
            plan,
            state: PhantomData,
        }
    }

    /// Sends it against the version that it was drafted on.
    pub fn send(self, expected: Version) -> (Change<InFlight>, Action) {
        let action = Action::WritePlan {
            expected,
            plan: Box::new(self.plan.clone()),
        };
        (
            Change {
                plan: self.plan,
                state: PhantomData,
            },
            action,
        )
    }
}

impl Change<InFlight> {
    /// The change's id, which its answers carry.
    pub fn id(&self) -> ChangeId {
        self.plan.last_change
    }

    /// The write's own answer says that it took effect.
    pub fn confirm(self, version: Version) -> CommittedPlan {
        CommittedPlan {
            version,
            plan: self.plan,
        }
    }

    /// Decides from what a later read stored.
    ///
    /// The change is recognised by its id, never written again blindly: a write
    /// whose answer was lost may have taken effect, or may still.
    pub fn resolve(self, version: Version, stored: Option<Plan>) -> Resolution {
        let Some(stored) = stored else {
            return Resolution::NotApplied {
                version,
                plan: None,
            };
        };
        if stored.epoch > self.plan.epoch {
            return Resolution::Superseded;
        }
        if stored.epoch < self.plan.epoch {
            return Resolution::NotApplied {
                version,
                plan: Some(stored),
            };
        }
        if stored.holder != self.plan.holder {
            return Resolution::Superseded;
        }
        Resolution::Committed(CommittedPlan {
            version,
            plan: stored,
        })
    }
}

impl CommittedPlan {
    /// The plan.
    pub fn plan(&self) -> &Plan {
        &self.plan
    }

    /// The version under which it stands.
    pub fn version(&self) -> Version {
        self.version
    }
}
