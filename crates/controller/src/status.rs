//! What `passwayctl` sees of one controller.

use serde::{Deserialize, Serialize};

/// One controller's view.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct NodeStatus {
    /// The instance.
    pub instance: String,
    /// The process.
    pub incarnation: u64,
    /// The revision in force here; 0 if none.
    pub config_revision: u64,
    /// Time since that revision was last confirmed, in milliseconds.
    pub config_age_ms: u64,
    /// Whether neither the key-value service nor a peer is reached.
    pub isolated: bool,
    /// Routers connected here.
    pub routers: Vec<RouterStatus>,
    /// Cells that this controller leads.
    pub cells: Vec<CellStatus>,
}

/// A router as it last reported.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct RouterStatus {
    /// Its instance.
    pub instance: String,
    /// The revision in force there.
    pub config_revision: u64,
    /// Requests in progress.
    pub in_progress: u32,
    /// Whether it is leaving.
    pub leaving: bool,
}

/// A cell that is led here.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct CellStatus {
    /// Its name.
    pub cell: String,
    /// The term's epoch.
    pub epoch: u64,
    /// Its placements.
    pub placements: Vec<PlacementStatus>,
}

/// A placement.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct PlacementStatus {
    /// Its id.
    pub id: u64,
    /// The model.
    pub model: String,
    /// The upstream.
    pub upstream: String,
    /// `held` or `leaving`, and how far it is.
    pub state: String,
    /// Megabytes (2^20 bytes) that it reserves.
    pub reserved_mb: u64,
    /// The workspace it is held for.
    pub workspace: String,
}
