//! The operators' configuration as they write it, before it is checked.
//!
//! Every field has a default, so that [`crate::check`] can find all faults in one pass.
//! [`crate::Catalog::build`] checks that required fields are present.

use serde::{Deserialize, Serialize};

/// The whole configuration.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Document {
    /// Workspaces (tenants) and their shares.
    pub workspaces: Vec<WorkspaceEntry>,
    /// Base models.
    pub models: Vec<ModelEntry>,
    /// Adapters on base models.
    pub adapters: Vec<AdapterEntry>,
    /// Model engines.
    pub upstreams: Vec<UpstreamEntry>,
    /// Plain services.
    pub services: Vec<ServiceEntry>,
    /// Rules of the policy program, applied in order.
    pub policies: Vec<PolicyEntry>,
    /// Retention of idle replicas.
    pub keep: KeepEntry,
    /// Speed of the weight store.
    pub weight_store: WeightStoreEntry,
}

/// A workspace (tenant).
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct WorkspaceEntry {
    /// Name, as in the `x-passway-workspace` header.
    pub name: String,
    /// Weight in the fair sharing of tokens.
    pub share: u32,
    /// Deadline of requests that give none, in milliseconds after their arrival.
    pub default_deadline_ms: u64,
    /// Maximum number of requests of the workspace that wait at one router.
    pub max_waiting: u32,
}

impl Default for WorkspaceEntry {
    fn default() -> Self {
        Self {
            name: String::new(),
            share: 1,
            default_deadline_ms: 30_000,
            max_waiting: 1_000,
        }
    }
}

/// A version of a base model.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ModelEntry {
    /// Name without the version.
    pub name: String,
    /// Version; requests refer to the model as `name@version`.
    pub version: String,
    /// Other names that callers may use.
    pub aliases: Vec<String>,
    /// Accelerator memory that one replica uses, in megabytes (2^20 bytes).
    pub size_mb: u64,
    /// Maximum number of concurrent replicas.
    pub max_replicas: u32,
    /// The cell that decides on this model; if empty, a hash over all cells selects one.
    pub cell: String,
}

impl Default for ModelEntry {
    fn default() -> Self {
        Self {
            name: String::new(),
            version: "1".into(),
            aliases: Vec::new(),
            size_mb: 0,
            max_replicas: 1,
            cell: String::new(),
        }
    }
}

/// A version of an adapter for a base model.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct AdapterEntry {
    /// Name without the version.
    pub name: String,
    /// Version; requests refer to the adapter as `name@version`.
    pub version: String,
    /// Other names that callers may use.
    pub aliases: Vec<String>,
    /// The base model, as `name@version`.
    pub base: String,
    /// Accelerator memory that one replica uses, in megabytes (2^20 bytes).
    pub size_mb: u64,
    /// Maximum number of concurrent replicas.
    pub max_replicas: u32,
}

impl Default for AdapterEntry {
    fn default() -> Self {
        Self {
            name: String::new(),
            version: "1".into(),
            aliases: Vec::new(),
            base: String::new(),
            size_mb: 0,
            max_replicas: 1,
        }
    }
}

/// A model engine.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct UpstreamEntry {
    /// Id, unique among upstreams.
    pub id: String,
    /// Address as `ip:port`.
    pub address: String,
    /// Data hall of the engine.
    pub data_hall: String,
    /// The cell that decides on the use of the engine's memory.
    pub cell: String,
    /// Accelerator memory for models, in megabytes (2^20 bytes).
    pub memory_mb: u64,
    /// Number of requests that the engine runs concurrently.
    pub slots: u32,
    /// How the engine treats orders with an old fencing number; `ignores` if omitted.
    pub fencing: Fencing,
    /// Whether the operators take the engine out of service: it receives no new requests and its
    /// models are unloaded.
    pub draining: bool,
}

impl Default for UpstreamEntry {
    fn default() -> Self {
        Self {
            id: String::new(),
            address: String::new(),
            data_hall: String::new(),
            cell: "main".into(),
            memory_mb: 0,
            slots: 8,
            fencing: Fencing::Ignores,
            draining: false,
        }
    }
}

/// How an upstream treats an order with an old fencing number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fencing {
    /// The upstream executes the order.
    Ignores,
    /// The upstream refuses the order, but forgets the highest fencing number when it restarts.
    Forgets,
    /// The upstream refuses the order, also after a restart.
    Keeps,
}

/// A plain service.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceEntry {
    /// Name, as in the path `/services/NAME/...`.
    pub name: String,
    /// Addresses of its replicas, each as `ip:port`.
    pub addresses: Vec<String>,
    /// Methods whose requests must not be retried, even if the caller sends no idempotency key.
    /// Such a request is sent only once.
    pub not_repeatable: Vec<String>,
}

/// A rule of the policy program.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PolicyEntry {
    /// Name, shown when a decision is explained.
    pub name: String,
    /// The condition: an expression over `workspace`, `model`, `kind` and `priority`.
    pub when: String,
    /// Priority of the request; lower numbers are served first.
    pub priority: Option<u32>,
    /// Maximum time that a request may wait, in milliseconds.
    pub may_wait_ms: Option<u64>,
    /// Maximum number of concurrent requests of one workspace through one router.
    pub max_running: Option<u32>,
    /// Maximum accelerator memory of all models that were loaded for the workspace, in megabytes
    /// (2^20 bytes).
    pub max_held_mb: Option<u64>,
}

/// Retention of idle replicas.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct KeepEntry {
    /// The retention policy: `fixed`, `ski_rental` or `histogram`.
    pub policy: KeepPolicyName,
    /// Retention time of the `fixed` policy and maximum retention time of the other policies, in
    /// milliseconds.
    pub max_idle_ms: u64,
    /// Cost of an idle second of an accelerator, relative to `cold_weight`.
    pub idle_weight: f64,
    /// Cost of a second that a caller waits for a cold start, relative to `idle_weight`.
    pub cold_weight: f64,
}

impl Default for KeepEntry {
    fn default() -> Self {
        Self {
            policy: KeepPolicyName::SkiRental,
            max_idle_ms: 600_000,
            idle_weight: 1.0,
            cold_weight: 1.0,
        }
    }
}

/// The retention policies, which decide when an idle replica is unloaded.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum KeepPolicyName {
    /// Unloads the replica after a fixed idle time.
    Fixed,
    /// Retains the replica until its idle cost equals the cost of a reload.
    SkiRental,
    /// Sets the retention time from a histogram of the model's idle times.
    Histogram,
}

/// Speed of the weight store, as configured by the operators.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct WeightStoreEntry {
    /// Number of concurrent loads that run at full speed.
    pub max_loads: u32,
    /// Initial estimate of the transfer rate of a remote checkpoint, in megabytes per second.
    pub expected_mb_per_s: u64,
}

impl Default for WeightStoreEntry {
    fn default() -> Self {
        Self {
            max_loads: 4,
            expected_mb_per_s: 2_000,
        }
    }
}
