//! What a run is about: its models and its configuration.

use crate::cluster;
use passway_serving::ports::{Directory, StoredValue};
use passway_serving::routes::RouteTable;
use passway_users_platform::PlatformDirectory;

const MODELS: [&str; 6] = ["m0", "m1", "m2", "m3", "m4", "m5"];
/// Models of the runs against the weight store's ceiling: more than fit on the disks soon.
const MANY_MODELS: [&str; 14] = [
    "m0", "m1", "m2", "m3", "m4", "m5", "m6", "m7", "m8", "m9", "m10", "m11", "m12", "m13",
];
/// Loads a second that the ceiling of those runs allows.
const LOADS_PER_S: f64 = 0.6;

/// What a run is about.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Matter {
    /// Accelerator memory and adapter places.
    Memory,
    /// The weight store's ceiling: loads are short, and disks are lost with their engines.
    Ceiling,
}

impl Matter {
    pub(super) fn models(self) -> &'static [&'static str] {
        match self {
            Self::Memory => &MODELS,
            Self::Ceiling => &MANY_MODELS,
        }
    }

    pub(super) fn table(self) -> RouteTable {
        let mut file = cluster::configuration(1, self.models());
        if self == Self::Ceiling {
            file["services"][1]["engine"]["loads_per_s"] = LOADS_PER_S.into();
        }
        let value = StoredValue {
            key: "op/config".into(),
            value: file.to_string().into(),
            revision: 1,
        };
        let table = PlatformDirectory
            .decode_configuration(&value)
            .expect("decoded");
        table.expect("a configuration")
    }
}
