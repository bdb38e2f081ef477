//! Messages between routers, controllers and upstreams, as the decision logic sees them.

use passway_types::prelude::*;

/// Storage tier of a model's checkpoint, relative to one upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Tier {
    /// In the main memory of the upstream's machine.
    Memory,
    /// On a disk of the upstream's machine.
    Disk,
    /// Only in the weight store.
    Remote,
}

/// Low bits of a fencing number, which hold the order number within an epoch.
const ORDER_BITS: u32 = 32;

/// Returns the fencing number of order number `order` of an epoch.
pub fn fencing_number(epoch: Epoch, order: u32) -> Fence {
    (epoch << ORDER_BITS) | u64::from(order)
}

/// Returns the epoch in which a fencing number was issued.
pub fn fence_epoch(fence: Fence) -> Epoch {
    fence >> ORDER_BITS
}

/// The kind of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderKind {
    /// Load the model.
    Load,
    /// Unload the model.
    Unload,
}

/// An order from the holder of a cell to an upstream.
///
/// The sender checks `not_after` immediately before it sends the order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    /// Whether to load or to unload the model.
    pub kind: OrderKind,
    /// The fencing number, larger than that of every earlier order in the cell.
    pub fence: Fence,
    /// The placement that the order is for.
    pub placement: PlacementId,
    /// The model or adapter.
    pub model: ModelName,
    /// The base model, if `model` is an adapter.
    pub base: Option<ModelName>,
    /// Accelerator memory of the replica, in bytes.
    pub size_bytes: u64,
    /// The upstream that receives the order.
    pub upstream: UpstreamId,
    /// The local time from which the order must not be sent any more.
    pub not_after: Instant,
}

/// The answer to an order, or what is known without one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderAnswer {
    /// The upstream accepted the load, or the load is in progress.
    Loading,
    /// The model is loaded.
    Loaded,
    /// The upstream accepted the unload, or the unload is in progress.
    Unloading,
    /// The model is not on the upstream.
    Absent,
    /// The upstream has too little free memory; the order had no effect.
    NoRoom,
    /// Requests are still running on the model; the order had no effect.
    Busy,
    /// The upstream has seen a higher fencing number; the order had no effect.
    Fenced,
    /// The order was never sent.
    NotSent,
    /// No answer arrived; the upstream may still receive and carry out the order.
    Lost,
}

/// The state of one model in an upstream's status report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LoadedState {
    /// The load is in progress.
    Loading,
    /// The model serves requests.
    Ready,
    /// The unload is in progress.
    Unloading,
}

/// One model in an upstream's status report.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LoadedModel {
    /// The model or adapter.
    pub model: ModelName,
    /// Whether the model is loading, ready or unloading.
    pub state: LoadedState,
    /// Requests that run on the model.
    pub running: u32,
}

/// An upstream's status report. It may be out of date when it arrives.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct UpstreamStatus {
    /// The boot id, drawn when the engine starts. A new id means that the engine has lost all its
    /// models.
    pub boot: Incarnation,
    /// Models on the upstream's accelerators.
    pub loaded: Vec<LoadedModel>,
    /// Checkpoints in memory or on disk, with their storage tier.
    pub cached: Vec<(ModelName, Tier)>,
    /// Whether the engine itself reports that it is leaving.
    pub leaving: bool,
}

/// The requests of one router that wait for one model, reported to the controller as one demand.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Demand {
    /// The incarnation of the router.
    pub router: Incarnation,
    /// The model or adapter.
    pub model: ModelName,
    /// The workspace of the request with the earliest deadline.
    pub workspace: WorkspaceName,
    /// Number of waiting requests; 0 withdraws the demand.
    pub waiting: u32,
    /// The earliest time at which one of the waiting requests gives up, at most its deadline.
    pub earliest_deadline_at: Instant,
    /// The priority of the request with the earliest deadline; a lower number is more urgent.
    pub priority: u32,
}

/// The controller's answer to a demand.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DemandVerdict {
    /// The model is expected to serve from this time.
    ReadyAt(Instant),
    /// The model will not be loaded for now.
    Refused {
        /// The reason for the refusal.
        code: ResultCode,
        /// The earliest useful time for a retry.
        retry_at: Instant,
    },
}

/// A router's report of how it uses a model.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Usage {
    /// The incarnation of the router.
    pub router: Incarnation,
    /// The model or adapter.
    pub model: ModelName,
    /// Requests of this router that run on the model.
    pub running: u32,
    /// The last time at which a request to the model started or ended.
    pub last_used_at: Instant,
}

/// A change of the routing table of a cell.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RouteChange {
    /// Replicas that requests may be sent to from now on.
    pub added: Vec<(ModelName, UpstreamId)>,
    /// Replicas that receive no new requests from now on.
    pub removed: Vec<(ModelName, UpstreamId)>,
    /// Whether `added` is the complete table and all other routes are removed.
    pub is_snapshot: bool,
}
