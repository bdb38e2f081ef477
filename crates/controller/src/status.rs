//! The status of one controller, as `passwayctl` reads it.

use serde::{Deserialize, Serialize};

/// The status of one controller.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct NodeStatus {
    /// The instance of the controller.
    pub instance: String,
    /// The incarnation of the controller process.
    pub incarnation: u64,
    /// The revision in force at this controller; 0 if none.
    pub config_revision: u64,
    /// Time since that revision was last confirmed, in milliseconds.
    pub config_age_ms: u64,
    /// Whether neither the key-value service nor a peer is reachable.
    pub isolated: bool,
    /// Routers that are connected to this controller.
    pub routers: Vec<RouterStatus>,
    /// Cells that this controller leads.
    pub cells: Vec<CellStatus>,
}

/// The state of a router in its latest hello.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct RouterStatus {
    /// The instance of the router.
    pub instance: String,
    /// The revision in force at the router.
    pub config_revision: u64,
    /// Number of requests in progress.
    pub in_progress: u32,
    /// Whether the router is leaving.
    pub leaving: bool,
}

/// A cell that this controller leads.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct CellStatus {
    /// The name of the cell.
    pub cell: String,
    /// The epoch of the current term.
    pub epoch: u64,
    /// The placements of the cell.
    pub placements: Vec<PlacementStatus>,
}

/// A model that is placed on an upstream.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct PlacementStatus {
    /// The placement's id.
    pub id: u64,
    /// The placed model.
    pub model: String,
    /// The upstream on which the model is placed.
    pub upstream: String,
    /// The state in the plan (`Held` or `Leaving`) and the stage of the load.
    pub state: String,
    /// Memory that the placement reserves, in megabytes of 2^20 bytes.
    pub reserved_mb: u64,
    /// The workspace for which the placement is held.
    pub workspace: String,
}
