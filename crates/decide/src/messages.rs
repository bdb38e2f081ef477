//! What the decisions of routers and controllers say to each other and to upstreams.

use passway_types::prelude::*;

/// Where the checkpoint of a model lies, seen from one upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Tier {
    /// In the memory of the upstream's machine.
    Memory,
    /// On its disk.
    Disk,
    /// Only in the weight store.
    Remote,
}

/// Bits of a fencing number that count the orders of one epoch.
const ORDER_BITS: u32 = 32;

/// The fencing number of the `order`th order of an epoch.
pub fn fencing_number(epoch: Epoch, order: u32) -> Fence {
    (epoch << ORDER_BITS) | u64::from(order)
}

/// The epoch that a fencing number was made in.
pub fn fence_epoch(fence: Fence) -> Epoch {
    fence >> ORDER_BITS
}

/// What an order asks of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderKind {
    /// Load the model.
    Load,
    /// Unload the model.
    Unload,
}

/// An order to an upstream.
///
/// The sender checks `not_after` as the last thing before it sends.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    /// What is asked.
    pub kind: OrderKind,
    /// The fencing number; larger than that of every earlier order of the cell.
    pub fence: Fence,
    /// The placement it belongs to.
    pub placement: PlacementId,
    /// The model or adapter.
    pub model: ModelName,
    /// The base of an adapter.
    pub base: Option<ModelName>,
    /// Accelerator memory of the replica.
    pub size_bytes: u64,
    /// The upstream that it goes to.
    pub upstream: UpstreamId,
    /// The local time after which it may not be sent.
    pub not_after: Instant,
}

/// What became of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderAnswer {
    /// A load was accepted or is in progress.
    Loading,
    /// The model is loaded.
    Loaded,
    /// An unload was accepted or is in progress.
    Unloading,
    /// The model is not on the upstream.
    Absent,
    /// The upstream has no room; the order had no effect.
    NoRoom,
    /// Requests still run on the model; the order had no effect.
    Busy,
    /// The fencing number was too old; the order had no effect.
    Fenced,
    /// The order was never sent.
    NotSent,
    /// The order may or may not arrive.
    Lost,
}

/// The state of one model as its upstream reports it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LoadedState {
    /// Its load is in progress.
    Loading,
    /// It serves.
    Ready,
    /// Its unload is in progress.
    Unloading,
}

/// One model in a status report.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LoadedModel {
    /// The model or adapter.
    pub model: ModelName,
    /// How far it is.
    pub state: LoadedState,
    /// Requests that run on it.
    pub running: u32,
}

/// An upstream's own report; it may lag.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct UpstreamStatus {
    /// Drawn when the engine started; a new number means that it lost everything.
    pub boot: Incarnation,
    /// Models on its accelerators.
    pub loaded: Vec<LoadedModel>,
    /// Checkpoints nearer than the weight store.
    pub cached: Vec<(ModelName, Tier)>,
    /// Whether the engine itself says that it is leaving.
    pub leaving: bool,
}

/// Waiting requests of one router for one model, told as one demand.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Demand {
    /// The router.
    pub router: Incarnation,
    /// The model or adapter.
    pub model: ModelName,
    /// The workspace that waits first.
    pub workspace: WorkspaceName,
    /// Requests that wait; 0 takes the demand back.
    pub waiting: u32,
    /// The earliest deadline among them.
    pub earliest_deadline_at: Instant,
    /// The best priority among them.
    pub priority: u32,
}

/// What the cell answers to a demand.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DemandVerdict {
    /// The model is expected to serve at this time.
    ReadyAt(Instant),
    /// The model will not be woken for now.
    Refused {
        /// Why.
        code: ResultCode,
        /// When to come back.
        retry_at: Instant,
    },
}

/// Use of a model as one router saw it since its last report.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Usage {
    /// The router.
    pub router: Incarnation,
    /// The model or adapter.
    pub model: ModelName,
    /// Requests of the router in progress on the model.
    pub running: u32,
    /// The last time a request began or ended.
    pub last_used_at: Instant,
}

/// A change of where requests may be sent.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RouteChange {
    /// Replicas that serve from now on.
    pub added: Vec<(ModelName, UpstreamId)>,
    /// Replicas that get nothing new from now on.
    pub removed: Vec<(ModelName, UpstreamId)>,
    /// Whether `added` is the whole table and everything else is removed.
    pub is_snapshot: bool,
}
