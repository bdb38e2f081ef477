//! The plan of one cell: its placements, whose invariants hold exactly.
//!
//! A plan is one value in the key-value service. Every write is a compare-and-swap of the whole
//! value. The methods of [`Plan`] check replica counts and memory, so these hold for every plan
//! that was ever written.
//!
//! Invariants of a written plan:
//! 1. The placements on an upstream reserve at most its memory.
//! 2. A model has at most its configured number of replicas, whatever their states.
//! 3. An adapter is placed only on an upstream that also has a replica of its base.
//! 4. An upstream has at most one placement of a model.
//! 5. A placement is removed only when no order for it can arrive any more.

use passway_config::Catalog;
use passway_types::prelude::*;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// A controller process that holds or held a cell.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Holder {
    /// The instance on which the process runs.
    pub instance: InstanceId,
    /// The incarnation of the process.
    pub incarnation: Incarnation,
    /// The address on which the process listens. If a process with another incarnation answers
    /// there, this one has terminated.
    pub address: SocketAddr,
}

/// The holder of an earlier epoch that may still be able to send orders.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PreviousHolder {
    /// The epoch in which the process held the cell.
    pub epoch: Epoch,
    /// The process.
    pub holder: Holder,
}

/// The decided state of a placement.
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
    /// Requests of this workspace wait for the model.
    Demand(WorkspaceName),
    /// This adapter needs the model as its base.
    BaseOf(ModelName),
}

/// One replica of a model on one upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Placement {
    /// The id, never reused within the cell.
    pub id: PlacementId,
    /// The model or adapter.
    pub model: ModelName,
    /// The upstream on which the replica is placed.
    pub upstream: UpstreamId,
    /// Accelerator memory that the placement reserves, in bytes.
    pub reserved_bytes: u64,
    /// The decided state.
    pub state: PlacementState,
    /// The epoch in which the placement was made. Holders of earlier epochs never sent orders for
    /// it.
    pub created_epoch: Epoch,
    /// The workspace that the memory is accounted to.
    pub workspace: WorkspaceName,
    /// Why the placement was made.
    pub reason: Reason,
}

/// Why the plan rejects a change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlanError {
    /// The model or upstream is not in the catalog, or the two belong to different cells.
    Unknown,
    /// The model already has its configured number of replicas.
    ReplicaLimit,
    /// The upstream has too little free memory.
    InsufficientMemory,
    /// The upstream already has a placement of the model.
    AlreadyPlaced,
    /// The base of the adapter is not held on the upstream.
    BaseMissing,
    /// An adapter on this base is still held on the upstream.
    AdapterPresent,
    /// The workspace would exceed its cap on held memory.
    WorkspaceAtCap,
    /// An order for the placement can still arrive.
    OrderMayArrive,
}

/// A placement that the controller wants to add to the plan.
#[derive(Debug, Clone)]
pub struct DesiredPlacement {
    /// The model or adapter.
    pub model: ModelName,
    /// The upstream on which to place the model.
    pub upstream: UpstreamId,
    /// The workspace that the memory is accounted to.
    pub workspace: WorkspaceName,
    /// Why the placement is wanted.
    pub reason: Reason,
    /// The workspace's cap on held memory in the cell, in bytes.
    pub max_held_bytes: Option<u64>,
}

/// The placements of one cell and the term of leadership that decided them.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Plan {
    /// The term of leadership that wrote the plan.
    pub epoch: Epoch,
    /// The holder of that term.
    pub holder: Holder,
    /// The id of the last written change. A holder reads it to find out whether its write took
    /// effect.
    pub last_change: ChangeId,
    /// Previous holders that may still send orders. `former` is the name in the stored plan.
    former: Vec<PreviousHolder>,
    next_placement: PlacementId,
    placements: BTreeMap<PlacementId, Placement>,
}

impl Plan {
    /// Returns the first plan of a cell, without placements.
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

    /// Begins the next epoch with a new holder and records the current holder as a previous one.
    pub fn take_over(&mut self, holder: Holder) {
        let previous_holder = std::mem::replace(&mut self.holder, holder);
        self.former.push(PreviousHolder {
            epoch: self.epoch,
            holder: previous_holder,
        });
        self.epoch += 1;
        self.remove_irrelevant_holders();
    }

    /// Returns all placements, ordered by id.
    pub fn placements(&self) -> impl Iterator<Item = &Placement> {
        self.placements.values()
    }

    /// Returns the placement with this id.
    pub fn placement(&self, id: PlacementId) -> Option<&Placement> {
        self.placements.get(&id)
    }

    /// Returns the previous holders that may still be able to send orders.
    pub fn previous_holders(&self) -> &[PreviousHolder] {
        &self.former
    }

    /// Returns the placement of a model on an upstream.
    pub fn find(&self, model: &str, upstream: &str) -> Option<&Placement> {
        self.placements()
            .find(|p| &*p.model == model && &*p.upstream == upstream)
    }

    /// Returns the placements on an upstream.
    pub fn on_upstream<'a>(&'a self, upstream: &'a str) -> impl Iterator<Item = &'a Placement> {
        self.placements().filter(move |p| &*p.upstream == upstream)
    }

    /// Returns the placements of a model, whatever their states.
    pub fn replicas<'a>(&'a self, model: &'a str) -> impl Iterator<Item = &'a Placement> {
        self.placements().filter(move |p| &*p.model == model)
    }

    /// Returns the memory reserved on an upstream, in bytes.
    pub fn reserved_bytes(&self, upstream: &str) -> u64 {
        self.on_upstream(upstream).map(|p| p.reserved_bytes).sum()
    }

    /// Returns the memory held for a workspace in the cell, in bytes.
    pub fn workspace_bytes(&self, workspace: &str) -> u64 {
        self.placements()
            .filter(|p| &*p.workspace == workspace)
            .map(|p| p.reserved_bytes)
            .sum()
    }

    /// Adds a placement and returns its id.
    ///
    /// # Errors
    /// The invariant or cap that the new placement would violate.
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

    /// Marks a placement as leaving.
    ///
    /// # Errors
    /// [`PlanError::AdapterPresent`] while an adapter on this base is held on the upstream.
    pub fn begin_unload(&mut self, catalog: &Catalog, id: PlacementId) -> Result<(), PlanError> {
        let placement = self.placements.get(&id).ok_or(PlanError::Unknown)?;
        let base = &placement.model;
        let is_adapter_held = self.on_upstream(&placement.upstream).any(|p| {
            p.state == PlacementState::Held
                && catalog
                    .models
                    .get(&p.model)
                    .is_some_and(|m| m.base.as_ref() == Some(base))
        });
        if is_adapter_held {
            return Err(PlanError::AdapterPresent);
        }
        if let Some(placement) = self.placements.get_mut(&id) {
            placement.state = PlacementState::Leaving;
        }
        Ok(())
    }

    /// Whether an order of a previous holder for the placement can still arrive.
    pub fn previous_holder_may_order(&self, id: PlacementId) -> bool {
        let Some(placement) = self.placements.get(&id) else {
            return false;
        };
        self.former
            .iter()
            .any(|previous| previous.epoch >= placement.created_epoch)
    }

    /// Removes a placement after the upstream has confirmed that the model is absent.
    ///
    /// `is_fenced` states that the upstream rejects the orders of previous holders.
    ///
    /// # Errors
    /// [`PlanError::OrderMayArrive`] while an order of a previous holder could load the model
    /// again.
    pub fn free(&mut self, id: PlacementId, is_fenced: bool) -> Result<(), PlanError> {
        if !is_fenced && self.previous_holder_may_order(id) {
            return Err(PlanError::OrderMayArrive);
        }
        self.placements.remove(&id).ok_or(PlanError::Unknown)?;
        self.remove_irrelevant_holders();
        Ok(())
    }

    /// Records that the holder of `epoch` can send no more orders.
    pub fn clear_previous_holder(&mut self, epoch: Epoch) {
        self.former.retain(|previous| previous.epoch != epoch);
    }

    /// Removes previous holders that cannot have sent an order for any remaining placement.
    fn remove_irrelevant_holders(&mut self) {
        let oldest_epoch = self.placements().map(|p| p.created_epoch).min();
        self.former.retain(|previous| {
            oldest_epoch.is_some_and(|oldest_epoch| previous.epoch >= oldest_epoch)
        });
    }
}
