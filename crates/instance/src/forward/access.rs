//! Whether a request may go: its key, how sure it is that the key still holds, and its workspace's
//! allotment.

use super::{Forwarding, RETRY_AFTER_MS, not_run};
use crate::allotments::Decision;
use crate::relay::millis;
use crate::reply::Refusal;
use passway_serving::halls::AllowedRegions;
use passway_serving::ports::{RequestMetadata, WorkspaceHeader};
use passway_serving::routes::{Route, RouteTable};
use passway_serving::workspaces::Workspace;
use passway_types::clock;
use passway_types::prelude::*;

/// Longest wait for a proof that the configuration is the newest: a question to another instance
/// and a second one elsewhere.
const PROOF_WAIT: Duration = Duration::from_millis(150);
/// When a caller may come back to an instance that cannot prove its configuration: at once, since
/// it meets another one then, which most likely can.
const UNPROVED_RETRY_MS: u64 = 50;
/// Pause before it is looked again for a keeper of allotments.
const KEEPER_STEP: Duration = Duration::from_millis(50);

/// Why a request may not go.
#[derive(Debug, Clone, Copy)]
pub(super) struct Denied {
    /// What its caller is told.
    pub refusal: Refusal,
    /// The same for logs and metrics.
    pub end: &'static str,
}

/// A caller without a key that the configuration knows.
pub(super) const NO_KEY: Denied = Denied {
    refusal: Refusal::NoKey,
    end: "refused without a key that is known",
};
const UNPROVED: Denied = Denied {
    refusal: Refusal::NotRun {
        retry_after_ms: UNPROVED_RETRY_MS,
    },
    end: "refused, the configuration may be old",
};

/// Whose request it is, and whether that matters.
#[derive(Debug, Clone)]
pub(super) struct Access {
    /// The workspace that holds its key.
    pub workspace: Option<Arc<Workspace>>,
    /// What upstreams are told.
    pub mark: WorkspaceHeader,
    /// The regions in which it may be served, by its route and its workspace.
    pub allowed: AllowedRegions,
    /// Whether it may go only with a key that holds.
    is_closed: bool,
}

impl Access {
    /// Looks a request's key up; `None` if its route is closed to it.
    pub fn of(table: &RouteTable, route: &Route, facts: &RequestMetadata) -> Option<Self> {
        let Some(workspaces) = &table.workspaces else {
            return Some(Self {
                workspace: None,
                mark: WorkspaceHeader::Untouched,
                allowed: route.allowed.clone(),
                is_closed: false,
            });
        };
        let key = facts.key.as_ref();
        let workspace = key.and_then(|key| workspaces.find_by_key(key)).cloned();
        let is_closed = !route.is_public;
        if is_closed && workspace.is_none() {
            return None;
        }
        let name = workspace.as_ref().map(|workspace| workspace.name.clone());
        let own = workspace.as_ref().map(|workspace| &workspace.allowed);
        Some(Self {
            allowed: own.map_or(route.allowed.clone(), |own| {
                own.intersection(&route.allowed)
            }),
            workspace,
            mark: WorkspaceHeader::Set(name),
            is_closed,
        })
    }
}

impl Forwarding<'_> {
    /// The rank of the request: its workspace's goes before its route's.
    pub(super) fn priority(&self) -> u8 {
        let workspace = self.access.workspace.as_ref();
        let own = workspace.and_then(|workspace| workspace.priority);
        own.unwrap_or(self.route.priority)
    }

    /// Admits a request that has just arrived.
    pub(super) fn admit(&mut self) -> Result<(), Denied> {
        if self.access.is_closed
            && let Some(bound) = self.shared.revocation()
        {
            let until = clock::now() + PROOF_WAIT;
            let age = &self.shared.configuration_age;
            if !age.wait_until_permitted(bound, until) {
                return Err(UNPROVED);
            }
        }
        self.take_use()
    }

    /// Takes what the request counts from its workspace's allotment.
    fn take_use(&mut self) -> Result<(), Denied> {
        let Some(workspace) = self.access.workspace.clone() else {
            return Ok(());
        };
        let cost = workspace.cost(self.facts.tokens);
        let wait_until = self.wait_until(self.deadline_at);
        loop {
            let shared = self.shared;
            let decision = shared.allotments.ask(shared, &workspace, cost);
            shared.metrics.workspace(&workspace.name, decision);
            match decision {
                Decision::Granted => {
                    self.used = Some(cost);
                    return Ok(());
                }
                Decision::Refused(retry_after) => {
                    let retry_after_ms = millis(retry_after);
                    return Err(Denied {
                        refusal: Refusal::OverAllotment { retry_after_ms },
                        end: "refused beyond its workspace's allotment",
                    });
                }
                Decision::Unknown => {}
            }
            if clock::now() >= wait_until || shared.is_ending() || self.caller.is_closed() {
                return Err(Denied {
                    refusal: not_run(RETRY_AFTER_MS),
                    end: "refused, nobody keeps allotments",
                });
            }
            std::thread::sleep(KEEPER_STEP);
        }
    }

    /// Gives back what the request counted, if it has not run and never will.
    pub(super) fn give_use_back(&mut self) {
        if let Some(cost) = self.used.take_if(|_| !self.may_have_run)
            && let Some(workspace) = &self.access.workspace
        {
            let allotments = &self.shared.allotments;
            allotments.give_back(self.shared, workspace, cost);
        }
    }

    /// Looks again whether the request may go, the last thing before it is sent.
    pub(super) fn check_access(&self) -> Result<(), Denied> {
        if !self.access.is_closed {
            return Ok(());
        }
        // The proof before the table: one that came later may belong to a version without the key.
        let bound = self.shared.revocation();
        if bound.is_some_and(|bound| !self.shared.configuration_age.permits(bound)) {
            return Err(UNPROVED);
        }
        let table = self.shared.routes.load();
        let now = table
            .as_ref()
            .and_then(|table| Access::of(table, &self.route, &self.facts));
        match now {
            Some(now) if now.mark == self.access.mark => Ok(()),
            _ => Err(NO_KEY),
        }
    }
}
