//! Whether a request is admitted: its key, the proof that the key is still valid, and its
//! workspace's allotment.

use super::{Forwarding, Origin, RETRY_AFTER_MS, not_run};
use crate::allotments::Decision;
use crate::denials::{self, Denial, PROOF_TIMEOUT, UNPROVEN_CONFIGURATION, UNPROVEN_RETRY_MS};
use crate::relay::millis;
use crate::reply::Refusal;
use crate::shared::Shared;
use passway_serving::halls::AllowedRegions;
use passway_serving::ports::{RequestMetadata, WorkspaceHeader};
use passway_serving::routes::{Route, RouteTable};
use passway_serving::workspaces::Workspace;
use passway_types::clock;
use passway_types::prelude::*;

/// Interval between two attempts to reach the coordinator of allotments.
const COORDINATOR_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The request has no key that the configuration knows.
pub(super) const UNKNOWN_KEY: Denial = Denial {
    refusal: Refusal::NoKey,
    end: "refused without a key that is known",
};
/// The request was admitted for another workspace than its key belongs to now.
const MOVED_KEY: Denial = Denial {
    refusal: Refusal::NotRun {
        retry_after_ms: UNPROVEN_RETRY_MS,
    },
    end: "refused, its key belongs to another workspace now",
};

/// The workspace of a request, and whether the request needs one.
#[derive(Debug, Clone)]
pub(super) struct Access {
    /// The workspace that the request's key belongs to.
    pub workspace: Option<Arc<Workspace>>,
    /// The workspace header for upstreams.
    pub mark: WorkspaceHeader,
    /// The regions in which the request may be served, by its route and its workspace.
    pub allowed_regions: AllowedRegions,
    /// Whether the request requires a valid key.
    needs_key: bool,
}

impl Access {
    /// Looks up the request's key; `None` if the route requires a key and this one is not known.
    pub fn look_up(table: &RouteTable, route: &Route, facts: &RequestMetadata) -> Option<Self> {
        let Some(workspaces) = &table.workspaces else {
            return Some(Self {
                workspace: None,
                mark: WorkspaceHeader::Untouched,
                allowed_regions: route.allowed.clone(),
                needs_key: false,
            });
        };
        let key = facts.key.as_ref();
        let workspace = key.and_then(|key| workspaces.find_by_key(key)).cloned();
        let needs_key = !route.is_public;
        if needs_key && workspace.is_none() {
            return None;
        }
        let name = workspace.as_ref().map(|workspace| workspace.name.clone());
        let workspace_regions = workspace.as_ref().map(|workspace| &workspace.allowed);
        Some(Self {
            allowed_regions: workspace_regions.map_or(route.allowed.clone(), |regions| {
                regions.intersection(&route.allowed)
            }),
            workspace,
            mark: WorkspaceHeader::Set(name),
            needs_key,
        })
    }
}

impl Forwarding<'_> {
    /// The priority of the request; its workspace's priority overrides its route's.
    pub(super) fn priority(&self) -> u8 {
        let workspace = self.access.workspace.as_ref();
        let workspace_priority = workspace.and_then(|workspace| workspace.priority);
        workspace_priority.unwrap_or(self.route.priority)
    }

    /// Admits a request that has just arrived.
    pub(super) fn admit(&mut self) -> Result<(), Denial> {
        if self.access.needs_key
            && let Some(bound) = self.shared.revocation_bound()
        {
            let until = clock::now() + PROOF_TIMEOUT;
            let age = &self.shared.configuration_age;
            if !age.wait_until_proved(bound, until) {
                return Err(UNPROVEN_CONFIGURATION);
            }
        }
        // The instance that passes a request on has charged it.
        match self.origin {
            Origin::Caller => self.charge_allotment(),
            Origin::Peer(_) => Ok(()),
        }
    }

    /// Charges the request's cost to its workspace's allotment.
    fn charge_allotment(&mut self) -> Result<(), Denial> {
        let Some(workspace) = self.access.workspace.clone() else {
            return Ok(());
        };
        let cost = workspace.cost(self.facts.tokens);
        let wait_until = self.wait_until(self.deadline_at);
        loop {
            let shared = self.shared;
            let decision = shared.allotments.request(shared, &workspace, cost);
            shared.metrics.workspace_request(&workspace.name, decision);
            match decision {
                Decision::Granted => {
                    self.charged_cost = Some(cost);
                    return Ok(());
                }
                Decision::Refused(retry_after) => {
                    let retry_after_ms = millis(retry_after);
                    return Err(Denial {
                        refusal: Refusal::OverAllotment { retry_after_ms },
                        end: "refused beyond its workspace's allotment",
                    });
                }
                Decision::Unknown => {}
            }
            if clock::now() >= wait_until || shared.should_end_waits() || self.caller.is_closed() {
                return Err(Denial {
                    refusal: not_run(RETRY_AFTER_MS),
                    end: "refused, nobody keeps allotments",
                });
            }
            std::thread::sleep(COORDINATOR_POLL_INTERVAL);
        }
    }

    /// Releases the charged cost if the request has not run and never will.
    pub(super) fn release_allotment(&mut self) {
        if let Some(cost) = self.charged_cost.take_if(|_| !self.may_have_run)
            && let Some(workspace) = &self.access.workspace
        {
            let allotments = &self.shared.allotments;
            allotments.release(self.shared, workspace, cost);
        }
    }

    /// Checks the access again directly before the request is sent.
    pub(super) fn check_access(&mut self) -> Result<(), Denial> {
        if !self.access.needs_key {
            return Ok(());
        }
        let (shared, route, facts) = (self.shared, &self.route, &self.facts);
        let until = self.deadline_at.min(clock::now() + PROOF_TIMEOUT);
        denials::check_with_proof(shared, self.caller, until, || {
            check_key(shared, route, facts, &self.access.mark)
        })
    }
}

/// Checks that the key of a request still belongs to the workspace by which it was admitted.
fn check_key(
    shared: &Shared,
    route: &Route,
    facts: &RequestMetadata,
    mark: &WorkspaceHeader,
) -> Result<(), Denial> {
    // Checks the proof before loading the table: a proof that arrives later may belong to a newer
    // version without the key.
    let bound = shared.revocation_bound();
    if bound.is_some_and(|bound| !shared.configuration_age.is_proved_within(bound)) {
        return Err(UNPROVEN_CONFIGURATION);
    }
    let table = shared.routes.load();
    let current = table
        .as_ref()
        .and_then(|table| Access::look_up(table, route, facts));
    match current {
        Some(current) if current.mark == *mark => Ok(()),
        Some(_) => Err(MOVED_KEY),
        None => Err(UNKNOWN_KEY),
    }
}
