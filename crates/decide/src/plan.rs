//! The plan of one cell: the aggregate that must stay exact.
//!
//! A plan is one value in the key-value service. Whoever writes it does so by
//! compare-and-swap on the whole value, so replica counts and memory, which are
//! checked by the methods here, hold for every plan that was ever written.
//!
//! Invariants of a written plan:
//! 1. the bytes of all placements on an upstream are at most its memory;
//! 2. a model has at most its decided number of replicas, in whatever state;
//! 3. an adapter stands only beside a replica of its base on the same upstream;
//! 4. an upstream holds a model at most once;
//! 5. a placement is removed only when no order for it can still arrive.

use passway_config::Catalog;
use passway_types::prelude::*;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// A controller process that holds or held a cell.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Holder {
    /// The instance it runs on.
    pub instance: InstanceId,
    /// Which process on that instance.
    pub incarnation: Incarnation,
    /// Where it listens; a process that answers there with another incarnation
    /// proves this one gone.
    pub address: SocketAddr,
}

/// A holder of an earlier epoch that is not yet known to be unable to send orders.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PreviousHolder {
    /// The epoch it held.
    pub epoch: Epoch,
    /// Who it is.
    pub holder: Holder,
}

/// What is decided about a placement.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PlacementState {
    /// The model is to be on the upstream; load orders may be sent.
    Held,
    /// The model is to leave the upstream; unload orders may be sent.
    Leaving,
}

/// Why a placement was made, for the audit trail.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// Requests of a workspace wait for the model.
    Demand(WorkspaceName),
    /// An adapter on this base is wanted.
    BaseOf(ModelName),
}

/// One replica of one model on one upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Placement {
    /// Its id, never used twice within the cell.
    pub id: PlacementId,
    /// The model or adapter.
    pub model: ModelName,
    /// Where it stands.
    pub upstream: UpstreamId,
    /// The accelerator memory it reserves.
    pub reserved_bytes: u64,
    /// What is decided about it.
    pub state: PlacementState,
    /// The epoch that made it; holders of earlier epochs never ordered it.
    pub created_epoch: Epoch,
    /// The workspace it is held for.
    pub workspace: WorkspaceName,
    /// Why it was made.
    pub reason: Reason,
}

/// Why the plan refuses a change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlanError {
    /// The model or upstream is not in the catalog, or of another cell.
    Unknown,
    /// The model has its decided number of replicas.
    ReplicaLimit,
    /// The upstream has too little memory left.
    InsufficientMemory,
    /// The upstream holds the model already.
    AlreadyPlaced,
    /// The adapter's base is not held on the upstream.
    BaseMissing,
    /// An adapter still stands on this base.
    AdapterPresent,
    /// The workspace's cap on held memory would be passed.
    WorkspaceAtCap,
    /// An order for the placement can still arrive.
    OrderMayArrive,
}

/// What a new placement is for.
#[derive(Debug, Clone)]
pub struct DesiredPlacement {
    /// The model or adapter.
    pub model: ModelName,
    /// Where it should stand.
    pub upstream: UpstreamId,
    /// The workspace it is held for.
    pub workspace: WorkspaceName,
    /// Why.
    pub reason: Reason,
    /// The workspace's cap on held memory, in bytes.
    pub max_held_bytes: Option<u64>,
}

/// The decided placements of one cell.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Plan {
    /// The term of leadership that wrote it.
    pub epoch: Epoch,
    /// Who holds that term.
    pub holder: Holder,
    /// The change that was written last; tells whether a write took effect.
    pub last_change: ChangeId,
    former: Vec<PreviousHolder>,
    next_placement: PlacementId,
    placements: BTreeMap<PlacementId, Placement>,
}

impl Plan {
    /// The first plan of a cell.
    pub fn initial(holder: Holder) -> Self {
        Self {
            epoch: 1,
            holder,
            last_change: 0,
            former: Vec::new(),
            next_placement: 1,
            placements: BTreeMap::new(),
        }
    }

    /// Begins the next epoch with a new holder; the one before becomes a former holder.
    pub fn take_over(&mut self, holder: Holder) {
        let former = std::mem::replace(&mut self.holder, holder);
        self.former.push(PreviousHolder {
            epoch: self.epoch,
            holder: former,
        });
        self.epoch += 1;
        self.remove_irrelevant_holders();
    }

    /// All placements, by id.
    pub fn placements(&self) -> impl Iterator<Item = &Placement> {
        self.placements.values()
    }

    /// One placement.
    pub fn placement(&self, id: PlacementId) -> Option<&Placement> {
        self.placements.get(&id)
    }

    /// Former holders that may still send orders.
    pub fn previous_holders(&self) -> &[PreviousHolder] {
        &self.former
    }

    /// The placement of a model on an upstream.
    pub fn find(&self, model: &str, upstream: &str) -> Option<&Placement> {
        self.placements()
            .find(|p| &*p.model == model && &*p.upstream == upstream)
    }

    /// The placements on an upstream.
    pub fn on_upstream<'a>(&'a self, upstream: &'a str) -> impl Iterator<Item = &'a Placement> {
        self.placements().filter(move |p| &*p.upstream == upstream)
    }

    /// The replicas of a model, whatever is decided about them.
    pub fn replicas<'a>(&'a self, model: &'a str) -> impl Iterator<Item = &'a Placement> {
        self.placements().filter(move |p| &*p.model == model)
    }

    /// Bytes reserved on an upstream.
    pub fn reserved_bytes(&self, upstream: &str) -> u64 {
        self.on_upstream(upstream).map(|p| p.reserved_bytes).sum()
    }

    /// Bytes held for a workspace over the cell.
    pub fn workspace_bytes(&self, workspace: &str) -> u64 {
        self.placements()
            .filter(|p| &*p.workspace == workspace)
            .map(|p| p.reserved_bytes)
            .sum()
    }

    /// Adds a placement.
    ///
    /// # Errors
    /// The invariant that the new placement would break.
    pub fn reserve(
        &mut self,
        catalog: &Catalog,
        desired: &DesiredPlacement,
    ) -> Result<PlacementId, PlanError> {
        let model = catalog
            .models
            .get(&desired.model)
            .ok_or(PlanError::Unknown)?;
        let upstream = catalog
            .upstreams
            .get(&desired.upstream)
            .ok_or(PlanError::Unknown)?;
        if model.cell != upstream.cell {
            return Err(PlanError::Unknown);
        }
        if self.find(&desired.model, &desired.upstream).is_some() {
            return Err(PlanError::AlreadyPlaced);
        }
        if self.replicas(&desired.model).count() >= model.max_replicas as usize {
            return Err(PlanError::ReplicaLimit);
        }
        if let Some(base) = &model.base
            && !self.is_held(base, &desired.upstream)
        {
            return Err(PlanError::BaseMissing);
        }
        if self.reserved_bytes(&desired.upstream) + model.size_bytes > upstream.memory_bytes {
            return Err(PlanError::InsufficientMemory);
        }
        let held_bytes = self.workspace_bytes(&desired.workspace) + model.size_bytes;
        if desired
            .max_held_bytes
            .is_some_and(|max_bytes| held_bytes > max_bytes)
        {
            return Err(PlanError::WorkspaceAtCap);
        }
        let id = self.next_placement;
        self.next_placement += 1;
        let placement = Placement {
            id,
            model: desired.model.clone(),
            upstream: desired.upstream.clone(),
            reserved_bytes: model.size_bytes,
            state: PlacementState::Held,
            created_epoch: self.epoch,
            workspace: desired.workspace.clone(),
            reason: desired.reason.clone(),
        };
        self.placements.insert(id, placement);
        Ok(id)
    }

    fn is_held(&self, model: &str, upstream: &str) -> bool {
        self.find(model, upstream)
            .is_some_and(|p| p.state == PlacementState::Held)
    }

    /// Decides that a placement is to leave.
    ///
    /// # Errors
    /// [`PlanError::AdapterPresent`] while an adapter is held on this base.
    pub fn begin_unload(&mut self, catalog: &Catalog, id: PlacementId) -> Result<(), PlanError> {
        let placement = self.placements.get(&id).ok_or(PlanError::Unknown)?;
        let base = &placement.model;
        let adapter_held = self.on_upstream(&placement.upstream).any(|p| {
            p.state == PlacementState::Held
                && catalog
                    .models
                    .get(&p.model)
                    .is_some_and(|m| m.base.as_ref() == Some(base))
        });
        if adapter_held {
            return Err(PlanError::AdapterPresent);
        }
        if let Some(placement) = self.placements.get_mut(&id) {
            placement.state = PlacementState::Leaving;
        }
        Ok(())
    }

    /// Whether a former holder may still have an order for the placement under way.
    pub fn previous_holder_may_order(&self, id: PlacementId) -> bool {
        let Some(placement) = self.placements.get(&id) else {
            return false;
        };
        self.former
            .iter()
            .any(|former| former.epoch >= placement.created_epoch)
    }

    /// Removes a placement that the upstream has confirmed absent.
    ///
    /// `fenced` says that the upstream refuses orders of former holders.
    ///
    /// # Errors
    /// [`PlanError::OrderMayArrive`] while a former holder could bring it back.
    pub fn free(&mut self, id: PlacementId, fenced: bool) -> Result<(), PlanError> {
        if !fenced && self.previous_holder_may_order(id) {
            return Err(PlanError::OrderMayArrive);
        }
        self.placements.remove(&id).ok_or(PlanError::Unknown)?;
        self.remove_irrelevant_holders();
        Ok(())
    }

    /// Records that the holder of `epoch` can send no more orders.
    pub fn clear_previous_holder(&mut self, epoch: Epoch) {
        self.former.retain(|former| former.epoch != epoch);
    }

    /// A former holder matters only while a placement stands that it may have ordered.
    fn remove_irrelevant_holders(&mut self) {
        let oldest = self.placements().map(|p| p.created_epoch).min();
        self.former
            .retain(|former| oldest.is_some_and(|oldest| former.epoch >= oldest));
    }
}
