//! The operators' configuration as they write it, before it is checked.
//!
//! Every field has a default, so that [`crate::check`] can find all faults in
//! one pass; what may not be left out is checked by [`crate::Catalog::build`].

use serde::{Deserialize, Serialize};

/// The whole configuration.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Document {
    /// Workspaces of callers and their shares.
    pub workspaces: Vec<WorkspaceEntry>,
    /// Base models.
    pub models: Vec<ModelEntry>,
    /// Adapters on base models.
    pub adapters: Vec<AdapterEntry>,
    /// Model engines.
    pub upstreams: Vec<UpstreamEntry>,
    /// Plain services.
    pub services: Vec<ServiceEntry>,
    /// Policy programs, tried in order.
    pub policies: Vec<PolicyEntry>,
    /// How long idle replicas are kept.
    pub keep: KeepEntry,
    /// The weight store's pace.
    pub weight_store: WeightStoreEntry,
}

/// A workspace of callers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct WorkspaceEntry {
    /// Name, as in the `x-passway-workspace` header.
    pub name: String,
    /// Weight in the fair sharing of tokens.
    pub share: u32,
    /// Deadline for requests that name none, in milliseconds.
    pub default_deadline_ms: u64,
    /// Requests of the workspace that may wait at one router.
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

/// A base model in one version.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ModelEntry {
    /// Name without the version.
    pub name: String,
    /// Version; requests name the model `name@version`.
    pub version: String,
    /// Other names that callers may use.
    pub aliases: Vec<String>,
    /// Accelerator memory that one replica takes, in megabytes (2^20 bytes).
    pub size_mb: u64,
    /// Most replicas at one time.
    pub max_replicas: u32,
    /// The cell that decides on this model; empty means by hash over all cells.
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

/// An adapter in one version on a base model.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct AdapterEntry {
    /// Name without the version.
    pub name: String,
    /// Version; requests name the adapter `name@version`.
    pub version: String,
    /// Other names that callers may use.
    pub aliases: Vec<String>,
    /// The base model, as `name@version`.
    pub base: String,
    /// Accelerator memory that one replica takes, in megabytes (2^20 bytes).
    pub size_mb: u64,
    /// Most replicas at one time.
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
    /// The data hall it stands in.
    pub data_hall: String,
    /// The cell that decides on its memory.
    pub cell: String,
    /// Accelerator memory for models, in megabytes (2^20 bytes).
    pub memory_mb: u64,
    /// Requests that it runs at one time.
    pub slots: u32,
    /// What it does with an old fencing number; left out means `ignores`.
    pub fencing: Fencing,
    /// Whether the operators take it out of service: it gets nothing new and its
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

/// What an upstream does with an order that carries an old fencing number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fencing {
    /// It carries the order out.
    Ignores,
    /// It refuses the order, but has forgotten the highest number after a restart.
    Forgets,
    /// It refuses the order, also after a restart.
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
    /// Methods that may not be repeated even when the caller sends no key; such a
    /// call is sent once and never retried.
    pub not_repeatable: Vec<String>,
}

/// One rule of a policy program.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PolicyEntry {
    /// Name, for explanations.
    pub name: String,
    /// A condition over `workspace`, `model`, `kind` and `priority`.
    pub when: String,
    /// Requests with a lower number go first.
    pub priority: Option<u32>,
    /// Longest time that a request may wait, in milliseconds.
    pub may_wait_ms: Option<u64>,
    /// Most requests of one workspace that run at one time through one router.
    pub max_running: Option<u32>,
    /// Most accelerator memory that models woken for the workspace may hold, in
    /// megabytes (2^20 bytes).
    pub max_held_mb: Option<u64>,
}

/// How long idle replicas are kept.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct KeepEntry {
    /// `fixed`, `ski_rental` or `histogram`.
    pub policy: KeepPolicyName,
    /// The time-out of the `fixed` policy, and the longest keep of the others, in milliseconds.
    pub max_idle_ms: u64,
    /// Cost of an idle accelerator second, against one second of a caller's cold wait.
    pub idle_weight: f64,
    /// Cost of a second of a caller's cold wait.
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

/// The policies that decide when an idle replica is unloaded.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum KeepPolicyName {
    /// Unload after a fixed idle time.
    Fixed,
    /// Hold idle as long as a reload would cost.
    SkiRental,
    /// Hold by a histogram of the model's idle gaps.
    Histogram,
}

/// The weight store's pace as the operators know it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct WeightStoreEntry {
    /// Loads that run at one time at full speed.
    pub max_loads: u32,
    /// First estimate of the transfer of a remote checkpoint, in megabytes a second.
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
