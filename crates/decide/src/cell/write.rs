//! The life cycle of a change of the plan: drafted, in flight, committed.
//!
//! Orders are made from a [`CommittedPlan`] only, which can only be obtained from a confirmed
//! write. So a program that sends a load order before its placement is written does not compile.

use super::Action;
use crate::plan::Plan;
use passway_types::prelude::*;
use std::marker::PhantomData;

/// State of a change that has not been sent.
#[derive(Debug)]
pub struct Drafted;
/// State of a change that was sent and has no known outcome.
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

/// The outcome of a change in flight, as found by a read of the plan.
#[derive(Debug)]
pub enum Resolution {
    /// The change, or an earlier change of the same term, has taken effect.
    Committed(CommittedPlan),
    /// The change has not taken effect.
    NotApplied {
        /// The stored version.
        version: Version,
        /// The stored plan.
        plan: Option<Plan>,
    },
    /// Another holder has begun a later term.
    Superseded,
}

impl Change<Drafted> {
    /// Drafts a change to `plan`.
    pub fn draft(plan: Plan) -> Self {
        Self {
            plan,
            state: PhantomData,
        }
    }

    /// Sends the change, to be applied if the stored version is still `expected`.
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
    /// Returns the id of the change, which the answer to the write carries.
    pub fn id(&self) -> ChangeId {
        self.plan.last_change
    }

    /// Confirms the change after the write was answered with success.
    pub fn confirm(self, version: Version) -> CommittedPlan {
        CommittedPlan {
            version,
            plan: self.plan,
        }
    }

    /// Determines the outcome from a later read.
    ///
    /// A change with an unknown outcome is never written again blindly, because the write may have
    /// taken effect or may still do so. The stored plan counts as committed if it has the epoch and
    /// the holder of the change.
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
    /// Returns the plan.
    pub fn plan(&self) -> &Plan {
        &self.plan
    }

    /// Returns the version under which the plan is stored.
    pub fn version(&self) -> Version {
        self.version
    }
}
