//! The splits of routes as they are stored with the list of versions.

use passway_serving::routes::Backend;
use passway_serving::splits::{RouteScope, Split, SplitSet};
use passway_wire::versions::{StoredBackend, StoredSplit};

pub(super) fn to_stored(splits: &SplitSet) -> Vec<StoredSplit> {
    let stored = splits.iter().map(|(scope, split)| StoredSplit {
        host: scope.host.to_string(),
        prefix: scope.prefix.to_string(),
        backends: split.backends().iter().map(stored_backend).collect(),
    });
    stored.collect()
}

fn stored_backend(backend: &Backend) -> StoredBackend {
    StoredBackend {
        service: backend.service.to_string(),
        weight: backend.weight,
    }
}

pub(super) fn from_stored(stored: Vec<StoredSplit>) -> SplitSet {
    let splits = stored.into_iter().map(|split| {
        let scope = RouteScope {
            host: split.host.into(),
            prefix: split.prefix.into(),
        };
        let backends = split.backends.into_iter().map(|backend| Backend {
            service: backend.service.into(),
            weight: backend.weight,
        });
        (scope, Split::new(backends))
    });
    splits.collect()
}
