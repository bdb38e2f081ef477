//! The limit that a fault run checks, with its models and its configuration.

use crate::cluster;
use passway_serving::ports::{Directory, StoreRevision, StoredValue};
use passway_serving::routes::RouteTable;
use passway_users_platform::PlatformDirectory;

const MODELS: [&str; 6] = ["m0", "m1", "m2", "m3", "m4", "m5"];
/// Models of the runs that check the weight store's limit: soon more than the disks hold.
const MANY_MODELS: [&str; 14] = [
    "m0", "m1", "m2", "m3", "m4", "m5", "m6", "m7", "m8", "m9", "m10", "m11", "m12", "m13",
];
/// Limit of loads per second in these runs.
const LOADS_PER_S: f64 = 0.6;

/// The limit that a run checks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Scenario {
    /// Accelerator memory and adapter slots.
    Memory,
    /// The weight store's load limit. Loads are short, and disks may be lost with their engines.
    StoreLimit,
}

impl Scenario {
    pub(super) fn models(self) -> &'static [&'static str] {
        match self {
            Self::Memory => &MODELS,
            Self::StoreLimit => &MANY_MODELS,
        }
    }

    pub(super) fn table(self) -> RouteTable {
        let mut configuration = cluster::configuration(1, self.models());
        if self == Self::StoreLimit {
            configuration["services"][1]["engine"]["loads_per_s"] = LOADS_PER_S.into();
        }
        let value = StoredValue {
            key: "op/config".into(),
            value: configuration.to_string().into(),
            revision: StoreRevision::new(0, 1),
            lease: None,
        };
        let table = PlatformDirectory
            .decode_configuration(&value)
            .expect("decoded");
        table.expect("a configuration")
    }
}
