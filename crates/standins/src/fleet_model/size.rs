//! Fleet sizes and their demand.

use passway_serving::routes::{CallerLimits, EnginePool, ModelSpec, RouteTable, Service};
use passway_types::prelude::*;

/// The size of a fleet. The figures of today and of the grown deployment come from the users'
/// sheets. Those of the target come from its page; where the page gives only sums, they are
/// divided by assumption.
#[derive(Debug, Clone, Copy)]
pub struct FleetSize {
    /// Name on the command line.
    pub name: &'static str,
    /// Number of engines.
    pub engines: usize,
    /// Number of models.
    pub models: usize,
    /// Number of models that receive most requests at a time.
    pub busy_models: usize,
    /// Requests per second for busy models.
    pub busy_per_s: f64,
    /// Requests per second for all other models.
    pub rare_per_s: f64,
    /// Number of requests that an engine can run at the same time.
    pub slots: u32,
    /// Loads per second that the weight store allows.
    pub loads_per_s: f64,
}

/// Today's market deployment (users' sheet), the same deployment grown, and the target in two
/// years.
pub const SIZES: [FleetSize; 3] = [
    FleetSize {
        name: "today",
        engines: 9,
        models: 50,
        busy_models: 5,
        busy_per_s: 26.9,
        rare_per_s: 3.15,
        slots: 64,
        loads_per_s: 3.1,
    },
    FleetSize {
        name: "grown",
        engines: 90,
        models: 481,
        busy_models: 26,
        busy_per_s: 146.0,
        rare_per_s: 31.1,
        slots: 16,
        loads_per_s: 36.0,
    },
    FleetSize {
        name: "target",
        engines: 600,
        models: 730,
        busy_models: 60,
        busy_per_s: 2_000.0,
        rare_per_s: 60.0,
        slots: 64,
        loads_per_s: 36.0,
    },
];

/// Resident models per engine: 230 GB of accelerator memory for models of 65 to 73 GB (users'
/// sheets).
pub const RESIDENT_MODELS: usize = 3;
/// Checkpoints that fit into an engine's host memory (users' sheet: 150 GB).
pub const MEMORY_MODELS: usize = 2;
/// Checkpoints that fit on an engine's disk (users' sheet: 1,300 GB).
pub const DISK_MODELS: usize = 17;
/// Concurrent loads that the weight store serves at full speed (users' sheet).
pub const FULL_SPEED_LOADS: usize = 4;

/// Duration of a load from the weight store at full speed.
pub(super) const STORE_LOAD_MS: u32 = 6_000;
/// Duration of a load from an engine's disk.
pub(super) const DISK_LOAD_MS: u32 = 840;
/// Duration of a load from an engine's host memory.
pub(super) const MEMORY_LOAD_MS: u32 = 470;
/// Duration of an unload once the model has no running requests.
pub(super) const UNLOAD_DURATION_MS: u32 = 30;
/// Size of a model's weights.
const MODEL_WEIGHTS_MB: f64 = 72_700.0;
/// Accelerator memory of one engine.
const ENGINE_MEMORY_MB: f64 = 230_000.0;

impl FleetSize {
    /// Returns the size with a name.
    pub fn by_name(name: &str) -> Option<Self> {
        SIZES.into_iter().find(|size| size.name == name)
    }

    /// Returns the name of the model with a number.
    pub fn model(number: usize) -> ModelName {
        format!("m{number}").into()
    }

    /// Returns the service that all engines belong to.
    pub fn service() -> ServiceName {
        "engines".into()
    }

    /// Returns the pool of all engines.
    pub fn pool(&self) -> EnginePool {
        let spec = |number| ModelSpec {
            name: Self::model(number),
            weights_mb: MODEL_WEIGHTS_MB,
            adapter_mb: 66.0,
            load_ms: STORE_LOAD_MS.into(),
            disk_ms: DISK_LOAD_MS.into(),
            memory_ms: MEMORY_LOAD_MS.into(),
        };
        EnginePool {
            slots: self.slots,
            weights_mb: ENGINE_MEMORY_MB,
            adapter_slots: 8,
            tokens_per_event: None,
            memory_tokens: None,
            accepts_run_copies: false,
            loads_per_s: self.loads_per_s,
            models: (0..self.models).map(spec).collect(),
        }
    }

    /// Returns a configuration with these engines and no routes.
    pub fn table(&self) -> RouteTable {
        let service = Service {
            name: Self::service(),
            max_connections: u32::MAX,
            health_path: None,
            cold_limit: None,
            pool: Some(self.pool()),
        };
        let limits = CallerLimits {
            max_header_bytes: 0,
            max_body_bytes: 0,
            header_timeout_ms: 0,
            idle_timeout_ms: 0,
        };
        RouteTable::new(1, Vec::new(), vec![service], limits)
    }
}
