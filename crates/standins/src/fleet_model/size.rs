//! How large a fleet is, and what is asked of it.

use passway_serving::routes::{CallerLimits, EnginePool, ModelSpec, RouteTable, Service};
use passway_types::prelude::*;

/// A fleet's size. Figures of today and of the grown sites come from the users' sheets;
/// those of the target from its page, shared out by us where it gives only sums.
#[derive(Debug, Clone, Copy)]
pub struct FleetSize {
    /// Its name on the command line.
    pub name: &'static str,
    /// Engines.
    pub engines: usize,
    /// Models.
    pub models: usize,
    /// Models that most requests go to at one time.
    pub busy_models: usize,
    /// Requests a second for busy models.
    pub busy_per_s: f64,
    /// Requests a second for all other models.
    pub rare_per_s: f64,
    /// Requests that an engine runs at one time.
    pub slots: u32,
    /// Loads a second that the weight store allows.
    pub loads_per_s: f64,
}

/// Today (market sheet), the grown market site, the target in two years.
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

/// Places for models on one engine: 230 GB for models of 65 to 73 GB (users' sheets).
pub const RESIDENT_MODELS: usize = 3;
/// Models that an engine's memory keeps beside them (sheet: 150 GB).
pub const MEMORY_MODELS: usize = 2;
/// Models that an engine's disk keeps (sheet: 1,300 GB).
pub const DISK_MODELS: usize = 17;
/// Loads from the weight store that run at full speed together (sheet).
pub const FULL_SPEED_LOADS: usize = 4;

/// Time of a load from the weight store at full speed.
pub(super) const STORE_LOAD_MS: u32 = 6_000;
/// Time of a load from an engine's disk.
pub(super) const DISK_LOAD_MS: u32 = 840;
/// Time of a load from an engine's memory.
pub(super) const MEMORY_LOAD_MS: u32 = 470;
/// Time of an unload that no run holds up.
pub(super) const UNLOAD_DURATION_MS: u32 = 30;
/// A model's size.
const MODEL_WEIGHTS_MB: f64 = 72_700.0;
/// Accelerator memory of one engine.
const ENGINE_MEMORY_MB: f64 = 230_000.0;

impl FleetSize {
    /// The size of a name.
    pub fn by_name(name: &str) -> Option<Self> {
        SIZES.into_iter().find(|size| size.name == name)
    }

    /// A model's name.
    pub fn model(number: usize) -> ModelName {
        format!("m{number}").into()
    }

    /// The service of all engines.
    pub fn service() -> ServiceName {
        "engines".into()
    }

    /// The pool that the engines form.
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
            loads_per_s: self.loads_per_s,
            models: (0..self.models).map(spec).collect(),
        }
    }

    /// A configuration with these engines and no routes.
    pub fn table(&self) -> RouteTable {
        let service = Service {
            name: Self::service(),
            max_connections: u32::MAX,
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
